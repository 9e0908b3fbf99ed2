/* Fleet-wide rate limits of customers.

   Each data centre has an equal share of a customer's rate, so that it keeps
   serving when it is disconnected from the others.  In each data centre one
   entry host, the holder, grants the tokens of that share; a request needs one
   token.  The other hosts borrow tokens from the holder, and from the holders
   in other data centres once the share is used up.  */
#ifndef GALENA_REQUEST_LIMITS_H
#define GALENA_REQUEST_LIMITS_H

#include "peer/host.h"
#include "peer/mesh.h"
#include "request/routing.h"
#include <ev.h>

struct limits;
struct limits_waiter; /* a request that waits for a token */

struct limits_options
{
  struct ev_loop *loop;
  struct mesh *mesh;
  const char *host; /* name of this host; outlives the limits */
  const char *data_centre;
  int64_t window_ms; /* length of the window to which a rate applies */
};

/* Called with the result of a pending request. */
typedef void limits_handler (void *data, bool admitted);

enum limits_verdict
{
  LIMITS_ADMITTED,
  LIMITS_REFUSED,
  LIMITS_PENDING, /* the handler is called later, with the result */
};

/* What limits_admit would do. */
struct limits_preview
{
  enum limits_verdict verdict;
  bool is_limited; /* the customer has a rate */
  bool is_holder;  /* this host grants the tokens of its data centre's share */
  int64_t retry_after_ms; /* if it is refused in the end */
};

struct limits *limits_create (const struct limits_options *options);
void limits_destroy (struct limits *limits);
void limits_set_hosts (struct limits *limits,
                       const struct host_location *hosts, size_t count);
void limits_apply (struct limits *limits, const struct routing *routing);
enum limits_verdict limits_admit (struct limits *limits,
                                  const struct customer *customer,
                                  bool begins_program, int64_t max_wait_ms,
                                  limits_handler *handler, void *data,
                                  struct limits_waiter **wait);
void limits_cancel (struct limits_waiter *wait);
int64_t limits_retry_after_ms (struct limits *limits,
                               const struct customer *customer,
                               bool begins_program);
struct limits_preview limits_preview (const struct limits *limits,
                                      const struct customer *customer,
                                      bool begins_program);
void limits_handle_frame (struct limits *limits, const char *host,
                          const Peer__Frame *frame);

#endif
