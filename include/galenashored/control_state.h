/* State of the control thread. */
#ifndef GALENA_GALENASHORED_CONTROL_STATE_H
#define GALENA_GALENASHORED_CONTROL_STATE_H

#include "common/deferred.h"
#include "common/fetch.h"
#include "common/mailbox.h"
#include "config/objects.h"
#include "config/platform_client.h"
#include "galenashored/messages.h"
#include "galenashored/settings.h"
#include "galenashored/traffic.h"
#include <ev.h>

struct admin; /* the operator API; see operator/admin.c */

/* Receives the configuration from the platform and from other hosts, and
   pushes changes to other hosts (sync.c). */
struct sync
{
  struct fetch *watch; /* pending; NULL for none */
  struct fetch *list;  /* pending; NULL for none */
  bool loaded;         /* a configuration was received from any source */
  /* Every change up to this revision is known.  Single objects may be newer:
     this host's own writes, and objects that other hosts pushed ahead.  */
  uint64_t seen_revision;
  bool platform_reachable;
  bool needs_list; /* the whole list must be read again */
  int64_t next_try_ms;
  int64_t backoff_ms;
};

/* Maintains this host's object on the platform, and its slots in the slot
   table of its data centre (registrar.c).  Each slot is held by one process;
   see policy/holders.h. */
struct registrar
{
  struct fetch *host_write;  /* pending; NULL for none */
  struct fetch *slots_write; /* pending; NULL for none */
  json_t *host_value;        /* of the pending write */
  json_t *slots_value;       /* of the pending write */
  uint64_t releasing_slots;  /* bit set of own slots being released */
  uint64_t release_sequence; /* of the first configuration without them */
  int64_t next_try_ms;
};

struct control
{
  struct settings *settings;
  struct ev_loop *loop;
  uint64_t process; /* random id of this process */
  struct mailbox *inbox;
  struct traffic *traffic;
  struct fetcher *fetcher;
  struct platform_client platform;
  struct objects objects;
  struct sync sync;
  struct registrar registrar;
  struct admin *admin;
  struct deferred publish;     /* sends the configuration to traffic */
  uint64_t sequence;           /* of the last configuration sent to traffic */
  uint64_t applied_sequence;   /* of the last one that traffic applied */
  uint64_t published_revision; /* of the last configuration sent */
  uint64_t applied_revision; /* of the last configuration that traffic applied
                                while none newer was sent */
  int64_t started_ms;
  bool stopping;
  bool drained; /* traffic has no open work left */
  int64_t stop_started_ms;
  ev_signal sigterm;
  ev_signal sigint;
  ev_signal sighup;
  ev_timer tick;
};

void control_publish (struct control *control);
void control_begin_stop (struct control *control);
uint64_t control_send_request (struct control *control,
                               struct traffic_message *message);
void control_send (struct control *control, const char *host,
                   const Peer__Frame *frame);

void sync_tick (struct control *control, int64_t now_ms);
void sync_release (struct control *control);
void sync_handle_frame (struct control *control, const char *host,
                        const Peer__Frame *frame);
void sync_withdraw (struct control *control, const char *key_id);

void registrar_tick (struct control *control, int64_t now_ms);
void registrar_release (struct control *control);
bool registrar_holds_no_slots (const struct control *control);
void registrar_clear_released_slots (struct control *control,
                                     struct config *config);

struct admin *admin_create (struct control *control, struct error *error);
void admin_destroy (struct admin *admin);
void admin_handle_reply (struct admin *admin,
                         const struct control_message *message);

#endif
