#include "program/copies.h"
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
  MAX_ASKED = 6,
  APPEND_TIMEOUT_MS = 1500,
  FETCH_TIMEOUT_MS = 800,
  REPAIR_PER_TICK = 64,
};

enum ask_state
{
  ASK_OPEN,
  ASK_DONE,
  ASK_FAILED,
};

struct ask
{
  char *host; /* NULL: this host's own store */
  enum ask_state state;
};

/* One append or fetch under way.  Owned by the copies. */
struct transfer
{
  struct copies *copies;
  uint64_t id;
  char *program;
  bool fetching;
  struct buf record;      /* of an append */
  struct history history; /* of a fetch */
  struct ask asks[MAX_ASKED];
  uint32_t ask_count;
  uint32_t kept;
  uint32_t wanted;
  int64_t deadline_ms;
  copies_append_handler *handle_append;
  copies_fetch_handler *handle_fetch;
  void *data;
  struct transfer *next;
};

struct copies
{
  struct server *server;
  struct transfer *transfers;
  struct deferred advance; /* of the transfers that can go on */
  GPtrArray *repairs;      /* programs whose copies may belong elsewhere too */
  uint64_t data_hosts;     /* hash over the set, to see it change */
};

static void
transfer_destroy (struct transfer *transfer)
{
  struct transfer **slot = &transfer->copies->transfers;

  while (*slot && *slot != transfer)
    slot = &(*slot)->next;
  if (*slot)
    *slot = transfer->next;
  for (uint32_t i = 0; i < transfer->ask_count; i++)
    free (transfer->asks[i].host);
  buf_release (&transfer->record);
  history_release (&transfer->history);
  free (transfer->program);
  free (transfer);
}

static struct transfer *
find_transfer (struct copies *copies, uint64_t id)
{
  for (struct transfer *t = copies->transfers; t; t = t->next)
    if (t->id == id)
      return t;
  return NULL;
}

static uint32_t
count_asks (const struct transfer *transfer, enum ask_state state)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < transfer->ask_count; i++)
    if (transfer->asks[i].state == state)
      count++;
  return count;
}

/* Lists the data-folder hosts for KEY, best first.  */
static uint32_t
rank_hosts (const struct copies *copies, const char *program,
            const struct config_host *out[MAX_ASKED])
{
  const struct server *server = copies->server;
  const struct config *config = server->config;
  struct owner_candidate *candidates
      = xcalloc (config->host_count + 1, sizeof *candidates);
  int32_t ranked[MAX_ASKED];
  uint32_t count;

  for (size_t i = 0; i < config->host_count; i++)
    {
      candidates[i] = server->candidates[i];
      candidates[i].eligible
          = config->hosts[i].has_data_folder
            && (server_is_self (server, &config->hosts[i])
                || !mesh_is_suspect (server->mesh, config->hosts[i].name));
    }
  count = owner_rank_spread (id_hash_text (program), candidates,
                             config->host_count, MAX_ASKED, ranked);
  for (uint32_t i = 0; i < count; i++)
    out[i] = &config->hosts[ranked[i]];
  free (candidates);
  return count;
}

static void
finish_append (struct transfer *transfer)
{
  copies_append_handler *handle = transfer->handle_append;
  void *data = transfer->data;
  uint32_t kept = transfer->kept;
  uint32_t wanted = transfer->wanted;

  transfer_destroy (transfer);
  if (handle)
    handle (data, kept, wanted);
}

static uint32_t
count_data_hosts (const struct copies *copies)
{
  const struct config *config = copies->server->config;
  uint32_t count = 0;

  for (size_t i = 0; i < config->host_count; i++)
    if (config->hosts[i].has_data_folder)
      count++;
  return count < MAX_ASKED ? count : MAX_ASKED;
}

/* A host that could not be asked may have what is missing.  */
static bool
is_complete (const struct transfer *transfer)
{
  uint32_t answered = count_asks (transfer, ASK_DONE);

  return answered == transfer->ask_count
         && answered >= count_data_hosts (transfer->copies);
}

static void
finish_fetch (struct transfer *transfer)
{
  copies_fetch_handler *handle = transfer->handle_fetch;
  bool complete = is_complete (transfer);

  if (handle)
    handle (transfer->data, &transfer->history, complete);
  transfer_destroy (transfer);
}

static struct ask *
add_ask (struct transfer *transfer, const struct config_host *host)
{
  struct ask *ask = &transfer->asks[transfer->ask_count++];

  ask->host = server_is_self (transfer->copies->server, host)
                  ? NULL
                  : xstrdup (host->name);
  ask->state = ASK_OPEN;
  return ask;
}

