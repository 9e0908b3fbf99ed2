/* A process's write-ahead journal in the platform: budget grants and intents,
   recorded before they take effect, and marks of programs that have moved to
   other processes.  An intent states that a call is about to be dispatched.

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
  JOURNAL_RECORDED,    /* the operation or takeover is complete */
  JOURNAL_MOVED,       /* the program has moved to another process */
  JOURNAL_UNAVAILABLE, /* the platform is unavailable */
};

typedef void journal_handler (void *data, enum journal_status status);
/* Called when the journal, read again, shows that another process has taken
   over a program. */
typedef void journal_moved_handler (void *data, const char *program);

/* What the previous holders of a program had recorded. */
struct journal_takeover
{
  enum journal_status status;
  struct budget_amount granted; /* highest total that any of them recorded */
  bool found;                   /* at least one of them had recorded a grant */
  bool has_intent; /* for the requested branch, at the turn or later */
};

typedef void journal_takeover_handler (void *data,
                                       const struct journal_takeover *taken);

struct journal_options
{
  struct ev_loop *loop;
  struct platform_client *platform;
  uint64_t process;       /* id of this process */
  int64_t batch_delay_ms; /* delay of writes, to batch them */
  journal_moved_handler *handle_moved;
  void *data;
};

struct journal *journal_create (const struct journal_options *options);
void journal_destroy (struct journal *journal);
void journal_record_grant (struct journal *journal, const char *program,
                           struct budget_amount total,
                           journal_handler *handler, void *data);
void journal_record_intent (struct journal *journal, const char *program,
                            uint32_t branch, uint32_t turn,
                            journal_handler *handler, void *data);
void journal_hand_over (struct journal *journal, const char *program,
                        uint64_t process, journal_handler *handler,
                        void *data);
void journal_accept_handover (struct journal *journal, const char *program);
void journal_remove_program (struct journal *journal, const char *program);
void journal_take_over (struct journal *journal, uint64_t process,
                        const char *program, uint32_t branch, uint32_t turn,
                        journal_takeover_handler *handler, void *data);
void journal_remove_handlers (struct journal *journal, void *data);
bool journal_is_down (const struct journal *journal);
json_t *journal_to_json (const struct journal *journal);

#endif
