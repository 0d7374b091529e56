/* Splitting and resuming of event streams.  */
#include "suite.h"

#include "event_stream.h"

#include <string.h>

static marjoram_event_stream *stream;
static struct evbuffer *out;

static void
setup (void)
{
  stream = marjoram_event_stream_create ();
  out = evbuffer_new ();
}

static void
teardown (void)
{
  marjoram_event_stream_destroy (stream);
  evbuffer_free (out);
}

static size_t
feed (const char *text)
{
  return marjoram_event_stream_feed (stream, text, strlen (text), out);
}

static void
expect (const char *text)
{
  size_t size = evbuffer_get_length (out);

  ck_assert_uint_eq (size, strlen (text));
  if (size > 0)
    ck_assert_mem_eq (evbuffer_pullup (out, -1), text, size);
}

START_TEST (only_complete_events_are_forwarded)
{
  ck_assert_uint_eq (feed ("id: 1\ndata: a\n"), 0);
  expect ("");
  ck_assert_uint_eq (feed ("\nid: 2\nda"), 1);
  expect ("id: 1\ndata: a\n\n");
  ck_assert_str_eq (marjoram_event_stream_last_id (stream), "1");
  ck_assert_uint_eq (feed ("ta: b\n\nid: 3\ndata: c\n\n"), 2);
  ck_assert_str_eq (marjoram_event_stream_last_id (stream), "3");
}
END_TEST

/* After a failover in the middle of an event, the caller must see each event
   exactly once and complete.  */
START_TEST (resumed_stream_has_no_duplicates)
{
  feed ("id: 1\ndata: a\n\nid: 2\nda");
  marjoram_event_stream_resume (stream);
  feed ("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  expect ("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}
END_TEST

START_TEST (crlf_line_endings_are_accepted)
{
  ck_assert_uint_eq (feed ("id: 7\r\ndata: a\r\n\r\nid: 8\r\n"), 1);
  ck_assert_str_eq (marjoram_event_stream_last_id (stream), "7");
}
END_TEST

/* Guards against events that end with mixed line ends being held back until
   the next one, or for unfinished at the end.  */
START_TEST (mixed_line_endings_are_accepted)
{
  static const char *const events[]
      = { "id: 1\r\ndata: a\n\r\n", "id: 1\ndata: a\r\n\n",
          "id: 1\rdata: a\r\r", "id: 1\ndata: a\n\n" };

  ck_assert_uint_eq (feed (events[_i]), 1);
  ck_assert_str_eq (marjoram_event_stream_last_id (stream), "1");
  expect (events[_i]);
  ck_assert (marjoram_event_stream_finish (stream, out));
}
END_TEST

START_TEST (events_are_split_alike_byte_by_byte)
{
  static const char text[]
      = "\r\nid: 1\r\ndata: a\r\n\r\nid: 2\rdata: b\r\r:c\n\nid: 3\n\n";
  size_t events = 0;

  for (size_t i = 0; i < strlen (text); i++)
    events += marjoram_event_stream_feed (stream, text + i, 1, out);
  ck_assert_uint_eq (events, 4);
  ck_assert_str_eq (marjoram_event_stream_last_id (stream), "3");
  expect (text);
}
END_TEST

START_TEST (unfinished_event_is_not_forwarded)
{
  feed ("id: 1\ndata: a\n\ndata: last");
  ck_assert (!marjoram_event_stream_finish (stream, out));
  expect ("id: 1\ndata: a\n\n");
  ck_assert_uint_eq (marjoram_event_stream_unfinished (stream), 10);
}
END_TEST

START_TEST (finish_flushes_comments)
{
  feed ("id: 1\ndata: a\n\n\r\n: bye\n:");
  ck_assert (marjoram_event_stream_finish (stream, out));
  expect ("id: 1\ndata: a\n\n\r\n: bye\n:");
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("event_stream");
  TCase *c = tcase_create ("event_stream");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, only_complete_events_are_forwarded);
  tcase_add_test (c, resumed_stream_has_no_duplicates);
  tcase_add_test (c, crlf_line_endings_are_accepted);
  tcase_add_loop_test (c, mixed_line_endings_are_accepted, 0, 4);
  tcase_add_test (c, events_are_split_alike_byte_by_byte);
  tcase_add_test (c, unfinished_event_is_not_forwarded);
  tcase_add_test (c, finish_flushes_comments);
  suite_add_tcase (s, c);
  return s;
}
