/* Tests of a gateway whose host is stopping, and of the times of its stop.  */
#include "suite.h"

#include "drain_window.h"
#include "lib_gateway.h"

#include <string.h>

enum
{
  LIMIT_MS = 1400,
  /* Of a host that stops at 0.  */
  START_UNTIL = 700,
  ANSWER_BY = 860,
  EXIT_AT = 1000
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
stop (void)
{
  const struct marjoram_drain_window window
      = marjoram_drain_window_create (0, LIMIT_MS);

  ck_assert_int_eq (window.answer_by, ANSWER_BY);
  marjoram_gateway_set_drain (f.gateway, &window);
}

static void
begin_stream (const char *path)
{
  gateway_fixture_call (&f, 0, path);
  gateway_fixture_head (&f, 10, 200, NULL, true, false);
  gateway_fixture_data (&f, 10, "id: 1\ndata: a\n\n");
}

START_TEST (times_of_a_stop_are_in_order)
{
  static const int64_t limits[] = { 1000, 2000, 8000, 86400000 };
  const struct marjoram_drain_window window
      = marjoram_drain_window_create (100, limits[_i]);

  ck_assert_int_gt (window.accept_until, 100);
  ck_assert_int_le (window.accept_until, window.start_until);
  ck_assert_int_le (window.start_until, window.answer_by);
  ck_assert_int_lt (window.answer_by, window.exit_at);
  ck_assert_int_lt (window.exit_at, 100 + limits[_i]);
}
END_TEST

/* Guards against closing the connection of a request that may have run instead
   of saying so.  */
START_TEST (running_request_is_answered_before_the_end)
{
  gateway_fixture_call (&f, 0, "/flip/x");
  stop ();
  marjoram_gateway_tick (f.gateway, ANSWER_BY - 1);
  ck_assert_int_eq (f.seen.refusals, 0);
  marjoram_gateway_tick (f.gateway, ANSWER_BY);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.status, 502);
  ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_UNKNOWN);
  ck_assert_int_eq (f.seen.why.reason, MARJORAM_REASON_DRAINING);
  ck_assert_int_eq (f.seen.cancels, 1);
}
END_TEST

/* Guards against closing the connection of a request that did not run, which
   may then not be sent again.  */
START_TEST (waiting_request_is_refused_before_the_end)
{
  gateway_fixture_close (&f);
  gateway_fixture_open_at (&f, 0);
  gateway_fixture_call (&f, ANSWER_BY - 100, "/flip/x");
  stop ();
  marjoram_gateway_tick (f.gateway, ANSWER_BY);
  ck_assert_int_eq (f.seen.why.status, 503);
  ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_NOT_RUN);
  ck_assert_int_eq (f.seen.why.reason, MARJORAM_REASON_DRAINING);
  ck_assert_int_le (f.seen.why.retry_ms, 50);
  ck_assert_int_gt (f.seen.why.retry_ms, 0);
}
END_TEST

/* Guards against starting late in a stop what another host would serve.  */
START_TEST (waiting_request_is_refused_in_the_second_half)
{
  gateway_fixture_close (&f);
  gateway_fixture_open_at (&f, 0);
  gateway_fixture_call (&f, START_UNTIL - 20, "/flip/x");
  stop ();
  marjoram_gateway_tick (f.gateway, START_UNTIL - 10);
  ck_assert_int_eq (f.seen.refusals, 0);
  marjoram_gateway_tick (f.gateway, START_UNTIL);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.status, 503);
  ck_assert_int_eq (f.seen.why.reason, MARJORAM_REASON_DRAINING);
}
END_TEST

START_TEST (queued_request_is_refused_in_the_second_half)
{
  f.link_up = false;
  for (int i = 0; i < 2; i++)
    gateway_fixture_prompt (&f, START_UNTIL - 100, "/digest/x", 10000);
  gateway_fixture_prompt (&f, START_UNTIL - 100, "/digest/y", 4000);
  stop ();
  marjoram_gateway_tick (f.gateway, START_UNTIL - 10);
  ck_assert_int_eq (f.seen.sends, 2);
  ck_assert_int_eq (f.seen.refusals, 0);
  marjoram_gateway_tick (f.gateway, START_UNTIL);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_NOT_RUN);
  ck_assert_int_eq (f.seen.why.reason, MARJORAM_REASON_DRAINING);
}
END_TEST

