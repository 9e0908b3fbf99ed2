#include "policy/failure_detector.h"
#include "suites.h"

enum
{
  TICK_MS = 50,
  START_MS = 100000,
};

/* A partition is detected when no messages arrive any more.  */
static void
test_partition_is_detected (void)
{
  struct failure_detector detector;
  int64_t now_ms = START_MS;

  failure_detector_init (&detector, now_ms);
  while (!detector.is_unreachable && now_ms < START_MS + 5000)
    failure_detector_tick (&detector, now_ms += TICK_MS);
  CU_ASSERT (now_ms - START_MS <= FAILURE_DETECTOR_PROBE_MS
                                      + FAILURE_DETECTOR_TIMEOUT_MS
                                      + 3 * TICK_MS);
  failure_detector_record_heard (&detector, now_ms + 1);
  CU_ASSERT_FALSE (detector.is_unreachable);
}

/* There is no traffic, but each probe is answered.  */
static void
test_idle_is_not_partition (void)
{
  struct failure_detector detector;

  failure_detector_init (&detector, START_MS);
  for (int64_t now_ms = START_MS; now_ms < START_MS + 60000; now_ms += TICK_MS)
    {
      if (failure_detector_tick (&detector, now_ms))
        failure_detector_record_heard (&detector, now_ms + TICK_MS / 2);
      CU_ASSERT_FALSE (detector.is_unreachable);
    }
}

/* This host itself was paused for seconds.  */
static void
test_local_pause_is_not_partition (void)
{
  struct failure_detector detector;
  int64_t now_ms = START_MS;

  failure_detector_init (&detector, now_ms);
  for (int i = 0; i < 6; i++)
    failure_detector_tick (&detector, now_ms += TICK_MS);
  CU_ASSERT (detector.unanswered_since_ms > 0);
  failure_detector_tick (&detector, now_ms += 5000);
  failure_detector_tick (&detector, now_ms += TICK_MS);
  CU_ASSERT_FALSE (detector.is_unreachable);
}

CU_TestInfo failure_detector_tests[] = {
  { "a partition is detected", test_partition_is_detected },
  { "an idle data centre is not partitioned", test_idle_is_not_partition },
  { "a local pause is not a partition", test_local_pause_is_not_partition },
  CU_TEST_INFO_NULL,
};
