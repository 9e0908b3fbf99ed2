/* Runs calls of programs: checks the cursor, reserves budget, journals the
   intent, dispatches the call, replicates the turn and answers the caller. */
#ifndef GALENA_PROGRAM_CALL_H
#define GALENA_PROGRAM_CALL_H

#include "caller/api.h"
#include "endpoint/dispatcher.h"
#include "endpoint/service.h"
#include "program/program.h"
#include "program/waiter.h"

/* The parameters of a call, by kind: model to max_tokens for model calls,
   route to timeout_ms for tool calls, new_branch and fork for opening a
   branch. */
struct call_spec
{
  enum call_kind kind;
  enum call_format format;
  bool idempotent;
  bool full_conversation; /* messages is the complete conversation (chat) */
  struct buf messages;    /* comma-separated JSON objects */
  char *model;
  int64_t max_tokens;
  char *route;
  char *subpath;
  char *method;
  char *content_type;
  struct buf body;
  int64_t timeout_ms;
  uint32_t new_branch; /* number of the branch to open */
  bool fork;           /* the new branch copies its parent's history */
};

enum call_state
{
  CALL_ADMITTING,        /* its cursor and budget are being checked */
  CALL_AWAITING_GRANT,   /* waits for the journal to grant more budget */
  CALL_AWAITING_JOURNAL, /* waits for the journal to record its intent or to
                            resolve its outcome */
  CALL_RUNNING,          /* dispatched to an engine or a service */
  CALL_REPLICATING,      /* waits until the replicas of its turn are stored */
};

/* A call in progress.  Owned by a load while it waits for one, then by its
   branch. */
struct call
{
  struct server *server;
  struct call_spec spec;
  enum call_state state;
  char *program_id;
  char *customer;
  struct cursor cursor;
  bool has_cursor;
  uint64_t request_hash;
  bool reloaded; /* its program has been loaded for it; not done twice */
  struct program *program;
  struct program_branch *branch;
  struct budget_amount reserved;
  int64_t max_tokens; /* limit allowed by the budget */
  struct job job;
  bool job_submitted;
  struct service_call *service;
  struct answer answer;
  struct engine_usage usage;
  uint64_t hash_after;          /* history hash after the turn */
  struct error unknown_outcome; /* kind is set if the outcome is unknown */
  uint32_t stored_replicas;
  struct waiter *waiters;
  int64_t started_ms;
  struct call *next; /* in the load's waiting list */
};

void call_submit (struct api_request *request, struct call_spec *spec,
                  const char *program_id);
void call_spec_release (struct call_spec *spec);
void call_resume_after_load (struct call *call);
void call_fail (struct call *call, const struct error *error);
void call_abort (struct call *call, enum error_kind kind, const char *why);

#endif