START_TEST (refused_request_is_not_sent_again_in_the_second_half)
{
  gateway_fixture_call (&f, 0, "/flip/x");
  stop ();
  gateway_fixture_refuse (&f, START_UNTIL, 503, NULL);
  ck_assert_int_eq (f.seen.sends + f.seen.forwards, 1);
  ck_assert_int_eq (f.seen.why.status, 503);
  ck_assert_int_eq (f.seen.why.reason, MARJORAM_REASON_DRAINING);
}
END_TEST

/* A stream that its caller has begun to read has no other host.  */
START_TEST (begun_stream_is_resumed_in_the_second_half)
{
  begin_stream ("/ask/x");
  stop ();
  gateway_fixture_end (&f, START_UNTIL, MARJORAM_HTTP_BROKEN);
  ck_assert_int_eq (f.seen.sends, 2);
  ck_assert_int_eq (f.seen.cuts, 0);
}
END_TEST

/* Guards against starting what, by the time that the service takes, would be
   cut off.  */
START_TEST (request_that_takes_too_long_is_refused)
{
  const struct marjoram_drain_window window
      = marjoram_drain_window_create (1000, LIMIT_MS);

  for (int i = 0; i < 50; i++)
    {
      gateway_fixture_call (&f, 0, "/get/x");
      gateway_fixture_success (&f, 1000, NULL, NULL);
      gateway_fixture_end (&f, 1000, MARJORAM_HTTP_COMPLETE);
    }
  gateway_fixture_call (&f, 1000, "/flip/x");
  ck_assert_int_eq (f.seen.refusals, 0);
  marjoram_gateway_set_drain (f.gateway, &window);
  gateway_fixture_call (&f, 1000, "/flip/x");
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.status, 503);
  ck_assert_int_eq (f.seen.why.reason, MARJORAM_REASON_DRAINING);
  /* Of another service, which is fast.  */
  gateway_fixture_prompt (&f, 1000, "/ask/x", 100);
  ck_assert_int_eq (f.seen.refusals, 1);
}
END_TEST

/* Guards against work at an upstream, or at another host, for which no time is
   left here.  */
START_TEST (no_more_time_is_given_than_the_host_has)
{
  stop ();
  gateway_fixture_call (&f, 100, "/get/x");
  ck_assert (strstr (f.seen.message, "Marjoramproxy-Deadline-Ms: 760\r\n"));
  gateway_fixture_call (&f, 100, "/ask/x");
  ck_assert (strstr (f.seen.message, "Marjoramproxy-Deadline-Ms: 900\r\n"));
  gateway_fixture_call (&f, 100, "/home/x");
  ck_assert (f.seen.forwarded);
  ck_assert_int_eq (f.seen.budget_ms, EXIT_AT - 100);
}
END_TEST

/* Guards against a retry whose answer nobody would pass on.  */
START_TEST (nothing_is_sent_again_at_the_end)
{
  gateway_fixture_call (&f, 0, "/get/x");
  stop ();
  gateway_fixture_end (&f, ANSWER_BY - 10, MARJORAM_HTTP_BROKEN);
  ck_assert_int_eq (f.seen.sends + f.seen.forwards, 1);
  ck_assert_int_eq (f.seen.why.status, 502);
}
END_TEST

/* Guards against cutting streams sooner than the process ends.  */
START_TEST (begun_stream_goes_on_until_the_end)
{
  begin_stream ("/digest/x");
  stop ();
  marjoram_gateway_tick (f.gateway, ANSWER_BY);
  ck_assert_int_eq (f.seen.cuts, 0);
  ck_assert_int_eq (f.seen.cancels, 0);
  gateway_fixture_data (&f, ANSWER_BY + 10, "id: 2\ndata: b\n\n");
  gateway_fixture_end (&f, ANSWER_BY + 20, MARJORAM_HTTP_COMPLETE);
  ck_assert_int_eq (f.seen.ends, 1);
}
END_TEST

/* The host of the last forward refuses it, as it is stopping.  */
static void
refuse_forward (int64_t now, enum marjoram_reason reason)
{
  const struct marjoram_request_failure why
      = { .outcome = MARJORAM_OUTCOME_NOT_RUN,
          .reason = reason,
          .status = 503,
          .retry_ms = 20,
          .unreached = true };

  marjoram_gateway_forward_refused (f.gateway, now, f.seen.attempt, &why);
}

/* Guards against refusing a request because the host that it was forwarded to
   is stopping and this one had not heard so.  */
