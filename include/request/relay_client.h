/* Has other hosts send requests; see request/relay.h. */
#ifndef GALENA_REQUEST_RELAY_CLIENT_H
#define GALENA_REQUEST_RELAY_CLIENT_H

#include "common/fetch.h"
#include "peer/host.h"
#include "peer/transport.h"
#include "request/pool.h"
#include "request/relay.h"

struct relay_client;
struct relay; /* a request that another host sends */

struct relay_client_options
{
  const char *host; /* name of this host; outlives the client */
  struct transport *transport;
};

/* Called at the end of a relay.  RESULT tells what the helping host got from
   the endpoint; with a refusal, the request has not been sent.  */
typedef void relay_done_handler (void *data, const struct fetch_result *result,
                                 enum relay_refusal refusal);

struct relay_request
{
  const struct pool_endpoint *endpoint;
  uint64_t fingerprint; /* of the request's content */
  bool has_permit;      /* for the endpoint's limit */
  int64_t timeout_ms;
  const char *request_id; /* that responses name; may be NULL */
  /* What is sent, and the handlers of the response but for its end.  A
     streamed response has a handle_data. */
  const struct fetch_options *fetch;
  relay_done_handler *handle_done;
};

struct relay_client *
relay_client_create (const struct relay_client_options *options);
void relay_client_destroy (struct relay_client *client);
void relay_client_set_hosts (struct relay_client *client,
                             const struct host_location *hosts, size_t count);
void relay_client_tick (struct relay_client *client, bool is_needed,
                        int64_t now_ms);
void relay_client_handle_frame (struct relay_client *client, const char *host,
                                const Peer__Frame *frame, int64_t now_ms);
void relay_client_handle_down (struct relay_client *client, const char *host,
                               int64_t now_ms);
bool relay_client_has_helper (const struct relay_client *client,
                              const char *service, int64_t now_ms);
struct relay *relay_client_start (struct relay_client *client,
                                  const struct relay_request *request,
                                  int64_t now_ms);
void relay_cancel (struct relay *relay);
long relay_status (const struct relay *relay);
bool relay_is_first_response (const struct relay *relay);

#endif
