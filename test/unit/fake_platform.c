#include "fake_platform.h"
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_LOOP_ITERATIONS = 100000,
};

static void
drop_response (struct httpd_request *request)
{
  httpd_stream_begin (request, 200, "application/json");
  httpd_stream_abort (request);
}

static void
handle_write (struct fake_platform *fake, struct httpd_request *request,
              const char *key)
{
  json_t *object = json_object_get (fake->objects, key);
  uint64_t version = strtoull (httpd_query (request, "version"), NULL, 10);
  uint64_t current_version
      = (uint64_t)json_integer_value (json_object_get (object, "version"));

  if (fake->lost_requests > 0)
    {
      fake->lost_requests--;
      drop_response (request);
      return;
    }
  if (current_version != version)
    {
      httpd_respond_json (
          request, 409,
          json_pack ("{s:I}", "version", (json_int_t)current_version));
      return;
    }
  json_object_set_new (
      fake->objects, key,
      json_pack ("{s:I, s:o}", "version", (json_int_t)++fake->revision, "data",
                 json_loadb (request->body.data, request->body.len, 0, NULL)));
  if (fake->lost_responses > 0)
    {
      fake->lost_responses--;
      drop_response (request);
      return;
    }
  httpd_respond_json (
      request, 200,
      json_pack ("{s:I}", "version", (json_int_t)fake->revision));
}

static void
handle_request (void *data, struct httpd_request *request)
{
  struct fake_platform *fake = data;
  const char *key = request->path + strlen ("/objects/");
  json_t *object = json_object_get (fake->objects, key);

  if (fake->down)
    drop_response (request);
  else if (strcmp (request->method, "PUT") == 0)
    handle_write (fake, request, key);
  else if (object)
    httpd_respond_json (request, 200, json_incref (object));
  else
    httpd_respond_json (request, 404, json_object ());
}

void
fake_platform_start (struct fake_platform *fake)
{
  struct httpd_options options = { .address = "127.0.0.1",
                                   .connection_memory_bytes = 8192,
                                   .max_body_bytes = 1 << 20,
                                   .max_connections = 64,
                                   .handle_request = handle_request,
                                   .data = fake };
  struct error error;
  char url[64];

  memset (fake, 0, sizeof *fake);
  fake->loop = ev_loop_new (EVFLAG_AUTO);
  fake->objects = json_object ();
  options.loop = fake->loop;
  fake->httpd = httpd_create (&options, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fake->httpd);
  fake->fetcher = fetcher_create (fake->loop);
  snprintf (url, sizeof url, "http://127.0.0.1:%u", httpd_port (fake->httpd));
  platform_init (&fake->client, fake->fetcher, url);
}

void
fake_platform_stop (struct fake_platform *fake)
{
  if (fake->fetcher)
    fetcher_destroy (fake->fetcher);
  platform_release (&fake->client);
  httpd_destroy (fake->httpd);
  json_decref (fake->objects);
  ev_loop_destroy (fake->loop);
}

void
fake_platform_run (struct fake_platform *fake, const bool *done)
{
  for (int i = 0; i < MAX_LOOP_ITERATIONS && !*done; i++)
    ev_run (fake->loop, EVRUN_ONCE);
  CU_ASSERT_TRUE (*done);
}

json_t *
fake_platform_data (struct fake_platform *fake, const char *key)
{
  return json_object_get (json_object_get (fake->objects, key), "data");
}
