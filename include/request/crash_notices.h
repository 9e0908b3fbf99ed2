/* Joins what the hosts of a fleet know of requests that crash endpoints, and
   keeps it beyond their lives.

   A crash is told to two hosts that are chosen by the request, so that reports
   of different hosts meet.  What has crashed CRASH_SHARED_FROM endpoints is
   told to all entry hosts and to the ledger's keepers, which hold it on disk;
   hosts that know of such requests repeat it to one other host at a time.  A
   host that starts, or may have missed something, asks the keepers.  */
#ifndef GALENA_REQUEST_CRASH_NOTICES_H
#define GALENA_REQUEST_CRASH_NOTICES_H

#include "peer/host.h"
#include "peer/transport.h"
#include "policy/crash_evidence.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct crash_notices;

enum
{
  CRASH_GOSSIP_MS = 500, /* between repetitions, while there are any */
};

struct crash_notices_options
{
  const char *host;            /* name of this host; outlives the notices */
  struct transport *transport; /* NULL: this host is alone */
  uint32_t losses;             /* of keepers, that the ledger survives */
  /* Wall-clock time, in which the keepers hold crashes; NULL for the
     system's. */
  int64_t (*now_unix_ms) (void *data);
  void *data;
};

struct crash_notices *
crash_notices_create (const struct crash_notices_options *options);
void crash_notices_destroy (struct crash_notices *notices);
void crash_notices_set_hosts (struct crash_notices *notices,
                              const struct host_location *hosts, size_t count);
void crash_notices_set_keepers (struct crash_notices *notices,
                                const struct host_location *keepers,
                                size_t count, int64_t now_ms);
uint32_t crash_notices_record (struct crash_notices *notices,
                               uint64_t fingerprint,
                               const struct crash_record *record,
                               int64_t now_ms);
void crash_notices_record_success (struct crash_notices *notices,
                                   uint64_t fingerprint, int64_t now_ms);
enum crash_verdict crash_notices_check (struct crash_notices *notices,
                                        uint64_t fingerprint, int64_t now_ms,
                                        int64_t *wait_ms);
void crash_notices_begin_trial (struct crash_notices *notices,
                                uint64_t fingerprint, int64_t now_ms);
void crash_notices_handle_frame (struct crash_notices *notices,
                                 const char *host, const Peer__Frame *frame,
                                 int64_t now_ms);
void crash_notices_handle_down (struct crash_notices *notices, int64_t now_ms);
void crash_notices_tick (struct crash_notices *notices, int64_t now_ms);

#endif
