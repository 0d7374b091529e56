/* Tests of which connections the client keeps, against an upstream that keeps
   all of them open.  */
#include "suite.h"

#include "clock.h"
#include "http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  ADDRESS_MAX = 64,
  REPEATS = 40,
  CARRIED_MAX = 5, /* connections that have carried one id */
  SETTLE_MS = 20   /* until closed connections are seen */
};

static struct event_base *base;
static struct evconnlistener *listener;
static char address[ADDRESS_MAX];
static int accepted; /* by the upstream */
static int open_now; /* at the upstream */
static bool answers;
static marjoram_http_client *client;
static struct marjoram_http_connection_info info; /* of the last request */
static uint64_t attempts;
static int ended;
static int served; /* by the upstream */

/* ---- Upstream.  ---- */

static void
on_read (struct bufferevent *bev, void *context)
{
  static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  struct evbuffer *input = bufferevent_get_input (bev);

  (void)context;
  if (evbuffer_search (input, "\r\n\r\n", 4, NULL).pos < 0)
    return;
  evbuffer_drain (input, evbuffer_get_length (input));
  served++;
  if (answers)
    bufferevent_write (bev, answer, strlen (answer));
}

static void
on_event (struct bufferevent *bev, short events, void *context)
{
  (void)events;
  (void)context;
  open_now--;
  bufferevent_free (bev);
}

static void
on_accept (struct evconnlistener *from, evutil_socket_t fd,
           struct sockaddr *peer, int size, void *context)
{
  struct bufferevent *bev
      = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);

  (void)from;
  (void)peer;
  (void)size;
  (void)context;
  accepted++;
  open_now++;
  bufferevent_setcb (bev, on_read, NULL, on_event, NULL);
  bufferevent_enable (bev, EV_READ | EV_WRITE);
}

/* ---- Client.  ---- */

static bool
on_head (void *context, uint64_t attempt, int status,
         struct marjoram_header_list *headers)
{
  (void)context;
  (void)attempt;
  (void)status;
  (void)headers;
  return true;
}

static void
on_data (void *context, uint64_t attempt, const char *bytes, size_t size)
{
  (void)context;
  (void)attempt;
  (void)bytes;
  (void)size;
}

static void
on_end (void *context, uint64_t attempt, enum marjoram_http_outcome outcome)
{
  (void)context;
  (void)attempt;
  ck_assert_int_eq (outcome, MARJORAM_HTTP_COMPLETE);
  ended++;
}

static void
on_lost (void *context, const char *from, bool was_open)
{
  (void)context;
  (void)from;
  (void)was_open;
}

static void
on_connected (void *context, const char *to)
{
  (void)context;
  (void)to;
}

static const struct marjoram_http_client_ops ops
    = { .head = on_head,
        .data = on_data,
        .end = on_end,
        .lost = on_lost,
        .connected = on_connected };

static void
setup (void)
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
  snprintf (address, sizeof address, "127.0.0.1:%d", ntohs (addr.sin_port));
  client = marjoram_http_client_create (base, marjoram_clock_system (), &ops,
                                        NULL);
  accepted = open_now = served = 0;
  answers = true;
}

static void
settle (void)
{
  const struct timeval time = marjoram_clock_timeval (SETTLE_MS);

  event_base_loopexit (base, &time);
  event_base_dispatch (base);
}

static void
teardown (void)
{
  marjoram_http_client_destroy (client);
  settle ();
  evconnlistener_free (listener);
  event_base_free (base);
}

/* Returns the number of the attempt.  */
static uint64_t
start (const char *id)
{
  static const char text[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  marjoram_bytes *message = marjoram_bytes_create (text, strlen (text));
  const struct marjoram_http_send out = {
    .attempt = ++attempts, .address = address, .message = message, .id = id
  };

  marjoram_http_client_send (client, &out, &info);
  marjoram_bytes_release (message);
  return attempts;
}

static void
finish (int count)
{
  while (ended < count)
    event_base_loop (base, EVLOOP_ONCE);
  ended = 0;
}

/* Guards against a new connection where an older one would do.  */
START_TEST (idle_connection_that_has_not_carried_the_id_is_used)
{
  uint64_t older;

  start ("a");
  older = info.connection;
  start ("b");
  finish (2);
  start ("c");
  finish (1);
  ck_assert_int_eq (accepted, 2);
  start (info.connection == older ? "a" : "b");
  ck_assert_uint_eq (info.requests, 1);
  finish (1);
  ck_assert_int_eq (accepted, 2);
}
END_TEST

/* Guards against a caller that uses one id for all of its requests taking up
   the connections that an upstream accepts.  */
START_TEST (id_that_comes_back_leaves_no_connections_behind)
{
  for (int i = 0; i < REPEATS; i++)
    {
      start ("a");
      finish (1);
    }
  settle ();
  ck_assert_int_eq (accepted, REPEATS);
  ck_assert_int_le (open_now, CARRIED_MAX);
}
END_TEST

/* Guards against one answer being taken for both of two requests with one id
   that are under way at once.  */
START_TEST (requests_with_one_id_at_once_use_two_connections)
{
  uint64_t first;

  start ("b");
  finish (1);
  start ("a");
  first = info.connection;
  start ("a");
  ck_assert_uint_ne (info.connection, first);
  finish (2);
  start ("a");
  ck_assert_uint_eq (info.requests, 0);
  finish (1);
  ck_assert_int_eq (accepted, 3);
}
END_TEST

/* Guards against an answer to a cancelled attempt being taken for the next
   one's.  */
START_TEST (connection_of_a_cancelled_attempt_is_not_used_again)
{
  uint64_t cancelled;

  answers = false;
  cancelled = start ("a");
  while (served == 0)
    event_base_loop (base, EVLOOP_ONCE);
  marjoram_http_client_cancel (client, cancelled);
  answers = true;
  start ("b");
  ck_assert_uint_eq (info.requests, 0);
  finish (1);
  settle ();
  ck_assert_int_eq (accepted, 2);
  ck_assert_int_eq (open_now, 1);
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("http_pool");
  TCase *tests = tcase_create ("http_pool");

  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, idle_connection_that_has_not_carried_the_id_is_used);
  tcase_add_test (tests, id_that_comes_back_leaves_no_connections_behind);
  tcase_add_test (tests, requests_with_one_id_at_once_use_two_connections);
  tcase_add_test (tests, connection_of_a_cancelled_attempt_is_not_used_again);
  suite_add_tcase (all, tests);
  return all;
}