static bool
was_asked (const struct transfer *transfer, const struct config_host *host)
{
  bool self = server_is_self (transfer->copies->server, host);

  for (uint32_t i = 0; i < transfer->ask_count; i++)
    {
      const char *name = transfer->asks[i].host;

      if (name ? strcmp (name, host->name) == 0 : self)
        return true;
    }
  return false;
}

static struct ask *
find_ask (struct transfer *transfer, const char *host)
{
  for (uint32_t i = 0; i < transfer->ask_count; i++)
    {
      struct ask *ask = &transfer->asks[i];

      if (ask->state != ASK_OPEN)
        continue;
      if (host ? ask->host && strcmp (ask->host, host) == 0 : !ask->host)
        return ask;
    }
  return NULL;
}

static void
settle_ask (struct transfer *transfer, const char *host, bool ok)
{
  struct ask *ask = find_ask (transfer, host);

  if (!ask)
    return;
  ask->state = ok ? ASK_DONE : ASK_FAILED;
  if (ok)
    transfer->kept++;
  deferred_schedule (&transfer->copies->advance);
}

/* Answers of the own store name the transfer by its id, because it may have
   timed out meanwhile.  */
struct local_answer
{
  struct copies *copies;
  uint64_t id;
};

static struct local_answer *
local_answer_create (struct transfer *transfer)
{
  struct local_answer *local = xcalloc (1, sizeof *local);

  local->copies = transfer->copies;
  local->id = transfer->id;
  return local;
}

static void
handle_local_append (void *data, bool kept)
{
  struct local_answer *local = data;
  struct transfer *transfer = find_transfer (local->copies, local->id);

  free (local);
  if (transfer)
    settle_ask (transfer, NULL, kept);
}

static void
handle_local_fetch (void *data, const struct buf *records, size_t count)
{
  struct local_answer *local = data;
  struct transfer *transfer = find_transfer (local->copies, local->id);

  free (local);
  if (!transfer)
    return;
  for (size_t i = 0; i < count; i++)
    history_add (&transfer->history, records[i].data, records[i].len);
  settle_ask (transfer, NULL, true);
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
  return mesh_send (transfer->copies->server->mesh, host, &frame);
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
  return mesh_send (transfer->copies->server->mesh, host, &frame);
}

static void
ask_host (struct transfer *transfer, const struct config_host *host)
{
  struct store *store = transfer->copies->server->store;
  struct ask *ask = add_ask (transfer, host);

  if (ask->host)
    {
      bool sent = transfer->fetching ? send_fetch (transfer, ask->host)
                                     : send_append (transfer, ask->host);

      if (!sent)
        settle_ask (transfer, ask->host, false);
    }
  else if (!store)
    settle_ask (transfer, NULL, false);
  else if (transfer->fetching)
    store_fetch (store, transfer->program, handle_local_fetch,
                 local_answer_create (transfer));
  else
    store_append (store, transfer->program, transfer->record.data,
                  transfer->record.len, handle_local_append,
                  local_answer_create (transfer));
}

static bool
ask_next (struct transfer *transfer)
{
  const struct config_host *hosts[MAX_ASKED];
  uint32_t count = rank_hosts (transfer->copies, transfer->program, hosts);

  for (uint32_t i = 0; i < count; i++)
    {
      if (transfer->ask_count == MAX_ASKED || was_asked (transfer, hosts[i]))
        continue;
      ask_host (transfer, hosts[i]);
      return true;
    }
  return false;
}

/* Goes on with a transfer; true where it has ended.  */
static bool
advance (struct transfer *transfer)
{
  if (transfer->fetching)
    {
      if (count_asks (transfer, ASK_OPEN) > 0)
        return false;
      finish_fetch (transfer);
      return true;
    }
  while (transfer->kept + count_asks (transfer, ASK_OPEN) < transfer->wanted)
    if (!ask_next (transfer))
      break;
  if (transfer->kept < transfer->wanted && count_asks (transfer, ASK_OPEN) > 0)
    return false;
  finish_append (transfer);
  return true;
}

/* Ends or continues transfers outside the callbacks that changed them.  One
   that ends may change the list, so the walk starts over.  */
static void
handle_advance (void *data)
{
  struct copies *copies = data;
  struct transfer *transfer = copies->transfers;

  while (transfer && !advance (transfer))
    transfer = transfer->next;
  if (transfer)
    deferred_schedule (&copies->advance);
}

