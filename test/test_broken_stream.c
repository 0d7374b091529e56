/* Tests of streams whose upstream breaks off, by how the answer ends.  */
#include "suite.h"

#include "lib_gateway.h"

#include <string.h>

static struct gateway_fixture f;

static void
setup (void)
{
  gateway_fixture_open (&f);
  gateway_fixture_configure (&f);
}

static void
teardown (void)
{
  gateway_fixture_close (&f);
}

/* A header of an answer; none if NAME is null.  */
struct header
{
  const char *name;
  const char *value;
};

/* A success with HEADER and BODY that ends without an error of HTTP.  */
static void
answer (int64_t now, const struct header *header, const char *body)
{
  ck_assert (gateway_fixture_success (&f, now, header->name, header->value));
  if (*body)
    gateway_fixture_data (&f, now, body);
  gateway_fixture_end (&f, now, MARJORAM_HTTP_COMPLETE);
}

/* An answer without a length or chunks ends with its connection.  */
static const struct header framings[] = { { NULL, NULL },
                                          { "Transfer-Encoding", "chunked" },
                                          { "Content-Length", "24" } };

enum
{
  FRAMINGS = sizeof framings / sizeof *framings
};

static const char whole[]
    = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

/* Guards against an answer that ends within an event being passed on as
   complete instead of being resumed.  */
START_TEST (answer_that_ends_within_an_event_is_resumed)
{
  gateway_fixture_call (&f, 0, "/ask/x");
  answer (10, &framings[_i], "id: 1\ndata: a\n\nid: 2\nda");
  ck_assert_int_eq (f.seen.ends, 0);
  ck_assert_str_eq (f.seen.body, "id: 1\ndata: a\n\n");
  ck_assert_int_eq (f.seen.sends, 2);
  ck_assert_ptr_nonnull (strstr (f.seen.message, "Last-Event-Id: 1\r\n"));
  answer (20, &framings[_i], "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  ck_assert_str_eq (f.seen.body, whole);
  ck_assert_int_eq (f.seen.ends, 1);
  ck_assert_int_eq (f.seen.cuts, 0);
}
END_TEST

/* Guards against the same where the stream may not be resumed.  */
START_TEST (answer_that_ends_within_an_event_is_cut)
{
  gateway_fixture_call (&f, 0, "/digest/x");
  answer (10, &framings[_i], "id: 1\ndata: a\n\nid: 2\nda");
  ck_assert_int_eq (f.seen.ends, 0);
  ck_assert_int_eq (f.seen.cuts, 1);
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_str_eq (f.seen.body, "id: 1\ndata: a\n\n");
}
END_TEST

/* Guards against the same for a stream that another host forwarded.  */
START_TEST (forwarded_answer_that_ends_within_an_event_is_cut)
{
  gateway_fixture_forwarded (&f, 0, "/ask/x");
  answer (10, &framings[_i], "id: 1\ndata: a\n\nid: 2\nda");
  ck_assert_int_eq (f.seen.ends, 0);
  ck_assert_int_eq (f.seen.cuts, 1);
}
END_TEST

/* Guards against an upstream that dies after the head being taken for one that
   has no events to send.  */
START_TEST (closed_answer_without_events_is_broken)
{
  gateway_fixture_call (&f, 0, "/ask/x");
  answer (10, &framings[0], "");
  ck_assert_int_eq (f.seen.ends, 0);
  ck_assert_int_eq (f.seen.sends, 2);
}
END_TEST

START_TEST (framed_answer_without_events_is_complete)
{
  gateway_fixture_call (&f, 0, "/ask/x");
  answer (10, &framings[1], "");
  ck_assert_int_eq (f.seen.ends, 1);
  ck_assert_int_eq (f.seen.sends, 1);
}
END_TEST

START_TEST (whole_answer_is_complete)
{
  gateway_fixture_call (&f, 0, "/ask/x");
  answer (10, &framings[_i], whole);
  ck_assert_int_eq (f.seen.ends, 1);
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_str_eq (f.seen.body, whole);
}
END_TEST

/* Comments and empty lines after the last event are no event.  */
START_TEST (comment_after_the_last_event_is_complete)
{
  gateway_fixture_call (&f, 0, "/ask/x");
  answer (10, &framings[_i], "id: 1\ndata: a\n\n\n: bye\n");
  ck_assert_int_eq (f.seen.ends, 1);
  ck_assert_str_eq (f.seen.body, "id: 1\ndata: a\n\n\n: bye\n");
}
END_TEST

/* A stream that is resumed after its last event brings nothing more.  */
START_TEST (resumed_answer_without_events_is_complete)
{
  gateway_fixture_call (&f, 0, "/ask/x");
  answer (10, &framings[0], "id: 1\ndata: a\n\nid: 2\nda");
  answer (20, &framings[1], "");
  ck_assert_int_eq (f.seen.sends, 2);
  ck_assert_int_eq (f.seen.ends, 1);
  ck_assert_str_eq (f.seen.body, "id: 1\ndata: a\n\n");
}
END_TEST

/* An answer of another type has no events that could be unfinished.  */
START_TEST (answer_of_another_type_is_complete)
{
  static const struct header json = { "Content-Type", "application/json" };

  gateway_fixture_call (&f, 0, "/ask/x");
  answer (10, &json, "{\"text\":\"a\"}");
  ck_assert_int_eq (f.seen.ends, 1);
  ck_assert_str_eq (f.seen.body, "{\"text\":\"a\"}");
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("broken_stream");
  TCase *c = tcase_create ("broken_stream");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_loop_test (c, answer_that_ends_within_an_event_is_resumed, 0,
                       FRAMINGS);
  tcase_add_loop_test (c, answer_that_ends_within_an_event_is_cut, 0,
                       FRAMINGS);
  tcase_add_loop_test (c, forwarded_answer_that_ends_within_an_event_is_cut, 0,
                       FRAMINGS);
  tcase_add_test (c, closed_answer_without_events_is_broken);
  tcase_add_test (c, framed_answer_without_events_is_complete);
  tcase_add_loop_test (c, whole_answer_is_complete, 0, FRAMINGS);
  tcase_add_loop_test (c, comment_after_the_last_event_is_complete, 0,
                       FRAMINGS);
  tcase_add_test (c, resumed_answer_without_events_is_complete);
  tcase_add_test (c, answer_of_another_type_is_complete);
  suite_add_tcase (s, c);
  return s;
}
