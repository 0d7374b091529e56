/* Tests of what becomes of requests at an upstream that stops answering.  */
#include "suite.h"

#include "lib_gateway.h"

#include <stdio.h>
#include <string.h>

enum
{
  TICK_MS = 25,
  SOON_MS = 2 * TICK_MS,
  BEGIN_MS = 10,
  PROBE_TIMEOUT_MS = 300,
  /* After the last data, or after an answer was expected.  */
  DARK_WITHIN_MS = 1000,
  STATUS_BAD_GATEWAY = 502
};

static struct gateway_fixture f;
static int64_t now;
static const char *dark; /* address that answers no connection; null: none */
static int probes_seen;
static int64_t probed_at[GATEWAY_PROBES_MAX];
static bool probe_done[GATEWAY_PROBES_MAX];

static void
setup (void)
{
  gateway_fixture_open (&f);
  gateway_fixture_configure (&f);
  gateway_fixture_check_upstreams (&f, true);
  now = 0;
  dark = NULL;
  probes_seen = 0;
  memset (probe_done, 0, sizeof probe_done);
}

static void
teardown (void)
{

  gateway_fixture_close (&f);
}

static void
answer_probes (void)
{
  for (; probes_seen < f.seen.probes; probes_seen++)
    probed_at[probes_seen] = now;
  for (int i = 0; i < f.seen.probes; i++)
    {
      const bool answered
          = !dark || strcmp (f.seen.probe[i].address, dark) != 0;

      if (probe_done[i]
          || (!answered && now < probed_at[i] + PROBE_TIMEOUT_MS))
        continue;
      probe_done[i] = true;
      marjoram_gateway_probed (f.gateway, now, f.seen.probe[i].number,
                               answered ? MARJORAM_PROBE_OPEN
                                        : MARJORAM_PROBE_NO_ANSWER);
    }
}

static void
run_until (int64_t until)
{
  for (; now < until; now += TICK_MS)
    {
      answer_probes ();
      marjoram_gateway_tick (f.gateway, now);
    }
}

/* The upstream of the last attempt goes dark.  */
static void
go_dark (void)
{
  static char address[MARJORAM_ID_MAX];

  snprintf (address, sizeof address, "%s", f.seen.address);
  dark = address;
}

static const char *
dark_id (void)
{
  return strcmp (dark, "10.0.0.1:80") == 0   ? "u1"
         : strcmp (dark, "10.0.0.2:80") == 0 ? "u2"
                                             : "p1";
}

/* A stream with one event at BEGIN_MS, so early that its upstream is not taken
   for slow.  */
static void
begin_stream (const char *path)
{
  gateway_fixture_call (&f, now, path);
  run_until (BEGIN_MS);
  ck_assert (gateway_fixture_success (&f, now, NULL, NULL));
  gateway_fixture_data (&f, now, "id: 1\ndata: a\n\n");
}

static uint64_t
metric (enum marjoram_metric name)
{
  return marjoram_metrics_get (f.metrics, name);
}

/* Guards against streams that wait for seconds although another upstream could
   go on with them.  */
