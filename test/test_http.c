/* HTTP server and client over loopback: parser strictness, connection life
   cycle and the reported result of attempts.  */
#include "suite.h"

#include "cleanup.h"
#include "carried_ids.h"
#include "http_client.h"
#include "http_server.h"
#include "socket_option.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  ID_MAX = 32,
  LIMIT_MS = 5000,
  TEXT_MAX = 4096,
  BACKLOG_SOCKETS = 4,  /* a listener, and connections to fill its backlog */
  CONNECT_LAG_MS = 700, /* above the connect timeout */
  GRACE_MS = 200,       /* of a server that closes idle connections */
  CLOSE_MAX_MS = 600,   /* grace period, tick and close by the caller */
  AFTER_GRACE_MS = 400, /* well after the grace period */
  LARGE_BYTES = 9 * 1024 * 1024, /* exceeds the socket buffers */
  SMALL_BYTES = 8 * 1024,
  EXCESS_BYTES = 512 * 1024 /* over what may come beside a body */
};

static struct event_base *base;
static marjoram_http_server *server;
static char server_address[64];
static struct bufferevent *raw; /* connection to the server */
static char received[TEXT_MAX]; /* data received on RAW */
static bool raw_closed;
static short raw_events; /* of the close */
static int requests;
static int gone;
static uint64_t last_call;
static char last_target[256];
static char last_body[256];
static int rejected;

/* ---- Server fixture.  ---- */

static void
on_request (void *context, uint64_t call,
            struct marjoram_http_request *request)
{
  struct marjoram_header_list headers = { 0 };

  (void)context;
  requests++;
  last_call = call;
  snprintf (last_target, sizeof last_target, "%s", request->target);
  snprintf (last_body, sizeof last_body, "%.*s",
            (int)marjoram_bytes_size (request->body),
            request->body ? (const char *)marjoram_bytes_data (request->body)
                          : "");
  if (strcmp (request->target, "/hold") != 0)
    {
      marjoram_http_server_head (server, call, 200, &headers, 2);
      marjoram_http_server_data (server, call, "ok", 2);
      marjoram_http_server_end (server, call);
    }
  marjoram_http_request_destroy (request);
}

static void
on_gone (void *context, uint64_t call)
{
  (void)context;
  (void)call;
  gone++;
}

static void
on_rejected (void *context, int status, const char *reason)
{
  (void)context;
  (void)reason;
  rejected = status;
}

static const struct marjoram_http_server_ops server_ops
    = { .request = on_request, .gone = on_gone, .rejected = on_rejected };

static void
on_raw_read (struct bufferevent *bev, void *context)
{
  size_t used = strlen (received);

  (void)context;
  received[used
           + bufferevent_read (bev, received + used,
                               sizeof received - used - 1)]
      = 0;
}

static void
on_raw_event (struct bufferevent *bev, short events, void *context)
{
  (void)bev;
  (void)context;
  if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    {
      raw_closed = true;
      raw_events = events;
    }
}

static void
connect_raw (void)
{
  struct sockaddr_storage addr;
  int size = sizeof addr;

  evutil_parse_sockaddr_port (server_address, (struct sockaddr *)&addr, &size);
  raw = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (raw, on_raw_read, NULL, on_raw_event, NULL);
  bufferevent_enable (raw, EV_READ | EV_WRITE);
  bufferevent_socket_connect (raw, (struct sockaddr *)&addr, size);
  received[0] = 0;
  raw_closed = false;
}

static void
run_until (bool (*done) (void))
{
  struct marjoram_clock *clock = marjoram_clock_system ();
  int64_t end = marjoram_clock_now (clock) + LIMIT_MS;

  while (!done ())
    {
      ck_assert_msg (marjoram_clock_now (clock) < end,
                     "timed out; received: %s", received);
      event_base_loop (base, EVLOOP_NONBLOCK);
      if (server)
        marjoram_http_server_tick (server);
    }
}

static bool
has_two_responses (void)
{
  const char *first = strstr (received, "HTTP/1.1 200");

  return first && strstr (first + 1, "HTTP/1.1 200")
         && strstr (received, "okHTTP") && strlen (received) > 4
         && strcmp (received + strlen (received) - 2, "ok") == 0;
}

static bool
is_closed (void)
{
  return raw_closed;
}

static bool
is_gone (void)
{
  return gone > 0;
}

static bool
is_request_pending (void)
{
  return requests > 0;
}

static void
setup (void)
{
  struct marjoram_error err = { 0 };

  signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  requests = gone = rejected = 0;
  /* A free port on a loopback address derived from the process id.  */
  for (int port = 20100; port < 20200 && !server; port++)
    {
      snprintf (server_address, sizeof server_address, "127.77.%d.%d:%d",
                (int)(getpid () / 250 % 250), (int)(getpid () % 250) + 1,
                port);
      server = marjoram_http_server_create (base, marjoram_clock_system (),
                                            server_address, &server_ops, NULL,
                                            &err);
    }
  ck_assert_msg (server != NULL, "%s", err.message);
  connect_raw ();
}