START_TEST (forward_to_a_stopping_host_goes_to_another)
{
  char refusing[sizeof f.seen.host];

  f.unreachable_host = "";
  gateway_fixture_call (&f, 0, "/home/x");
  memcpy (refusing, f.seen.host, sizeof refusing);
  refuse_forward (120, MARJORAM_REASON_DRAINING);
  ck_assert_int_eq (f.seen.refusals, 0);
  ck_assert_int_eq (f.seen.forwards, 2);
  ck_assert_str_ne (f.seen.host, refusing);
  /* It is known from then on.  */
  for (int i = 0; i < 20; i++)
    {
      gateway_fixture_call (&f, 130, "/home/x");
      ck_assert_str_ne (f.seen.host, refusing);
    }
}
END_TEST

static void
add_neighbour (const char *name)
{
  struct marjoram_host_offer offer
      = { .service = (char *)"app", .wait_ms = 10, .upstreams = 1 };
  const struct marjoram_host_beat heartbeat
      = { .name = (char *)name,
          .zone = (char *)"z1",
          .region = (char *)"r1",
          .entry = (char *)"10.0.1.1:8144",
          .ready = true,
          .sequence = 1,
          .offers = { &offer, 1 } };

  marjoram_host_list_update (f.hosts, 0, &heartbeat, true);
}

/* The same for a host of this region, which is asked as this one has no
   connection to the upstream.  */
START_TEST (request_relayed_to_a_stopping_host_goes_to_another)
{
  char refusing[sizeof f.seen.host];

  add_neighbour ("near1");
  add_neighbour ("near2");
  f.unreachable_host = "";
  gateway_fixture_call (&f, 0, "/flip/x");
  for (int i = 0; i < 4 && !f.seen.forwarded; i++)
    gateway_fixture_end (&f, i, MARJORAM_HTTP_UNSENT);
  ck_assert (strncmp (f.seen.host, "near", 4) == 0);
  memcpy (refusing, f.seen.host, sizeof refusing);
  refuse_forward (50, MARJORAM_REASON_DRAINING);
  ck_assert_int_eq (f.seen.refusals, 0);
  ck_assert_int_eq (f.seen.forwards, 2);
  ck_assert (strncmp (f.seen.host, "near", 4) == 0);
  ck_assert_str_ne (f.seen.host, refusing);
}
END_TEST

/* Guards against endless forwards while all hosts of a region stop.  */
START_TEST (forwards_end_when_all_hosts_are_stopping)
{
  f.unreachable_host = "";
  gateway_fixture_call (&f, 0, "/home/x");
  refuse_forward (120, MARJORAM_REASON_DRAINING);
  refuse_forward (240, MARJORAM_REASON_DRAINING);
  ck_assert_int_eq (f.seen.forwards, 2);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_NOT_RUN);
  ck_assert_int_eq (f.seen.why.status, 503);
}
END_TEST

/* A region that has no capacity left is not asked again.  */
START_TEST (other_refusals_are_final)
{
  f.unreachable_host = "";
  gateway_fixture_call (&f, 0, "/home/x");
  refuse_forward (120, MARJORAM_REASON_OVERLOAD);
  ck_assert_int_eq (f.seen.forwards, 1);
  ck_assert_int_eq (f.seen.refusals, 1);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("drain");
  TCase *c = tcase_create ("drain");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_loop_test (c, times_of_a_stop_are_in_order, 0, 4);
  tcase_add_test (c, running_request_is_answered_before_the_end);
  tcase_add_test (c, waiting_request_is_refused_before_the_end);
  tcase_add_test (c, waiting_request_is_refused_in_the_second_half);
  tcase_add_test (c, queued_request_is_refused_in_the_second_half);
  tcase_add_test (c, refused_request_is_not_sent_again_in_the_second_half);
  tcase_add_test (c, begun_stream_is_resumed_in_the_second_half);
  tcase_add_test (c, request_that_takes_too_long_is_refused);
  tcase_add_test (c, no_more_time_is_given_than_the_host_has);
  tcase_add_test (c, nothing_is_sent_again_at_the_end);
  tcase_add_test (c, begun_stream_goes_on_until_the_end);
  tcase_add_test (c, forward_to_a_stopping_host_goes_to_another);
  tcase_add_test (c, request_relayed_to_a_stopping_host_goes_to_another);
  tcase_add_test (c, forwards_end_when_all_hosts_are_stopping);
  tcase_add_test (c, other_refusals_are_final);
  suite_add_tcase (s, c);
  return s;
}