/* Creates the copies of SERVER, which has its mesh and its store already.  */
struct copies *
copies_create (struct server *server)
{
  struct copies *copies = xcalloc (1, sizeof *copies);

  copies->server = server;
  copies->repairs = g_ptr_array_new_with_free_func (free);
  deferred_init (&copies->advance, server->loop, handle_advance, copies);
  return copies;
}

/* Frees the copies without calling any handler.  */
void
copies_destroy (struct copies *copies)
{
  if (!copies)
    return;
  while (copies->transfers)
    transfer_destroy (copies->transfers);
  deferred_release (&copies->advance);
  g_ptr_array_free (copies->repairs, TRUE);
  free (copies);
}

static struct transfer *
transfer_create (struct copies *copies, const char *program)
{
  struct transfer *transfer = xcalloc (1, sizeof *transfer);

  transfer->copies = copies;
  transfer->id = id_random64 ();
  transfer->program = xstrdup (program);
  transfer->next = copies->transfers;
  copies->transfers = transfer;
  deferred_schedule (&copies->advance);
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

/* Keeps RECORD on the best hosts for PROGRAM.  HANDLE is never called before
   this returns.  */
void
copies_append (struct copies *copies, const char *program,
               const History__Record *record, copies_append_handler *handle,
               void *data)
{
  const struct config_host *hosts[MAX_ASKED];
  struct transfer *transfer = transfer_create (copies, program);

  pack_record (&transfer->record, record);
  transfer->handle_append = handle;
  transfer->data = data;
  transfer->deadline_ms = clock_now_ms () + APPEND_TIMEOUT_MS;
  transfer->wanted = rank_hosts (copies, program, hosts);
  if (transfer->wanted > COPIES_WANTED)
    transfer->wanted = COPIES_WANTED;
}

/* Collects every record of PROGRAM that reachable hosts hold.  HANDLE is never
   called before this returns.  */
void
copies_fetch (struct copies *copies, const char *program,
              copies_fetch_handler *handle, void *data)
{
  struct transfer *transfer = transfer_create (copies, program);

  transfer->fetching = true;
  transfer->handle_fetch = handle;
  transfer->data = data;
  transfer->deadline_ms = clock_now_ms () + FETCH_TIMEOUT_MS;
  while (ask_next (transfer))
    continue;
}

/* Forgets the handlers that were given with DATA.  */
void
copies_cancel (struct copies *copies, void *data)
{
  for (struct transfer *t = copies->transfers; t; t = t->next)
    if (t->data == data)
      {
        t->handle_append = NULL;
        t->handle_fetch = NULL;
      }
}

/* An append or fetch that another host asked of this one's store.  */
struct served
{
  struct server *server;
  char *host;
  uint64_t id;
};

static struct served *
served_create (struct server *server, const char *host, uint64_t id)
{
  struct served *served = xcalloc (1, sizeof *served);

  served->server = server;
  served->host = xstrdup (host);
  served->id = id;
  return served;
}

static void
served_destroy (struct served *served)
{
  free (served->host);
  free (served);
}

static void
handle_served_append (void *data, bool kept)
{
  struct served *served = data;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__StoreAck ack = PEER__STORE_ACK__INIT;

  ack.id = served->id;
  ack.kept = kept;
  frame.body_case = PEER__FRAME__BODY_STORE_ACK;
  frame.store_ack = &ack;
  mesh_send (served->server->mesh, served->host, &frame);
  served_destroy (served);
}

static void
handle_served_fetch (void *data, const struct buf *records, size_t count)
{
  struct served *served = data;
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__StoreRecords answer = PEER__STORE_RECORDS__INIT;
  ProtobufCBinaryData *list = xcalloc (count + 1, sizeof *list);

  for (size_t i = 0; i < count; i++)
    {
      list[i].data = (uint8_t *)records[i].data;
      list[i].len = records[i].len;
    }
  answer.id = served->id;
  answer.n_records = count;
  answer.records = list;
  frame.body_case = PEER__FRAME__BODY_STORE_RECORDS;
  frame.store_records = &answer;
  mesh_send (served->server->mesh, served->host, &frame);
  free (list);
  served_destroy (served);
}

static void
take_records (struct copies *copies, const char *host,
              const Peer__StoreRecords *answer)
{
  struct transfer *transfer = find_transfer (copies, answer->id);

  if (!transfer || !transfer->fetching || !find_ask (transfer, host))
    return;
  for (size_t i = 0; i < answer->n_records; i++)
    history_add (&transfer->history, answer->records[i].data,
                 answer->records[i].len);
  settle_ask (transfer, host, true);
}

static void
serve_append (struct copies *copies, const char *host,
              const Peer__StoreAppend *append)
{
  struct server *server = copies->server;
  struct served *served = served_create (server, host, append->id);

  if (server->store)
    store_append (server->store, append->program, append->record.data,
                  append->record.len, handle_served_append, served);
  else
    handle_served_append (served, false);
}

static void
serve_fetch (struct copies *copies, const char *host,
             const Peer__StoreFetch *fetch)
{
  struct server *server = copies->server;
  struct served *served = served_create (server, host, fetch->id);

  if (server->store)
    store_fetch (server->store, fetch->program, handle_served_fetch, served);
  else
    handle_served_fetch (served, NULL, 0);
}

/* Takes a frame that concerns copies; others are left alone.  */
void
copies_handle_frame (struct copies *copies, const char *host,
                     const Peer__Frame *frame)
{
  struct transfer *transfer;

  if (frame->body_case == PEER__FRAME__BODY_STORE_APPEND)
    serve_append (copies, host, frame->store_append);
  else if (frame->body_case == PEER__FRAME__BODY_STORE_FETCH)
    serve_fetch (copies, host, frame->store_fetch);
  else if (frame->body_case == PEER__FRAME__BODY_STORE_RECORDS)
    take_records (copies, host, frame->store_records);
  else if (frame->body_case == PEER__FRAME__BODY_STORE_ACK)
    {
      transfer = find_transfer (copies, frame->store_ack->id);
      if (transfer && !transfer->fetching)
        settle_ask (transfer, host, frame->store_ack->kept);
    }
}

/* HOST does not answer: what was asked of it counts as failed.  */
void
copies_handle_down (struct copies *copies, const char *host)
{
  for (struct transfer *t = copies->transfers; t; t = t->next)
    settle_ask (t, host, false);
}

static void
note_repair (void *data, const char *program)
{
  struct copies *copies = data;

  g_ptr_array_add (copies->repairs, xstrdup (program));
}

static uint64_t
hash_data_hosts (const struct copies *copies)
{
  const struct config *config = copies->server->config;
  uint64_t hash = 0;

  for (size_t i = 0; i < config->host_count; i++)
    if (config->hosts[i].has_data_folder)
      hash += id_hash64 (&config->hosts[i].process,
                         sizeof config->hosts[i].process,
                         config->hosts[i].name_hash);
  return hash;
}

/* The hosts have changed: every program kept here is offered once more to the
   hosts that should hold it, so a replaced one gets its copies back.  */
void
copies_handle_hosts (struct copies *copies)
{
  uint64_t hash = hash_data_hosts (copies);

  if (hash == copies->data_hosts || !copies->server->store)
    return;
  copies->data_hosts = hash;
  g_ptr_array_set_size (copies->repairs, 0);
  store_foreach_program (copies->server->store, note_repair, copies);
}

struct repair
{
  struct copies *copies;
  char *program;
};

static void
handle_repair_records (void *data, const struct buf *records, size_t count)
{
  struct repair *repair = data;

  for (size_t i = 0; i < count; i++)
    {
      struct transfer *transfer
          = transfer_create (repair->copies, repair->program);

      buf_append (&transfer->record, records[i].data, records[i].len);
      transfer->deadline_ms = clock_now_ms () + APPEND_TIMEOUT_MS;
      transfer->wanted = COPIES_WANTED;
    }
  free (repair->program);
  free (repair);
}

static void
repair_some (struct copies *copies)
{
  for (int i = 0; i < REPAIR_PER_TICK && copies->repairs->len > 0; i++)
    {
      struct repair *repair = xcalloc (1, sizeof *repair);
      char *program
          = g_ptr_array_index (copies->repairs, copies->repairs->len - 1);

      repair->copies = copies;
      repair->program = xstrdup (program);
      g_ptr_array_set_size (copies->repairs, (gint)copies->repairs->len - 1);
      store_fetch (copies->server->store, repair->program,
                   handle_repair_records, repair);
    }
}

/* Gives up on what took too long, and goes on with repairs.  */
void
copies_tick (struct copies *copies, int64_t now_ms)
{
  for (struct transfer *t = copies->transfers; t; t = t->next)
    {
      if (now_ms < t->deadline_ms)
        continue;
      for (uint32_t i = 0; i < t->ask_count; i++)
        if (t->asks[i].state == ASK_OPEN)
          t->asks[i].state = ASK_FAILED;
      deferred_schedule (&copies->advance);
    }
  if (copies->server->store && copies->server->config)
    repair_some (copies);
}
