#include "common/buf.h"
#include "common/object.h"
#include "platform/decode.h"
#include "platform/registry.h"
#include "suites.h"
#include <stdio.h>
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
named_endpoint_is_decoded (const char *name, const char *spec)
{
  json_t *object = create_endpoint_object (spec);
  struct endpoint_entry entry;
  bool decoded = decode_endpoint (name, object, &entry, NULL);

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

static bool
endpoint_is_decoded (const char *spec)
{
  return named_endpoint_is_decoded ("i-1", spec);
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

static bool
address_is_accepted (const char *address)
{
  char spec[256];

  snprintf (spec, sizeof spec,
            "{\"backend\":\"s\",\"address\":\"%s\",\"zone\":\"a\","
            "\"max_concurrency\":6,\"state\":\"ready\"}",
            address);
  return endpoint_is_decoded (spec);
}

/* Guards against requests to an address that cannot be connected to, or that
   reaches another server because it is pasted into a URL.  */
static void
test_odd_addresses_are_rejected (void)
{
  static const char *const valid[]
      = { "10.0.0.1:1", "10.0.0.1:65535", "[::1]:80", "host-1.example:80" };
  static const char *const odd[] = { "10.0.0.1:0",
                                     "10.0.0.1:65536",
                                     "10.0.0.1:-1",
                                     "10.0.0.1:+80",
                                     "10.0.0.1: 80",
                                     "10.0.0.1:80 ",
                                     "10.0.0.1:",
                                     "10.0.0.1",
                                     ":80",
                                     "",
                                     "10.0.0.1:80/path",
                                     "10.0.0.1/a:80",
                                     "user@h:80",
                                     "10.0.0.1?a:80",
                                     "10.0.0.1#a:80",
                                     "a b:80",
                                     "h\\r\\nA: b:80",
                                     "10.0.0.1:080000000080",
                                     "[::1:80",
                                     "::1:80",
                                     "10.0.0.1:99999999999999999999" };

  for (size_t i = 0; i < sizeof valid / sizeof *valid; i++)
    CU_ASSERT_TRUE (address_is_accepted (valid[i]));
  for (size_t i = 0; i < sizeof odd / sizeof *odd; i++)
    CU_ASSERT_FALSE (address_is_accepted (odd[i]));
}

static bool
host_is_decoded (const char *address)
{
  json_t *object = json_pack ("{s:{s:s, s:s, s:s}}", "spec", "address",
                              address, "data_centre", "a", "role", "entry");
  struct host_entry entry;
  bool decoded = registry_decode_host ("h", object, &entry);

  json_decref (object);
  if (!decoded)
    return false;
  free (entry.name);
  free (entry.address);
  free (entry.data_centre);
  return true;
}

/* Guards against links to a host whose entry another writer has changed.  */
static void
test_odd_host_addresses_are_rejected (void)
{
  CU_ASSERT_TRUE (host_is_decoded ("10.0.0.1:80"));
  CU_ASSERT_FALSE (host_is_decoded ("10.0.0.1:0"));
  CU_ASSERT_FALSE (host_is_decoded ("10.0.0.1:65536"));
  CU_ASSERT_FALSE (host_is_decoded (""));
}

/* Guards against headers that a name or a version ends early: both are sent to
   the endpoint in headers.  */
static void
test_names_unfit_for_headers_are_rejected (void)
{
  static const char spec[]
      = "{\"backend\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
        "\"max_concurrency\":6,\"state\":\"ready\"}";

  CU_ASSERT_TRUE (named_endpoint_is_decoded ("i-7f.3_a~", spec));
  CU_ASSERT_FALSE (named_endpoint_is_decoded ("i\r\nHost: x", spec));
  CU_ASSERT_FALSE (named_endpoint_is_decoded ("i\tx", spec));
  CU_ASSERT_FALSE (named_endpoint_is_decoded ("\xc3\xa9", spec));
  CU_ASSERT_FALSE (named_endpoint_is_decoded ("", spec));
  CU_ASSERT_FALSE (endpoint_is_decoded (
      "{\"backend\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
      "\"max_concurrency\":6,\"state\":\"ready\",\"version\":\"1\\n\"}"));
}

/* Guards against numbers whose conversion differs between processors: 1e300
   becomes INT64_MIN on x86-64, INT64_MAX on arm64, and what is cut to 32 bits
   gets another sign.  */
static void
test_numbers_out_of_range (void)
{
  json_t *object = json_loads (
      "{\"spec\":{\"version\":1e300,\"limits\":{\"max_body_bytes\":-1e300},"
      "\"routes\":[{\"name\":\"r\",\"hostname\":\"h\",\"path_prefix\":\"/\","
      "\"backend\":\"s\",\"retention_s\":1e300,\"timeout_ms\":1e300,"
      "\"priority\":4294967297,\"max_attempts\":4294967296,"
      "\"traffic_split\":[{\"backend\":\"s\",\"weight\":4294967296}]},"
      "{\"name\":\"q\",\"hostname\":\"h\",\"path_prefix\":\"/q/\","
      "\"backend\":\"s\",\"retention_s\":-1e300,\"timeout_ms\":-1e300,"
      "\"priority\":-1e300,\"max_attempts\":-1}],"
      "\"services\":[{\"name\":\"s\",\"cold_per_s\":-1e300,"
      "\"engine\":{\"chunk_tokens\":1e300}}],"
      "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],"
      "\"priority\":-4294967295,\"rate_per_s\":1e300,\"burst\":1e300},"
      "{\"name\":\"u\",\"api_keys\":[\"l\"],\"rate_per_s\":-5,"
      "\"burst\":-1e300}]}}",
      0, NULL);
  struct routing *routing = decode_routing (object);
  const struct route *route;

  CU_ASSERT_PTR_NOT_NULL_FATAL (routing);
  CU_ASSERT_EQUAL (routing->version, INT64_MAX);
  CU_ASSERT_EQUAL (routing->max_body_bytes, 0);
  route = &routing->routes[0];
  CU_ASSERT_EQUAL (route->retention_s, 7 * 24 * 3600);
  CU_ASSERT_TRUE (route->timeout_ms > 0);
  CU_ASSERT_TRUE (route->timeout_ms < INT64_MAX / 1000000);
  CU_ASSERT_TRUE (route->priority > 1);
  CU_ASSERT_TRUE (route->max_attempts > 1);
  CU_ASSERT_EQUAL_FATAL (route->target_count, 1);
  CU_ASSERT_TRUE (route->targets[0].weight > 1);
  route = &routing->routes[1];
  CU_ASSERT_EQUAL (route->retention_s, 0);
  CU_ASSERT_TRUE (route->timeout_ms <= 0);
  CU_ASSERT_EQUAL (route->priority, 0);
  CU_ASSERT_EQUAL (route->max_attempts, 0);
  CU_ASSERT_EQUAL (routing->services[0].cold_rate_milli, 0);
  CU_ASSERT_TRUE (routing->services[0].tokens_per_event > 0);
  CU_ASSERT_TRUE (routing->services[0].tokens_per_event <= INT32_MAX);
  CU_ASSERT_EQUAL (routing->customers[0].priority, -1);
  /* A rate or burst too large to count with is a limit all the same. */
  CU_ASSERT_TRUE (routing->customers[0].rate_milli > 0);
  CU_ASSERT_TRUE (routing->customers[0].rate_milli < INT64_MAX / 1000000);
  CU_ASSERT_TRUE (routing->customers[0].burst > 0);
  CU_ASSERT_TRUE (routing->customers[0].burst < INT64_MAX / 1000000000);
  CU_ASSERT_EQUAL (routing->customers[1].rate_milli, 0);
  CU_ASSERT_EQUAL (routing->customers[1].burst, 0);
  routing_unref (routing);
  json_decref (object);
}

/* Guards against a limit below what the platform stores: a configuration of
   1 MB of short routes is read.  */
static void
test_largest_configuration_is_read (void)
{
  enum
  {
    VALUE_BYTES = 1024 * 1024, /* of the platform, for an object */
  };
  struct buf text = { 0 };
  const char *reason;
  json_t *object;

  buf_append_str (&text, "{\"metadata\":{\"name\":\"main\",\"rev\":9},"
                         "\"spec\":{\"version\":7,\"services\":[],"
                         "\"routes\":[{}");
  while (text.len < VALUE_BYTES)
    buf_printf (&text,
                ",{\"name\":\"r%zu\",\"hostname\":\"h\",\"path_prefix\":\"/\","
                "\"type\":\"streaming\",\"timeout_ms\":5,\"slo_ms\":2,"
                "\"priority\":1,\"traffic_split\":[{\"backend\":\"m\","
                "\"weight\":9},{\"backend\":\"p\",\"weight\":1}],"
                "\"max_attempts\":1,\"resumable\":true}",
                text.len);
  buf_append_str (&text, "]}}");
  object = object_parse ((struct json_span){ text.data, text.len },
                         DECODE_MAX_CONFIG_TREE_BYTES, &reason);
  CU_ASSERT_PTR_NULL (reason);
  CU_ASSERT_PTR_NOT_NULL (json_object_get (object, "spec"));
  json_decref (object);
  buf_release (&text);
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
  { "odd addresses are rejected", test_odd_addresses_are_rejected },
  { "odd addresses of hosts are rejected",
    test_odd_host_addresses_are_rejected },
  { "names unfit for headers are rejected",
    test_names_unfit_for_headers_are_rejected },
  { "numbers out of range", test_numbers_out_of_range },
  { "the largest configuration is read", test_largest_configuration_is_read },
  { "invalid endpoint entries are rejected",
    test_invalid_endpoints_are_rejected },
  { "configuration is decoded", test_configuration_is_decoded },
  { "an object without a configuration is rejected",
    test_object_without_configuration_is_rejected },
  CU_TEST_INFO_NULL,
};
