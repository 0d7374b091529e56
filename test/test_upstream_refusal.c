/* Tests of what a zone host believes an upstream that refuses a request, with
   a server of its own.  */
#include "suite.h"

#include "upstream.h"

#include <event2/http.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  LIMIT_S = 3,
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  STATUS_UNAVAILABLE = 503
};

/* Which request's id an answer repeats.  */
enum named
{
  NAMED_OWN,
  NAMED_OTHER,
  NAMED_NONE
};

static struct event_base *base;
static struct evhttp *server;
static marjoram_upstreams *upstreams;
static char address[32];
static int status;         /* of the next answers */
static enum named named;   /* likewise */
static bool leave_pending; /* requests other than resumed ones */
static bool done;
static int failure;             /* -1: none */
static ev_uint16_t caller_port; /* of the last request's connection */

static void
on_request (struct evhttp_request *request, void *context)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  const char *id = evhttp_find_header (
      evhttp_request_get_input_headers (request), "Marjoram-Request");
  const bool resumed
      = strstr (evhttp_request_get_uri (request), "/v1/requests/");

  char *caller = NULL;

  (void)context;
  evhttp_connection_get_peer (evhttp_request_get_connection (request), &caller,
                              &caller_port);
  if (leave_pending && !resumed)
    return;
  if (named != NAMED_NONE)
    evhttp_add_header (headers, "Marjoram-Request",
                       named == NAMED_OTHER ? "other"
                       : id                 ? id
                                            : "id");
  if (status == STATUS_UNAVAILABLE)
    evhttp_add_header (headers, "Marjoram-Not-Run", "yes");
  evhttp_send_reply (request, status, "Answer", NULL);
}

static void
on_head (void *context, uint64_t attempt, const struct marjoram_head *head)
{
  (void)context;
  (void)attempt;
  (void)head;
}

static void
on_data (void *context, uint64_t attempt, marjoram_bytes *bytes)
{
  (void)context;
  (void)attempt;
  (void)bytes;
}

/* The connection is freed from the event loop.  */
static void
leave_soon (void)
{
  const struct timeval soon = { 0, 10000 };

  event_base_loopexit (base, &soon);
}

static void
on_end (void *context, uint64_t attempt)
{
  (void)context;
  (void)attempt;
  done = true;
  leave_soon ();
}

static void
on_failed (void *context, uint64_t attempt, enum marjoram_run_failure what)
{
  (void)context;
  (void)attempt;
  failure = (int)what;
  leave_soon ();
}

static const struct marjoram_upstreams_ops ops
    = { .head = on_head, .data = on_data, .end = on_end, .failed = on_failed };

static void
setup (void)
{
  struct evhttp_bound_socket *bound;
  struct sockaddr_in where;
  socklen_t size = sizeof where;

  signal (SIGPIPE, SIG_IGN);
  leave_pending = false;
  base = event_base_new ();
  server = evhttp_new (base);
  evhttp_set_gencb (server, on_request, NULL);
  bound = evhttp_bind_socket_with_handle (server, "127.0.0.1", 0);
  ck_assert_ptr_nonnull (bound);
  ck_assert_int_eq (getsockname (evhttp_bound_socket_get_fd (bound),
                                 (struct sockaddr *)&where, &size),
                    0);
  snprintf (address, sizeof address, "127.0.0.1:%d", ntohs (where.sin_port));
  upstreams = marjoram_upstreams_create (base, &ops, NULL);
}

static void
teardown (void)
{
  marjoram_upstreams_destroy (upstreams);
  /* Frees the connections.  */
  event_base_loop (base, EVLOOP_NONBLOCK);
  evhttp_free (server);
  event_base_free (base);
}

static void
start (uint64_t attempt)
{
  struct marjoram_array headers = { 0 };
  marjoram_bytes *body = marjoram_bytes_create ("body", 4);
  const struct marjoram_run run = { .address = address,
                                    .id = "id",
                                    .method = "POST",
                                    .path = "/",
                                    .headers = &headers,
                                    .body = body };

  done = false;
  failure = -1;
  marjoram_upstreams_run (upstreams, attempt, &run);
  marjoram_bytes_release (body);
}

static void
run_loop (void)
{
  const struct timeval limit = { LIMIT_S, 0 };

  event_base_loopexit (base, &limit);
  event_base_dispatch (base);
}

static void
answer_with (int next_status, enum named next_named)
{
  status = next_status;
  named = next_named;
}

/* Guards against believing another request's refusal.  */
START_TEST (refusal_on_a_new_connection)
{
  static const enum marjoram_run_failure expected[]
      = { MARJORAM_RUN_REFUSED, MARJORAM_RUN_UNAVAILABLE,
          MARJORAM_RUN_REFUSED };

  answer_with (STATUS_UNAVAILABLE, (enum named)_i);
  start (1);
  run_loop ();
  ck_assert_int_eq (failure, expected[_i]);
}
END_TEST

/* Guards against believing what is left on a used connection.  */
START_TEST (refusal_on_a_used_connection)
{
  static const enum marjoram_run_failure expected[]
      = { MARJORAM_RUN_REFUSED, MARJORAM_RUN_UNAVAILABLE,
          MARJORAM_RUN_UNAVAILABLE };

  answer_with (STATUS_OK, NAMED_OWN);
  start (1);
  run_loop ();
  ck_assert (done);
  answer_with (STATUS_UNAVAILABLE, (enum named)_i);
  start (2);
  run_loop ();
  ck_assert_int_eq (failure, expected[_i]);
}
END_TEST

/* Guards against taking another request for one that never started.  */
START_TEST (answer_that_a_request_never_started)
{
  static const enum marjoram_run_failure expected[]
      = { MARJORAM_RUN_NOT_STARTED, MARJORAM_RUN_NO_RESUME,
          MARJORAM_RUN_NOT_STARTED };

  answer_with (STATUS_NOT_FOUND, (enum named)_i);
  leave_pending = true;
  start (1);
  marjoram_upstreams_resume (upstreams, 1, address, "id", 0);
  run_loop ();
  ck_assert_int_eq (failure, expected[_i]);
}
END_TEST

/* Guards against a late copy of a refusal being taken for the answer to the
   same request.  */
START_TEST (connection_of_a_refusal_is_closed)
{
  ev_uint16_t first;

  answer_with (STATUS_UNAVAILABLE, NAMED_OWN);
  start (1);
  run_loop ();
  ck_assert_int_eq (failure, MARJORAM_RUN_REFUSED);
  first = caller_port;
  answer_with (STATUS_OK, NAMED_OWN);
  start (2);
  run_loop ();
  ck_assert (done);
  ck_assert_uint_ne (caller_port, first);
  first = caller_port;
  start (3);
  run_loop ();
  ck_assert_uint_eq (caller_port, first);
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("upstream_refusal");
  TCase *tests = tcase_create ("upstream_refusal");

  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_set_timeout (tests, 2 * LIMIT_S);
  tcase_add_loop_test (tests, refusal_on_a_new_connection, 0, 3);
  tcase_add_loop_test (tests, refusal_on_a_used_connection, 0, 3);
  tcase_add_loop_test (tests, answer_that_a_request_never_started, 0, 3);
  tcase_add_test (tests, connection_of_a_refusal_is_closed);
  suite_add_tcase (all, tests);
  return all;
}