/* Runs the loop once to release objects with deferred callbacks.  */
static void
free_base (void)
{
  event_base_loop (base, EVLOOP_NONBLOCK);
  event_base_free (base);
}

static void
teardown (void)
{
  bufferevent_free (raw);
  marjoram_http_server_destroy (server);
  server = NULL;
  free_base ();
}

static void
send_text (const char *text)
{
  bufferevent_write (raw, text, strlen (text));
}

START_TEST (pipelined_requests_are_answered_in_order)
{
  send_text (
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
      "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nde\r\n1\r\nf\r\n0\r\n\r\n");
  run_until (has_two_responses);
  ck_assert_int_eq (requests, 2);
  ck_assert_str_eq (last_target, "/b");
  ck_assert_str_eq (last_body, "def");
}
END_TEST

/* Guards against request smuggling by conflicting message lengths.  */
START_TEST (ambiguous_framing_is_refused)
{
  static const char *const texts[] = {
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
    "Content-Length: 4\r\n\r\nabcd",
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, "
    "chunked\r\n\r\n0\r\n\r\n",
    "GET / HTTP/1.1\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
    "GET / HTTP/1.1\r\nHost : x\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: x\r\nX More: 1\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: x\r\nContent Length: 3\r\n\r\nabc",
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length : 3\r\n\r\nabc",
    "POST / HTTP/1.1\r\nHost: x\r\nX: 1\r\n Content-Length: 3\r\n\r\nabc",
    "nonsense\r\n\r\n",
  };

  for (size_t i = 0; i < sizeof texts / sizeof *texts; i++)
    {
      bufferevent_free (raw);
      connect_raw ();
      send_text (texts[i]);
      run_until (is_closed);
      ck_assert_msg (strstr (received, "HTTP/1.1 400") == received,
                     "case %zu: %s", i, received);
    }
  ck_assert_int_eq (requests, 0);
}
END_TEST

START_TEST (limits_are_enforced)
{
  const struct marjoram_http_limits limits = { 200, 10, 50, 5000 };
  char long_head[400];

  marjoram_http_server_set_limits (server, &limits);
  send_text ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n");
  run_until (is_closed);
  ck_assert (strstr (received, "HTTP/1.1 413") == received);
  bufferevent_free (raw);
  connect_raw ();
  snprintf (long_head, sizeof long_head,
            "GET / HTTP/1.1\r\nHost: x\r\nLong: %0300d\r\n\r\n", 7);
  send_text (long_head);
  run_until (is_closed);
  ck_assert (strstr (received, "HTTP/1.1 431") == received);
  bufferevent_free (raw);
  connect_raw ();
  send_text ("GET / HTTP/1.1\r\nHo");
  run_until (is_closed);
  ck_assert (strstr (received, "HTTP/1.1 408") == received);
  ck_assert_int_eq (rejected, 408);
}
END_TEST

/* Guards against memory that is taken up by the bodies of many requests.  */
START_TEST (bodies_of_all_requests_are_limited)
{
  const struct marjoram_http_memory memory = { 10, 0 };

  marjoram_http_server_set_memory (server, &memory);
  send_text ("POST /hold HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\n"
             "12345678");
  run_until (is_request_pending);
  for (int i = 0; i < 2; i++)
    {
      struct bufferevent *first = raw;
      const char *expected = i == 0 ? "HTTP/1.1 503" : "HTTP/1.1 200";

      connect_raw ();
      send_text ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 12\r\n"
                 "Connection: close\r\n\r\n123456789012");
      run_until (is_closed);
      ck_assert_msg (strstr (received, expected) == received, "%s", received);
      bufferevent_free (raw);
      raw = first;
      /* Alone, the larger one is accepted too.  */
      marjoram_http_server_abort (server, last_call);
    }
  ck_assert_int_eq (requests, 2);
}
END_TEST

static void
read_now (struct bufferevent *bev, void *context)
{
  (void)context;
  bufferevent_enable (bev, EV_READ);
}

/* Guards against callers whose answer is lost as they read it only after they
   have sent a request that is far over the limit.  */
