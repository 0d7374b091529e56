/* Tests that a stream goes on only at the build that began it.  */
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

static void
set_builds (int64_t now, const char *first, const char *second)
{
  gateway_fixture_build (&f, now, "u1", 1, first);
  gateway_fixture_build (&f, now, "u2", 1, second);
}

static void
receive_event (int64_t now, const char *event)
{
  gateway_fixture_head (&f, now, 200, NULL, true, false);
  gateway_fixture_data (&f, now, event);
}

/* Starts a stream that may be resumed and receives its first event.  */
static void
start_stream (void)
{
  gateway_fixture_call (&f, 0, "/ask/x");
  receive_event (10, "id: 1\ndata: a\n\n");
}

START_TEST (broken_stream_goes_on_at_its_build)
{
  set_builds (0, "v1", "v1");
  start_stream ();
  gateway_fixture_break (&f, 20);
  ck_assert_int_eq (f.seen.sends, 2);
  ck_assert_int_eq (f.seen.cuts, 0);
}
END_TEST

/* Guards against a stream with events of two builds, after its connection
   broke.  */
START_TEST (broken_stream_is_cut_without_its_build)
{
  set_builds (0, "v1", "v1.1");
  start_stream ();
  gateway_fixture_break (&f, 20);
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_int_eq (f.seen.cuts, 1);
}
END_TEST

/* The same after an answer that ended within an event.  */
START_TEST (unfinished_stream_is_cut_without_its_build)
{
  set_builds (0, "v1", "v1.1");
  start_stream ();
  gateway_fixture_data (&f, 20, "id: 2\nda");
  marjoram_placement_connection_lost (marjoram_gateway_placement (f.gateway),
                                      20, f.seen.address, true);
  gateway_fixture_end (&f, 20, MARJORAM_HTTP_COMPLETE);
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_int_eq (f.seen.cuts, 1);
}
END_TEST

/* The same after its upstream stalled: no other build is a place for it.  */
START_TEST (stalled_stream_is_kept_without_its_build)
{
  set_builds (0, "v1", "v1.1");
  start_stream ();
  for (int64_t now = 25; now < 4000; now += 25)
    marjoram_gateway_tick (f.gateway, now);
  ck_assert_int_eq (f.seen.cancels, 0);
  ck_assert_int_eq (f.seen.sends, 1);
}
END_TEST

/* Before the first event there is nothing to go on with.  */
START_TEST (stream_without_events_starts_at_any_build)
{
  set_builds (0, "v1", "v1.1");
  gateway_fixture_call (&f, 0, "/ask/x");
  gateway_fixture_head (&f, 10, 200, NULL, true, false);
  gateway_fixture_break (&f, 20);
  ck_assert_int_eq (f.seen.sends, 2);
  ck_assert_int_eq (f.seen.cuts, 0);
}
END_TEST

/* Guards against an upstream that has started again under its id with another
   build going on with the streams of its former one.  */
START_TEST (restarted_upstream_is_another_build)
{
  set_builds (0, "v1", "v1");
  start_stream ();
  gateway_fixture_build (&f, 1000, "u1", 2, "v1.1");
  gateway_fixture_build (&f, 1000, "u2", 2, "v1.1");
  gateway_fixture_break (&f, 1010);
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_int_eq (f.seen.cuts, 1);
}
END_TEST

/* An upstream whose connections broke may have started again with another
   build until it is heard.  */
START_TEST (upstream_with_broken_connections_is_no_build)
{
  set_builds (0, "v1", "v1");
  start_stream ();
  marjoram_placement_connection_lost (marjoram_gateway_placement (f.gateway),
                                      15, "10.0.0.1:80", true);
  marjoram_placement_connection_lost (marjoram_gateway_placement (f.gateway),
                                      15, "10.0.0.2:80", true);
  gateway_fixture_break (&f, 20);
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_int_eq (f.seen.cuts, 1);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("build");
  TCase *c = tcase_create ("build");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, broken_stream_goes_on_at_its_build);
  tcase_add_test (c, broken_stream_is_cut_without_its_build);
  tcase_add_test (c, unfinished_stream_is_cut_without_its_build);
  tcase_add_test (c, stalled_stream_is_kept_without_its_build);
  tcase_add_test (c, stream_without_events_starts_at_any_build);
  tcase_add_test (c, restarted_upstream_is_another_build);
  tcase_add_test (c, upstream_with_broken_connections_is_no_build);
  suite_add_tcase (s, c);
  return s;
}
