#include "platform/frontend.h"
#include "platform/wire.h"
#include "suites.h"
#include <stdlib.h>
#include <string.h>

static bool
has_line (const GPtrArray *lines, const char *line)
{
  for (guint i = 0; i < lines->len; i++)
    if (strcmp (lines->pdata[i], line) == 0)
      return true;
  return false;
}

static void
test_request_headers (void)
{
  struct header headers[] = { { (char *)"Attempt-Id", (char *)"9c41" },
                              { (char *)"X-Empty", (char *)"" } };
  struct request_input input = { .headers = headers,
                                 .header_count = 2,
                                 .prompt_tokens = 10,
                                 .key = (char *)"secret" };
  struct request_send send = { .input = &input,
                               .customer = "hanmae",
                               .endpoint = "i-1",
                               .remaining_ms = 1200,
                               .resume_after = 12,
                               .priority = 42 };
  GPtrArray *lines = g_ptr_array_new_with_free_func (free);

  platform_wire.write_headers (&send, lines);
  CU_ASSERT_TRUE (has_line (lines, "Attempt-Id: 9c41"));
  CU_ASSERT_TRUE (has_line (lines, "X-Empty;"));
  CU_ASSERT_TRUE (has_line (lines, "Tenant: hanmae"));
  CU_ASSERT_TRUE (has_line (lines, "Expect-Instance: i-1"));
  CU_ASSERT_TRUE (has_line (lines, "Deadline-Ms: 1200"));
  CU_ASSERT_TRUE (has_line (lines, "Last-Event-Id: 12"));
  CU_ASSERT_TRUE (has_line (lines, "Request-Priority: 9"));
  for (guint i = 0; i < lines->len; i++)
    CU_ASSERT_PTR_NULL (strstr (lines->pdata[i], "secret"));
  g_ptr_array_free (lines, TRUE);
}

static void
test_reserved_and_hop_by_hop_headers (void)
{
  static const char *const reserved[]
      = { "credential",  "Tenant",    "Expect-Instance",
          "Deadline-Ms", "Hold",      "Pin-Ms",
          "Kv-From",     "Kv-Backup", "Request-Priority" };

  for (size_t i = 0; i < sizeof reserved / sizeof *reserved; i++)
    CU_ASSERT_TRUE (wire_is_reserved_header (reserved[i]));
  CU_ASSERT_FALSE (wire_is_reserved_header ("Attempt-Id"));
  CU_ASSERT_FALSE (wire_is_reserved_header (WIRE_PREVIOUS_TURN));
  CU_ASSERT_TRUE (wire_is_hop_by_hop_header ("transfer-encoding"));
  CU_ASSERT_FALSE (wire_is_hop_by_hop_header ("Content-Type"));
}

static void
test_response_headers (void)
{
  struct response_head head
      = { .running = -1, .waiting = -1, .limit_milli = -1 };

  platform_wire.read_header (&head, "Server-Load", "3,1,8");
  platform_wire.read_header (&head, "Server-Stamp", "3e1b.07");
  platform_wire.read_header (&head, "Attempt-Id", "9c41");
  platform_wire.read_header (&head, "Connection", "close");
  CU_ASSERT_EQUAL (head.running, 3);
  CU_ASSERT_EQUAL (head.waiting, 1);
  CU_ASSERT_EQUAL (head.work_percent, 0);
  platform_wire.read_header (&head, "Server-Load", "3,1,8,240");
  CU_ASSERT_EQUAL (head.work_percent, 240);
  platform_wire.read_header (&head, "Server-Load", "3,1,8,-5");
  CU_ASSERT_EQUAL (head.work_percent, 0);
  CU_ASSERT_TRUE (head.is_from_endpoint);
  CU_ASSERT_FALSE (head.not_run);
  CU_ASSERT_FALSE (head.is_encoded);
  CU_ASSERT_EQUAL (head.header_count, 2);
  platform_wire.read_header (&head, "not-executed", "1");
  platform_wire.read_header (&head, "Content-Encoding", "gzip");
  CU_ASSERT_TRUE (head.not_run);
  CU_ASSERT_TRUE (head.is_encoded);
  for (size_t i = 0; i < head.header_count; i++)
    {
      free (head.headers[i].name);
      free (head.headers[i].value);
    }
  free (head.headers);
  free (head.request_id);
}

/* Guards against sums and comparisons that overflow: a load that no endpoint
   can have, or that is cut short, is no report.  */
