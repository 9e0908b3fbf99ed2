/* A process's write-ahead journal in the platform: budget grants and intents,
   recorded before they take effect, and marks of programs that have moved to
   other processes.

   Apart from those marks, only the process itself writes its journal.  Marks
   are set by conditional updates, so once a mark is set, no later write of the
   process can add an intent or a grant for that program.  */
#ifndef GALENA_JOURNAL_JOURNAL_H
#define GALENA_JOURNAL_JOURNAL_H

#include "config/platform_client.h"
#include "policy/budget.h"
#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

struct journal;

enum journal_status
{
  JOURNAL_RECORDED,
  JOURNAL_MOVED,       /* the program has moved to another process */
  JOURNAL_UNAVAILABLE, /* the platform is unavailable */
};

typedef void journal_handler (void *data, enum journal_status status);
/* Called when another process is found to have taken over a program. */
typedef void journal_moved_handler (void *data, const char *program);

/* What the previous holders of a program had recorded. */
struct journal_takeover
{
  enum journal_status status;
  struct budget_amount granted;
  bool found;      /* at least one process had recorded the program */
  bool has_intent; /* for the requested branch, at the turn or later */
};

typedef void journal_takeover_handler (void *data,
                                       const struct journal_takeover *taken);

struct journal_options
{
  struct ev_loop *loop;
  struct platform_client *platform;
  uint64_t process;
  int64_t window_ms; /* how long writes are delayed to batch them */
  journal_moved_handler *handle_moved;
  void *data;
};

struct journal *journal_create (const struct journal_options *options);
void journal_destroy (struct journal *journal);
void journal_grant (struct journal *journal, const char *program,
                    struct budget_amount total, journal_handler *handler,
                    void *data);
void journal_intent (struct journal *journal, const char *program,
                     uint32_t branch, uint32_t turn, journal_handler *handler,
                     void *data);
void journal_hand_over (struct journal *journal, const char *program,
                        uint64_t process, journal_handler *handler,
                        void *data);
void journal_accept (struct journal *journal, const char *program);
void journal_remove (struct journal *journal, const char *program);
void journal_take_over (struct journal *journal, uint64_t process,
                        const char *program, uint32_t branch, uint32_t turn,
                        journal_takeover_handler *handler, void *data);
void journal_cancel (struct journal *journal, void *data);
bool journal_is_down (const struct journal *journal);
json_t *journal_to_json (const struct journal *journal);

#endif
