/* A process's journal in the platform: budget grants and intents, recorded
   before they are acted on, and marks of programs that other processes took.

   The process is the only writer of its journal but for those marks.  A mark
   is set by conditional update, so once it stands, no later write of the
   process can add an intent or a grant for that program.  */
#ifndef GALENA_JOURNAL_JOURNAL_H
#define GALENA_JOURNAL_JOURNAL_H

#include "config/client.h"
#include "policy/budget.h"
#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

struct journal;

enum journal_status
{
  JOURNAL_RECORDED,
  JOURNAL_MOVED,       /* another process has taken the program */
  JOURNAL_UNAVAILABLE, /* the platform did not answer */
};

typedef void journal_handler (void *data, enum journal_status status);
/* Called when a program of this process turns out to be taken. */
typedef void journal_moved_handler (void *data, const char *program);

/* What the processes that held a program had recorded. */
struct journal_taken
{
  enum journal_status status;
  struct budget_amount granted;
  bool found;      /* some process had recorded the program */
  bool has_intent; /* for the branch and turn that were asked about */
};

typedef void journal_take_handler (void *data,
                                   const struct journal_taken *taken);

struct journal_options
{
  struct ev_loop *loop;
  struct platform *platform;
  uint64_t process;
  int64_t window_ms; /* writes wait so long for company */
  journal_moved_handler *handle_moved;
  void *data;
};

struct journal *journal_create (const struct journal_options *options);
void journal_destroy (struct journal *journal);
void journal_grant (struct journal *journal, const char *program,
                    struct budget_amount total, journal_handler *handle,
                    void *data);
void journal_intent (struct journal *journal, const char *program,
                     uint32_t branch, uint32_t turn, journal_handler *handle,
                     void *data);
void journal_hand_over (struct journal *journal, const char *program,
                        uint64_t process, journal_handler *handle, void *data);
void journal_accept (struct journal *journal, const char *program);
void journal_forget (struct journal *journal, const char *program);
void journal_take (struct journal *journal, uint64_t process,
                   const char *program, uint32_t branch, uint32_t turn,
                   journal_take_handler *handle, void *data);
void journal_cancel (struct journal *journal, void *data);
bool journal_is_down (const struct journal *journal);
json_t *journal_to_json (const struct journal *journal);

#endif
