#include "platform/decode.h"
#include "suites.h"
#include <stdlib.h>
#include <string.h>

static json_t *
create_endpoint_object (const char *spec)
{
  json_t *object = json_object ();

  json_object_set_new (object, "spec", json_loads (spec, 0, NULL));
  return object;
}

static bool
endpoint_is_decoded (const char *spec)
{
  json_t *object = create_endpoint_object (spec);
  struct endpoint_entry entry;
  bool decoded = decode_endpoint ("i-1", object, &entry);

  json_decref (object);
  if (!decoded)
    return false;
  free (entry.id);
  free (entry.service);
  free (entry.address);
  free (entry.data_centre);
  free (entry.version);
  return true;
}

/* Other programs write to the endpoint list, too: objects that lack a field,
   have one of the wrong type or an unknown state are not endpoints.  */
static void
test_invalid_endpoints_are_rejected (void)
{
  CU_ASSERT_TRUE (endpoint_is_decoded (
      "{\"backend\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
      "\"max_concurrency\":6,\"state\":\"ready\",\"born\":12,\"more\":1}"));
  CU_ASSERT_FALSE (endpoint_is_decoded ("{}"));
  CU_ASSERT_FALSE (endpoint_is_decoded (
      "{\"backend\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
      "\"max_concurrency\":\"6\",\"state\":\"ready\"}"));
  CU_ASSERT_FALSE (endpoint_is_decoded (
      "{\"backend\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
      "\"max_concurrency\":6,\"state\":\"asleep\"}"));
  CU_ASSERT_FALSE (endpoint_is_decoded (
      "{\"backend\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
      "\"max_concurrency\":6,\"state\":\"ready\",\"version\":2}"));
  CU_ASSERT_FALSE (endpoint_is_decoded (
      "{\"backend\":7,\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
      "\"max_concurrency\":6,\"state\":\"ready\"}"));
}

static const char config_text[]
    = "{\"metadata\":{\"name\":\"main\",\"rev\":9},\"spec\":{\"version\":7,"
      "\"routes\":["
      "{\"name\":\"r1\",\"hostname\":\"h.example\",\"path_prefix\":\"/a/\","
      "\"type\":\"streaming\",\"timeout_ms\":5000,\"slo_ms\":200,"
      "\"priority\":1,\"traffic_split\":[{\"backend\":\"m\",\"weight\":90},"
      "{\"backend\":\"p\",\"weight\":10}],\"max_attempts\":1,"
      "\"resumable\":true,\"retained\":true,\"retention_s\":59.5},"
      "{\"name\":\"r2\",\"hostname\":\"h.example\",\"path_prefix\":\"/a/b/\","
      "\"type\":\"idempotent\",\"timeout_ms\":2000,\"backend\":\"p\"},"
      "{\"name\":\"r3\",\"hostname\":\"h.example\",\"path_prefix\":\"/\","
      "\"type\":\"non_idempotent\",\"anonymous\":true,\"backend\":\"p\"}],"
      "\"services\":[{\"name\":\"m\",\"engine\":{\"chunk_tokens\":3}},"
      "{\"name\":\"p\"}],\"limits\":{\"max_body_bytes\":4096},"
      "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"],"
      "\"priority\":1,\"rate_per_s\":184,\"burst\":92},"
      "{\"name\":\"t2\",\"api_keys\":[\"k3\"]}]}}";

static void
test_configuration_is_decoded (void)
{
  json_t *object = json_loads (config_text, 0, NULL);
  struct routing *routing = decode_routing (object);
  const struct route *route;

  CU_ASSERT_PTR_NOT_NULL_FATAL (routing);
  CU_ASSERT_EQUAL (routing->version, 7);
  CU_ASSERT_EQUAL (routing->services[0].tokens_per_event, 3);
  CU_ASSERT_EQUAL (routing->max_body_bytes, 4096);
  route = routing_find_route (routing, "h.example:80", "/a/x");
  CU_ASSERT_PTR_NOT_NULL_FATAL (route);
  CU_ASSERT_STRING_EQUAL (route->name, "r1");
  CU_ASSERT_EQUAL (route->retry_mode, ROUTE_STREAM);
  CU_ASSERT_TRUE (route->retained);
  CU_ASSERT_EQUAL (route->retention_s, 60);
  CU_ASSERT_EQUAL (route->target_count, 2);
  CU_ASSERT_EQUAL (route->targets[0].weight, 90);
  CU_ASSERT_STRING_EQUAL (
      routing_find_route (routing, "h.example", "/a/b/c")->name, "r2");
  route = routing_find_route (routing, "h.example", "/z");
  CU_ASSERT_EQUAL (route->retry_mode, ROUTE_ONCE);
  CU_ASSERT_FALSE (route->retained);
  CU_ASSERT_TRUE (route->is_open);
  CU_ASSERT_PTR_NULL (routing_find_route (routing, "other.example", "/a/x"));
  CU_ASSERT_STRING_EQUAL (routing_find_customer (routing, "k2")->name, "t1");
  CU_ASSERT_EQUAL (routing_find_customer (routing, "k2")->rate_milli, 184000);
  CU_ASSERT_STRING_EQUAL (routing_find_customer (routing, "k3")->name, "t2");
  CU_ASSERT_PTR_NULL (routing_find_customer (routing, "k4"));
  routing_unref (routing);
  json_decref (object);
}

static void
test_object_without_configuration_is_rejected (void)
{
  json_t *object = json_loads ("{\"spec\":{\"version\":7}}", 0, NULL);

  CU_ASSERT_PTR_NULL (decode_routing (object));
  json_decref (object);
}

CU_TestInfo decode_tests[] = {
  { "invalid endpoint entries are rejected",
    test_invalid_endpoints_are_rejected },
  { "configuration is decoded", test_configuration_is_decoded },
  { "an object without a configuration is rejected",
    test_object_without_configuration_is_rejected },
  CU_TEST_INFO_NULL,
};
