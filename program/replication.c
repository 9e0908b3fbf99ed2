#include "program/replication.h"
#include "common/counters.h"
#include "common/deferred.h"
#include "common/id.h"
#include "common/log.h"
#include "galenashored/server.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_HOSTS_PER_TRANSFER = 6, /* hosts that one transfer may contact */
  APPEND_TIMEOUT_MS = 1500,
  FETCH_TIMEOUT_MS = 800,
  REPAIRS_PER_TICK = 64,
};

enum store_request_state
{
  REQUEST_PENDING,
  REQUEST_SUCCEEDED,
  REQUEST_FAILED,
};

/* A request of a transfer to the store of one host. */
struct store_request
{
  char *host; /* NULL for the local store */
  enum store_request_state state;
};

/* An append of one record or a fetch of all records of a program, in progress.
   Owned by struct replication. */
struct transfer
{
  struct replication *replication;
  uint64_t id;
  char *program;
  bool fetching;
  struct buf record;      /* packed, for an append */
  struct history history; /* received so far, for a fetch */
  struct store_request requests[MAX_HOSTS_PER_TRANSFER];
  uint32_t request_count;
  uint32_t stored; /* requests that have succeeded */
  uint32_t wanted; /* replicas to store, for an append */
  int64_t deadline_ms;
  replication_append_handler *handle_append;
  replication_fetch_handler *handle_fetch;
  void *data;
  struct transfer *next;
};

struct replication
{
  struct server *server;
  struct transfer *transfers;
  struct deferred advance;  /* runs handle_advance */
  GPtrArray *repair_ids;    /* ids of programs to replicate again */
  uint64_t data_hosts_hash; /* to detect changes of the set of data hosts */
};

static void
transfer_destroy (struct transfer *transfer)
{
  struct transfer **slot = &transfer->replication->transfers;

  while (*slot && *slot != transfer)
    slot = &(*slot)->next;
  if (*slot)
    *slot = transfer->next;
  for (uint32_t i = 0; i < transfer->request_count; i++)
    free (transfer->requests[i].host);
  buf_release (&transfer->record);
  history_release (&transfer->history);
  free (transfer->program);
  free (transfer);
}

static struct transfer *
find_transfer (struct replication *replication, uint64_t id)
{
  for (struct transfer *t = replication->transfers; t; t = t->next)
    if (t->id == id)
      return t;
  return NULL;
}

static uint32_t
count_requests (const struct transfer *transfer,
                enum store_request_state state)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < transfer->request_count; i++)
    if (transfer->requests[i].state == state)
      count++;
  return count;
}

/* Ranks the reachable data hosts for PROGRAM, best first, and returns their
   number.  */
static uint32_t
rank_hosts (const struct replication *replication, const char *program,
            const struct config_host *out[MAX_HOSTS_PER_TRANSFER])
{
  const struct server *server = replication->server;
  const struct config *config = server->config;
  struct owner_candidate *candidates
      = xcalloc (config->host_count + 1, sizeof *candidates);
  int32_t ranked[MAX_HOSTS_PER_TRANSFER];
  uint32_t count;

  for (size_t i = 0; i < config->host_count; i++)
    {
      candidates[i] = server->candidates[i];
      candidates[i].eligible
          = config->hosts[i].has_data_directory
            && (server_is_self (server, &config->hosts[i])
                || !mesh_is_suspect (server->mesh, config->hosts[i].name));
    }
  count
      = owner_rank_spread (id_hash_text (program), candidates,
                           config->host_count, MAX_HOSTS_PER_TRANSFER, ranked);
  for (uint32_t i = 0; i < count; i++)
    out[i] = &config->hosts[ranked[i]];
  free (candidates);
  return count;
}

static void
finish_append (struct transfer *transfer)
{
  replication_append_handler *handle = transfer->handle_append;
  void *data = transfer->data;
  uint32_t stored = transfer->stored;
  uint32_t wanted = transfer->wanted;

  transfer_destroy (transfer);
  if (handle)
    handle (data, stored, wanted);
}

static uint32_t
count_data_hosts (const struct replication *replication)
{
  const struct config *config = replication->server->config;
  uint32_t count = 0;

  for (size_t i = 0; i < config->host_count; i++)
    if (config->hosts[i].has_data_directory)
      count++;
  return count < MAX_HOSTS_PER_TRANSFER ? count : MAX_HOSTS_PER_TRANSFER;
}

