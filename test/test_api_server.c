/* What the server of the control port knows of the time at which a request was
   sent.  */
#include "suite.h"

#include "api_server.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  PORT = 18146,
  TURNS = 50,
  TURN_US = 1000
};

static const char order[] = "POST /a HTTP/1.1\r\nHost: a\r\n"
                            "Content-Length: 0\r\n\r\n";

static int64_t now; /* ms */
static char ip[32]; /* of the server; one for each process */
static struct event_base *base;
static marjoram_api_server *server;
static uint64_t request; /* the last one; 0 before any */
static int client;

static struct timespec
read_clock (struct marjoram_clock *clock)
{
  (void)clock;
  return (struct timespec){ now / 1000, now % 1000 * 1000000 };
}

static const struct marjoram_clock_ops clock_ops
    = { .monotonic = read_clock, .wall = read_clock };
static struct marjoram_clock test_clock = { &clock_ops };

static void
on_receive (void *context, uint64_t request_id, const char *method,
            const char *target, const char *body, size_t size)
{
  (void)context;
  (void)method;
  (void)target;
  (void)body;
  (void)size;
  request = request_id;
}

static const struct marjoram_api_server_ops ops = { .receive = on_receive };

/* Runs the server until it has read another request.  */
static void
serve (void)
{
  const uint64_t before = request;

  for (int i = 0; i < TURNS && request == before; i++)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      usleep (TURN_US);
    }
  ck_assert_uint_ne (request, before);
}

static void
connect_client (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (PORT) };

  inet_pton (AF_INET, ip, &address.sin_addr);
  client = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (
      connect (client, (struct sockaddr *)&address, sizeof address), 0);
}

static void
send_order (void)
{
  ck_assert_int_eq (send (client, order, sizeof order - 1, 0),
                    sizeof order - 1);
}

static int64_t
not_before (void)
{
  struct marjoram_api_arrival arrival;

  ck_assert (marjoram_api_server_arrival (server, request, &arrival));
  return arrival.not_before;
}

static void
setup (void)
{
  const int pid = (int)getpid ();
  char address[48];
  struct marjoram_error err;

  now = 100;
  request = 0;
  base = event_base_new ();
  server = marjoram_api_server_create (base, &test_clock, &ops, NULL);
  snprintf (ip, sizeof ip, "127.30.%d.%d", pid / 250 % 250, 1 + pid % 250);
  snprintf (address, sizeof address, "%s:%d", ip, PORT);
  ck_assert (marjoram_api_server_listen (server, address, &err));
}

static void
teardown (void)
{
  close (client);
  marjoram_api_server_destroy (server);
  event_base_free (base);
}

/* Guards against taking a request for new that waited while its host stood
   still.  */
START_TEST (request_that_waited_with_its_connection_may_be_old)
{
  now = 200;
  connect_client ();
  send_order ();
  now = 5000;
  marjoram_api_server_tick (server);
  serve ();
  ck_assert_int_le (not_before (), 100);
}
END_TEST

START_TEST (request_is_not_older_than_the_empty_queue_before_its_connection)
{
  now = 4000;
  marjoram_api_server_tick (server);
  now = 4020;
  connect_client ();
  send_order ();
  serve ();
  ck_assert_int_le (not_before (), 4000);
  ck_assert_int_gt (not_before (), 3900);
}
END_TEST

/* Guards against taking a late request on a kept connection for new, and one
   after an answer for old.  */
START_TEST (request_on_a_kept_connection_is_not_older_than_the_last_answer)
{
  connect_client ();
  send_order ();
  serve ();
  now = 400;
  marjoram_api_server_respond (server, request, 200, "text/plain", "a", 1);
  event_base_loop (base, EVLOOP_NONBLOCK);
  send_order ();
  now = 9000;
  marjoram_api_server_tick (server);
  serve ();
  ck_assert_int_eq (not_before (), 400);
}
END_TEST

START_TEST (request_that_came_before_the_answer_may_be_old)
{
  connect_client ();
  send_order ();
  send_order ();
  serve ();
  now = 400;
  marjoram_api_server_respond (server, request, 200, "text/plain", "a", 1);
  serve ();
  ck_assert_int_le (not_before (), 100);
}
END_TEST

/* Guards against an order whose caller has gone.  */
START_TEST (arrival_tells_that_the_caller_has_closed)
{
  struct marjoram_api_arrival arrival;

  connect_client ();
  send_order ();
  serve ();
  ck_assert (marjoram_api_server_arrival (server, request, &arrival));
  shutdown (client, SHUT_WR);
  usleep (TURN_US);
  ck_assert (!marjoram_api_server_arrival (server, request, &arrival));
}
END_TEST

START_TEST (redirection_names_its_location)
{
  char answer[512] = "";

  connect_client ();
  send_order ();
  serve ();
  marjoram_api_server_redirect (server, request, "http://127.0.0.1:1/a?b=2");
  for (int i = 0; i < TURNS; i++)
    event_base_loop (base, EVLOOP_NONBLOCK);
  ck_assert_int_gt (recv (client, answer, sizeof answer - 1, 0), 0);
  ck_assert_msg (strncmp (answer, "HTTP/1.1 307", 12) == 0, "%s", answer);
  ck_assert_ptr_nonnull (
      strstr (answer, "Location: http://127.0.0.1:1/a?b=2\r\n"));
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("api_server");
  TCase *c = tcase_create ("api_server");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, request_that_waited_with_its_connection_may_be_old);
  tcase_add_test (
      c, request_is_not_older_than_the_empty_queue_before_its_connection);
  tcase_add_test (
      c, request_on_a_kept_connection_is_not_older_than_the_last_answer);
  tcase_add_test (c, request_that_came_before_the_answer_may_be_old);
  tcase_add_test (c, arrival_tells_that_the_caller_has_closed);
  tcase_add_test (c, redirection_names_its_location);
  suite_add_tcase (s, c);
  return s;
}
