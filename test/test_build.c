/* Tests that a stream goes on only at the build that began it.  */
#include "suite.h"

#include "lib_gateway.h"

#include <string.h>

enum
{
  CALLER_PATIENCE_MS = 3000 /* of the fixture's callers */
};

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
  for (int64_t now = 25; now < CALLER_PATIENCE_MS - 50; now += 25)
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

/* A forward of a stream that goes on names the build that began it.  */
START_TEST (forward_names_the_build)
{
  f.far_build = "v2";
  gateway_fixture_call (&f, 0, "/home/x");
  ck_assert (f.seen.forwarded && !f.seen.has_build);
  receive_event (100, "id: 1\ndata: a\n\n");
  gateway_fixture_offer (&f, "far1", "v2");
  gateway_fixture_end (&f, 110, MARJORAM_HTTP_BROKEN);
  ck_assert_int_eq (f.seen.forwards, 2);
  ck_assert (f.seen.has_build);
  ck_assert_str_eq (f.seen.build, "v2");
}
END_TEST

/* Guards against a stream going on in a region without its build.  */
START_TEST (stream_is_not_forwarded_to_other_builds)
{
  f.far_build = "v2";
  gateway_fixture_call (&f, 0, "/home/x");
  receive_event (100, "id: 1\ndata: a\n\n");
  gateway_fixture_offer (&f, "far1", "v3");
  gateway_fixture_end (&f, 110, MARJORAM_HTTP_BROKEN);
  ck_assert_int_eq (f.seen.forwards, 1);
  ck_assert_int_eq (f.seen.cuts, 1);
}
END_TEST

/* Guards against going on at any build after a host that does not tell its
   upstream's build, as those of earlier releases.  */
START_TEST (stream_of_an_untold_build_is_cut)
{
  f.far_build = NULL;
  gateway_fixture_call (&f, 0, "/home/x");
  receive_event (100, "id: 1\ndata: a\n\n");
  gateway_fixture_end (&f, 110, MARJORAM_HTTP_BROKEN);
  ck_assert_int_eq (f.seen.forwards, 1);
  ck_assert_int_eq (f.seen.cuts, 1);
}
END_TEST

/* A forwarded stream that goes on is refused where its build is not.  */
START_TEST (forwarded_stream_needs_its_build)
{
  set_builds (0, "v1", "v1.1");
  gateway_fixture_forwarded_build (&f, 0, "/ask/x", "v1.1");
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_str_eq (f.seen.address, "10.0.0.2:80");
  gateway_fixture_forwarded_build (&f, 0, "/ask/x", "v3");
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.reason, MARJORAM_REASON_OTHER_BUILD);
  ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_NOT_RUN);
}
END_TEST

/* An upstream that started again may be sent new streams before it is heard;
   which build sends their events is not known then.  */
START_TEST (build_of_an_unheard_upstream_is_unknown)
{
  set_builds (0, "v1", "v1");
  for (int i = 1; i <= 2; i++)
    marjoram_placement_connection_lost (
        marjoram_gateway_placement (f.gateway), 5,
        i == 1 ? "10.0.0.1:80" : "10.0.0.2:80", true);
  start_stream ();
  ck_assert_ptr_null (marjoram_gateway_build_of (f.gateway, f.calls));
  gateway_fixture_build (&f, 1000, "u1", 1, "v1");
  gateway_fixture_build (&f, 1000, "u2", 1, "v1");
  gateway_fixture_data (&f, 1010, "id: 2\ndata: b\n\n");
  ck_assert_str_eq (marjoram_gateway_build_of (f.gateway, f.calls), "v1");
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
  tcase_add_test (c, forward_names_the_build);
  tcase_add_test (c, stream_is_not_forwarded_to_other_builds);
  tcase_add_test (c, stream_of_an_untold_build_is_cut);
  tcase_add_test (c, forwarded_stream_needs_its_build);
  tcase_add_test (c, build_of_an_unheard_upstream_is_unknown);
  suite_add_tcase (s, c);
  return s;
}
