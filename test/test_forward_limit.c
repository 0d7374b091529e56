/* Tests which requests a gateway forwards to another region while that one
   accepts only some of them.  */
#include "suite.h"

#include "gateway_report.h"
#include "lib_gateway.h"

#include <stdio.h>

enum
{
  LIMIT = MARJORAM_FORWARD_LIMIT_START,
  MANY = 3 * LIMIT,
  CALLS_MAX = 64
};

static const struct marjoram_load_features balance
    = { .balance_regions = true };
static const struct marjoram_request_failure overload
    = { .outcome = MARJORAM_OUTCOME_NOT_RUN,
        .reason = MARJORAM_REASON_OVERLOAD,
        .status = 503 };
static struct gateway_fixture f;

static void
setup (void)
{
  gateway_fixture_open (&f);
  gateway_fixture_configure (&f);
  marjoram_gateway_set_load (f.gateway, &balance);
}

static void
teardown (void)
{
  gateway_fixture_close (&f);
}

/* Makes both upstreams of lm busy for longer than any request waits.  */
static void
fill_region (void)
{
  f.link_up = false;
  for (int i = 0; i < 2; i++)
    gateway_fixture_prompt (&f, 0, "/digest/x", 100000);
  ck_assert_int_eq (f.seen.sends, 2);
  f.link_up = true;
}

static int
call (int64_t now, int tokens)
{
  const int forwards = f.seen.forwards;

  gateway_fixture_prompt (&f, now, "/digest/y", tokens);
  return f.seen.forwards - forwards;
}

/* Forwards requests until one is not; returns the attempts.  */
static int
forward_all (int64_t now, uint64_t attempts[CALLS_MAX])
{
  int count = 0;

  while (count < CALLS_MAX && call (now, 400))
    attempts[count++] = f.seen.attempt;
  return count;
}

static uint64_t
metric (enum marjoram_metric number)
{
  return marjoram_metrics_get (f.metrics, number);
}

static void
begin (int64_t now, uint64_t attempt, int id)
{
  char text[32];

  snprintf (text, sizeof text, "id-%d", id);
  f.seen.attempt = attempt;
  f.seen.forwarded = true;
  ck_assert (gateway_fixture_head (&f, now, 200, text, true, false));
  gateway_fixture_data (&f, now, "id: 1\ndata: a\n\n");
}

/* Guards against all that a region can't serve being sent to another one at
   once, and against refused requests not being counted.  */
START_TEST (full_window_is_passed_over)
{
  uint64_t attempts[CALLS_MAX];

  fill_region ();
  ck_assert_int_eq (forward_all (10, attempts), LIMIT);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_NOT_RUN);
  ck_assert_int_gt (f.seen.why.retry_ms, 0);
  ck_assert_uint_eq (metric (MARJORAM_METRIC_FORWARDS_LIMITED), 1);
  ck_assert_uint_eq (metric (MARJORAM_METRIC_REFUSED_WITH_ROOM), 0);
  for (int i = 0; i < LIMIT; i++)
    begin (150, attempts[i], 3 + i);
  ck_assert_int_gt (forward_all (160, attempts), LIMIT);
}
END_TEST

/* Guards against any change for hosts that do not enable it.  */
START_TEST (without_the_feature_nothing_is_limited)
{
  static const struct marjoram_load_features none = { 0 };
  uint64_t attempts[CALLS_MAX];

  marjoram_gateway_set_load (f.gateway, &none);
  fill_region ();
  ck_assert_int_eq (forward_all (10, attempts), CALLS_MAX);
  ck_assert_uint_eq (metric (MARJORAM_METRIC_FORWARDS_LIMITED), 0);
}
END_TEST

static int
forward_and_refuse (int64_t now, const struct marjoram_request_failure *why)
{
  const int refusals = f.seen.refusals;

  ck_assert_int_eq (call (now, 400), 1);
  marjoram_gateway_forward_refused (f.gateway, now + 110, f.seen.attempt, why);
  return f.seen.refusals - refusals;
}

