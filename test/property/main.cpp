// Runs every property with a fixed seed, which is printed.
#include "properties.h"
#include <cstdio>
#include <cstdlib>
#include <sodium.h>

static const char DEFAULT_PARAMS[] = "seed=20261203 max_success=300";

struct property_row
{
  const char *name;
  bool (*check) ();
};

// Sorted by name.
static const property_row rows[] = {
  { "budget", check_budget },
  { "cursor", check_cursor },
  { "endpoint_limit", check_endpoint_limit },
  { "fair", check_fair },
  { "heap", check_heap },
  { "holders", check_holders },
  { "json_span", check_json_span },
  { "poison", check_poison },
  { "slots", check_slots },
  { "token_bucket", check_token_bucket },
  { "turn", check_turn },
  { "window", check_window },
};

int
main ()
{
  int failed = 0;
  int passed = 0;

  if (sodium_init () < 0)
    return 2;
  setenv ("RC_PARAMS", DEFAULT_PARAMS, 0);
  std::printf ("properties with RC_PARAMS=\"%s\"\n", getenv ("RC_PARAMS"));
  for (const auto &row : rows)
    {
      bool ok = row.check ();

      std::printf ("%s: %s\n", row.name, ok ? "passed" : "FAILED");
      ok ? passed++ : failed++;
    }
  std::printf ("properties: %d passed, %d failed\n", passed, failed);
  return failed > 0;
}