/* Whether every data host has answered a fetch.  A host that could not be
   asked may have further records.  */
static bool
fetch_is_complete (const struct transfer *transfer)
{
  uint32_t answered = count_requests (transfer, REQUEST_SUCCEEDED);

  return answered == transfer->request_count
         && answered >= count_data_hosts (transfer->replication);
}

static void
finish_fetch (struct transfer *transfer)
{
  replication_fetch_handler *handle = transfer->handle_fetch;
  bool complete = fetch_is_complete (transfer);

  if (handle)
    handle (transfer->data, &transfer->history, complete);
  transfer_destroy (transfer);
}

static struct store_request *
add_request (struct transfer *transfer, const struct config_host *host)
{
  struct store_request *store_request
      = &transfer->requests[transfer->request_count++];

  store_request->host = server_is_self (transfer->replication->server, host)
                            ? NULL
                            : xstrdup (host->name);
  store_request->state = REQUEST_PENDING;
  return store_request;
}

static bool
was_requested (const struct transfer *transfer, const struct config_host *host)
{
  bool self = server_is_self (transfer->replication->server, host);

  for (uint32_t i = 0; i < transfer->request_count; i++)
    {
      const char *name = transfer->requests[i].host;

      if (name ? strcmp (name, host->name) == 0 : self)
        return true;
    }
  return false;
}

static struct store_request *
find_pending_request (struct transfer *transfer, const char *host)
{
  for (uint32_t i = 0; i < transfer->request_count; i++)
    {
      struct store_request *store_request = &transfer->requests[i];

      if (store_request->state != REQUEST_PENDING)
        continue;
      if (host ? store_request->host && strcmp (store_request->host, host) == 0
               : !store_request->host)
        return store_request;
    }
  return NULL;
}

/* Sets the result of the pending request to HOST, if there is one.  */
static void
finish_request (struct transfer *transfer, const char *host, bool ok)
{
  struct store_request *store_request = find_pending_request (transfer, host);

  if (!store_request)
    return;
  store_request->state = ok ? REQUEST_SUCCEEDED : REQUEST_FAILED;
  if (ok)
    transfer->stored++;
  deferred_schedule (&transfer->replication->advance);
}

/* Callback data for the local store.  Refers to the transfer by id, because
   the transfer may time out and be freed before the callback.  */
struct local_context
{
  struct replication *replication;
  uint64_t id;
};

static struct local_context *
local_context_create (struct transfer *transfer)
{
  struct local_context *local = xcalloc (1, sizeof *local);

  local->replication = transfer->replication;
  local->id = transfer->id;
  return local;
}

static void
handle_local_append (void *data, bool stored)
{
  struct local_context *local = data;
  struct transfer *transfer = find_transfer (local->replication, local->id);

  free (local);
  if (transfer)
    finish_request (transfer, NULL, stored);
}

static void
handle_local_fetch (void *data, const struct buf *records, size_t count)
{
  struct local_context *local = data;
  struct transfer *transfer = find_transfer (local->replication, local->id);

  free (local);
  if (!transfer)
    return;
  for (size_t i = 0; i < count; i++)
    history_add (&transfer->history, records[i].data, records[i].len);
  finish_request (transfer, NULL, true);
}

static bool
send_append (struct transfer *transfer, const char *host)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__StoreAppend append = PEER__STORE_APPEND__INIT;

  append.id = transfer->id;
  append.program = transfer->program;
  append.record.data = (uint8_t *)transfer->record.data;
  append.record.len = transfer->record.len;
  frame.body_case = PEER__FRAME__BODY_STORE_APPEND;
  frame.store_append = &append;
  return mesh_send (transfer->replication->server->mesh, host, &frame);
}

static bool
send_fetch (struct transfer *transfer, const char *host)
{
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__StoreFetch fetch = PEER__STORE_FETCH__INIT;

  fetch.id = transfer->id;
  fetch.program = transfer->program;
  frame.body_case = PEER__FRAME__BODY_STORE_FETCH;
  frame.store_fetch = &fetch;
  return mesh_send (transfer->replication->server->mesh, host, &frame);
}