/* Guards against requests that travel between regions, and against callers
   that are not told when to come back.  */
START_TEST (refused_request_is_told_when_to_come_back)
{
  fill_region ();
  ck_assert_int_eq (forward_and_refuse (10, &overload), 1);
  ck_assert_int_eq (f.seen.forwards, 1);
  ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_NOT_RUN);
  ck_assert_int_gt (f.seen.why.retry_ms, 0);
  ck_assert_uint_eq (metric (MARJORAM_METRIC_REFUSED_WITH_ROOM), 0);
}
END_TEST

/* Guards against a request that was refused there being forwarded again after
   an upstream here has failed it.  */
START_TEST (refused_request_is_not_forwarded_after_a_failure)
{
  f.evacuated = true;
  gateway_fixture_call (&f, 0, "/ask/x");
  ck_assert_int_eq (f.seen.forwards, 1);
  f.evacuated = false;
  marjoram_gateway_forward_refused (f.gateway, 110, f.seen.attempt, &overload);
  ck_assert_int_eq (f.seen.sends, 1);
  f.evacuated = true;
  gateway_fixture_break (&f, 120);
  ck_assert_int_eq (f.seen.forwards, 1);
  ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_UNKNOWN);
}
END_TEST

/* Guards against a window that refusals do not close.  */
START_TEST (refusals_close_the_window)
{
  uint64_t attempts[CALLS_MAX];

  fill_region ();
  ck_assert_int_eq (forward_all (10, attempts), LIMIT);
  for (int i = 0; i < LIMIT; i++)
    marjoram_gateway_forward_refused (f.gateway, 120, attempts[i], &overload);
  ck_assert_int_eq (forward_all (130, attempts), LIMIT / 2);
}
END_TEST

/* Guards against a host that drains being taken for a full region.  */
START_TEST (draining_host_does_not_close_the_window)
{
  const struct marjoram_request_failure draining
      = { .outcome = MARJORAM_OUTCOME_NOT_RUN,
          .reason = MARJORAM_REASON_DRAINING,
          .status = 503,
          .retry_ms = 20 };
  uint64_t attempts[CALLS_MAX];

  fill_region ();
  ck_assert_int_eq (forward_all (10, attempts), LIMIT);
  for (int i = 0; i < LIMIT; i++)
    marjoram_gateway_forward_refused (f.gateway, 120, attempts[i], &draining);
  ck_assert_int_eq (forward_all (130, attempts), LIMIT);
}
END_TEST

/* Guards against requests that wait in the other region past their time being
   followed by as many more.  */
START_TEST (requests_without_first_event_close_the_window)
{
  uint64_t attempts[CALLS_MAX];
  json_t *report;
  const json_t *window;

  fill_region ();
  ck_assert_int_eq (forward_all (10, attempts), LIMIT);
  marjoram_gateway_tick (f.gateway, 1100);
  report = marjoram_gateway_report_windows (
      marjoram_gateway_forward_windows (f.gateway));
  ck_assert_uint_eq (json_array_size (report), 1);
  window = json_array_get (report, 0);
  ck_assert_str_eq (json_string_value (json_object_get (window, "region")),
                    "r2");
  ck_assert_str_eq (json_string_value (json_object_get (window, "service")),
                    "lm");
  ck_assert_int_lt (json_integer_value (json_object_get (window, "limit")),
                    LIMIT);
  ck_assert_int_eq (json_integer_value (json_object_get (window, "in_flight")),
                    LIMIT);
  json_decref (report);
}
END_TEST

/* Guards against callers that hang up filling the window.  */
START_TEST (disconnected_callers_free_the_window)
{
  uint64_t attempts[CALLS_MAX];

  fill_region ();
  ck_assert_int_eq (forward_all (10, attempts), LIMIT);
  for (uint64_t i = 0; i < LIMIT; i++)
    marjoram_gateway_caller_disconnected (f.gateway, 20, 3 + i);
  ck_assert_int_eq (forward_all (30, attempts), LIMIT);
}
END_TEST

