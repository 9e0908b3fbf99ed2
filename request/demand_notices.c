#include "request/demand_notices.h"
#include "common/buf.h"
#include "common/id.h"
#include <stdlib.h>
#include <string.h>

enum
{
  /* 60 hosts agree after about six exchanges, so that a burst of one customer
     is known everywhere in about a second. */
  CONTENDED_INTERVAL_MS = 200,
  /* While nothing is refused the view only has to be there when a burst
     begins. */
  IDLE_INTERVAL_MS = 1000,
  MAX_DEMANDS = 64, /* about 1 KB */
  /* Traffic between data centres is expensive: one exchange in four. */
  REMOTE_FRACTION = 4,
};

struct demand_notices
{
  struct demand_notices_options options;
  struct host_set hosts; /* entry hosts, including this one */
  int64_t sent_ms;
};

/* Creates notices that know no other host.  */
struct demand_notices *
demand_notices_create (const struct demand_notices_options *options)
{
  struct demand_notices *notices = xcalloc (1, sizeof *notices);

  notices->options = *options;
  return notices;
}

/* Frees NOTICES.  */
void
demand_notices_destroy (struct demand_notices *notices)
{
  if (!notices)
    return;
  host_set_release (&notices->hosts);
  free (notices);
}

/* Sets the list of all entry hosts.  */
void
demand_notices_set_hosts (struct demand_notices *notices,
                          const struct host_location *hosts, size_t count)
{
  host_set_assign (&notices->hosts, hosts, count);
}

/* Returns another host at random, or NULL.  */
static const struct host_member *
choose_host (const struct demand_notices *notices)
{
  uint64_t data_centre = id_hash_text (notices->options.data_centre);
  bool may_be_remote = id_random64 () % REMOTE_FRACTION == 0;
  struct host_choice choice
      = { .item = id_random64 (), .only = may_be_remote ? 0 : data_centre };
  const struct host_member *chosen[2];
  uint32_t count = host_set_choose (&notices->hosts, &choice, chosen, 2);

  for (uint32_t i = 0; i < count; i++)
    if (strcmp (chosen[i]->name, notices->options.host) != 0)
      return chosen[i];
  return NULL;
}

static void
send_demands (struct demand_notices *notices, const char *host, int64_t now_ms)
{
  struct transport *transport = notices->options.transport;
  struct admission_demand demands[MAX_DEMANDS];
  uint32_t count = admission_export (notices->options.admission, demands,
                                     MAX_DEMANDS, now_ms);
  Peer__CustomerDemand items[MAX_DEMANDS];
  Peer__CustomerDemand *pointers[MAX_DEMANDS];
  Peer__Frame frame = PEER__FRAME__INIT;
  Peer__DemandNotice notice = PEER__DEMAND_NOTICE__INIT;

  if (count == 0)
    return;
  for (uint32_t i = 0; i < count; i++)
    {
      peer__customer_demand__init (&items[i]);
      items[i].customer = demands[i].customer;
      items[i].work_ms = demands[i].work_ms;
      pointers[i] = &items[i];
    }
  notice.demands = pointers;
  notice.n_demands = count;
  frame.body_case = PEER__FRAME__BODY_DEMAND_NOTICE;
  frame.demand_notice = &notice;
  /* A lost notice is made up for by the next one. */
  transport->vtable->send (transport, host, &frame);
}

/* Handles a frame of another host, if it is a notice.  */
void
demand_notices_handle_frame (struct demand_notices *notices,
                             const Peer__Frame *frame, int64_t now_ms)
{
  struct admission_demand demands[MAX_DEMANDS];
  uint32_t count = 0;

  if (frame->body_case != PEER__FRAME__BODY_DEMAND_NOTICE)
    return;
  for (size_t i = 0;
       i < frame->demand_notice->n_demands && count < MAX_DEMANDS; i++)
    demands[count++] = (struct admission_demand){
      .customer = frame->demand_notice->demands[i]->customer,
      .work_ms = frame->demand_notice->demands[i]->work_ms,
    };
  admission_merge (notices->options.admission, demands, count, now_ms);
}

/* Sends what is due.  Must be called at least every 100 ms.  */
void
demand_notices_tick (struct demand_notices *notices, int64_t now_ms)
{
  int64_t interval_ms
      = admission_is_contended (notices->options.admission, now_ms)
            ? CONTENDED_INTERVAL_MS
            : IDLE_INTERVAL_MS;
  const struct host_member *host;

  if (now_ms - notices->sent_ms < interval_ms)
    return;
  notices->sent_ms = now_ms;
  host = choose_host (notices);
  if (host)
    send_demands (notices, host->name, now_ms);
}
