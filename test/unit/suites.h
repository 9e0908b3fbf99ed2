/* Unit test suites, one per module. */
#ifndef GALENA_TEST_SUITES_H
#define GALENA_TEST_SUITES_H

#include <CUnit/CUnit.h>

extern CU_TestInfo admission_tests[];
extern CU_TestInfo api_ends_tests[];
extern CU_TestInfo broken_answers_tests[];
extern CU_TestInfo charges_tests[];
extern CU_TestInfo cold_fleet_tests[];
extern CU_TestInfo config_reader_tests[];
extern CU_TestInfo config_tests[];
extern CU_TestInfo config_versions_tests[];
extern CU_TestInfo conversation_keeper_tests[];
extern CU_TestInfo conversation_losses_tests[];
extern CU_TestInfo hidden_requests_tests[];
extern CU_TestInfo null_line_ends_tests[];
extern CU_TestInfo methods_tests[];
extern CU_TestInfo statuses_tests[];
extern CU_TestInfo conversation_client_tests[];
extern CU_TestInfo conversation_requests_tests[];
extern CU_TestInfo crash_fleet_tests[];
extern CU_TestInfo cursor_tests[];
extern CU_TestInfo cut_off_hosts_tests[];
extern CU_TestInfo link_memory_tests[];
extern CU_TestInfo outbox_tests[];
extern CU_TestInfo lossy_paths_tests[];
extern CU_TestInfo wide_config_tests[];
extern CU_TestInfo decode_tests[];
extern CU_TestInfo endpoint_limits_tests[];
extern CU_TestInfo endpoint_turns_tests[];
extern CU_TestInfo evacuations_tests[];
extern CU_TestInfo events_tests[];
extern CU_TestInfo failure_detector_tests[];
extern CU_TestInfo feed_tests[];
extern CU_TestInfo fields_tests[];
extern CU_TestInfo foreign_events_tests[];
extern CU_TestInfo history_tests[];
extern CU_TestInfo holders_tests[];
extern CU_TestInfo httpd_tests[];
extern CU_TestInfo journal_tests[];
extern CU_TestInfo late_tick_tests[];
extern CU_TestInfo leader_tests[];
extern CU_TestInfo leaving_endpoints_tests[];
extern CU_TestInfo ledger_tests[];
extern CU_TestInfo limited_fleet_tests[];
extern CU_TestInfo limits_tests[];
extern CU_TestInfo memory_tests[];
extern CU_TestInfo memory_pressure_tests[];
extern CU_TestInfo log_tests[];
extern CU_TestInfo mesh_tests[];
extern CU_TestInfo node_messages_tests[];
extern CU_TestInfo node_traffic_tests[];
extern CU_TestInfo objects_tests[];
extern CU_TestInfo owner_tests[];
extern CU_TestInfo path_monitor_tests[];
extern CU_TestInfo place_tests[];
extern CU_TestInfo speed_tests[];
extern CU_TestInfo speed_fleet_tests[];
extern CU_TestInfo speed_on_time_tests[];
extern CU_TestInfo explain_tests[];
extern CU_TestInfo pool_tests[];
extern CU_TestInfo reachability_tests[];
extern CU_TestInfo recent_table_tests[];
extern CU_TestInfo repeated_refusals_tests[];
extern CU_TestInfo replicas_tests[];
extern CU_TestInfo request_ends_old_tests[];
extern CU_TestInfo request_ends_pairs_tests[];
extern CU_TestInfo request_ends_relay_tests[];
extern CU_TestInfo request_ends_tests[];
extern CU_TestInfo request_tests[];
extern CU_TestInfo retry_tests[];
extern CU_TestInfo route_tests[];
extern CU_TestInfo second_answers_tests[];
extern CU_TestInfo settings_tests[];
extern CU_TestInfo store_tests[];
extern CU_TestInfo stream_ends_tests[];
extern CU_TestInfo stream_index_tests[];
extern CU_TestInfo stream_versions_tests[];
extern CU_TestInfo token_bucket_tests[];
extern CU_TestInfo turn_copies_tests[];
extern CU_TestInfo turn_tests[];
extern CU_TestInfo watch_tests[];
extern CU_TestInfo window_tests[];
extern CU_TestInfo wire_tests[];

#endif
