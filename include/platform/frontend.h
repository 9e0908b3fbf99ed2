/* HTTP frontend of an entry host: turns the callers' HTTP requests into
   requests of the pipeline.  The header names are those of the platform
   (platform/wire.h). */
#ifndef GALENA_PLATFORM_FRONTEND_H
#define GALENA_PLATFORM_FRONTEND_H

#include "common/httpd.h"
#include "request/request.h"

struct frontend;

enum
{
  /* What an open request takes beside its body and its connection: itself,
     its headers, and its transfer from an endpoint. */
  FRONTEND_REQUEST_BYTES = 24 * 1024,
  /* Of a connection, for two header blocks of maximum size. */
  FRONTEND_CONNECTION_BYTES = 36 * 1024,
  /* What a caller with an open request takes, beside HTTPD_CONNECTION_BYTES
     and its body. */
  FRONTEND_CALLER_BYTES = FRONTEND_CONNECTION_BYTES + FRONTEND_REQUEST_BYTES,
};

struct frontend_options
{
  struct ev_loop *loop;
  struct pipeline *pipeline;
  const char *listen; /* "IP:port" */
  uint32_t max_connections;
  struct buffer_budget *buffers; /* for what is held for callers */
};

struct frontend *frontend_create (const struct frontend_options *options,
                                  struct error *error);
void frontend_destroy (struct frontend *frontend);
void frontend_announce_close (struct frontend *frontend);
void frontend_cut_stalled (struct frontend *frontend, int64_t now_ms);
void frontend_relieve (struct frontend *frontend, int64_t now_ms);
uint16_t frontend_port (const struct frontend *frontend);
uint32_t frontend_open_requests (const struct frontend *frontend);
void frontend_stop_listening (struct frontend *frontend);
int64_t frontend_parse_number (const char *value);
void frontend_parse_token_counts (struct request_input *input,
                                  const char *text);
void frontend_parse_prompt_parts (struct request_input *input,
                                  const char *text);

#endif
