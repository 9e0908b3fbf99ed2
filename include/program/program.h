/* Programs loaded in this process and their branches.  A program is a series
   of dependent calls of one customer with a common budget and history. */
#ifndef GALENA_PROGRAM_PROGRAM_H
#define GALENA_PROGRAM_PROGRAM_H

#include "caller/api.h"
#include "common/buf.h"
#include "config/config.h"
#include "policy/budget.h"
#include "policy/turn.h"
#include "program/history.h"
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  PROGRAM_MAX_BRANCHES = 256,
  PROGRAM_ID_BYTES = 192,
};

struct call;
struct server;
struct programs;
struct load;
struct queued_request;

/* The result of a turn, kept to answer retries of its call. */
struct answer
{
  unsigned status;
  char *content_type;
  struct buf text;
  uint32_t *token_ends; /* end offset of each token in text */
  uint32_t token_count;
  uint32_t token_capacity;
  struct error error; /* set if the turn was closed with an unknown outcome */
};

/* A sequence of calls of a program, at most one of them in flight.  Owned by
   its program. */
struct program_branch
{
  uint32_t number;
  struct branch state;
  uint64_t parent_hash; /* history hash of the parent at the fork */
  struct buf messages;  /* history as sent to engines */
  struct call *call;    /* the call in flight, or NULL */
  struct answer last_answer;
  struct program_branch *next;
};

/* A loaded program.  Owned by struct programs. */
struct program
{
  struct programs *programs;
  char *id;
  uint64_t hash; /* of id */
  char *customer;
  uint64_t customer_hash;
  uint64_t incarnation;  /* random for each load from replicas; kept by
                            a handover */
  bool grants_journaled; /* this process's journal has its budget grants */
  bool opened_in_outage; /* in no journal yet; may spend its whole limit */
  bool opening;          /* its first records are not stored yet */
  bool handing_over;     /* its handover is being journaled */
  bool closing;
  struct budget budget;
  int64_t attained_tokens; /* generated so far, for scheduling */
  char *last_engine;       /* engine that ran the last model call */
  int64_t opened_ms;
  int64_t last_used_ms;
  int64_t idle_timeout_ms;
  int64_t idle_check_ms;
  uint32_t calls_in_flight;
  struct program_branch *branches;
};

struct programs
{
  struct server *server;
  GHashTable *by_id;  /* id to struct program, owned */
  struct load *loads; /* in progress */
  GHashTable
      *forwarding_entries; /* id to struct forwarding_entry; entries expire */
  struct queued_request
      *queued_requests; /* requests waiting for a handover to finish */
  uint32_t calls_in_flight;
};

struct programs *programs_create (struct server *server);
void programs_destroy (struct programs *programs);
void programs_close_idle (struct programs *programs, int64_t now_ms);
void programs_handle_moved (struct programs *programs, const char *id);
json_t *programs_to_json (struct programs *programs, bool include_programs);
bool programs_are_idle (const struct programs *programs);

struct program *program_find (struct programs *programs, const char *id);
bool program_is_active (struct programs *programs, const char *id);
struct program *program_create (struct programs *programs, const char *id,
                                const struct config_customer *customer);
void program_destroy (struct program *program);
void program_close (struct program *program, const char *reason);
struct program_branch *program_find_branch (struct program *program,
                                            uint32_t number);
struct program_branch *program_add_branch (struct program *program,
                                           uint32_t number);
bool program_seal_cursor (const struct program *program,
                          const struct program_branch *branch,
                          char out[CURSOR_TEXT_BYTES]);
void program_make_id (const struct server *server, char out[PROGRAM_ID_BYTES]);
bool program_home_dc (const char *id, char *out, size_t size);
json_t *program_to_json (const struct program *program);

void answer_append_token (struct answer *answer, const char *text, size_t len);
void answer_release (struct answer *answer);

#endif
