/* Parses request bodies and turns them into call parameters. */
#ifndef GALENA_CALLER_BODY_H
#define GALENA_CALLER_BODY_H

#include "caller/api.h"
#include "common/fields.h"
#include "program/call.h"

/* The fields common to model calls of the native and the chat API. */
struct model_body
{
  char *model;
  json_t *messages;
  int64_t max_tokens;
  bool stream;
};

bool body_parse (const struct api_request *request, json_t **root,
                 struct error *error);
bool body_to_model_spec (struct api_request *request,
                         const struct model_body *body, struct call_spec *spec,
                         struct error *error);
bool body_to_tool_spec (struct api_request *request, const char *path,
                        struct call_spec *spec, struct error *error);

#endif
