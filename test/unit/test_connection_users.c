#include "common/buf.h"
#include "common/counters.h"
#include "common/fetch.h"
#include "common/id.h"
#include "raw_endpoint.h"
#include "suites.h"
#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  TIMEOUT_MS = 2000,
  RANDOM_TIMEOUT_MS = 250,  /* where many answers have no end */
  LONG_BODY_BYTES = 200000, /* several times what libcurl writes at once */
  SHORT_BODY_BYTES = 40,
  TRANSFERS = 12, /* of a play */
  SEEDS = 60,
  MAX_ANSWER_BYTES = 4096,
};

CURLcode __real_curl_easy_setopt (CURL *easy, CURLoption option, ...);
CURLcode __wrap_curl_easy_setopt (CURL *easy, CURLoption option, ...);
CURLMcode __real_curl_multi_setopt (CURLM *multi, CURLMoption option, ...);
CURLMcode __wrap_curl_multi_setopt (CURLM *multi, CURLMoption option, ...);

/* Leaves the protocol to libcurl, which then shares connections. */
static bool leaves_defaults;

/* All arguments have the size of a pointer.  */
CURLcode
__wrap_curl_easy_setopt (CURL *easy, CURLoption option, ...)
{
  va_list arguments;
  void *value;

  va_start (arguments, option);
  value = va_arg (arguments, void *);
  va_end (arguments);
  if (leaves_defaults && option == CURLOPT_HTTP_VERSION)
    return CURLE_OK;
  return __real_curl_easy_setopt (easy, option, value);
}

CURLMcode
__wrap_curl_multi_setopt (CURLM *multi, CURLMoption option, ...)
{
  va_list arguments;
  void *value;

  va_start (arguments, option);
  value = va_arg (arguments, void *);
  va_end (arguments);
  if (leaves_defaults && option == CURLMOPT_PIPELINING)
    return CURLM_OK;
  return __real_curl_multi_setopt (multi, option, value);
}

/* Ends a head that a body such as "for 0" follows. */
#define LENGTH "Content-Length: 5\r\n\r\n"

struct play;

struct transfer
{
  struct play *play;
  int number;
  char *body; /* one letter throughout */
  size_t body_len;
};

struct play
{
  struct ev_loop *loop;
  struct fetcher *fetcher;
  struct raw_endpoint *endpoint;
  struct transfer transfers[TRANSFERS];
  int ended;
  int arrived;          /* requests at the endpoint */
  int foreign;          /* with other bytes in them than one transfer's */
  int mixed;            /* answers that are another transfer's */
  const char *odd_head; /* of the answers to odd ones; NULL for random ones */
  uint64_t random;
  char answer[MAX_ANSWER_BYTES];
  char late[MAX_ANSWER_BYTES];
};

/* Returns a number below LIMIT; the same ones for the same seed.  */
static uint32_t
draw (struct play *play, uint32_t limit)
{
  play->random = id_hash64 (&play->random, sizeof play->random, 1);
  return (uint32_t)(play->random % limit);
}

/* Whether REQUEST is what one transfer sent.  */
static bool
is_request (const struct play *play, const char *request, int number)
{
  const struct transfer *transfer = &play->transfers[number];
  const char *body = strstr (request, "\r\n\r\n") + strlen ("\r\n\r\n");

  return g_str_has_prefix (request, "PUT /")
         && strlen (body) == transfer->body_len
         && strspn (body, (char[]){ (char)('a' + number), '\0' })
                == transfer->body_len;
}

static const char *const status_lines[] = {
  "HTTP/1.1 200 OK",  "HTTP/1.1 200 OK", "HTTP/1.1 200 OK", "HTTP/1.0 200 OK",
  "HTTP/2 200 OK",    "HTTP/2 200",      "HTTP/2.0 200 OK", "HTTP/3 200 OK",
  "HTTP/1.2 200 OK",  "HTTP/0.9 200 OK", "HTTP/1.1 500 No", "HTTP/2 503 No",
  "HTTP/1.1 101 Up",  "HTTP/2 101 Up",   "ICY 200 OK",      "http/1.1 200 OK",
  "HTTP/1.1 2000 OK", "HTTP/2 20 OK",    "RTSP/1.0 200 OK",
};

static const char *const interim_heads[] = {
  "",
  "",
  "",
  "HTTP/1.1 103 Early Hints\r\n\r\n",
  "HTTP/2 103\r\n\r\n",
  "HTTP/2 100\r\n\r\n",
  "HTTP/2.0 103 Early Hints\r\nLink: </x>\r\n\r\n",
  "HTTP/3 103\r\n\r\n",
  "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: Upgrade"
  "\r\n\r\n",
};

static const char *const extra_headers[] = {
  "",
  "",
  "Alt-Svc: h2=\":1\"; ma=3600\r\n",
  "Alt-Svc: h3=\":443\", h2=\":443\"\r\nUpgrade: h2c\r\n",
  "Upgrade: h2c, h2\r\nConnection: Upgrade\r\n",
  "Connection: keep-alive\r\nKeep-Alive: timeout=60\r\n",
  "Connection: close\r\n",
  "HTTP2-Settings: AAMAAABk\r\n",
};