/* Sends the transfer's request to HOST or to the local store.  */
static void
request_host (struct transfer *transfer, const struct config_host *host)
{
  struct store *store = transfer->replication->server->store;
  struct store_request *store_request = add_request (transfer, host);

  if (store_request->host)
    {
      bool sent = transfer->fetching
                      ? send_fetch (transfer, store_request->host)
                      : send_append (transfer, store_request->host);

      if (!sent)
        finish_request (transfer, store_request->host, false);
    }
  else if (!store)
    finish_request (transfer, NULL, false);
  else if (transfer->fetching)
    store_fetch (store, transfer->program, handle_local_fetch,
                 local_context_create (transfer));
  else
    store_append (store, transfer->program, transfer->record.data,
                  transfer->record.len, handle_local_append,
                  local_context_create (transfer));
}

/* Sends the transfer's request to the best-ranked host that has not had it
   yet.  Returns false if there is none.  */
static bool
request_next_host (struct transfer *transfer)
{
  const struct config_host *hosts[MAX_HOSTS_PER_TRANSFER];
  uint32_t count
      = rank_hosts (transfer->replication, transfer->program, hosts);

  for (uint32_t i = 0; i < count; i++)
    {
      if (transfer->request_count == MAX_HOSTS_PER_TRANSFER
          || was_requested (transfer, hosts[i]))
        continue;
      request_host (transfer, hosts[i]);
      return true;
    }
  return false;
}

/* Finishes a transfer if possible.  An append replaces failed requests by
   requests to further hosts first.  Returns true if the transfer has finished
   and been freed.  */
static bool
transfer_advance (struct transfer *transfer)
{
  if (transfer->fetching)
    {
      if (count_requests (transfer, REQUEST_PENDING) > 0)
        return false;
      finish_fetch (transfer);
      return true;
    }
  while (transfer->stored + count_requests (transfer, REQUEST_PENDING)
         < transfer->wanted)
    if (!request_next_host (transfer))
      break;
  if (transfer->stored < transfer->wanted
      && count_requests (transfer, REQUEST_PENDING) > 0)
    return false;
  finish_append (transfer);
  return true;
}

/* Advances all transfers.  Runs from the event loop rather than from the
   callbacks that changed the transfers.  A handler may change the list, so the
   walk restarts after each transfer that finishes.  */
static void
handle_advance (void *data)
{
  struct replication *replication = data;
  struct transfer *transfer = replication->transfers;

  while (transfer && !transfer_advance (transfer))
    transfer = transfer->next;
  if (transfer)
    deferred_schedule (&replication->advance);
}

/* Creates the replication state.  SERVER's mesh and store must exist.  */
struct replication *
replication_create (struct server *server)
{
  struct replication *replication = xcalloc (1, sizeof *replication);

  replication->server = server;
  replication->repair_ids = g_ptr_array_new_with_free_func (free);
  deferred_init (&replication->advance, server->loop, handle_advance,
                 replication);
  return replication;
}

/* Frees REPLICATION without calling any handler.  */
void
replication_destroy (struct replication *replication)
{
  if (!replication)
    return;
  while (replication->transfers)
    transfer_destroy (replication->transfers);
  deferred_cancel (&replication->advance);
  g_ptr_array_free (replication->repair_ids, TRUE);
  free (replication);
}

static struct transfer *
transfer_create (struct replication *replication, const char *program)
{
  struct transfer *transfer = xcalloc (1, sizeof *transfer);

  transfer->replication = replication;
  transfer->id = id_random64 ();
  transfer->program = xstrdup (program);
  transfer->next = replication->transfers;
  replication->transfers = transfer;
  deferred_schedule (&replication->advance);
  return transfer;
}

static void
pack_record (struct buf *out, const History__Record *record)
{
  size_t len = history__record__get_packed_size (record);
  uint8_t *packed = xcalloc (1, len + 1);

  history__record__pack (record, packed);
  buf_append (out, packed, len);
  free (packed);
}

/* Stores RECORD on the best-ranked hosts for PROGRAM.  HANDLE may be NULL and
   is never called before this returns.  */
