/* GET /explain on the metrics listener of an entry host: where a request would
   go now (request/explain.h).  Read only. */
#ifndef GALENA_PLATFORM_EXPLAIN_PAGE_H
#define GALENA_PLATFORM_EXPLAIN_PAGE_H

#include "common/httpd.h"
#include "request/explain.h"

void explain_page_respond (const struct explain_sources *sources,
                           struct httpd_request *request, int64_t now_ms);

#endif
