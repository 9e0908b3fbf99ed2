/* HTTP headers that the platform's callers and endpoints use. */
#ifndef GALENA_PLATFORM_WIRE_H
#define GALENA_PLATFORM_WIRE_H

#include "request/request.h"

extern const struct request_wire platform_wire;

#define WIRE_ATTEMPT_ID "Attempt-Id"
#define WIRE_DEADLINE_MS "Deadline-Ms"
#define WIRE_API_KEY "Credential"
#define WIRE_CUSTOMER "Tenant"
#define WIRE_ENDPOINT_ID "Expect-Instance"
#define WIRE_LAST_EVENT_ID "Last-Event-Id"
#define WIRE_RESUMES "Resumes" /* WIRE_ATTEMPT_ID of the first event */
#define WIRE_PRIORITY "Request-Priority"
#define WIRE_PROGRAM "Program-Id"
#define WIRE_PREVIOUS_TURN "Previous-Turn" /* WIRE_ATTEMPT_ID of that turn */
#define WIRE_PROGRAM_DEADLINE_MS "Program-Deadline-Ms" /* time left */
#define WIRE_TOKEN_BUDGET "Token-Budget"
#define WIRE_TOKEN_COUNTS "Token-Usage"   /* PROMPT,MAX_OUTPUT */
#define WIRE_PROMPT_PARTS "Prompt-Prefix" /* ID:TOKENS,... */
#define WIRE_SERVER_STAMP "Server-Stamp"
#define WIRE_ENDPOINT_LEAVING "Server-Leaving" /* 1 */
#define WIRE_ENDPOINT_LIMIT "Server-Limit" /* requests per second, decimal */
#define WIRE_NOT_EXECUTED "Not-Executed"
/* RUNNING,WAITING,SLOTS and, of some services, PERCENT of the usual time that
   work takes now. */
#define WIRE_ENDPOINT_LOAD "Server-Load"

extern const char *const wire_single_headers[];

bool wire_is_hop_by_hop_header (const char *name);
bool wire_is_reserved_header (const char *name);

#endif