void
replication_append (struct replication *replication, const char *program,
                    const History__Record *record,
                    replication_append_handler *handle, void *data)
{
  const struct config_host *hosts[MAX_HOSTS_PER_TRANSFER];
  struct transfer *transfer = transfer_create (replication, program);

  pack_record (&transfer->record, record);
  transfer->handle_append = handle;
  transfer->data = data;
  transfer->deadline_ms = clock_now_ms () + APPEND_TIMEOUT_MS;
  transfer->wanted = rank_hosts (replication, program, hosts);
  if (transfer->wanted > REPLICATION_FACTOR)
    transfer->wanted = REPLICATION_FACTOR;
}

/* Fetches the records of PROGRAM from its best-ranked reachable hosts, at most
   MAX_HOSTS_PER_TRANSFER.  HANDLE is never called before this returns.  */
void
replication_fetch (struct replication *replication, const char *program,
                   replication_fetch_handler *handle, void *data)
{
  struct transfer *transfer = transfer_create (replication, program);

  transfer->fetching = true;
  transfer->handle_fetch = handle;
  transfer->data = data;
  transfer->deadline_ms = clock_now_ms () + FETCH_TIMEOUT_MS;
  while (request_next_host (transfer))
    continue;
}

/* Makes sure that no handler registered with DATA is called.  The transfers
   themselves continue.  */
void
replication_drop_handlers (struct replication *replication, void *data)
{
  for (struct transfer *t = replication->transfers; t; t = t->next)
    if (t->data == data)
      {
        t->handle_append = NULL;
        t->handle_fetch = NULL;
      }
}

/* An append or fetch that another host has requested from the local store.  */
struct remote_request
{
  struct server *server;
  char *host;
  uint64_t id;
};

static struct remote_request *
remote_request_create (struct server *server, const char *host, uint64_t id)
{
  struct remote_request *remote_request = xcalloc (1, sizeof *remote_request);

  remote_request->server = server;
  remote_request->host = xstrdup (host);
  remote_request->id = id;
  return remote_request;
}

static void
remote_request_destroy (struct remote_request *remote_request)
{
  free (remote_request->host);
  free (remote_request);
}

static void
handle_remote_append (void *data, bool stored)
{
  struct remote_request *remote_request = data;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__StoreAck ack = PEER__STORE_ACK__INIT;

  ack.id = remote_request->id;
  ack.kept = stored;
  frame.body_case = PEER__FRAME__BODY_STORE_ACK;
  frame.store_ack = &ack;
  mesh_send (remote_request->server->mesh, remote_request->host, &frame);
  remote_request_destroy (remote_request);
}

static void
handle_remote_fetch (void *data, const struct buf *records, size_t count)
{
  struct remote_request *remote_request = data;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__StoreRecords answer = PEER__STORE_RECORDS__INIT;
  ProtobufCBinaryData *list = xcalloc (count + 1, sizeof *list);

  for (size_t i = 0; i < count; i++)
    {
      list[i].data = (uint8_t *)records[i].data;
      list[i].len = records[i].len;
    }
  answer.id = remote_request->id;
  answer.n_records = count;
  answer.records = list;
  frame.body_case = PEER__FRAME__BODY_STORE_RECORDS;
  frame.store_records = &answer;
  mesh_send (remote_request->server->mesh, remote_request->host, &frame);
  free (list);
  remote_request_destroy (remote_request);
}

static void
handle_records (struct replication *replication, const char *host,
                const Peer__StoreRecords *answer)
{
  struct transfer *transfer = find_transfer (replication, answer->id);

  if (!transfer || !transfer->fetching
      || !find_pending_request (transfer, host))
    return;
  for (size_t i = 0; i < answer->n_records; i++)
    history_add (&transfer->history, answer->records[i].data,
                 answer->records[i].len);
  finish_request (transfer, host, true);
}

static void
serve_append (struct replication *replication, const char *host,
              const Peer__StoreAppend *append)
{
  struct server *server = replication->server;
  struct remote_request *remote_request
      = remote_request_create (server, host, append->id);

  if (server->store)
    store_append (server->store, append->program, append->record.data,
                  append->record.len, handle_remote_append, remote_request);
  else
    handle_remote_append (remote_request, false);
}

static void
serve_fetch (struct replication *replication, const char *host,
             const Peer__StoreFetch *fetch)
{
  struct server *server = replication->server;
  struct remote_request *remote_request
      = remote_request_create (server, host, fetch->id);

  if (server->store)
    store_fetch (server->store, fetch->program, handle_remote_fetch,
                 remote_request);
  else
    handle_remote_fetch (remote_request, NULL, 0);
}