START_TEST (sender_of_a_far_too_large_body_gets_the_answer)
{
  const struct marjoram_http_limits limits = { 1000, 10, 5000, 5000 };
  const struct timeval second = { 1, 0 };
  const size_t rate = LARGE_BYTES / 3;
  struct ev_token_bucket_cfg *slow
      = ev_token_bucket_cfg_new (rate, rate, rate, rate, &second);
  char *body = marjoram_alloc (LARGE_BYTES);

  marjoram_http_server_set_limits (server, &limits);
  bufferevent_set_rate_limit (raw, slow);
  bufferevent_setcb (raw, on_raw_read, read_now, on_raw_event, NULL);
  bufferevent_disable (raw, EV_READ);
  send_text ("POST / HTTP/1.1\r\nHost: x\r\n"
             "Transfer-Encoding: chunked\r\n\r\n900000\r\n");
  bufferevent_write (raw, body, LARGE_BYTES);
  run_until (is_closed);
  ck_assert_msg (strstr (received, "HTTP/1.1 413") == received, "%s",
                 received);
  ck_assert_int_eq (raw_events & BEV_EVENT_ERROR, 0);
  bufferevent_set_rate_limit (raw, NULL);
  ev_token_bucket_cfg_free (slow);
  free (body);
}
END_TEST

/* A disconnect during a pending request is reported at once, so that the
   upstream request can be cancelled.  */
