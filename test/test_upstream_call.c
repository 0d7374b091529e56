/* Tests of calls to upstreams, with a server of its own.  */
#include "suite.h"

#include "cleanup.h"
#include "retry_after.h"
#include "upstream_call.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  TIMEOUT_MS = 2000,
  /* Sizes in bytes, compared with the limits of a call's answer.  */
  BELOW = 60 * 1024,
  OVER = 70 * 1024,
  FAR_OVER = 4 * 1024 * 1024,
  STATUS_UNAVAILABLE = 503
};

static struct event_base *base;
static struct evhttp *server;
static marjoram_upstream_calls *calls;
static char address[32];
static const char *retry_after;
static int status_seen;
static int64_t retry_ms_seen;

static size_t head_bytes; /* of one header of the answer; 0: without it */
static size_t body_bytes;

static void
add_bytes (struct evhttp_request *request)
{
  struct evbuffer *body = evhttp_request_get_output_buffer (request);
  char *text = marjoram_alloc (
      (head_bytes > body_bytes ? head_bytes : body_bytes) + 1);

  memset (text, 'x', body_bytes);
  evbuffer_add (body, text, body_bytes);
  text[body_bytes] = '\0';
  memset (text, 'x', head_bytes);
  text[head_bytes] = '\0';
  if (head_bytes > 0)
    evhttp_add_header (evhttp_request_get_output_headers (request), "X-Long",
                       text);
  free (text);
}

static void
on_request (struct evhttp_request *request, void *context)
{
  (void)context;
  add_bytes (request);
  if (retry_after)
    evhttp_add_header (evhttp_request_get_output_headers (request),
                       "Retry-After", retry_after);
  evhttp_send_reply (request, STATUS_UNAVAILABLE, "busy", NULL);
}

static void
on_done (void *context, int status, bool timed_out, int64_t retry_ms)
{
  /* The connection is freed from the event loop.  */
  const struct timeval soon = { 0, 10000 };

  (void)context;
  (void)timed_out;
  status_seen = status;
  retry_ms_seen = retry_ms;
  event_base_loopexit (base, &soon);
}

static void
release (void *context)
{
  (void)context;
}

static void
setup (void)
{
  struct evhttp_bound_socket *bound;
  struct sockaddr_in where;
  socklen_t size = sizeof where;

  signal (SIGPIPE, SIG_IGN);
  head_bytes = body_bytes = 0;
  retry_after = NULL;
  base = event_base_new ();
  server = evhttp_new (base);
  evhttp_set_gencb (server, on_request, NULL);
  bound = evhttp_bind_socket_with_handle (server, "127.0.0.1", 0);
  ck_assert_ptr_nonnull (bound);
  ck_assert_int_eq (getsockname (evhttp_bound_socket_get_fd (bound),
                                 (struct sockaddr *)&where, &size),
                    0);
  snprintf (address, sizeof address, "127.0.0.1:%d", ntohs (where.sin_port));
  calls = marjoram_upstream_calls_create (base);
}

static void
teardown (void)
{
  marjoram_upstream_calls_destroy (calls, release);
  evhttp_free (server);
  event_base_free (base);
}

/* Guards against times that are cut off, overflow, or lie in the past.  */
START_TEST (retry_after_is_read_as_elsewhere)
{
  static const struct
  {
    const char *text;
    int64_t ms;
  } cases[] = {
    { NULL, 0 },
    { "3", 3000 },
    { "1.5", 1500 },
    { "-5", 0 },
    { "soon", 0 },
    { "9223372036854775807", MARJORAM_RETRY_AFTER_MAX_MS },
    { "100000000000000000000", MARJORAM_RETRY_AFTER_MAX_MS },
  };

  retry_after = cases[_i].text;
  status_seen = -1;
  ck_assert (marjoram_upstream_call (calls, address, "/", "{}", TIMEOUT_MS,
                                     on_done, NULL));
  event_base_dispatch (base);
  ck_assert_int_eq (status_seen, STATUS_UNAVAILABLE);
  ck_assert_int_eq (retry_ms_seen, cases[_i].ms);
}
END_TEST

/* Guards against memory that is taken up by what an upstream answers.  */
START_TEST (answers_over_the_limits_are_given_up)
{
  static const struct
  {
    size_t head;
    size_t body;
    int status;
  } cases[] = {
    { BELOW, BELOW, STATUS_UNAVAILABLE },
    { OVER, 0, 0 },
    { 0, OVER, 0 },
    { FAR_OVER, 0, 0 },
    { 0, FAR_OVER, 0 },
  };

  head_bytes = cases[_i].head;
  body_bytes = cases[_i].body;
  status_seen = -1;
  ck_assert (marjoram_upstream_call (calls, address, "/", "{}", TIMEOUT_MS,
                                     on_done, NULL));
  event_base_dispatch (base);
  ck_assert_int_eq (status_seen, cases[_i].status);
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("upstream_call");
  TCase *tests = tcase_create ("upstream_call");

  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_loop_test (tests, retry_after_is_read_as_elsewhere, 0, 7);
  tcase_add_loop_test (tests, answers_over_the_limits_are_given_up, 0, 5);
  suite_add_tcase (all, tests);
  return all;
}