/* Handles a frame from HOST with a store request or its answer.  Ignores other
   frames.  */
void
replication_handle_frame (struct replication *replication, const char *host,
                          const Peer__Frame *frame)
{
  struct transfer *transfer;

  if (frame->body_case == PEER__FRAME__BODY_STORE_APPEND)
    serve_append (replication, host, frame->store_append);
  else if (frame->body_case == PEER__FRAME__BODY_STORE_FETCH)
    serve_fetch (replication, host, frame->store_fetch);
  else if (frame->body_case == PEER__FRAME__BODY_STORE_RECORDS)
    handle_records (replication, host, frame->store_records);
  else if (frame->body_case == PEER__FRAME__BODY_STORE_ACK)
    {
      transfer = find_transfer (replication, frame->store_ack->id);
      if (transfer && !transfer->fetching)
        finish_request (transfer, host, frame->store_ack->kept);
    }
}

/* Fails all outstanding requests to HOST, which is down.  */
void
replication_handle_host_down (struct replication *replication,
                              const char *host)
{
  for (struct transfer *t = replication->transfers; t; t = t->next)
    finish_request (t, host, false);
}

static void
add_repair_id (void *data, const char *program)
{
  struct replication *replication = data;

  g_ptr_array_add (replication->repair_ids, xstrdup (program));
}

static uint64_t
hash_data_hosts (const struct replication *replication)
{
  const struct config *config = replication->server->config;
  uint64_t hash = 0;

  for (size_t i = 0; i < config->host_count; i++)
    if (config->hosts[i].has_data_directory)
      hash += id_hash64 (&config->hosts[i].process,
                         sizeof config->hosts[i].process,
                         config->hosts[i].name_hash);
  return hash;
}

/* Schedules all locally stored programs for re-replication if the set of data
   hosts has changed, so that a replaced host receives its replicas again.  */
void
replication_handle_hosts (struct replication *replication)
{
  uint64_t hash = hash_data_hosts (replication);

  if (hash == replication->data_hosts_hash || !replication->server->store)
    return;
  replication->data_hosts_hash = hash;
  g_ptr_array_set_size (replication->repair_ids, 0);
  store_foreach_program (replication->server->store, add_repair_id,
                         replication);
}

/* A program whose local records are being read, to be replicated again.  */
struct repair
{
  struct replication *replication;
  char *program;
};

static void
handle_repair_records (void *data, const struct buf *records, size_t count)
{
  struct repair *repair = data;

  for (size_t i = 0; i < count; i++)
    {
      struct transfer *transfer
          = transfer_create (repair->replication, repair->program);

      buf_append (&transfer->record, records[i].data, records[i].len);
      transfer->deadline_ms = clock_now_ms () + APPEND_TIMEOUT_MS;
      transfer->wanted = REPLICATION_FACTOR;
    }
  free (repair->program);
  free (repair);
}

/* Starts re-replication of the next programs.  */
static void
start_repairs (struct replication *replication)
{
  for (int i = 0; i < REPAIRS_PER_TICK && replication->repair_ids->len > 0;
       i++)
    {
      struct repair *repair = xcalloc (1, sizeof *repair);
      char *program = g_ptr_array_index (replication->repair_ids,
                                         replication->repair_ids->len - 1);

      repair->replication = replication;
      repair->program = xstrdup (program);
      g_ptr_array_set_size (replication->repair_ids,
                            (gint)replication->repair_ids->len - 1);
      store_fetch (replication->server->store, repair->program,
                   handle_repair_records, repair);
    }
}

/* Fails the pending requests of overdue transfers and continues
   re-replication.  */
void
replication_tick (struct replication *replication, int64_t now_ms)
{
  for (struct transfer *t = replication->transfers; t; t = t->next)
    {
      if (now_ms < t->deadline_ms)
        continue;
      for (uint32_t i = 0; i < t->request_count; i++)
        if (t->requests[i].state == REQUEST_PENDING)
          t->requests[i].state = REQUEST_FAILED;
      deferred_schedule (&replication->advance);
    }
  if (replication->server->store && replication->server->config)
    start_repairs (replication);
}
