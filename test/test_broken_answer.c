/* Tests that answers whose head is broken are not taken for answers, by the
   hosts of both kinds.  */
#include "suite.h"

#include "cleanup.h"
#include "clock.h"
#include "http_client.h"
#include "lib_script_server.h"
#include "upstream.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  LIMIT_S = 3,
  UPLOAD_BYTES = 9 * 1024 * 1024, /* exceeds the socket buffers */
  UPLOADS = 20
};

struct text
{
  const char *data;
  size_t size;
};

#define TEXT(literal)                                                         \
  {                                                                           \
    literal, sizeof (literal) - 1                                             \
  }
#define OWN "Marjoram-Request: id\r\n"
#define LENGTH "Content-Length: 4\r\n"
#define OK "HTTP/1.1 200 OK\r\n" OWN

/* Each is followed by the end of its connection.  */
static const struct text broken_heads[] = {
  /* Status lines.  */
  TEXT ("HTTP/1.1 000 OK\r\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTTP/1.1 0 OK\r\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTTP/1.1 099 OK\r\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTTP/1.1 20 OK\r\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTTP/1.1 0200 OK\r\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTTP/1.1 600 OK\r\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTTP/1.1 999 OK\r\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTTP/1.1 -200 OK\r\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTTP/1.1 20x OK\r\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTTP/1.1 2 0 OK\r\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTTP/1.1 200 O\0K\r\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTTP/1.1 200 O\rK\r\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTTP/2.0 200 OK\r\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTTP/0.9 200 OK\r\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTPP/1.1 200 OK\r\n" OWN LENGTH "\r\nbody"),
  /* What tells the length of the body.  */
  TEXT (OK "Content-Length:\r\n\r\nbody"),
  TEXT (OK "Content-Length: 4x\r\n\r\nbody"),
  TEXT (OK "Content-Length: x4\r\n\r\nbody"),
  TEXT (OK "Content-Length: +4\r\n\r\nbody"),
  TEXT (OK "Content-Length: -4\r\n\r\nbody"),
  TEXT (OK "Content-Length: 0x4\r\n\r\nbody"),
  TEXT (OK "Content-Length: 4 4\r\n\r\nbody"),
  TEXT (OK "Content-Length: 4,5\r\n\r\nbody"),
  TEXT (OK "Content-Length: 4\001\r\n\r\nbody"),
  TEXT (OK "Content-Length: 4\0\r\n\r\nbody"),
  TEXT (OK "Content-Length: \0014\r\n\r\nbody"),
  TEXT (OK "Content-Length: 99999999999999999999\r\n\r\nbody"),
  TEXT (OK LENGTH "Content-Length: 3\r\n\r\nbody"),
  TEXT (OK LENGTH "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
  TEXT (OK "Transfer-Encoding: chunked\r\n" LENGTH
           "\r\n4\r\nbody\r\n0\r\n\r\n"),
  TEXT (OK "Transfer-Encoding: chXnked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
  TEXT (OK "Transfer-Encoding: chun\001ked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
  TEXT (OK "Transfer-Encoding: chunk ed\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
  TEXT (OK "Transfer-Encoding:\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
  TEXT (OK "Transfer-Encoding: identity\r\n\r\nbody"),
  TEXT (OK "Transfer-Encoding: gzip, chunked\r\n\r\n"
           "4\r\nbody\r\n0\r\n\r\n"),
  TEXT (OK "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
           "4\r\nbody\r\n0\r\n\r\n"),
  TEXT (OK "Transfer-Encoding: chunked, x\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
  TEXT (OK "\r\nbody"),
  TEXT (OK "Kontent-Length: 4\r\n\r\nbody"),
  TEXT (OK "Kransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
  /* Lines that are no field.  */
  TEXT (OK "Content-Length 4\r\n\r\nbody"),
  TEXT (OK "what is this\r\n\r\nbody"),
  TEXT (OK LENGTH "what is this\r\n\r\nbody"),
  TEXT (OK LENGTH "what\r\n\r\nbody"),
  TEXT (OK LENGTH "\001\002\003\r\n\r\nbody"),
  TEXT (OK LENGTH ": 4\r\n\r\nbody"),
  TEXT (OK LENGTH "X-More: 1\r\n folded: 2\r\n\r\nbody"),
  TEXT (OK "X-More: 1\r\n Content-Length: 4\r\n\r\nbody"),
  TEXT (OK "X-More:\r\n Content-Length: 4\r\n\r\nbody"),
  TEXT (OK LENGTH "X-More: 1\r\n \r\n\r\nbody"),
  TEXT ("HTTP/1.1 200 OK\r\n Content-Length: 4\r\n" OWN "\r\nbody"),
  /* Ends of lines.  */
  TEXT ("HTTP/1.1 200 OK\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTTP/1.1 200\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTTP/1.1 200 OK\n\n" OWN LENGTH "\r\nbody"),
  TEXT (OK "Content-Length: 4\n\r\nbody"),
  TEXT (OK "X-More: 1\n\n" LENGTH "\r\nbody"),
  TEXT (OK "\nContent-Length: 4\r\n\r\nbody"),
  TEXT (OK LENGTH "\nbody"),
  TEXT (OK LENGTH "\r\rbody"),
  /* Names of fields.  */
  TEXT (OK "Content Length: 4\r\n\r\nbody"),
  TEXT (OK "Content-Length : 4\r\n\r\nbody"),
  TEXT (OK "Content-Length\t: 4\r\n\r\nbody"),
  TEXT (OK "Content-\001ength: 4\r\n\r\nbody"),
  TEXT (OK "Content-\0ength: 4\r\n\r\nbody"),
  TEXT (OK "Content-\177ength: 4\r\n\r\nbody"),
  TEXT (OK "Content-\rength: 4\r\n\r\nbody"),
  TEXT (OK "Transfer Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
  TEXT (OK "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
  TEXT (OK LENGTH "X More: 1\r\n\r\nbody"),
  TEXT (OK LENGTH "X-More : 1\r\n\r\nbody"),
  TEXT (OK LENGTH "X-\001More: 1\r\n\r\nbody"),
  TEXT (OK LENGTH "X-\tMore: 1\r\n\r\nbody"),
  TEXT (OK LENGTH "X-\0More: 1\r\n\r\nbody"),
  TEXT (OK LENGTH "X-\177More: 1\r\n\r\nbody"),
  TEXT (OK LENGTH "X-\351More: 1\r\n\r\nbody"),
  TEXT (OK LENGTH "X-(More): 1\r\n\r\nbody"),
  /* Values of fields.  */
  TEXT (OK LENGTH "X-More: 1\0002\r\n\r\nbody"),
  TEXT (OK LENGTH "X-More: 1\0012\r\n\r\nbody"),
  TEXT (OK LENGTH "X-More: 1\r2\r\n\r\nbody"),
  /* Heads that end early.  */
  TEXT ("HTTP/1.1 200"),
  TEXT ("HTTP/1.1 200 OK\r\n"),
  TEXT (OK),
  TEXT (OK "Content-Le"),
  TEXT (OK "Content-Length: 4"),
  TEXT (OK LENGTH),
  TEXT (OK LENGTH "\r"),
  TEXT (OK "Transfer-Encoding: chunked\r\n"),
  TEXT ("HTTP/1.1 100 Continue\r\n\r\n"),
  TEXT ("HTTP/1.1 100 Continue\r\n\r\n" OK LENGTH),
  TEXT ("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
        "Connection: upgrade\r\n\r\n"),
};

static const struct text whole_answers[] = {
  TEXT (OK LENGTH "\r\nbody"),
  TEXT ("HTTP/1.1 200\r\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTTP/1.1 299 Caf\351 \t!\r\n" OWN LENGTH "\r\nbody"),
  TEXT ("HTTP/1.1 599 OK\r\n" OWN LENGTH "\r\nbody"),
  TEXT (OK "content-length:4 \r\n\r\nbody"),
  TEXT (OK "Transfer-Encoding:  Chunked \r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
  TEXT (OK LENGTH "X-Empty:\r\nX-`~!#$%&'*+.^_|1: \tCaf\351\t\"()\r\n\r\n"
                  "body"),
};

enum
{
  BROKEN_HEADS = sizeof broken_heads / sizeof *broken_heads,
  WHOLE_ANSWERS = sizeof whole_answers / sizeof *whole_answers
};

static struct event_base *base;
static struct script_server *server;
static int heads;
static char data[256];

static void
add_data (const void *bytes, size_t size)
{
  const size_t used = strlen (data);

  if (size < sizeof data - used)
    memcpy (data + used, bytes, size);
}

static void
setup (void)
{
  signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  server = script_server_create (base);
}

static void
teardown (void)
{
  script_server_destroy (server);
  /* Frees what is freed later.  */
  event_base_loop (base, EVLOOP_NONBLOCK);
  event_base_free (base);
}

/* The connection is freed from the event loop.  */
static void
leave_soon (void)
{
  const struct timeval soon = { 0, 1000 };

  event_base_loopexit (base, &soon);
}

static void
run_loop (void)
{
  const struct timeval limit = { LIMIT_S, 0 };

  event_base_loopexit (base, &limit);
  event_base_dispatch (base);
}

/* ---- Entry hosts.  ---- */

static marjoram_http_client *client;
static int outcome; /* -1: none yet */

static bool
on_client_head (void *context, uint64_t attempt, int status,
                struct marjoram_header_list *headers)
{
  (void)context;
  (void)attempt;
  (void)status;
  (void)headers;
  heads++;
  return true;
}

static void
on_client_data (void *context, uint64_t attempt, const char *bytes,
                size_t size)
{
  (void)context;
  (void)attempt;
  add_data (bytes, size);
}

static void
on_client_end (void *context, uint64_t attempt, enum marjoram_http_outcome how)
{
  (void)context;
  (void)attempt;
  outcome = (int)how;
  leave_soon ();
}

static void
on_client_lost (void *context, const char *address, bool was_open)
{
  (void)context;
  (void)address;
  (void)was_open;
}

static void
on_client_connected (void *context, const char *address)
{
  (void)context;
  (void)address;
}

static const struct marjoram_http_client_ops client_ops
    = { .head = on_client_head,
        .data = on_client_data,
        .end = on_client_end,
        .lost = on_client_lost,
        .connected = on_client_connected };

static void
client_setup (void)
{
  setup ();
  client = marjoram_http_client_create (base, marjoram_clock_system (),
                                        &client_ops, NULL);
}

static void
client_teardown (void)
{
  marjoram_http_client_destroy (client);
  teardown ();
}

static void
exchange (marjoram_bytes *message)
{
  static uint64_t attempts;
  const struct marjoram_http_send out
      = { .attempt = ++attempts,
          .address = script_server_address (server),
          .message = message };

  outcome = -1;
  heads = 0;
  memset (data, 0, sizeof data);
  marjoram_http_client_send (client, &out, NULL);
  marjoram_bytes_release (message);
  run_loop ();
}

static void
get (void)
{
  static const char text[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

  exchange (marjoram_bytes_create (text, strlen (text)));
}

/* Guards against an answer with a broken head reaching a caller.  */
START_TEST (broken_head_is_no_answer)
{
  const struct text *text = &broken_heads[_i];

  script_server_set (server, text->data, text->size, SCRIPT_CLOSE);
  get ();
  ck_assert_msg (outcome == MARJORAM_HTTP_BROKEN && heads == 0,
                 "outcome %d, %d heads, body \"%s\" of %s", outcome, heads,
                 data, text->data);
}
END_TEST

START_TEST (whole_answer_is_passed_on)
{
  const struct text *text = &whole_answers[_i];

  script_server_set (server, text->data, text->size, SCRIPT_KEEP);
  get ();
  ck_assert_int_eq (outcome, MARJORAM_HTTP_COMPLETE);
  ck_assert_int_eq (heads, 1);
  ck_assert_str_eq (data, "body");
}
END_TEST

/* Guards against a reset during an upload being taken for the end of an answer
   without a length.  */
START_TEST (reset_during_an_upload_ends_no_answer)
{
  static const char text[]
      = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart";
  char *upload = marjoram_alloc (UPLOAD_BYTES);
  const int used = snprintf (upload, UPLOAD_BYTES,
                             "POST / HTTP/1.1\r\nHost: x\r\n"
                             "Content-Length: %d\r\n\r\n",
                             UPLOAD_BYTES);

  ck_assert_int_gt (used, 0);
  script_server_set (server, text, strlen (text), SCRIPT_RESET);
  for (int i = 0; i < UPLOADS; i++)
    {
      exchange (marjoram_bytes_create (upload, UPLOAD_BYTES));
      ck_assert_int_eq (outcome, MARJORAM_HTTP_BROKEN);
    }
  free (upload);
}
END_TEST

/* ---- Zone hosts.  ---- */

static marjoram_upstreams *upstreams;
static bool ended;
static int failure; /* -1: none */

static void
on_head (void *context, uint64_t attempt, const struct marjoram_head *head)
{
  (void)context;
  (void)attempt;
  (void)head;
  heads++;
}

static void
on_data (void *context, uint64_t attempt, marjoram_bytes *bytes)
{
  (void)context;
  (void)attempt;
  add_data (marjoram_bytes_data (bytes), marjoram_bytes_size (bytes));
}

static void
on_end (void *context, uint64_t attempt)
{
  (void)context;
  (void)attempt;
  ended = true;
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
zone_setup (void)
{
  setup ();
  upstreams = marjoram_upstreams_create (base, &ops, NULL);
}

static void
zone_teardown (void)
{
  marjoram_upstreams_destroy (upstreams);
  teardown ();
}

static void
run (size_t size)
{
  struct marjoram_array headers = { 0 };
  char *text = marjoram_alloc (size);
  marjoram_bytes *body = marjoram_bytes_create (text, size);
  const struct marjoram_run what = { .address = script_server_address (server),
                                     .id = "id",
                                     .method = "POST",
                                     .path = "/",
                                     .headers = &headers,
                                     .body = body };

  heads = 0;
  ended = false;
  failure = -1;
  memset (data, 0, sizeof data);
  marjoram_upstreams_run (upstreams, 1, &what);
  marjoram_bytes_release (body);
  free (text);
  run_loop ();
}

/* Guards against an answer with a broken head reaching a caller.  */
START_TEST (broken_head_is_no_answer_to_zone_hosts)
{
  const struct text *text = &broken_heads[_i];

  script_server_set (server, text->data, text->size, SCRIPT_CLOSE);
  run (4);
  ck_assert_msg (failure >= 0 && !ended && heads == 0,
                 "%s, %d heads, body \"%s\" of %s", ended ? "ended" : "open",
                 heads, data, text->data);
}
END_TEST

/* Guards against proof that a request did not run being read from a broken
   head.  */
START_TEST (broken_refusal_proves_nothing_to_zone_hosts)
{
  static const char text[] = "HTTP/1.1 503 Busy\r\n" OWN "Marjoram-Not-Run: "
                             "yes\r\nContent-Length: 0\r\n%s\r\n";
  char answer[256];

  snprintf (answer, sizeof answer, text, _i == 0 ? "" : "X More: 1\r\n");
  script_server_set (server, answer, strlen (answer), SCRIPT_CLOSE);
  run (4);
  ck_assert_int_eq (failure,
                    _i == 0 ? MARJORAM_RUN_REFUSED : MARJORAM_RUN_UNAVAILABLE);
}
END_TEST

START_TEST (whole_answer_is_passed_on_by_zone_hosts)
{
  const struct text *text = &whole_answers[_i];

  script_server_set (server, text->data, text->size, SCRIPT_KEEP);
  run (4);
  ck_assert (ended);
  ck_assert_int_eq (heads, 1);
  ck_assert_str_eq (data, "body");
}
END_TEST

/* Guards against a reset during an upload being taken for the end of an answer
   without a length.  */
START_TEST (reset_during_an_upload_ends_no_answer_to_zone_hosts)
{
  static const char text[] = "HTTP/1.1 200 OK\r\n" OWN "\r\npart";

  script_server_set (server, text, strlen (text), SCRIPT_RESET);
  for (int i = 0; i < UPLOADS; i++)
    {
      run (UPLOAD_BYTES);
      ck_assert (failure >= 0 && !ended && heads == 0);
    }
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("broken_answer");
  TCase *entry = tcase_create ("entry");
  TCase *zone = tcase_create ("zone");

  tcase_add_checked_fixture (entry, client_setup, client_teardown);
  tcase_set_timeout (entry, 2 * LIMIT_S);
  tcase_add_loop_test (entry, broken_head_is_no_answer, 0, BROKEN_HEADS);
  tcase_add_loop_test (entry, whole_answer_is_passed_on, 0, WHOLE_ANSWERS);
  tcase_add_test (entry, reset_during_an_upload_ends_no_answer);
  suite_add_tcase (all, entry);
  tcase_add_checked_fixture (zone, zone_setup, zone_teardown);
  tcase_set_timeout (zone, 2 * LIMIT_S);
  tcase_add_loop_test (zone, broken_head_is_no_answer_to_zone_hosts, 0,
                       BROKEN_HEADS);
  tcase_add_loop_test (zone, broken_refusal_proves_nothing_to_zone_hosts, 0,
                       2);
  tcase_add_loop_test (zone, whole_answer_is_passed_on_by_zone_hosts, 0,
                       WHOLE_ANSWERS);
  tcase_add_test (zone, reset_during_an_upload_ends_no_answer_to_zone_hosts);
  suite_add_tcase (all, zone);
  return all;
}
