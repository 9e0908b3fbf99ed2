#include "common/request_head.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <strings.h>

enum
{
  VERSION_BYTES = 8, /* "HTTP/1.1" */
  LINE_END_BYTES = 2,
  MAX_SINGLE_HEADERS = 32, /* bits of head_walk.seen */
};

/* libmicrohttpd reads a head in place: it replaces the separators by null
   bytes and leaves all else where it arrived.  So each header must begin right
   after the line before; where it does not, that line was folded, ended
   without a carriage return, or holds a null byte that hides its rest.  */
struct head_walk
{
  const struct request_head *head;
  const char *next; /* where the next line must begin */
  const char *fault;
  bool has_length;
  bool has_coding;
  uint32_t seen; /* bits of single_headers, and of those of HTTP after them */
};

static const char *const http_single_headers[]
    = { "Host", "Authorization", "Content-Type", NULL };

static bool
is_token_char (unsigned char c)
{
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z')
         || (c >= 'A' && c <= 'Z') || (c && strchr ("!#$%&'*+-.^_`|~", c));
}

static bool
is_token (const char *text, size_t len)
{
  for (size_t i = 0; i < len; i++)
    if (!is_token_char ((unsigned char)text[i]))
      return false;
  return len > 0;
}

/* Whether TEXT has no control character but tabs.  */
static bool
is_value (const char *text, size_t len)
{
  for (size_t i = 0; i < len; i++)
    {
      unsigned char c = (unsigned char)text[i];

      if ((c < ' ' && c != '\t') || c == 0x7f)
        return false;
    }
  return true;
}

static bool
is_target (const char *text)
{
  if (!*text)
    return false;
  for (; *text; text++)
    if ((unsigned char)*text <= ' ' || *text == 0x7f)
      return false;
  return true;
}

/* Whether LINE is a header as fetch_start takes it: "Name: value", or "Name;"
   for one without a value.  */
bool
request_head_is_field (const char *line)
{
  size_t name_len = strcspn (line, ":;");

  return is_token (line, name_len) && line[name_len]
         && is_value (line + name_len + 1, strlen (line + name_len + 1));
}

/* Whether the line that ends at END was ended by a carriage return and a line
   feed.  libmicrohttpd leaves a null byte for each.  */
static bool
is_line_end (const char *end)
{
  return end[0] == '\0' && end[1] == '\0';
}

/* Returns the bit of NAME among LIST, whose first one is that of FIRST, or 0.
 */
static uint32_t
find_bit (const char *const *list, uint32_t first, const char *name)
{
  for (uint32_t i = 0; list && list[i] && first + i < MAX_SINGLE_HEADERS; i++)
    if (strcasecmp (list[i], name) == 0)
      return UINT32_C (1) << (first + i);
  return 0;
}

static uint32_t
count_names (const char *const *list)
{
  uint32_t count = 0;

  while (list && list[count])
    count++;
  return count;
}

/* Whether NAME may come once and has come before.  */
static bool
is_repeated (struct head_walk *walk, const char *name)
{
  const char *const *own = walk->head->single_headers;
  uint32_t bit = find_bit (own, 0, name)
                 | find_bit (http_single_headers, count_names (own), name);
  bool is_known = (walk->seen & bit) != 0;

  walk->seen |= bit;
  return is_known;
}

/* Returns what is wrong with a header that tells where the body ends, or NULL.
 */
static const char *
find_framing_fault (struct head_walk *walk, const char *name,
                    const char *value, size_t len)
{
  static const char chunked[] = "chunked";
  bool is_length = strcasecmp (name, "Content-Length") == 0;
  bool is_coding = strcasecmp (name, "Transfer-Encoding") == 0;

  if (!is_length && !is_coding)
    return NULL;
  if (walk->has_length || walk->has_coding)
    return "it tells twice where the body ends";
  walk->has_length = is_length;
  walk->has_coding = is_coding;
  if (is_length && (len == 0 || strspn (value, "0123456789") != len))
    return "its length is no number";
  if (is_coding
      && (len != strlen (chunked) || strcasecmp (value, chunked) != 0))
    return "its transfer coding is not that of chunks";
  if (is_coding && strcmp (walk->head->version, MHD_HTTP_VERSION_1_1) != 0)
    return "its version knows no chunks";
  return NULL;
}

/* Returns what is wrong with a line of the head, or NULL.  */
static const char *
find_line_fault (struct head_walk *walk, const char *name, size_t name_len,
                 const char *value, size_t value_len)
{
  const char *after;

  if (!value || name != walk->next)
    return "a line is folded, or has a null byte";
  if (!is_token (name, name_len))
    return "the name of a header is not valid";
  after = name + name_len + 1;
  if (value != after + strspn (after, " \t"))
    return "a header is not in one piece";
  if (!is_value (value, value_len))
    return "a header has a control character";
  if (!is_line_end (value + value_len))
    return "a line does not end with a carriage return and a line feed";
  if (is_repeated (walk, name))
    return "a header comes twice";
  return find_framing_fault (walk, name, value, value_len);
}

static enum MHD_Result
walk_header (void *data, enum MHD_ValueKind kind, const char *name,
             size_t name_len, const char *value, size_t value_len)
{
  struct head_walk *walk = data;

  walk->fault = find_line_fault (walk, name, name_len, value, value_len);
  if (walk->fault)
    return MHD_NO;
  walk->next = value + value_len + LINE_END_BYTES;
  return MHD_YES;
}

/* Returns what is wrong with the request line, or NULL.  */
static const char *
find_request_line_fault (const struct request_head *head)
{
  size_t method_len = strlen (head->method);

  if (!is_token (head->method, method_len)
      || head->method + method_len + 1 != head->url)
    return "its method is not valid";
  if (!is_target (head->target)
      || head->url + strlen (head->target) + 1 != head->version)
    return "its target is not valid";
  if (strcmp (head->version, MHD_HTTP_VERSION_1_1) != 0
      && strcmp (head->version, MHD_HTTP_VERSION_1_0) != 0)
    return "its version is not known";
  if (!is_line_end (head->version + VERSION_BYTES))
    return "a line does not end with a carriage return and a line feed";
  return NULL;
}

/* Returns why HEAD, which has arrived as a whole, can be read in more than one
   way, as a constant; or NULL.  To be called before anything else uses it.  */
const char *
request_head_find_fault (const struct request_head *head)
{
  struct head_walk walk = { .head = head };
  const char *fault = find_request_line_fault (head);
  const union MHD_ConnectionInfo *size;

  if (fault)
    return fault;
  walk.next = head->version + VERSION_BYTES + LINE_END_BYTES;
  MHD_get_connection_values_n (head->connection, MHD_HEADER_KIND, walk_header,
                               &walk);
  if (walk.fault)
    return walk.fault;
  /* The empty line follows the last one.  */
  size = MHD_get_connection_info (head->connection,
                                  MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  if (walk.next + LINE_END_BYTES != head->method + size->header_size)
    return "its end can be read in two ways";
  return NULL;
}