/* Writes a random answer with BODY into PLAY.  */
static void
write_random_answer (struct play *play, const char *body)
{
  uint32_t framing = draw (play, 3);
  char length[32] = "";
  char *framed = NULL;

  if (framing == 0)
    snprintf (length, sizeof length, "Content-Length: %zu\r\n", strlen (body));
  if (framing == 1)
    framed = g_strdup_printf ("%zx\r\n%s\r\n0\r\n\r\n", strlen (body), body);
  snprintf (play->answer, sizeof play->answer, "%s%s\r\n%s%s%s\r\n%s",
            interim_heads[draw (play, G_N_ELEMENTS (interim_heads))],
            status_lines[draw (play, G_N_ELEMENTS (status_lines))], length,
            framing == 1 ? "Transfer-Encoding: chunked\r\n" : "",
            extra_headers[draw (play, G_N_ELEMENTS (extra_headers))],
            framed ? framed : body);
  g_free (framed);
}

/* Makes ANSWER arrive in two parts, or end too early.  */
static void
divide_answer (struct play *play, struct raw_answer *answer)
{
  size_t first = draw (play, (uint32_t)answer->len);

  if (draw (play, 4) == 0)
    {
      snprintf (play->late, sizeof play->late, "%s", answer->bytes + first);
      answer->late = play->late;
      answer->late_ms = draw (play, 8);
    }
  else if (draw (play, 4) == 0)
    {
      answer->end = draw (play, 2) ? RAW_CLOSE : RAW_RESET;
    }
  else
    return;
  answer->len = first;
}

static struct raw_answer
answer (void *data, struct raw_endpoint *endpoint, const char *request)
{
  struct play *play = data;
  const char *id = strstr (request, "X-Number: ");
  int number = id ? atoi (id + strlen ("X-Number: ")) : -1;
  struct raw_answer result = { .bytes = play->answer, .end = RAW_KEEP };
  char body[32];

  play->arrived++;
  if (number < 0 || number >= TRANSFERS || !is_request (play, request, number))
    {
      play->foreign++;
      number = 0;
    }
  snprintf (body, sizeof body, "for %d", number);
  if (play->odd_head && number % 3 == 0)
    snprintf (play->answer, sizeof play->answer, "%s%s", play->odd_head,
              g_str_has_suffix (play->odd_head, LENGTH) ? body : "");
  else if (play->odd_head)
    snprintf (play->answer, sizeof play->answer,
              "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
              strlen (body), body);
  else
    write_random_answer (play, body);
  result.len = strlen (play->answer);
  if (!play->odd_head)
    divide_answer (play, &result);
  return result;
}

static void start_transfer (struct play *play, int number);

/* Starts the transfers after every third one together.  */
static void
start_next (struct play *play, int number)
{
  if (number % 3 == 0 && number + 2 < TRANSFERS)
    {
      start_transfer (play, number + 1);
      start_transfer (play, number + 2);
    }
  else if (number % 3 == 2 && number + 1 < TRANSFERS)
    start_transfer (play, number + 1);
}

static void
handle_done (void *data, const struct fetch_result *result)
{
  struct transfer *transfer = data;
  struct play *play = transfer->play;
  char body[32];
  bool is_own;

  snprintf (body, sizeof body, "for %d", transfer->number);
  is_own = result->body->len == strlen (body)
           && memcmp (result->body->data, body, strlen (body)) == 0;
  /* A body without a framing may be cut. */
  if (result->complete && result->status == 200
      && !(result->framing == FETCH_FRAMING_CLOSE
           && result->body->len < strlen (body))
      && !is_own)
    play->mixed++;
  play->ended++;
  start_next (play, transfer->number);
  ev_break (play->loop, EVBREAK_ALL);
}

static void
start_transfer (struct play *play, int number)
{
  struct transfer *transfer = &play->transfers[number];
  char *url = xasprintf ("http://127.0.0.1:%u/x", play->endpoint->port);
  char *header = xasprintf ("X-Number: %d", number);
  const char *headers[] = { header, NULL };
  struct fetch_options options
      = { .method = "PUT",
          .url = url,
          .headers = headers,
          .exact_headers = true,
          .timeout_ms = play->odd_head ? TIMEOUT_MS : RANDOM_TIMEOUT_MS,
          .single_attempt = number % 2 == 1,
          .handle_done = handle_done,
          .data = transfer };

  transfer->play = play;
  transfer->number = number;
  transfer->body_len
      = number % 3 == 0 ? SHORT_BODY_BYTES : LONG_BODY_BYTES + (size_t)number;
  transfer->body = malloc (transfer->body_len);
  memset (transfer->body, 'a' + number, transfer->body_len);
  options.body = transfer->body;
  options.body_len = transfer->body_len;
  fetch_start (play->fetcher, &options);
  free (url);
  free (header);
}

