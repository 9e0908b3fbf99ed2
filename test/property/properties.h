// Each function checks one module's properties and returns whether all hold.
#ifndef GALENA_TEST_PROPERTIES_H
#define GALENA_TEST_PROPERTIES_H

bool check_budget ();
bool check_cursor ();
bool check_endpoint_limit ();
bool check_fair ();
bool check_heap ();
bool check_holders ();
bool check_json_span ();
bool check_poison ();
bool check_slots ();
bool check_token_bucket ();
bool check_turn ();
bool check_window ();

#endif
