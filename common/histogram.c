#include "common/histogram.h"
#include <ck_pr.h>

enum
{
  BUCKET_COUNT = 16, /* upper bounds of 1, 2, 4 ... 32,768 ms */
};

static const char *const histogram_names[HISTOGRAM_COUNT] = {
  [HISTOGRAM_REQUEST_MS] = "request_ms",
  [HISTOGRAM_FIRST_EVENT_MS] = "first_event_ms",
  [HISTOGRAM_BUDGET_MS] = "budget_ms",
  [HISTOGRAM_STORE_MS] = "store_call_ms",
  [HISTOGRAM_TURN_READ_MS] = "turn_read_ms",
  [HISTOGRAM_TURN_WRITE_MS] = "turn_write_ms",
};

struct histogram_data
{
  uint64_t buckets[BUCKET_COUNT + 1]; /* the last one counts longer times */
  uint64_t sum_ms;
};

static struct histogram_data histograms[HISTOGRAM_COUNT];

/* Records a duration in milliseconds; negative ones count as 0.  */
void
histogram_record (enum histogram histogram, int64_t ms)
{
  struct histogram_data *histogram_data = &histograms[histogram];
  int bucket = 0;

  if (ms < 0)
    ms = 0;
  while (bucket < BUCKET_COUNT && ms > (int64_t)1 << bucket)
    bucket++;
  ck_pr_inc_64 (&histogram_data->buckets[bucket]);
  ck_pr_add_64 (&histogram_data->sum_ms, (uint64_t)ms);
}

static void
append_histogram (struct buf *text, const char *name,
                  const struct histogram_data *histogram_data)
{
  uint64_t total = 0;

  for (int i = 0; i < BUCKET_COUNT; i++)
    {
      total += ck_pr_load_64 (&histogram_data->buckets[i]);
      buf_printf (text, "galenashore_%s_bucket{le=\"%lld\"} %llu\n", name,
                  (long long)1 << i, (unsigned long long)total);
    }
  total += ck_pr_load_64 (&histogram_data->buckets[BUCKET_COUNT]);
  buf_printf (text, "galenashore_%s_bucket{le=\"+Inf\"} %llu\n", name,
              (unsigned long long)total);
  buf_printf (text, "galenashore_%s_sum %llu\n", name,
              (unsigned long long)ck_pr_load_64 (&histogram_data->sum_ms));
  buf_printf (text, "galenashore_%s_count %llu\n", name,
              (unsigned long long)total);
}

/* Appends all histograms in the Prometheus text format.  */
void
histograms_to_text (struct buf *text)
{
  for (int i = 0; i < HISTOGRAM_COUNT; i++)
    append_histogram (text, histogram_names[i], &histograms[i]);
}
