/* Measures for docs/CAPACITY.md how the time per decision and the memory per
   object scale up to the target deployment, on one machine. */
#include "bench/figure.h"
#include "common/buf.h"
#include "common/id.h"
#include "config/config.h"
#include "policy/cursor.h"
#include "policy/fair.h"
#include "policy/owner.h"
#include "policy/route.h"
#include "policy/slots.h"
#include "policy/token_bucket.h"
#include "program/program.h"
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HOSTS = 380,
  DCS = 8,
  ENDPOINTS = 600,
  CUSTOMERS = 1800,
  PROGRAMS = 120000,
  SAMPLES = 20000,
  US_PER_S = 1000000,
};

static uint64_t seed = 20261203;

static void
print_size (const char *what, uint32_t size, const char *unit_name,
            double value, const char *unit, double bound,
            enum figure_sense sense)
{
  char *name = xasprintf ("%s_at_%u_%s", what, size, unit_name);

  figure_print (name, value, unit, bound, sense);
  free (name);
}

/* Measures one queue decision: the next call is popped and charged, and its
   program is queued again.  */
static void
measure_fair (uint32_t programs)
{
  struct fair_queue *queue = fair_create (&fair_weighted);
  struct fair_item *items = xcalloc (programs, sizeof *items);
  double *samples_us = xcalloc (SAMPLES, sizeof *samples_us);

  for (uint32_t i = 0; i < programs; i++)
    {
      items[i].customer = 1 + figure_random (&seed) % CUSTOMERS;
      items[i].weight = 1;
      items[i].attained = (int64_t)(figure_random (&seed) % 840000);
      fair_push (queue, &items[i]);
    }
  for (uint32_t i = 0; i < SAMPLES; i++)
    {
      struct timespec begin;
      struct timespec end;
      struct fair_item *item;

      clock_gettime (CLOCK_MONOTONIC, &begin);
      item = fair_pop (queue, (int64_t)i);
      fair_charge (queue, item->customer, 1, 300);
      item->attained += 300;
      fair_push (queue, item);
      clock_gettime (CLOCK_MONOTONIC, &end);
      samples_us[i] = (double)(end.tv_sec - begin.tv_sec) * US_PER_S
                      + (double)(end.tv_nsec - begin.tv_nsec) / 1000.0;
    }
  print_size ("queue_decision_p99", programs, "programs",
              figure_percentile (samples_us, SAMPLES, 99), "us", 20,
              FIGURE_AT_MOST);
  free (samples_us);
  free (items);
  fair_destroy (queue);
}

static void
measure_route (uint32_t endpoints)
{
  struct route_engine *engines = xcalloc (endpoints, sizeof *engines);
  struct route_options options
      = { .prompt_tokens = 8000, .prefill_us_per_token = 20, .avoid = -1 };
  double *samples_us = xcalloc (SAMPLES, sizeof *samples_us);

  for (uint32_t i = 0; i < endpoints; i++)
    engines[i]
        = (struct route_engine){ .eligible = true,
                                 .slots = 64,
                                 .window = 4,
                                 .reported_busy
                                 = (int64_t)(figure_random (&seed) % 64),
                                 .cached_tokens = i % 97 == 0 ? 4000 : 0,
                                 .call_ms = 800 };
  for (uint32_t i = 0; i < SAMPLES; i++)
    {
      struct timespec begin;
      struct timespec end;

      clock_gettime (CLOCK_MONOTONIC, &begin);
      route_pick (engines, endpoints, &options, &seed);
      clock_gettime (CLOCK_MONOTONIC, &end);
      samples_us[i] = (double)(end.tv_sec - begin.tv_sec) * US_PER_S
                      + (double)(end.tv_nsec - begin.tv_nsec) / 1000.0;
    }
  print_size ("route_decision_p99", endpoints, "endpoints",
              figure_percentile (samples_us, SAMPLES, 99), "us", 20,
              FIGURE_AT_MOST);
  free (samples_us);
  free (engines);
}

static void
measure_owner (uint32_t hosts)
{
  struct owner_candidate *candidates = xcalloc (hosts, sizeof *candidates);
  int64_t start;
  int64_t sum = 0;

  for (uint32_t i = 0; i < hosts; i++)
    candidates[i] = (struct owner_candidate){ .host_hash = i * 31 + 1,
                                              .dc_hash = i % DCS,
                                              .eligible = true };
  start = clock_now_us ();
  for (uint32_t i = 0; i < SAMPLES; i++)
    sum += owner_pick (i, i % DCS, candidates, hosts);
  print_size ("owner_lookup", hosts, "hosts",
              (double)(clock_now_us () - start) / SAMPLES, "us", 0,
              FIGURE_NO_BOUND);
  if (sum == 42) /* uses SUM, so that the loop is not optimized away */
    puts ("");
  free (candidates);
}

