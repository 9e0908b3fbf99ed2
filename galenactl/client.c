#include "config/config.h"
#include "galenactl/command.h"
#include <curl/curl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CONNECT_TIMEOUT_MS = 2000,
  REQUEST_TIMEOUT_MS = 10000,
  HTTP_OK = 200,
  HTTP_NOT_FOUND = 404,
  HTTP_CONFLICT = 409,
  MAX_WRITE_ATTEMPTS = 5,
};

/* Prints an error message and returns the exit status for it.  */
int
ctl_fail (const char *format, ...)
{
  va_list args;

  fputs ("galenactl: ", stderr);
  va_start (args, format);
  vfprintf (stderr, format, args);
  va_end (args);
  fputc ('\n', stderr);
  return CTL_FAILED;
}

static size_t
append_body (char *bytes, size_t size, size_t count, void *data)
{
  buf_append (data, bytes, size * count);
  return size * count;
}

/* Sends an HTTP request and waits for its response.  BEARER, CA_FILE and BODY
   may be NULL.  The caller frees the body of the response.  */
struct ctl_response
ctl_request (const char *method, const char *url, const char *bearer,
             const char *ca_file, const json_t *body)
{
  CURL *easy = curl_easy_init ();
  struct curl_slist *headers
      = curl_slist_append (NULL, "Content-Type: application/json");
  char *text = body ? json_dumps (body, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
  char *authorization
      = bearer ? xasprintf ("Authorization: Bearer %s", bearer) : NULL;
  struct buf received = { 0 };
  struct ctl_response response = { 0 };
  long request_bytes = 0;

  if (authorization)
    headers = curl_slist_append (headers, authorization);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  if (ca_file)
    curl_easy_setopt (easy, CURLOPT_CAINFO, ca_file);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)REQUEST_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &received);
  if (text || strcmp (method, "POST") == 0)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, text ? text : "");
  if (curl_easy_perform (easy) == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &response.status);
  curl_easy_getinfo (easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  response.sent = request_bytes > 0;
  if (received.data)
    response.body = json_loadb (received.data, received.len, 0, NULL);
  buf_release (&received);
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  free (authorization);
  free (text);
  return response;
}

/* Sends a request to the operator listener at ADDRESS, or to the one given by
   the options if ADDRESS is NULL.  */
struct ctl_response
ctl_request_operator (const struct ctl *ctl, const char *address,
                      const char *method, const char *path)
{
  char *url = xasprintf ("%s://%s%s", ctl->operator_ca ? "https" : "http",
                         address ? address : ctl->operator_address, path);
  struct ctl_response response
      = ctl_request (method, url, ctl->operator_key, ctl->operator_ca, NULL);

  free (url);
  return response;
}

/* Lists the objects of KINDS, a comma-separated list.  The caller frees the
   array.  Prints an error and returns NULL if the request fails.  */
json_t *
ctl_list (const struct ctl *ctl, const char *kinds)
{
  char *url = xasprintf ("%s/objects?kinds=%s", ctl->platform_url, kinds);
  struct ctl_response response = ctl_request ("GET", url, NULL, NULL, NULL);
  json_t *objects = NULL;

  free (url);
  if (response.status == HTTP_OK)
    objects = json_incref (json_object_get (response.body, "objects"));
  else
    ctl_fail (
        "the platform at %s did not respond as expected; check --platform",
        ctl->platform_url);
  json_decref (response.body);
  return objects;
}

/* Reads an object, which the caller frees.  Returns NULL if it does not exist,
   or prints an error and returns NULL if the request fails.  */
json_t *
ctl_get (const struct ctl *ctl, const char *kind, const char *name)
{
  char *url = xasprintf ("%s/objects/%s/%s", ctl->platform_url, kind, name);
  struct ctl_response response = ctl_request ("GET", url, NULL, NULL, NULL);

  free (url);
  if (response.status == HTTP_OK)
    return response.body;
  if (response.status != HTTP_NOT_FOUND)
    ctl_fail (
        "the platform at %s did not respond as expected; check --platform",
        ctl->platform_url);
  json_decref (response.body);
  return NULL;
}

/* Returns the version of an object, or 0 for NULL.  */
uint64_t
ctl_version (const json_t *object)
{
  return (uint64_t)json_integer_value (json_object_get (object, "version"));
}

/* Returns whether a write whose response was lost has been applied: the object
   then has the written data and a version later than VERSION.  Sets
   NEW_VERSION, which may be NULL, if so.  */
static bool
is_write_applied (const struct ctl *ctl, const char *kind, const char *name,
                  uint64_t version, const json_t *data, uint64_t *new_version)
{
  json_t *object = ctl_get (ctl, kind, name);
  bool applied = object && ctl_version (object) > version
                 && json_equal (json_object_get (object, "data"), data);

  if (applied && new_version)
    *new_version = ctl_version (object);
  json_decref (object);
  return applied;
}

/* Validates DATA and writes it if the object still has VERSION; version 0
   creates the object.  Sets NEW_VERSION, which may be NULL, to the version
   that the platform assigned.  Prints an error and returns false on
   failure.  */
bool
ctl_put (const struct ctl *ctl, const char *kind, const char *name,
         uint64_t version, const json_t *data, uint64_t *new_version)
{
  char *url;
  struct error error;
  struct ctl_response response = { 0 };
  bool written = false;

  if (!config_validate_object (kind, name, data, &error))
    {
      ctl_fail ("%s", error.message);
      return false;
    }
  url = xasprintf ("%s/objects/%s/%s?version=%" PRIu64, ctl->platform_url,
                   kind, name, version);
  for (int i = 0; i < MAX_WRITE_ATTEMPTS && !written; i++)
    {
      response = ctl_request ("PUT", url, NULL, NULL, data);
      written = response.status == HTTP_OK;
      if (written && new_version)
        *new_version = ctl_version (response.body);
      json_decref (response.body);
      if (!written
          && is_write_applied (ctl, kind, name, version, data, new_version))
        written = true;
      if (response.status == HTTP_CONFLICT)
        break;
    }
  free (url);
  if (!written)
    ctl_fail (
        response.status == HTTP_CONFLICT
            ? "%s \"%s\" was modified concurrently; review it and try "
              "again"
            : "%s \"%s\" was not written: the platform did not respond as "
              "expected; try again",
        kind, name);
  return written;
}

/* Deletes an object if it still has VERSION.  Prints an error and returns
   false on failure.  */
bool
ctl_delete (const struct ctl *ctl, const char *kind, const char *name,
            uint64_t version)
{
  char *url = xasprintf ("%s/objects/%s/%s?version=%" PRIu64,
                         ctl->platform_url, kind, name, version);
  struct ctl_response response = ctl_request ("DELETE", url, NULL, NULL, NULL);

  free (url);
  json_decref (response.body);
  if (response.status == HTTP_OK)
    return true;
  ctl_fail (
      "%s \"%s\" was not deleted (HTTP status %ld); review it and try again",
      kind, name, response.status);
  return false;
}
