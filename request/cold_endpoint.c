#include "request/cold_endpoint.h"
#include "common/counters.h"
#include "common/log.h"
#include <glib.h>

static int64_t
effective_limit (const struct pool_endpoint *endpoint)
{
  int64_t named_milli = endpoint->named_limit_milli;

  return named_milli < 0 ? endpoint->cold.rate_milli
                         : MIN (named_milli, endpoint->cold.rate_milli);
}

static void
begin (struct pool_endpoint *endpoint, int64_t now_ms)
{
  endpoint->is_cold = true;
  endpoint->cold_since_ms = now_ms;
  endpoint->named_limit_milli = endpoint->limit_milli;
  counter_add (COUNTER_COLD_ENDPOINTS, 1);
  log_write (LOG_INFO, "cold", NULL,
             "endpoint %s is cold for %" G_GINT64_FORMAT
             " ms: %" G_GINT64_FORMAT
             " requests per 1000 s from all hosts together",
             endpoint->id, endpoint->cold.until_ms - now_ms,
             endpoint->cold.rate_milli);
}

static void
end (struct pool_endpoint *endpoint)
{
  endpoint->is_cold = false;
  endpoint->limit_milli = endpoint->named_limit_milli;
  endpoint->permit_after_ms = 0;
  log_write (LOG_INFO, "cold", NULL, "endpoint %s is no longer cold",
             endpoint->id);
}

/* Brings the endpoint's limit up to date.  While it is cold, that is the lower
   one of the limit that it names and of what it tolerates.  */
void
cold_endpoint_refresh (struct pool_endpoint *endpoint, int64_t now_ms)
{
  bool is_cold = cold_is_active (&endpoint->cold, now_ms);

  if (is_cold && !endpoint->is_cold)
    begin (endpoint, now_ms);
  else if (!is_cold && endpoint->is_cold)
    end (endpoint);
  if (endpoint->is_cold)
    endpoint->limit_milli = effective_limit (endpoint);
}

/* Records what the registry or another host tells.  Returns whether that is
   news, as cold_is_news tells.  */
bool
cold_endpoint_record (struct pool_endpoint *endpoint,
                      const struct cold_state *heard, int64_t now_ms)
{
  bool is_news = cold_merge (&endpoint->cold, heard);

  /* A new cold time may follow the one before at once. */
  if (is_news && endpoint->is_cold)
    endpoint->cold_since_ms = now_ms;
  cold_endpoint_refresh (endpoint, now_ms);
  return is_news;
}

/* Sets what the endpoint tolerates while it is cold, by the configuration; 0
   if any number of requests.  */
void
cold_endpoint_set_rate (struct pool_endpoint *endpoint, int64_t rate_milli,
                        int64_t now_ms)
{
  endpoint->cold.rate_milli = rate_milli;
  cold_endpoint_refresh (endpoint, now_ms);
}

/* Returns the limit that the endpoint names itself, negative for none.  */
int64_t
cold_endpoint_named_limit (const struct pool_endpoint *endpoint)
{
  return endpoint->is_cold ? endpoint->named_limit_milli
                           : endpoint->limit_milli;
}

/* Sets the limit that the endpoint names itself, negative for none.  */
void
cold_endpoint_set_named_limit (struct pool_endpoint *endpoint,
                               int64_t limit_milli, int64_t now_ms)
{
  if (endpoint->is_cold)
    endpoint->named_limit_milli = limit_milli;
  else
    endpoint->limit_milli = limit_milli;
  cold_endpoint_refresh (endpoint, now_ms);
}
