/* What a host knows of a cold endpoint (policy/cold.h), and how that bears on
   the endpoint's limit.  */
#ifndef GALENA_REQUEST_COLD_ENDPOINT_H
#define GALENA_REQUEST_COLD_ENDPOINT_H

#include "request/pool.h"
#include <stdbool.h>
#include <stdint.h>

bool cold_endpoint_record (struct pool_endpoint *endpoint,
                           const struct cold_state *heard, int64_t now_ms);
void cold_endpoint_set_rate (struct pool_endpoint *endpoint,
                             int64_t rate_milli, int64_t now_ms);
void cold_endpoint_refresh (struct pool_endpoint *endpoint, int64_t now_ms);
int64_t cold_endpoint_named_limit (const struct pool_endpoint *endpoint);
void cold_endpoint_set_named_limit (struct pool_endpoint *endpoint,
                                    int64_t limit_milli, int64_t now_ms);

#endif