static void
test_odd_loads_are_ignored (void)
{
  static const char *const values[] = { "99999999999999999999,1,8",
                                        "3,9223372036854775807,8",
                                        "3,-1,8",
                                        "-3,1,8",
                                        "-9223372036854775808,1,8",
                                        "1e300,1,8",
                                        "x",
                                        "",
                                        ",1,8",
                                        "nan,nan,nan" };

  for (size_t i = 0; i < sizeof values / sizeof *values; i++)
    {
      struct response_head head
          = { .running = -1, .waiting = -1, .limit_milli = -1 };

      platform_wire.read_header (&head, "Server-Load", values[i]);
      CU_ASSERT_EQUAL (head.running, -1);
      CU_ASSERT_EQUAL (head.work_percent, 0);
      for (size_t h = 0; h < head.header_count; h++)
        {
          free (head.headers[h].name);
          free (head.headers[h].value);
        }
      free (head.headers);
    }
}

static int64_t
sum_of_tokens (const struct request_input *input)
{
  int64_t sum = 0;

  for (size_t i = 0; i < input->part_count; i++)
    sum += input->parts[i].tokens;
  return sum;
}

/* Guards against times, counts and sums that overflow: callers' headers may
   state any number.  */
static void
test_odd_numbers_of_callers (void)
{
  static const char *const parts[]
      = { "a:-5,b:7",
          "a:9223372036854775807,b:9223372036854775807",
          "a:99999999999999999999",
          "a:",
          "a:x,b:1",
          ":5",
          "a" };
  struct request_input input = { 0 };

  for (size_t i = 0; i < sizeof parts / sizeof *parts; i++)
    {
      frontend_parse_prompt_parts (&input, parts[i]);
      CU_ASSERT_EQUAL (sum_of_tokens (&input), 0);
      free (input.parts);
      input = (struct request_input){ 0 };
    }
  frontend_parse_token_counts (&input, "99999999999999999999,-7");
  CU_ASSERT_TRUE (input.prompt_tokens > 0);
  CU_ASSERT_TRUE (input.prompt_tokens < INT64_MAX / 1000000);
  CU_ASSERT_EQUAL (input.max_output_tokens, -1);
  frontend_parse_token_counts (&input, "12, 34");
  CU_ASSERT_EQUAL (input.prompt_tokens, 12);
  CU_ASSERT_EQUAL (input.max_output_tokens, 34);
  frontend_parse_token_counts (&input, "x,34");
  CU_ASSERT_EQUAL (input.prompt_tokens, -1);
  CU_ASSERT_EQUAL (input.max_output_tokens, -1);
  frontend_parse_token_counts (&input, NULL);
  CU_ASSERT_EQUAL (input.prompt_tokens, -1);
  CU_ASSERT_EQUAL (frontend_parse_number (NULL), -1);
  CU_ASSERT_EQUAL (frontend_parse_number ("-1"), -1);
  CU_ASSERT_EQUAL (frontend_parse_number ("x"), -1);
  CU_ASSERT_EQUAL (frontend_parse_number ("2500"), 2500);
  CU_ASSERT_TRUE (frontend_parse_number ("9223372036854775807") > 0);
  CU_ASSERT_TRUE (frontend_parse_number ("99999999999999999999")
                  < INT64_MAX / 1000);
}

/* Returns the limit that a response with the header names.  */
static int64_t
read_limit (const char *value, bool *is_malformed)
{
  struct response_head head
      = { .running = -1, .waiting = -1, .limit_milli = -1 };

  platform_wire.read_header (&head, "server-limit", value);
  *is_malformed = head.has_malformed_limit;
  free (head.headers[0].name);
  free (head.headers[0].value);
  free (head.headers);
  return head.limit_milli;
}

/* Guards against malformed limits that are taken for a number, or for the end
   of a limit.  */
static void
test_limits_of_an_endpoint (void)
{
  static const struct
  {
    const char *text;
    int64_t milli;
  } good[] = { { "4.8", 4800 },     { "0", 0 },
               { "12", 12000 },     { "0.4 ", 400 },
               { "3.14159", 3141 }, { "999999999", 999999999000 } };
  static const char *const bad[]
      = { "",    "-1",   "+4",   "4.",   ".5",  "1e3",         "nan",   "inf",
          "4,8", "4 .8", "4.8x", "0x10", "4/s", "10000000000", "4.8, 5" };
  bool is_malformed;

  for (size_t i = 0; i < sizeof good / sizeof *good; i++)
    {
      CU_ASSERT_EQUAL (read_limit (good[i].text, &is_malformed),
                       good[i].milli);
      CU_ASSERT_FALSE (is_malformed);
    }
  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    {
      CU_ASSERT (read_limit (bad[i], &is_malformed) < 0);
      CU_ASSERT_TRUE (is_malformed);
    }
}

CU_TestInfo wire_tests[] = {
  { "request headers sent to an endpoint", test_request_headers },
  { "reserved and hop-by-hop headers are recognised",
    test_reserved_and_hop_by_hop_headers },
  { "response headers of an endpoint", test_response_headers },
  { "limits of an endpoint", test_limits_of_an_endpoint },
  { "odd loads are ignored", test_odd_loads_are_ignored },
  { "odd numbers of callers", test_odd_numbers_of_callers },
  CU_TEST_INFO_NULL,
};
