#include "caller/routes.h"
#include "common/id.h"
#include "galenashored/server.h"
#include "program/replication.h"
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  HTTP_OK = 200,
  HTTP_CREATED = 201,
  RETRY_MS = 1000,
};

/* Uploads are stored like programs, under ids that cannot clash with program
   ids.  */
static char *
upload_id (const struct api_request *request)
{
  return xasprintf ("upload/%s/%s", request->customer, request->args[0]);
}

static void
handle_disconnect (struct api_request *request)
{
  replication_drop_handlers (request->server->replication, request);
}

static void
handle_stored (void *data, uint32_t stored, uint32_t wanted)
{
  struct api_request *request = data;
  struct error error;
  char *body;

  request->handle_disconnect = NULL;
  if (stored < REPLICATION_FACTOR)
    {
      error_set (&error, ERROR_HISTORY_UNAVAILABLE,
                 stored == 0 ? RUN_NOT_RUN : RUN_MAY_HAVE_RUN,
                 "only %u of %u replicas could be stored; retry the upload",
                 stored, (unsigned)REPLICATION_FACTOR);
      error.retry_after_ms = RETRY_MS;
      api_respond_error (request, &error);
      return;
    }
  body = xasprintf ("{\"upload\":\"%s\",\"copies\":%u}", request->args[0],
                    stored);
  api_respond (request, HTTP_CREATED, "application/json", body, strlen (body));
  free (body);
}

/* PUT /v1/uploads/NAME stores the body under NAME.  Succeeds once
   REPLICATION_FACTOR replicas are on disk.  */
void
handle_upload (struct api_request *request)
{
  History__Record record = HISTORY__RECORD__INIT;
  History__Upload upload = HISTORY__UPLOAD__INIT;
  char *id = upload_id (request);

  upload.customer = request->customer;
  upload.name = request->args[0];
  upload.uploaded_ms = (int64_t)time (NULL) * 1000;
  if (request->content_type)
    upload.content_type = request->content_type;
  upload.data.data = (uint8_t *)request->body.data;
  upload.data.len = request->body.len;
  record.body_case = HISTORY__RECORD__BODY_UPLOAD;
  record.upload = &upload;
  request->handle_disconnect = handle_disconnect;
  replication_append (request->server->replication, id, &record, handle_stored,
                      request);
  free (id);
}

static const History__Upload *
latest_upload (const struct history *history)
{
  const History__Upload *latest = NULL;

  for (size_t i = 0; i < history->count; i++)
    {
      const History__Upload *upload = history->records[i]->upload;

      if (history->records[i]->body_case == HISTORY__RECORD__BODY_UPLOAD
          && (!latest || upload->uploaded_ms >= latest->uploaded_ms))
        latest = upload;
    }
  return latest;
}

static void
handle_fetched (void *data, struct history *history, bool complete)
{
  struct api_request *request = data;
  const History__Upload *upload = latest_upload (history);
  struct error error;

  request->handle_disconnect = NULL;
  if (upload)
    {
      api_respond (request, HTTP_OK,
                   *upload->content_type ? upload->content_type
                                         : "application/octet-stream",
                   upload->data.data, upload->data.len);
      return;
    }
  error_set (&error, complete ? ERROR_NOT_FOUND : ERROR_HISTORY_UNAVAILABLE,
             RUN_NOT_RUN, "%s",
             complete ? "the upload does not exist"
                      : "no replica of the upload is reachable; retry later");
  error.retry_after_ms = complete ? 0 : RETRY_MS;
  api_respond_error (request, &error);
}

/* GET /v1/uploads/NAME returns the latest body uploaded under NAME.  */
void
handle_upload_show (struct api_request *request)
{
  char *id = upload_id (request);

  request->handle_disconnect = handle_disconnect;
  replication_fetch (request->server->replication, id, handle_fetched,
                     request);
  free (id);
}
