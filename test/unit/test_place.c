#include "policy/place.h"
#include "suites.h"

enum
{
  ENDPOINTS = 12,
  PROMPT_TOKENS = 3600,
  PROGRAMS = 600,
};

static void
make_endpoints (struct place_endpoint *endpoints)
{
  for (int i = 0; i < ENDPOINTS; i++)
    endpoints[i] = (struct place_endpoint){ .eligible = true,
                                            .hash = (uint64_t)(i + 1) * 7919,
                                            .slots = 64 };
}

/* A burst loads all engines about equally.  A turn whose prompt is cached at a
   busier engine stays there.  */
static void
test_burst_keeps_turns_at_cached_prompts (void)
{
  struct place_endpoint endpoints[ENDPOINTS];
  struct place_options options
      = { .prompt_tokens = PROMPT_TOKENS, .program = 4711 };
  uint64_t seed = 1;

  make_endpoints (endpoints);
  for (int i = 0; i < ENDPOINTS; i++)
    endpoints[i].running = 8;
  endpoints[5].running = 16;
  endpoints[5].cached_tokens = PROMPT_TOKENS - 30;
  CU_ASSERT_EQUAL (place_pick (endpoints, ENDPOINTS, &options, &seed), 5);
}

/* An engine that is being replaced is ineligible: the turn moves to another
   one, although its prompt is cached there.  */
static void
test_ineligible_is_never_picked (void)
{
  struct place_endpoint endpoints[ENDPOINTS];
  struct place_options options
      = { .prompt_tokens = PROMPT_TOKENS, .program = 4711 };
  uint64_t seed = 1;

  make_endpoints (endpoints);
  endpoints[5].cached_tokens = PROMPT_TOKENS;
  endpoints[5].eligible = false;
  CU_ASSERT_NOT_EQUAL (place_pick (endpoints, ENDPOINTS, &options, &seed), 5);
  for (int i = 0; i < ENDPOINTS; i++)
    endpoints[i].eligible = false;
  CU_ASSERT_EQUAL (place_pick (endpoints, ENDPOINTS, &options, &seed), -1);
}

/* A turn arrives through another host, which knows nothing about its program.
 */
static void
test_hosts_agree_on_a_program (void)
{
  struct place_endpoint endpoints[ENDPOINTS];
  int agreed = 0;

  make_endpoints (endpoints);
  for (uint64_t program = 1; program <= PROGRAMS; program++)
    {
      struct place_options options
          = { .prompt_tokens = PROMPT_TOKENS, .program = program * 104729 };
      uint64_t one = 1;
      uint64_t other = 99;

      agreed += place_pick (endpoints, ENDPOINTS, &options, &one)
                == place_pick (endpoints, ENDPOINTS, &options, &other);
    }
  CU_ASSERT_EQUAL (agreed, PROGRAMS);
}

/* New programs spread evenly over idle engines.  */
static void
test_new_programs_spread (void)
{
  struct place_endpoint endpoints[ENDPOINTS];
  uint64_t seed = 1;

  make_endpoints (endpoints);
  for (uint64_t program = 1; program <= PROGRAMS; program++)
    {
      struct place_options options
          = { .prompt_tokens = PROMPT_TOKENS, .program = program * 104729 };
      int32_t picked = place_pick (endpoints, ENDPOINTS, &options, &seed);

      CU_ASSERT_FATAL (picked >= 0);
      endpoints[picked].running++;
    }
  for (int i = 0; i < ENDPOINTS; i++)
    CU_ASSERT (endpoints[i].running > PROGRAMS / ENDPOINTS / 2
               && endpoints[i].running < PROGRAMS / ENDPOINTS * 2);
}

/* A plain request does not queue while another endpoint, even a remote one,
   has a free slot.  */
static void
test_plain_goes_to_a_free_slot (void)
{
  struct place_endpoint endpoints[ENDPOINTS];
  struct place_options options = { 0 };
  uint64_t seed = 1;

  make_endpoints (endpoints);
  for (int i = 0; i < ENDPOINTS; i++)
    {
      endpoints[i].slots = 6;
      endpoints[i].running = 6;
    }
  endpoints[3].running = 5;
  endpoints[3].remote = true;
  CU_ASSERT_EQUAL (place_pick (endpoints, ENDPOINTS, &options, &seed), 3);
}

/* If a data centre is partitioned off, calls that run there for others and
   cannot be repeated are lost.  So a burst of calls stays local as long as a
   local endpoint has a free slot.  */
static void
test_burst_of_calls_stays_local (void)
{
  struct place_endpoint endpoints[ENDPOINTS];
  struct place_options options = { 0 };
  uint64_t seed = 1;
  int remote = 0;

  make_endpoints (endpoints);
  for (int i = 0; i < ENDPOINTS; i++)
    {
      endpoints[i].slots = 6;
      endpoints[i].remote = i >= ENDPOINTS / 3;
    }
  for (int i = 0; i < ENDPOINTS / 3 * 6; i++)
    {
      int32_t picked = place_pick (endpoints, ENDPOINTS, &options, &seed);

      CU_ASSERT_FATAL (picked >= 0);
      endpoints[picked].running++;
      remote += endpoints[picked].remote;
    }
  CU_ASSERT_EQUAL (remote, 0);
}

CU_TestInfo place_tests[] = {
  { "a burst keeps turns at their cached prompts",
    test_burst_keeps_turns_at_cached_prompts },
  { "ineligible endpoints are never picked", test_ineligible_is_never_picked },
  { "hosts pick the same endpoint for a program",
    test_hosts_agree_on_a_program },
  { "new programs spread", test_new_programs_spread },
  { "plain requests go to a free slot", test_plain_goes_to_a_free_slot },
  { "a burst of calls stays local", test_burst_of_calls_stays_local },
  CU_TEST_INFO_NULL,
};
