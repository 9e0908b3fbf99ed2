#include "config/config.h"
#include "suites.h"
#include <string.h>

static struct config *
build (const char *text)
{
  json_t *objects = json_loads (text, 0, NULL);
  struct config *config = config_build (objects, 1);

  CU_ASSERT_PTR_NOT_NULL (objects);
  json_decref (objects);
  return config;
}

static void
test_customer_inherits_from_template (void)
{
  struct config *config = build (
      "[{\"kind\":\"template\",\"name\":\"t\",\"data\":{\"burst\":7,"
      "\"models\":[\"m\"]}},"
      "{\"kind\":\"customer\",\"name\":\"c\",\"data\":{\"template\":\"t\","
      "\"weight\":3}}]");
  const struct config_customer *customer = config_find_customer (config, "c");

  CU_ASSERT_PTR_NOT_NULL_FATAL (customer);
  CU_ASSERT_EQUAL (customer->params.burst, 7);
  CU_ASSERT_EQUAL (customer->params.weight, 3);
  CU_ASSERT_TRUE (strings_contain (&customer->params.models, "m"));
  CU_ASSERT_PTR_NULL (config_find_customer (config, "d"));
  config_destroy (config);
}

static void
test_invalid_object_is_reported (void)
{
  struct config *config = build (
      "[{\"kind\":\"customer\",\"name\":\"c\",\"data\":{\"template\":\"no\"}},"
      "{\"kind\":\"endpoint\",\"name\":\"e\",\"data\":{\"kind\":\"engine\","
      "\"url\":\"ftp://x\"}},"
      "{\"kind\":\"route\",\"name\":\"r\",\"data\":{}}]");

  CU_ASSERT_EQUAL (config->customer_count, 0);
  CU_ASSERT_EQUAL (config->endpoint_count, 0);
  CU_ASSERT_EQUAL (json_array_size (config->invalid), 2);
  CU_ASSERT_PTR_NOT_NULL (config_find_route (config, "r"));
  config_destroy (config);
}

static void
test_validation_errors_name_the_field (void)
{
  struct error error;
  json_t *data = json_pack ("{s:i}", "burst", 0);

  CU_ASSERT_FALSE (config_validate_object ("template", "t", data, &error));
  CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "\"burst\""));
  CU_ASSERT_FALSE (config_validate_object ("template", "a/b", data, &error));
  CU_ASSERT_FALSE (config_validate_object ("customer", "c", data, &error));
  CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "\"template\""));
  CU_ASSERT_FALSE (config_validate_object ("cat", "c", data, &error));
  json_decref (data);
}

static void
test_key_lookup (void)
{
  uint8_t hash[KEY_HASH_BYTES];
  struct config *config;

  config_hash_key ("gk_x", hash);
  config = build ("[{\"kind\":\"key\",\"name\":\"k\",\"data\":{\"customer\":"
                  "\"c\",\"hash\":\"00112233445566778899aabbccddeeff0011223344"
                  "5566778899aabbccddeeff\",\"withdrawn\":true}}]");
  CU_ASSERT_PTR_NULL (config_find_key (config, hash));
  CU_ASSERT_TRUE (config_find_key_by_id (config, "k")->withdrawn);
  config_destroy (config);
}

CU_TestInfo config_tests[]
    = { { "a customer inherits from its template",
          test_customer_inherits_from_template },
        { "an invalid object is left out and reported",
          test_invalid_object_is_reported },
        { "validation errors name the field",
          test_validation_errors_name_the_field },
        { "a key is found by its id, not by another hash", test_key_lookup },
        CU_TEST_INFO_NULL };