/* Guards against a request that may have run being reported as not run.  */
START_TEST (lost_link_leaves_the_outcome_open)
{
  fill_region ();
  ck_assert_int_eq (call (10, 400), 1);
  marjoram_gateway_link_lost (f.gateway, 50, "far1");
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_UNKNOWN);
}
END_TEST

/* Guards against requests that may run only elsewhere being refused for a full
   window, since they cannot wait here.  */
START_TEST (requests_bound_to_the_other_region_are_not_limited)
{
  for (int i = 0; i < MANY; i++)
    gateway_fixture_call (&f, 0, "/home/x");
  ck_assert_int_eq (f.seen.forwards, MANY);
  ck_assert_int_eq (f.seen.refusals, 0);
}
END_TEST

/* Guards against leaving the regions that the customer allows, and against
   counting other regions' capacity as room for its requests.  */
START_TEST (residency_holds)
{
  gateway_fixture_configure_customers (&f);
  f.evacuated = true;
  gateway_fixture_keyed (&f, 10, "/ask/x", "Bearer key-near");
  ck_assert_int_eq (f.seen.forwards, 0);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_uint_eq (metric (MARJORAM_METRIC_REFUSED_WITH_ROOM), 0);
  gateway_fixture_keyed (&f, 20, "/ask/x", "Bearer key-1");
  ck_assert_int_eq (f.seen.forwards, 1);
}
END_TEST

/* Guards against requests with long prompts taking the room of those that cost
   little to move.  */
START_TEST (cheap_requests_go_first)
{
  fill_region ();
  for (int i = 0; i < LIMIT * 3 / 4; i++)
    ck_assert_int_eq (call (10, 400), 1);
  ck_assert_int_eq (call (10, 8000), 0);
  for (int i = LIMIT * 3 / 4; i < LIMIT; i++)
    ck_assert_int_eq (call (10, 400), 1);
}
END_TEST

/* Guards against moving a request whose prompt can't be read there in time. */
START_TEST (request_late_after_its_prefill_is_not_forwarded)
{
  fill_region ();
  ck_assert_int_eq (call (10, 200000), 0);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_uint_eq (metric (MARJORAM_METRIC_FORWARDS_LIMITED), 0);
}
END_TEST

/* Guards against refusing a request that this region's upstreams refused
   without running it, although another region has capacity.  */
START_TEST (request_refused_by_all_upstreams_is_forwarded)
{
  gateway_fixture_call (&f, 0, "/ask/x");
  for (int i = 1; i < 10 && f.seen.forwards == 0 && f.seen.refusals == 0; i++)
    gateway_fixture_refuse (&f, i, 503, NULL);
  ck_assert_int_eq (f.seen.forwards, 1);
  ck_assert_int_eq (f.seen.refusals, 0);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("forward_limit");
  TCase *c = tcase_create ("forward_limit");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, full_window_is_passed_over);
  tcase_add_test (c, without_the_feature_nothing_is_limited);
  tcase_add_test (c, refused_request_is_told_when_to_come_back);
  tcase_add_test (c, refused_request_is_not_forwarded_after_a_failure);
  tcase_add_test (c, refusals_close_the_window);
  tcase_add_test (c, draining_host_does_not_close_the_window);
  tcase_add_test (c, requests_without_first_event_close_the_window);
  tcase_add_test (c, disconnected_callers_free_the_window);
  tcase_add_test (c, lost_link_leaves_the_outcome_open);
  tcase_add_test (c, requests_bound_to_the_other_region_are_not_limited);
  tcase_add_test (c, residency_holds);
  tcase_add_test (c, cheap_requests_go_first);
  tcase_add_test (c, request_late_after_its_prefill_is_not_forwarded);
  tcase_add_test (c, request_refused_by_all_upstreams_is_forwarded);
  suite_add_tcase (s, c);
  return s;
}