static void
measure_cursor (void)
{
  struct keyring keyring = { .count = 1 };
  struct cursor cursor = { .program = 1 };
  char text[CURSOR_TEXT_BYTES];
  struct error error;
  int64_t start = clock_now_us ();

  for (uint32_t i = 0; i < SAMPLES; i++)
    {
      cursor_seal (&keyring, &cursor, text);
      cursor_open (&keyring, text, &cursor, &error);
    }
  figure_print ("cursor_seal_and_open",
                (double)(clock_now_us () - start) / SAMPLES, "us", 0,
                FIGURE_NO_BOUND);
}

static size_t
heap_bytes (void)
{
  return mallinfo2 ().uordblks;
}

static json_t *
make_objects (uint32_t customers)
{
  json_t *list = json_array ();

  json_array_append_new (list, json_pack ("{s:s, s:s, s:i, s:{s:i}}", "kind",
                                          "template", "name", "t", "version",
                                          1, "data", "burst", 100));
  for (uint32_t i = 0; i < customers; i++)
    {
      char *name = xasprintf ("customer-%u", i);
      char *key = xasprintf ("%016x", i);
      char *hash = xasprintf ("%064x", i);

      json_array_append_new (list,
                             json_pack ("{s:s, s:s, s:i, s:{s:s}}", "kind",
                                        "customer", "name", name, "version",
                                        i + 2, "data", "template", "t"));
      json_array_append_new (list, json_pack ("{s:s, s:s, s:i, s:{s:s, s:s}}",
                                              "kind", "key", "name", key,
                                              "version", i + 2, "data",
                                              "customer", name, "hash", hash));
      free (name);
      free (key);
      free (hash);
    }
  return list;
}

static void
measure_config (uint32_t customers)
{
  json_t *objects = make_objects (customers);
  size_t before = heap_bytes ();
  int64_t start = clock_now_us ();
  struct config *config = config_build (objects, 1);
  int64_t build_us = clock_now_us () - start;

  print_size ("config_build", customers, "customers", (double)build_us / 1000,
              "ms", 0, FIGURE_NO_BOUND);
  print_size ("config_memory", customers, "customers",
              (double)(heap_bytes () - before) / 1024, "KB", 0,
              FIGURE_NO_BOUND);
  config_destroy (config);
  json_decref (objects);
}

static void
measure_limits (uint32_t customers)
{
  struct slots_dc dcs[DCS];
  struct slot_part parts[SLOTS_MAX_DCS * SLOTS_PER_DC];
  int64_t start;
  uint64_t count = 0;

  for (uint32_t i = 0; i < DCS; i++)
    dcs[i] = (struct slots_dc){ .dc_hash = i + 1, .slot_count = SLOTS_PER_DC };
  start = clock_now_us ();
  for (uint32_t i = 0; i < customers; i++)
    count += slots_for_customer (dcs, DCS, i, 10000, 100, parts,
                                 SLOTS_MAX_DCS * SLOTS_PER_DC);
  print_size ("slots_of_all", customers, "customers",
              (double)(clock_now_us () - start) / 1000, "ms", 0,
              FIGURE_NO_BOUND);
  print_size ("buckets_per_host", customers, "customers",
              (double)count / HOSTS, "buckets", 0, FIGURE_NO_BOUND);
  figure_print ("bucket_memory", (double)sizeof (struct token_bucket), "B", 0,
                FIGURE_NO_BOUND);
}

static void
measure_program (void)
{
  struct programs programs = { 0 };
  struct config_customer customer = { .name = (char *)"c" };
  size_t before;

  programs.by_id = g_hash_table_new (g_str_hash, g_str_equal);
  before = heap_bytes ();
  for (uint32_t i = 0; i < 10000; i++)
    {
      char *id = xasprintf ("dc-a.%022u", i);

      program_add_branch (program_create (&programs, id, &customer), 0);
      free (id);
    }
  figure_print ("program_memory_without_history",
                (double)(heap_bytes () - before) / 10000, "B", 0,
                FIGURE_NO_BOUND);
  g_hash_table_destroy (programs.by_id);
}

int
main (void)
{
  if (sodium_init () < 0)
    return 2;
  for (uint32_t programs = PROGRAMS / 16; programs <= PROGRAMS; programs *= 4)
    measure_fair (programs);
  for (uint32_t endpoints = 40; endpoints <= ENDPOINTS; endpoints *= 15)
    measure_route (endpoints);
  for (uint32_t hosts = 8; hosts < HOSTS; hosts *= 6)
    measure_owner (hosts);
  measure_owner (HOSTS);
  measure_cursor ();
  for (uint32_t customers = CUSTOMERS / 9; customers <= CUSTOMERS;
       customers *= 3)
    {
      measure_config (customers);
      measure_limits (customers);
    }
  measure_program ();
  return 0;
}