START_TEST (caller_disconnect_is_reported)
{
  send_text ("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
  run_until (is_request_pending);
  bufferevent_free (raw);
  run_until (is_gone);
  connect_raw ();
}
END_TEST

START_TEST (draining_closes_after_response)
{
  marjoram_http_server_drain (server);
  send_text ("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  run_until (is_closed);
  ck_assert (strstr (received, "Connection: close"));
  ck_assert (strstr (received, "\r\n\r\nok"));
}
END_TEST

/* ---- Closing of idle connections at shutdown.  ---- */

#define PLAIN "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

/* Sends TEXT without running the event loop.  */
static void
send_now (const char *text)
{
  ssize_t size = (ssize_t)strlen (text);

  ck_assert_int_eq (send (bufferevent_getfd (raw), text, (size_t)size, 0),
                    size);
}

static bool
is_accepted (void)
{
  return marjoram_http_server_connections (server) > 0;
}

static bool
is_empty (void)
{
  return marjoram_http_server_connections (server) == 0;
}

static void
run_for (int64_t ms)
{
  struct marjoram_clock *clock = marjoram_clock_system ();
  int64_t end = marjoram_clock_now (clock) + ms;

  while (marjoram_clock_now (clock) < end)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      marjoram_http_server_tick (server);
    }
}

static void
assert_last_response (void)
{
  run_until (is_closed);
  ck_assert_msg (strstr (received, "\r\n\r\nok"), "no response: %s", received);
  ck_assert_msg (strstr (received, "Connection: close"), "not closed: %s",
                 received);
}

/* A request that is still unread in the socket when idle connections are
   closed must not be dropped.  */
START_TEST (request_in_the_socket_is_answered)
{
  run_until (is_accepted);
  marjoram_http_server_drain (server);
  send_now (PLAIN);
  marjoram_http_server_close_idle (server);
  assert_last_response ();
}
END_TEST

/* Connections in the accept queue must not be reset when the listener is
   closed.  */
START_TEST (connection_not_yet_accepted_is_answered)
{
  marjoram_http_server_drain (server);
  send_now (PLAIN);
  marjoram_http_server_close_idle (server);
  assert_last_response ();
}
END_TEST

/* The same for a connection made at the end of the grace period, before the
   event loop runs again.  */
START_TEST (connection_made_before_listener_close_is_answered)
{
  bufferevent_free (raw);
  run_until (is_empty);
  marjoram_http_server_drain (server);
  marjoram_http_server_close_idle (server);
  connect_raw ();
  usleep (GRACE_MS * 1000);
  send_now (PLAIN);
  marjoram_http_server_tick (server);
  assert_last_response ();
}
END_TEST

static bool
is_ready_for (int fd, short events, int msec)
{
  struct pollfd polled = { .fd = fd, .events = events };

  return poll (&polled, 1, msec) > 0;
}

/* Guards against resetting a connection that is made between the last accept
   and the close of the listener, after its caller has sent a request.  */
START_TEST (closing_listener_completes_no_connection)
{
  struct sockaddr_in where = { .sin_family = AF_INET };
  socklen_t size = sizeof where;
  int fds[BACKLOG_SOCKETS];

  where.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  for (int i = 0; i < BACKLOG_SOCKETS; i++)
    fds[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  ck_assert_int_eq (bind (fds[0], (struct sockaddr *)&where, size), 0);
  ck_assert_int_eq (listen (fds[0], BACKLOG_SOCKETS), 0);
  getsockname (fds[0], (struct sockaddr *)&where, &size);
  (void)connect (fds[1], (struct sockaddr *)&where, size);
  ck_assert (is_ready_for (fds[1], POLLOUT, GRACE_MS));
  marjoram_socket_ignore_connections (fds[0]);
  (void)connect (fds[2], (struct sockaddr *)&where, size);
  ck_assert (!is_ready_for (fds[2], POLLOUT, GRACE_MS));
  /* The one that was open already is not lost.  */
  close (fds[3]);
  fds[3] = accept (fds[0], NULL, NULL);
  ck_assert_int_ge (fds[3], 0);
  ck_assert_int_eq (write (fds[1], "x", 1), 1);
  ck_assert (is_ready_for (fds[3], POLLIN, GRACE_MS));
  for (int i = 0; i < BACKLOG_SOCKETS; i++)
    close (fds[i]);
}
END_TEST

/* A pipelined request in the input buffer must not be dropped when idle
   connections are closed.  */
START_TEST (request_in_the_buffer_is_answered)
{
  struct marjoram_header_list headers = { 0 };

  send_text ("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n" PLAIN);
  run_until (is_request_pending);
  marjoram_http_server_head (server, last_call, 200, &headers, 0);
  marjoram_http_server_end (server, last_call);
  marjoram_http_server_drain (server);
  marjoram_http_server_close_idle (server);
  assert_last_response ();
  ck_assert_int_eq (requests, 2);
}
END_TEST

/* The response to the first of two pipelined requests must not close the
   connection while draining.  */
START_TEST (draining_answers_pipelined_requests)
{
  marjoram_http_server_drain (server);
  send_text (PLAIN PLAIN);
  assert_last_response ();
  ck_assert_int_eq (requests, 2);
}
END_TEST

START_TEST (request_in_grace_period_is_answered)
{
  run_until (is_accepted);
  marjoram_http_server_drain (server);
  marjoram_http_server_close_idle (server);
  run_for (GRACE_MS / 4);
  ck_assert (!raw_closed);
  send_now (PLAIN);
  assert_last_response ();
}
END_TEST

START_TEST (idle_connection_is_closed_promptly)
{
  struct marjoram_clock *clock = marjoram_clock_system ();
  int64_t start = marjoram_clock_now (clock);

  run_until (is_accepted);
  marjoram_http_server_drain (server);
  marjoram_http_server_close_idle (server);
  run_until (is_closed);
  ck_assert_int_lt (marjoram_clock_now (clock) - start, CLOSE_MAX_MS);
  bufferevent_free (raw);
  run_until (is_empty);
  connect_raw ();
}
END_TEST

/* A connection whose response head was sent before draining, without
   "Connection: close", must still be closed after the response.  */
START_TEST (connection_closes_after_response_begun_before_drain)
{
  struct marjoram_header_list headers = { 0 };

  send_text ("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
  run_until (is_request_pending);
  marjoram_http_server_head (server, last_call, 200, &headers, 2);
  marjoram_http_server_drain (server);
  marjoram_http_server_close_idle (server);
  run_for (AFTER_GRACE_MS);
  marjoram_http_server_data (server, last_call, "ok", 2);
  marjoram_http_server_end (server, last_call);
  run_until (is_closed);
  ck_assert (strstr (received, "\r\n\r\nok"));
}
END_TEST

static size_t large_received;

static void
on_large_read (struct bufferevent *bev, void *context)
{
  struct evbuffer *input = bufferevent_get_input (bev);

  (void)context;
  large_received += evbuffer_get_length (input);
  evbuffer_drain (input, evbuffer_get_length (input));
}

static void
send_large (uint64_t call, size_t size)
{
  const struct marjoram_header_list headers = { 0 };
  char *body = marjoram_alloc (size);

  marjoram_http_server_head (server, call, 200, &headers, (int64_t)size);
  marjoram_http_server_data (server, call, body, size);
  free (body);
}

static bool
are_two_pending (void)
{
  return requests == 2;
}

/* Guards against memory that is taken up by responses which callers do not
   read, and against others that lose theirs for it.  */
START_TEST (unread_output_is_limited)
{
  const struct marjoram_http_memory memory = { 0, LARGE_BYTES };
  struct bufferevent *first = raw;
  uint64_t call;

  marjoram_http_server_set_memory (server, &memory);
  send_text ("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
  run_until (is_request_pending);
  call = last_call;
  bufferevent_disable (first, EV_READ);
  connect_raw ();
  send_text ("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
  run_until (are_two_pending);
  bufferevent_setcb (raw, on_large_read, NULL, on_raw_event, NULL);
  large_received = 0;
  send_large (call, LARGE_BYTES - TEXT_MAX);
  ck_assert_int_eq (gone, 0);
  send_large (last_call, SMALL_BYTES);
  run_until (is_gone);
  ck_assert_int_eq (gone, 1);
  bufferevent_free (first);
  marjoram_http_server_drain (server);
  marjoram_http_server_end (server, last_call);
  for (int i = 0; i < 100 && large_received < SMALL_BYTES; i++)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      usleep (1000);
    }
  ck_assert_uint_ge (large_received, SMALL_BYTES);
}
END_TEST

/* The last response must not be truncated for a caller that reads slowly but
   steadily.  */
START_TEST (slow_caller_gets_complete_last_response)
{
  struct marjoram_header_list headers = { 0 };
  char *body = marjoram_alloc (LARGE_BYTES);
  const struct timeval second = { 1, 0 };
  struct ev_token_bucket_cfg *slow
      = ev_token_bucket_cfg_new (LARGE_BYTES / 3, LARGE_BYTES / 3,
                                 LARGE_BYTES / 3, LARGE_BYTES / 3, &second);

  send_text ("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
  run_until (is_request_pending);
  marjoram_http_server_drain (server);
  bufferevent_setcb (raw, on_large_read, NULL, on_raw_event, NULL);
  bufferevent_set_rate_limit (raw, slow);
  large_received = 0;
  marjoram_http_server_head (server, last_call, 200, &headers, LARGE_BYTES);
  marjoram_http_server_data (server, last_call, body, LARGE_BYTES);
  marjoram_http_server_end (server, last_call);
  run_until (is_closed);
  ck_assert_uint_gt (large_received, LARGE_BYTES);
  bufferevent_set_rate_limit (raw, NULL);
  ev_token_bucket_cfg_free (slow);
  free (body);
}
END_TEST

/* A request that arrives just before the idle timeout is enforced must not be
   dropped.  */
START_TEST (request_at_the_idle_timeout_is_answered)
{
  const struct marjoram_http_limits limits = { 1000, 1000, 5000, 50 };

  marjoram_http_server_set_limits (server, &limits);
  run_until (is_accepted);
  usleep (60 * 1000);
  send_now (PLAIN);
  marjoram_http_server_tick (server);
  run_until (is_closed);
  ck_assert_msg (strstr (received, "\r\n\r\nok"), "no response: %s", received);
}
END_TEST

static void
begin_response (const char *version)
{
  struct marjoram_header_list headers = { 0 };
  char text[64];

  snprintf (text, sizeof text, "GET /hold %s\r\nHost: x\r\n\r\n", version);
  send_text (text);
  run_until (is_request_pending);
  marjoram_http_server_head (server, last_call, 200, &headers, -1);
  marjoram_http_server_data (server, last_call, "part", 4);
}

/* Guards against a caller that knows no chunks taking a truncated response for
   complete.  */
START_TEST (aborted_response_to_http_1_0_is_reset)
{
  begin_response ("HTTP/1.0");
  marjoram_http_server_abort (server, last_call);
  run_until (is_closed);
  ck_assert (raw_events & BEV_EVENT_ERROR);
}
END_TEST

START_TEST (whole_response_to_http_1_0_is_closed)
{
  begin_response ("HTTP/1.0");
  marjoram_http_server_end (server, last_call);
  run_until (is_closed);
  ck_assert (raw_events & BEV_EVENT_EOF);
  ck_assert_str_eq (received + strlen (received) - 8, "\r\n\r\npart");
}
END_TEST

/* The same for a process that ends in the middle of a response.  */
START_TEST (response_to_http_1_0_is_reset_with_its_server)
{
  begin_response ("HTTP/1.0");
  marjoram_http_server_destroy (server);
  server = NULL;
  run_until (is_closed);
  ck_assert (raw_events & BEV_EVENT_ERROR);
}
END_TEST

START_TEST (aborted_response_is_not_terminated)
{
  begin_response ("HTTP/1.1");
  marjoram_http_server_abort (server, last_call);
  run_until (is_closed);
  ck_assert (strstr (received, "4\r\npart\r\n"));
  ck_assert (!strstr (received, "0\r\n\r\n"));
}
END_TEST

/* ---- Client, against an upstream with scripted responses.  ---- */

static struct evconnlistener *listener;
static char upstream_address[64];
static const char *script;        /* response to each request */
static bool reset_after_response; /* reset the connection after the response */
static bool close_after_response;
static int connections;
static int ends;
static enum marjoram_http_outcome last_outcome;
static int heads;
static char data[TEXT_MAX];

/* The connection accepted last; only one is open at a time.  */
static struct bufferevent *accepted;

static void
close_accepted (void)
{
  if (accepted)
    bufferevent_free (accepted);
  accepted = NULL;
}

static void
on_upstream_read (struct bufferevent *bev, void *context)
{
  struct evbuffer *input = bufferevent_get_input (bev);
  struct linger hard = { 1, 0 };

  (void)context;
  if (evbuffer_search (input, "\r\n\r\n", 4, NULL).pos < 0)
    return;
  evbuffer_drain (input, evbuffer_get_length (input));
  send (bufferevent_getfd (bev), script, strlen (script), 0);
  if (reset_after_response)
    setsockopt (bufferevent_getfd (bev), SOL_SOCKET, SO_LINGER, &hard,
                sizeof hard);
  if (reset_after_response || close_after_response)
    close_accepted ();
}

static void
on_upstream_event (struct bufferevent *bev, short events, void *context)
{
  (void)bev;
  (void)context;
  if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    close_accepted ();
}

static void
on_accept (struct evconnlistener *from, evutil_socket_t fd,
           struct sockaddr *address, int size, void *context)
{
  (void)from;
  (void)address;
  (void)size;
  (void)context;
  connections++;
  close_accepted ();
  accepted = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (accepted, on_upstream_read, NULL, on_upstream_event,
                     NULL);
  bufferevent_enable (accepted, EV_READ | EV_WRITE);
}

static bool
on_client_head (void *context, uint64_t attempt, int status,
                struct marjoram_header_list *headers)
{
  const char *id = marjoram_header_list_get (headers, "Id");

  (void)context;
  (void)attempt;
  (void)status;
  if (id && strcmp (id, "mine") != 0)
    return false;
  heads++;
  return true;
}

static void
on_client_data (void *context, uint64_t attempt, const char *bytes,
                size_t size)
{
  (void)context;
  (void)attempt;
  strncat (data, bytes, size);
}

static void
on_client_end (void *context, uint64_t attempt,
               enum marjoram_http_outcome outcome)
{
  (void)context;
  (void)attempt;
  ends++;
  last_outcome = outcome;
}

static void
on_client_address (void *context, const char *address)
{
  (void)context;
  (void)address;
}

static void
on_client_lost (void *context, const char *address, bool was_open)
{
  (void)context;
  (void)address;
  (void)was_open;
}

static const struct marjoram_http_client_ops client_ops
    = { .head = on_client_head,
        .data = on_client_data,
        .end = on_client_end,
        .lost = on_client_lost,
        .connected = on_client_address };

static bool
is_attempt_ended (void)
{
  return ends > 0;
}

static marjoram_http_client *client;
static struct marjoram_http_connection_info info; /* of the last request */

static void
client_setup (void)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t size = sizeof addr;

  signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  listener
      = evconnlistener_new_bind (base, on_accept, NULL, LEV_OPT_CLOSE_ON_FREE,
                                 -1, (struct sockaddr *)&addr, sizeof addr);
  getsockname (evconnlistener_get_fd (listener), (struct sockaddr *)&addr,
               &size);
  snprintf (upstream_address, sizeof upstream_address, "127.0.0.1:%d",
            ntohs (addr.sin_port));
  client = marjoram_http_client_create (base, marjoram_clock_system (),
                                        &client_ops, NULL);
  reset_after_response = close_after_response = false;
  connections = 0;
}

static void
client_teardown (void)
{
  marjoram_http_client_destroy (client);
  close_accepted ();
  if (listener)
    evconnlistener_free (listener);
  listener = NULL;
  free_base ();
}

static void
start_exchange_with_id (const char *response, const char *id)
{
  static uint64_t attempts;
  static const char text[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  marjoram_bytes *message = marjoram_bytes_create (text, strlen (text));
  const struct marjoram_http_send out
      = { ++attempts, upstream_address, message, false, false, id };

  script = response;
  ends = heads = 0;
  data[0] = 0;
  marjoram_http_client_send (client, &out, &info);
  marjoram_bytes_release (message);
}

static void
start_exchange (const char *response)
{
  start_exchange_with_id (response, NULL);
}

static enum marjoram_http_outcome
exchange (const char *response)
{
  start_exchange (response);
  run_until (is_attempt_ended);
  return last_outcome;
}

/* Guards against upstreams that send bytes without end which belong to no
   body.  */
START_TEST (excess_bytes_are_given_up)
{
  static const struct
  {
    const char *start;
    const char *repeated;
  } cases[] = {
    { "HTTP/1.1 200 O", "K" },
    { "HTTP/1.1 200 OK\r\nX-Long: ", "v" },
    { "HTTP/1.1 200 OK\r\n", "X: 1\r\n" },
    { "", "\r\n" },
    { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;", "e" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
      "X: 1\r\n" },
  };
  const size_t size = strlen (cases[_i].repeated);
  char *text = marjoram_alloc (strlen (cases[_i].start) + EXCESS_BYTES + 1);
  char *end = stpcpy (text, cases[_i].start);

  for (size_t used = 0; used + size <= EXCESS_BYTES; used += size)
    end = stpcpy (end, cases[_i].repeated);
  ck_assert_int_eq (exchange (text), MARJORAM_HTTP_OVERSIZED);
  free (text);
}
END_TEST

START_TEST (connection_is_reused)
{
  static const char response[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

  ck_assert_int_eq (exchange (response), MARJORAM_HTTP_COMPLETE);
  ck_assert_int_eq (exchange (response), MARJORAM_HTTP_COMPLETE);
  ck_assert_str_eq (data, "hi");
  ck_assert_int_eq (connections, 1);
}
END_TEST

static void
exchange_id (const char *id)
{
  static const char response[]
      = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

  start_exchange_with_id (response, id);
  run_until (is_attempt_ended);
  ck_assert_int_eq (last_outcome, MARJORAM_HTTP_COMPLETE);
}

/* Guards against a late copy of a refusal being taken for a new answer.  */
START_TEST (connection_carries_an_id_once)
{
  exchange_id ("a");
  exchange_id ("b");
  ck_assert_int_eq (connections, 1);
  ck_assert_uint_eq (info.requests, 1);
  exchange_id ("a");
  ck_assert_int_eq (connections, 2);
  ck_assert_uint_eq (info.requests, 0);
  exchange_id ("c");
  ck_assert_int_eq (connections, 2);
  exchange_id ("a");
  ck_assert_int_eq (connections, 3);
}
END_TEST

/* Guards against ids that a connection has carried being forgotten.  */
START_TEST (connection_with_too_many_ids_is_closed)
{
  char id[ID_MAX];

  for (int i = 0; i < MARJORAM_CARRIED_IDS_MAX; i++)
    {
      snprintf (id, sizeof id, "id-%d", i);
      exchange_id (id);
    }
  ck_assert_int_eq (connections, 1);
  exchange_id ("one more");
  ck_assert_int_eq (connections, 2);
}
END_TEST

/* Guards against an overflow of the time that an upstream states.  */
START_TEST (stated_idle_timeouts_are_limited)
{
  static const struct
  {
    const char *response;
    int connections;
  } cases[] = {
    { "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9223372036854775807\r\n"
      "Content-Length: 2\r\n\r\nhi",
      1 },
    { "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"
      "Content-Length: 2\r\n\r\nhi",
      2 },
    { "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=-9223372036854775807\r\n"
      "Content-Length: 2\r\n\r\nhi",
      2 },
  };

  for (int i = 0; i < 2; i++)
    ck_assert_int_eq (exchange (cases[_i].response), MARJORAM_HTTP_COMPLETE);
  ck_assert_int_eq (connections, cases[_i].connections);
}
END_TEST

/* A pooled connection must not be used if the upstream has closed it, even if
   the event loop has not processed the close yet.  */
START_TEST (closed_connection_is_not_reused)
{
  static const char response[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

  ck_assert_int_eq (exchange (response), MARJORAM_HTTP_COMPLETE);
  /* bufferevent_free closes the socket later, so shut it down now.  */
  shutdown (bufferevent_getfd (accepted), SHUT_RDWR);
  close_accepted ();
  ck_assert_int_eq (exchange (response), MARJORAM_HTTP_COMPLETE);
  ck_assert_int_eq (connections, 2);
}
END_TEST

/* A response without a length is complete after an orderly close that its head
   announces, but not after a reset.  */
START_TEST (response_without_length)
{
  static const struct
  {
    const char *response;
    enum marjoram_http_outcome outcome;
  } cases[] = {
    { "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf",
      MARJORAM_HTTP_COMPLETE },
    { "HTTP/1.0 200 OK\r\n\r\nhalf", MARJORAM_HTTP_COMPLETE },
    { "HTTP/1.1 200 OK\r\n\r\nhalf", MARJORAM_HTTP_BROKEN },
    { "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\nhalf",
      MARJORAM_HTTP_BROKEN },
  };

  close_after_response = true;
  ck_assert_int_eq (exchange (cases[_i].response), cases[_i].outcome);
  ck_assert_str_eq (data,
                    cases[_i].outcome == MARJORAM_HTTP_COMPLETE ? "half" : "");
  reset_after_response = true;
  ck_assert_int_eq (exchange (cases[_i].response), MARJORAM_HTTP_BROKEN);
}
END_TEST

START_TEST (truncated_responses_are_broken)
{
  close_after_response = true;
  ck_assert_int_eq (
      exchange ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
      MARJORAM_HTTP_BROKEN);
  ck_assert_int_eq (exchange ("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                              "chunked\r\n\r\n4\r\nhalf\r\n"),
                    MARJORAM_HTTP_BROKEN);
  ck_assert_int_eq (exchange (""), MARJORAM_HTTP_BROKEN);
  ck_assert_int_eq (exchange ("what is this\r\n\r\n"), MARJORAM_HTTP_BROKEN);
}
END_TEST

/* A late response to an earlier request precedes the expected one.  */
START_TEST (stale_response_is_skipped)
{
  ck_assert_int_eq (
      exchange ("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nnot"
                "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 3\r\n\r\nyes"),
      MARJORAM_HTTP_COMPLETE);
  ck_assert_int_eq (heads, 1);
  ck_assert_str_eq (data, "yes");
}
END_TEST

START_TEST (trailing_bytes_close_the_connection)
{
  static const char response[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiextra";

  ck_assert_int_eq (exchange (response), MARJORAM_HTTP_COMPLETE);
  ck_assert_str_eq (data, "hi");
  exchange (response);
  ck_assert_int_eq (connections, 2);
}
END_TEST

START_TEST (interim_response_is_ignored)
{
  ck_assert_int_eq (
      exchange ("HTTP/1.1 100 Continue\r\n\r\n"
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"),
      MARJORAM_HTTP_COMPLETE);
  ck_assert_int_eq (heads, 1);
  ck_assert_str_eq (data, "hi");
}
END_TEST

/* Nothing was sent, so the request can be retried safely.  */
START_TEST (refused_connection_is_unsent)
{
  evconnlistener_free (listener);
  listener = NULL;
  ck_assert_int_eq (exchange (""), MARJORAM_HTTP_UNSENT);
}
END_TEST

/* Replaces the listener by one with a full backlog, so that connects neither
   succeed nor fail.  */
static void
fill_backlog (int sockets[BACKLOG_SOCKETS])
{
  struct sockaddr_storage addr;
  int size = sizeof addr;
  const int one = 1;

  evutil_parse_sockaddr_port (upstream_address, (struct sockaddr *)&addr,
                              &size);
  evconnlistener_free (listener);
  listener = NULL;
  for (int i = 0; i < BACKLOG_SOCKETS; i++)
    sockets[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  setsockopt (sockets[0], SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  ck_assert_int_eq (
      bind (sockets[0], (struct sockaddr *)&addr, (socklen_t)size), 0);
  ck_assert_int_eq (listen (sockets[0], 0), 0);
  for (int i = 1; i < BACKLOG_SOCKETS; i++)
    (void)connect (sockets[i], (struct sockaddr *)&addr, (socklen_t)size);
}

/* While this host lags behind its network events, the connect timeout must not
   report reachable upstreams as unreachable.  */
START_TEST (connect_timeout_excludes_host_lag)
{
  int sockets[BACKLOG_SOCKETS];

  fill_backlog (sockets);
  start_exchange ("");
  usleep (CONNECT_LAG_MS * 1000);
  marjoram_http_client_tick (client, CONNECT_LAG_MS);
  event_base_loop (base, EVLOOP_NONBLOCK);
  ck_assert_int_eq (ends, 0);
  marjoram_http_client_tick (client, 0);
  run_until (is_attempt_ended);
  ck_assert_int_eq (last_outcome, MARJORAM_HTTP_UNSENT);
  for (int i = 0; i < BACKLOG_SOCKETS; i++)
    close (sockets[i]);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("http");
  TCase *c = tcase_create ("server");
  TCase *d = tcase_create ("client");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, pipelined_requests_are_answered_in_order);
  tcase_add_test (c, ambiguous_framing_is_refused);
  tcase_add_test (c, limits_are_enforced);
  tcase_add_test (c, bodies_of_all_requests_are_limited);
  tcase_add_test (c, sender_of_a_far_too_large_body_gets_the_answer);
  tcase_add_test (c, unread_output_is_limited);
  tcase_add_test (c, caller_disconnect_is_reported);
  tcase_add_test (c, draining_closes_after_response);
  tcase_add_test (c, request_in_the_socket_is_answered);
  tcase_add_test (c, connection_not_yet_accepted_is_answered);
  tcase_add_test (c, connection_made_before_listener_close_is_answered);
  tcase_add_test (c, closing_listener_completes_no_connection);
  tcase_add_test (c, request_in_the_buffer_is_answered);
  tcase_add_test (c, draining_answers_pipelined_requests);
  tcase_add_test (c, request_in_grace_period_is_answered);
  tcase_add_test (c, idle_connection_is_closed_promptly);
  tcase_add_test (c, connection_closes_after_response_begun_before_drain);
  tcase_add_test (c, slow_caller_gets_complete_last_response);
  tcase_add_test (c, request_at_the_idle_timeout_is_answered);
  tcase_add_test (c, aborted_response_to_http_1_0_is_reset);
  tcase_add_test (c, whole_response_to_http_1_0_is_closed);
  tcase_add_test (c, response_to_http_1_0_is_reset_with_its_server);
  tcase_add_test (c, aborted_response_is_not_terminated);
  suite_add_tcase (s, c);
  tcase_add_checked_fixture (d, client_setup, client_teardown);
  tcase_add_loop_test (d, excess_bytes_are_given_up, 0, 8);
  tcase_add_test (d, connection_is_reused);
  tcase_add_test (d, connection_carries_an_id_once);
  tcase_add_test (d, connection_with_too_many_ids_is_closed);
  tcase_add_loop_test (d, stated_idle_timeouts_are_limited, 0, 3);
  tcase_add_test (d, closed_connection_is_not_reused);
  tcase_add_loop_test (d, response_without_length, 0, 4);
  tcase_add_test (d, truncated_responses_are_broken);
  tcase_add_test (d, stale_response_is_skipped);
  tcase_add_test (d, trailing_bytes_close_the_connection);
  tcase_add_test (d, interim_response_is_ignored);
  tcase_add_test (d, refused_connection_is_unsent);
  tcase_add_test (d, connect_timeout_excludes_host_lag);
  suite_add_tcase (s, d);
  return s;
}