/* Plays transfers, of which two at a time have long bodies, to an endpoint
   that answers every third one, or all of them at random, with odd bytes.  */
static void
run_play (const char *odd_head, uint64_t seed)
{
  struct play play = { .odd_head = odd_head, .random = seed };
  int64_t shared = counter_get (COUNTER_SHARED_CONNECTIONS);

  play.loop = ev_loop_new (EVFLAG_AUTO);
  play.fetcher = fetcher_create (play.loop);
  play.endpoint = raw_endpoint_create (play.loop, answer, &play);
  start_transfer (&play, 0);
  while (play.ended < TRANSFERS)
    ev_run (play.loop, 0);
  if (play.foreign > 0 || play.mixed > 0)
    fprintf (stderr, "seed %d, %s: %d of %d requests foreign, %d mixed\n",
             (int)seed, odd_head ? odd_head : "random answers", play.foreign,
             play.arrived, play.mixed);
  CU_ASSERT_EQUAL (play.foreign, 0);
  CU_ASSERT_EQUAL (play.mixed, 0);
  if (!leaves_defaults)
    CU_ASSERT_EQUAL (counter_get (COUNTER_SHARED_CONNECTIONS), shared);
  fetcher_destroy (play.fetcher);
  raw_endpoint_destroy (play.endpoint);
  ev_loop_destroy (play.loop);
  for (int i = 0; i < TRANSFERS; i++)
    free (play.transfers[i].body);
}

static const char *const odd_heads[] = {
  "HTTP/2 200 OK\r\n\r\n",
  "HTTP/2.0 200 OK\r\n\r\n",
  "HTTP/2 200 OK\r\n" LENGTH,
  "HTTP/2 103\r\n\r\nHTTP/1.1 200 OK\r\n" LENGTH,
  "HTTP/3 200 OK\r\n\r\n",
  "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: Upgrade"
  "\r\n\r\n",
  "HTTP/1.1 200 OK\r\nAlt-Svc: h2=\":1\"\r\nUpgrade: h2c\r\n" LENGTH,
};

/* Guards against two requests on one connection, one inside the body of the
   other, after the peer has claimed to speak HTTP/2.  */
static void
test_claims_of_other_versions (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (odd_heads); i++)
    run_play (odd_heads[i], 0);
}

/* Guards against the same, and against answers of other requests and reads of
   freed transfers, where answers are random.  */
static void
test_random_answers (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    run_play (NULL, seed);
}

/* Guards against a check of the users that does not work: here libcurl shares
   connections, and no second request may reach one.  */
static void
test_second_users (void)
{
  int64_t shared = counter_get (COUNTER_SHARED_CONNECTIONS);

  leaves_defaults = true;
  for (size_t i = 0; i < G_N_ELEMENTS (odd_heads); i++)
    run_play (odd_heads[i], 0);
  for (uint64_t seed = 1; seed <= SEEDS / 4; seed++)
    run_play (NULL, seed);
  leaves_defaults = false;
  CU_ASSERT_TRUE (counter_get (COUNTER_SHARED_CONNECTIONS) > shared);
}

static void
ignore_result (void *data, const struct fetch_result *result)
{
  *(bool *)data = true;
}

/* Guards against a peer that chooses HTTP/2 in the handshake of TLS: nothing
   offers it.  */
static void
test_tls_offers_no_other_version (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct fetcher *fetcher = fetcher_create (loop);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool has_ended = false;
  struct fetch_options options = { .method = "GET",
                                   .timeout_ms = TIMEOUT_MS,
                                   .handle_done = ignore_result,
                                   .data = &has_ended };
  char hello[4096];
  ssize_t len = -1;
  int fd = -1;
  char *url;

  CU_ASSERT_EQUAL (bind (listener, (struct sockaddr *)&address, size), 0);
  CU_ASSERT_EQUAL (listen (listener, 1), 0);
  getsockname (listener, (struct sockaddr *)&address, &size);
  url = xasprintf ("https://127.0.0.1:%u/", ntohs (address.sin_port));
  options.url = url;
  fetch_start (fetcher, &options);
  while (!has_ended)
    {
      ev_run (loop, EVRUN_ONCE);
      if (fd < 0)
        fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd >= 0 && len < 0)
        len = recv (fd, hello, sizeof hello, MSG_DONTWAIT);
      if (len > 0)
        shutdown (fd, SHUT_RDWR);
    }
  CU_ASSERT_TRUE (len > 0);
  CU_ASSERT_PTR_NULL (memmem (hello, (size_t)MAX (len, 0), "\x02h2", 3));
  close (fd);
  close (listener);
  free (url);
  fetcher_destroy (fetcher);
  ev_loop_destroy (loop);
}

CU_TestInfo connection_users_tests[] = {
  { "a peer claims another version of HTTP", test_claims_of_other_versions },
  { "random answers", test_random_answers },
  { "second users of a connection", test_second_users },
  { "a TLS handshake offers no other version",
    test_tls_offers_no_other_version },
  CU_TEST_INFO_NULL,
};
