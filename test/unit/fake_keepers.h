/* Keepers of turns, and the transport to them, for tests with any clock. */
#ifndef GALENA_TEST_FAKE_KEEPERS_H
#define GALENA_TEST_FAKE_KEEPERS_H

#include "conversation/client.h"
#include "peer/transport.h"
#include <glib.h>

enum
{
  FAKE_KEEPERS_MAX = 12,
};

struct fake_keeper
{
  const char *name;
  const char *data_centre;
  GHashTable *turns; /* id -> struct fake_turn */
  bool is_silent;    /* gets no frames and sends none */
  bool is_fresh;     /* may have lost turns */
  bool is_full;
  bool is_on_hold; /* answers no writes */
  uint32_t lose;   /* answers, the next ones */
  uint32_t writes; /* frames that arrived */
  uint32_t reads;
  uint32_t prefixes;
  int64_t heard_ms; /* by the client */
};

struct fake_keepers
{
  struct transport base; /* first member */
  struct fake_keeper keepers[FAKE_KEEPERS_MAX];
  uint32_t count;
  struct conversations *client;
  GQueue frames;     /* on their way */
  int64_t now_ms;    /* of the last run */
  bool answer_twice; /* each answer arrives twice */
};

void fake_keepers_init (struct fake_keepers *fleet, uint32_t count,
                        uint32_t centres);
void fake_keepers_release (struct fake_keepers *fleet);
void fake_keepers_list (struct fake_keepers *fleet, uint32_t count);
void fake_keepers_run (struct fake_keepers *fleet, int64_t now_ms);
void fake_keepers_silence (struct fake_keepers *fleet, const char *data_centre,
                           bool is_silent);
uint32_t fake_keepers_holding (const struct fake_keepers *fleet,
                               const char *turn);

#endif
