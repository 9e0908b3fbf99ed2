#include "program/open.h"
#include "common/counters.h"
#include "common/id.h"
#include "galenashored/server.h"
#include "program/replication.h"
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_ID_ATTEMPTS = 400,
};

/* A program being opened, until its open record is stored and the journal
   has answered the request for its first grant.  */
struct opening
{
  struct server *server;
  char *program_id;
  struct api_request *request; /* NULL once the caller has disconnected */
  program_opened_handler *handle;
  bool grant_done;
  bool replication_done;
  uint32_t stored; /* replicas of the open record */
  uint32_t wanted;
};

/* Answers the request once the journal and the replicas are done.  The
   program is dropped if no host could store its open record.  */
static void
opening_finish_if_done (struct opening *opening)
{
  struct program *program
      = program_find (opening->server->programs, opening->program_id);
  struct api_request *request = opening->request;
  struct error error;

  if (!opening->grant_done || !opening->replication_done)
    return;
  if (request)
    {
      request->user = NULL;
      request->handle_disconnect = NULL;
    }
  if (program && opening->stored == 0 && opening->wanted > 0)
    {
      program_destroy (program);
      program = NULL;
    }
  if (program)
    program->opening = false;
  error_set (&error, ERROR_HISTORY_UNAVAILABLE, RUN_NOT_RUN,
             "no host could store the program's open record; retry");
  if (request)
    opening->handle (request, program, program ? NULL : &error);
  free (opening->program_id);
  free (opening);
}

static void
handle_disconnect (struct api_request *request)
{
  ((struct opening *)request->user)->request = NULL;
}

static void
handle_granted (void *data, enum journal_status status)
{
  struct opening *opening = data;
  struct program *program
      = program_find (opening->server->programs, opening->program_id);

  opening->grant_done = true;
  if (program && status == JOURNAL_RECORDED)
    {
      struct budget_amount none = { 0 };

      budget_grant (&program->budget,
                    budget_next_grant (&program->budget, none));
      program->grants_journaled = true;
    }
  else if (program)
    program->opened_in_outage = true;
  opening_finish_if_done (opening);
}

static void
handle_open_stored (void *data, uint32_t stored, uint32_t wanted)
{
  struct opening *opening = data;

  opening->replication_done = true;
  opening->stored = stored;
  opening->wanted = wanted;
  opening_finish_if_done (opening);
}

/* Generates an id that maps to this host as the owner if possible, so that
   calls need not be forwarded while the load balancer keeps the caller on this
   host.  */
static void
generate_own_id (struct server *server, char out[PROGRAM_ID_BYTES])
{
  for (int i = 0; i < MAX_ID_ATTEMPTS; i++)
    {
      const struct config_host *owner;

      program_make_id (server, out);
      owner = server_find_owner (server, out);
      if (!owner || server_is_self (server, owner))
        return;
    }
}

static void
replicate_open_record (struct opening *opening, const struct program *program)
{
  History__Record record = HISTORY__RECORD__INIT;
  History__Open open = HISTORY__OPEN__INIT;

  open.program = program->id;
  open.customer = program->customer;
  open.opened_ms = program->opened_ms;
  open.budget_tokens = program->budget.limit.tokens;
  open.budget_calls = program->budget.limit.calls;
  open.budget_cost_micros = program->budget.limit.cost_micros;
  record.body_case = HISTORY__RECORD__BODY_OPEN;
  record.open = &open;
  replication_append (opening->server->replication, program->id, &record,
                      handle_open_stored, opening);
}

/* Opens a program for REQUEST's customer.  HANDLE is not called if the caller
   disconnects first; the program is opened all the same.  */
void
program_open (struct api_request *request, program_opened_handler *handle)
{
  struct server *server = request->server;
  const struct config_customer *customer
      = config_find_customer (server->config, request->customer);
  struct budget_amount none = { 0 };
  char id[PROGRAM_ID_BYTES];
  struct opening *opening;
  struct program *program;
  struct error error;

  if (!customer)
    {
      error_set (&error, ERROR_FORBIDDEN, RUN_NOT_RUN,
                 "the customer no longer exists; contact the operator");
      handle (request, NULL, &error);
      return;
    }
  generate_own_id (server, id);
  program = program_create (server->programs, id, customer);
  program_add_branch (program, 0);
  program->opening = true;
  counter_add (COUNTER_PROGRAMS_OPENED, 1);
  opening = xcalloc (1, sizeof *opening);
  opening->server = server;
  opening->program_id = xstrdup (id);
  opening->request = request;
  opening->handle = handle;
  request->user = opening;
  request->handle_disconnect = handle_disconnect;
  replicate_open_record (opening, program);
  journal_record_grant (server->journal, id,
                        budget_next_grant (&program->budget, none),
                        handle_granted, opening);
}