START_TEST (stream_that_may_be_resumed_goes_on_elsewhere)
{
  begin_stream ("/ask/x");
  go_dark ();
  run_until (BEGIN_MS + DARK_WITHIN_MS);
  ck_assert_int_eq (f.seen.sends, 2);
  ck_assert_str_ne (f.seen.address, dark);
  ck_assert_ptr_nonnull (strstr (f.seen.message, "Last-Event-Id: 1\r\n"));
  ck_assert_int_eq (f.seen.cancels, 1);
  ck_assert_int_eq (f.seen.cuts, 0);
  ck_assert_uint_eq (metric (MARJORAM_METRIC_UPSTREAMS_DARK), 1);
  ck_assert_uint_eq (metric (MARJORAM_METRIC_DARK_ATTEMPTS_ENDED), 1);
  ck_assert_uint_eq (metric (MARJORAM_METRIC_UPSTREAM_CHECKS), 1);
  gateway_fixture_success (&f, now, "Transfer-Encoding", "chunked");
  gateway_fixture_data (&f, now, "id: 2\ndata: b\n\n");
  gateway_fixture_end (&f, now, MARJORAM_HTTP_COMPLETE);
  ck_assert_str_eq (f.seen.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  ck_assert_int_eq (f.seen.ends, 1);
}
END_TEST

/* Guards against callers that wait for a stream that cannot go on, and have no
   time left for another try.  */
START_TEST (stream_that_may_not_be_resumed_ends_at_once)
{
  begin_stream ("/digest/x");
  go_dark ();
  run_until (BEGIN_MS + DARK_WITHIN_MS);
  ck_assert_int_eq (f.seen.cuts, 1);
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_int_eq (f.seen.cancels, 1);
  ck_assert_uint_eq (marjoram_gateway_request_count (f.gateway), 0);
}
END_TEST

/* Guards against a statement that a request has not run, or a second attempt,
   although it may have run.  */
START_TEST (request_that_may_have_run_is_said_to_be_unknown)
{
  static const char *const paths[] = { "/flip/x", "/digest/x" };

  gateway_fixture_call (&f, 0, paths[_i]);
  go_dark ();
  run_until (DARK_WITHIN_MS + 50);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_int_eq (f.seen.forwards, 0);
  ck_assert_int_eq (f.seen.why.status, STATUS_BAD_GATEWAY);
  ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_UNKNOWN);
  ck_assert_int_eq (f.seen.why.reason, MARJORAM_REASON_UPSTREAM_SILENT);
  ck_assert (!f.seen.why.unreached);
}
END_TEST

START_TEST (idempotent_request_goes_to_another_region_if_none_is_left)
{
  gateway_fixture_call (&f, 0, "/get/x");
  go_dark ();
  run_until (DARK_WITHIN_MS + 50);
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_int_eq (f.seen.forwards, 1);
  ck_assert_int_eq (f.seen.refusals, 0);
}
END_TEST

/* Guards against new requests being lost at a dark upstream, and against it
   staying unused once it answers.  */
START_TEST (dark_upstream_gets_no_requests_until_it_answers)
{
  int back = 0;

  begin_stream ("/digest/x");
  go_dark ();
  run_until (BEGIN_MS + DARK_WITHIN_MS);
  for (int i = 0; i < 20; i++)
    {
      gateway_fixture_call (&f, now, "/digest/x");
      ck_assert_str_ne (f.seen.address, dark);
      gateway_fixture_end (&f, now, MARJORAM_HTTP_BROKEN);
    }
  dark = NULL;
  run_until (BEGIN_MS + DARK_WITHIN_MS + 1200);
  for (int i = 0; i < 20; i++)
    {
      gateway_fixture_call (&f, now, "/digest/x");
      back += strcmp (f.seen.address, f.seen.probe[0].address) == 0;
    }
  ck_assert_int_gt (back, 0);
}
END_TEST

/* Guards against an upstream that gets nothing after its return because the
   streams that it lost count as failures of it.  */
START_TEST (lost_streams_do_not_count_against_an_upstream_that_is_back)
{
  const char *lost;
  int back = 0;

  f.link_up = false;
  for (int i = 0; i < 20; i++)
    gateway_fixture_call (&f, now, "/digest/x");
  go_dark ();
  lost = dark;
  run_until (BEGIN_MS + DARK_WITHIN_MS);
  ck_assert_int_gt (f.seen.refusals, 4);
  for (uint64_t call = 1; call <= 20; call++)
    marjoram_gateway_caller_disconnected (f.gateway, now, call);
  dark = NULL;
  run_until (BEGIN_MS + DARK_WITHIN_MS + 1200);
  for (int i = 0; i < 20; i++)
    {
      gateway_fixture_prompt (&f, now, "/digest/x", 1000);
      back += strcmp (f.seen.address, lost) == 0;
      gateway_fixture_success (&f, now, "Transfer-Encoding", "chunked");
      gateway_fixture_data (&f, now, "id: 1\ndata: a\n\n");
      gateway_fixture_end (&f, now, MARJORAM_HTTP_COMPLETE);
    }
  ck_assert_int_gt (back, 4);
}
END_TEST

/* Guards against a verdict on an upstream that drops new connections but has
   sent the head of an answer.  */
