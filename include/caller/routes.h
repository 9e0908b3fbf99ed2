/* Routes requests to the handler of their path, and to the host that serves
   their program. */
#ifndef GALENA_CALLER_ROUTES_H
#define GALENA_CALLER_ROUTES_H

#include "caller/api.h"

typedef void route_handler (struct api_request *request);

enum route_owner
{
  ROUTE_ANY_HOST,      /* handled by any host */
  ROUTE_PROGRAM_OWNER, /* handled by the owner of the request's program */
};

struct route_entry
{
  const char *method;
  const char *pattern; /* "*" matches one segment, a final "**" the rest */
  enum route_owner owner;
  bool rate_limited; /* subject to the customer's rate limit */
  route_handler *handle;
};

const struct route_entry *routes_find (struct api_request *request,
                                       struct error *error);
void routes_dispatch (struct api_request *request);
void routes_dispatch_forwarded (struct api_request *request);

/* The handlers of the routes, each defined in the file of its name.  A handler
   responds to the request, maybe later. */
void handle_branch_open (struct api_request *request);
void handle_model_call (struct api_request *request);
void handle_chat (struct api_request *request);
void handle_program_close (struct api_request *request);
void handle_program_open (struct api_request *request);
void handle_program_show (struct api_request *request);
void handle_service (struct api_request *request);
void handle_tool_call (struct api_request *request);
void handle_upload (struct api_request *request);
void handle_upload_show (struct api_request *request);

#endif