START_TEST (head_of_an_answer_is_a_sign_of_life)
{
  gateway_fixture_call (&f, now, "/digest/x");
  go_dark ();
  run_until (600);
  ck_assert (gateway_fixture_success (&f, now, NULL, NULL));
  run_until (600 + 700);
  ck_assert_int_eq (f.seen.refusals, 0);
  ck_assert_uint_eq (metric (MARJORAM_METRIC_UPSTREAMS_DARK), 0);
  run_until (600 + DARK_WITHIN_MS);
  ck_assert_int_eq (f.seen.refusals, 1);
}
END_TEST

START_TEST (requests_avoid_a_silent_upstream_before_the_verdict)
{
  begin_stream ("/digest/x");
  go_dark ();
  run_until (BEGIN_MS + 350);
  ck_assert_int_eq (f.seen.cuts, 0);
  for (int i = 0; i < 20; i++)
    {
      gateway_fixture_call (&f, now, "/digest/x");
      ck_assert_str_ne (f.seen.address, dark);
    }
}
END_TEST

/* Guards against streams taken from an engine that pauses for long.  */
START_TEST (stream_of_a_slow_upstream_is_kept)
{
  begin_stream ("/digest/x");
  run_until (2500);
  ck_assert_int_eq (f.seen.cuts, 0);
  ck_assert_int_eq (f.seen.cancels, 0);
  ck_assert_int_gt (f.seen.probes, 2);
  gateway_fixture_data (&f, now, "id: 2\ndata: b\n\n");
  gateway_fixture_end (&f, now, MARJORAM_HTTP_COMPLETE);
  ck_assert_int_eq (f.seen.ends, 1);
  ck_assert_str_eq (f.seen.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}
END_TEST

/* Guards against refusing requests as crashing because machines on which they
   ran lost their power.  */
START_TEST (dark_upstream_convicts_no_request)
{
  f.link_up = false;
  for (int i = 0; i < 3; i++)
    {
      gateway_fixture_session (&f, now, "/digest/x", 1, 1000);
      go_dark ();
      run_until (now + DARK_WITHIN_MS + 500);
      ck_assert_int_eq (f.seen.refusals, i + 1);
      dark = NULL;
      run_until (now + 1100);
    }
  ck_assert_uint_eq (
      marjoram_crash_list_count (marjoram_gateway_crash_list (f.gateway)), 0);
}
END_TEST

START_TEST (other_hosts_are_notified)
{
  begin_stream ("/ask/x");
  go_dark ();
  run_until (BEGIN_MS + DARK_WITHIN_MS);
  ck_assert_int_eq (f.seen.dark_reports, 1);
  ck_assert_uint_eq (f.seen.dark_items, 1);
  ck_assert_str_eq (f.seen.dark, dark_id ());
}
END_TEST

static void
tell (const char *id, int64_t started_at)
{
  struct marjoram_dark_item item = { (char *)id, started_at };
  const struct marjoram_dark_report report = { { &item, 1 } };

  marjoram_gateway_dark_reported (f.gateway, now, &report);
}

static int64_t
start_of (const char *id)
{
  return marjoram_registry_find (f.registry, id)->heartbeat.started_at;
}

/* Guards against cutting a stream by hearsay, and against ignoring it.  */
START_TEST (report_of_another_host_leads_to_a_check)
{
  begin_stream ("/digest/x");
  go_dark ();
  tell (dark_id (), start_of (dark_id ()));
  for (int i = 0; i < 20; i++)
    {
      gateway_fixture_call (&f, now, "/digest/x");
      ck_assert_str_ne (f.seen.address, dark);
    }
  dark = NULL;
  run_until (now + SOON_MS);
  ck_assert_int_ge (f.seen.probes, 1);
  run_until (now + 2000);
  ck_assert_int_eq (f.seen.cuts, 0);
  ck_assert_int_eq (f.seen.dark_reports, 0);
}
END_TEST

/* Guards against hosts that pass reports on, each to all others.  */
START_TEST (confirmed_report_is_not_passed_on)
{
  begin_stream ("/digest/x");
  go_dark ();
  tell (dark_id (), start_of (dark_id ()));
  run_until (BEGIN_MS + DARK_WITHIN_MS);
  ck_assert_int_eq (f.seen.cuts, 1);
  ck_assert_int_eq (f.seen.dark_reports, 0);
}
END_TEST

/* Guards against reports of an instance that has ended, or of ids that no
   upstream has.  */
START_TEST (report_of_another_instance_is_ignored)
{
  begin_stream ("/digest/x");
  go_dark ();
  tell (dark_id (), start_of (dark_id ()) + 1);
  tell ("nobody", 1);
  tell (NULL, 1);
  run_until (now + SOON_MS);
  ck_assert_int_eq (f.seen.probes, 0);
}
END_TEST

/* Guards against verdicts of a host whose own input is delayed.  */
START_TEST (lagging_host_keeps_its_streams)
{
  begin_stream ("/digest/x");
  go_dark ();
  f.lag_ms = 900;
  run_until (1100);
  ck_assert_int_eq (f.seen.probes, 0);
  ck_assert_int_eq (f.seen.cuts, 0);
}
END_TEST

START_TEST (nothing_is_checked_unless_enabled)
{
  gateway_fixture_check_upstreams (&f, false);
  begin_stream ("/digest/x");
  go_dark ();
  tell (dark_id (), start_of (dark_id ()));
  run_until (2500);
  ck_assert_int_eq (f.seen.probes, 0);
  ck_assert_int_eq (f.seen.dark_reports, 0);
  ck_assert_int_eq (f.seen.cuts, 0);
}
END_TEST

/* Guards against an upstream that stays excluded after the checks, which would
   clear it, have been switched off.  */
START_TEST (switching_off_ends_the_exclusion)
{
  int back = 0;

  begin_stream ("/digest/x");
  go_dark ();
  run_until (BEGIN_MS + DARK_WITHIN_MS);
  ck_assert_int_eq (f.seen.cuts, 1);
  gateway_fixture_check_upstreams (&f, false);
  run_until (now + TICK_MS);
  for (int i = 0; i < 20; i++)
    {
      gateway_fixture_call (&f, now, "/digest/x");
      back += strcmp (f.seen.address, dark) == 0;
    }
  ck_assert_int_gt (back, 0);
}
END_TEST

/* Guards against an upstream that is no longer the one that went dark staying
   excluded.  */
START_TEST (upstream_that_starts_again_is_used)
{
  int back = 0;

  begin_stream ("/digest/x");
  go_dark ();
  run_until (BEGIN_MS + DARK_WITHIN_MS);
  gateway_fixture_restart (&f, now, dark_id (), start_of (dark_id ()) + 1);
  run_until (now + SOON_MS);
  for (int i = 0; i < 20; i++)
    {
      gateway_fixture_call (&f, now, "/digest/x");
      back += strcmp (f.seen.address, dark) == 0;
    }
  ck_assert_int_gt (back, 0);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("upstream_dark");
  TCase *c = tcase_create ("upstream_dark");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, stream_that_may_be_resumed_goes_on_elsewhere);
  tcase_add_test (c, stream_that_may_not_be_resumed_ends_at_once);
  tcase_add_loop_test (c, request_that_may_have_run_is_said_to_be_unknown, 0,
                       2);
  tcase_add_test (c,
                  idempotent_request_goes_to_another_region_if_none_is_left);
  tcase_add_test (c, dark_upstream_gets_no_requests_until_it_answers);
  tcase_add_test (c,
                  lost_streams_do_not_count_against_an_upstream_that_is_back);
  tcase_add_test (c, head_of_an_answer_is_a_sign_of_life);
  tcase_add_test (c, confirmed_report_is_not_passed_on);
  tcase_add_test (c, requests_avoid_a_silent_upstream_before_the_verdict);
  tcase_add_test (c, stream_of_a_slow_upstream_is_kept);
  tcase_add_test (c, dark_upstream_convicts_no_request);
  tcase_add_test (c, other_hosts_are_notified);
  tcase_add_test (c, report_of_another_host_leads_to_a_check);
  tcase_add_test (c, report_of_another_instance_is_ignored);
  tcase_add_test (c, lagging_host_keeps_its_streams);
  tcase_add_test (c, nothing_is_checked_unless_enabled);
  tcase_add_test (c, switching_off_ends_the_exclusion);
  tcase_add_test (c, upstream_that_starts_again_is_used);
  suite_add_tcase (s, c);
  return s;
}
