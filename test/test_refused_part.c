/* Tests of a gateway that refuses requests by a part of their prompts.  */
#include "suite.h"

#include "crash_list.h"
#include "lib_gateway.h"

#include <stdio.h>

enum
{
  BAD = 0xbad,
  SOUND = 0x50,
  SHARED_TOKENS = 100,
  STEP_MS = 1000, /* between crashes */
  JUDGED_MS = 4500,
  STATUS_OK = 200,
  STATUS_BAD_REQUEST = 400,
  STATUS_FAILED = 500,
  STATUS_BAD_GATEWAY = 502,
  STATUS_UNAVAILABLE = 503
};

static struct gateway_fixture f;
static int paths;

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

static const char one_event[] = "id: 1\ndata: a\n\n";
static const char two_events[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/* A request with part ID that no other one is like.  */
static void
request (int64_t now, uint64_t id)
{
  char path[32];

  snprintf (path, sizeof path, "/digest/%d", ++paths);
  gateway_fixture_session (&f, now, path, id, SHARED_TOKENS);
}

static void
restart_upstreams (int64_t now)
{
  gateway_fixture_restart (&f, now, "u1", now);
  gateway_fixture_restart (&f, now, "u2", now);
}

/* A request with part ID, whose upstream crashes after BODY; the upstreams
   start anew before.  */
static void
crash (int64_t now, uint64_t id, const char *body)
{
  restart_upstreams (now);
  request (now, id);
  ck_assert (gateway_fixture_success (&f, now + 10, NULL, NULL));
  gateway_fixture_data (&f, now + 10, body);
  gateway_fixture_end (&f, now + 20, MARJORAM_HTTP_BROKEN);
}

static void
crash_row (uint64_t id, const char *body)
{
  for (int i = 0; i < 4; i++)
    crash ((int64_t)i * STEP_MS, id, body);
}

static bool
refuses (int64_t now, uint64_t id)
{
  const int sends = f.seen.sends;
  const int refusals = f.seen.refusals;

  marjoram_gateway_tick (f.gateway, now);
  request (now, id);
  return f.seen.sends == sends && f.seen.refusals > refusals
         && f.seen.why.reason == MARJORAM_REASON_CONVICTED;
}

START_TEST (convicted_part_is_refused_at_once)
{
  crash_row (BAD, "");
  ck_assert (refuses (JUDGED_MS, BAD));
  ck_assert_int_eq (f.seen.why.status, STATUS_BAD_REQUEST);
  ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_NOT_RUN);
  ck_assert_int_eq (f.seen.why.retry_ms, 0);
  ck_assert (f.seen.why.unreached);
  ck_assert (!refuses (JUDGED_MS, SOUND));
}
END_TEST

START_TEST (part_that_crashes_after_one_event_is_refused)
{
  crash_row (BAD, one_event);
  ck_assert (refuses (JUDGED_MS, BAD));
}
END_TEST

/* Guards against blaming a part whose answers were under way.  */
START_TEST (crash_of_an_answer_under_way_does_not_count)
{
  for (int64_t now = 0; now < 10000; now += 2000)
    {
      restart_upstreams (now);
      request (now, SOUND);
      ck_assert (gateway_fixture_success (&f, now + 10, NULL, NULL));
      gateway_fixture_data (&f, now + 10, two_events);
      gateway_fixture_end (&f, now + 1500, MARJORAM_HTTP_BROKEN);
    }
  ck_assert (!refuses (10000, SOUND));
}
END_TEST

/* Guards against taking a refusal or a failure for an answer.  */
START_TEST (refusals_and_failures_clear_nothing)
{
  crash_row (BAD, "");
  ck_assert (refuses (JUDGED_MS, BAD));
  for (int i = 0; i < 3; i++)
    {
      const int statuses[]
          = { STATUS_UNAVAILABLE, STATUS_FAILED, STATUS_BAD_REQUEST };

      const int64_t now = INT64_C (1000) * (i + 10);

      crash (now, SOUND, "");
      restart_upstreams (now + 500);
      request (now + 500, SOUND);
      gateway_fixture_head (&f, now + 510, statuses[i], NULL, true,
                            statuses[i] == STATUS_UNAVAILABLE);
      gateway_fixture_data (&f, now + 510, "no");
      gateway_fixture_end (&f, now + 510, MARJORAM_HTTP_COMPLETE);
    }
  crash (13000, SOUND, "");
  ck_assert (refuses (13500, SOUND));
}
END_TEST

/* Guards against taking connections that break for a crash of an upstream that
   goes on answering.  */
START_TEST (answer_of_the_same_upstream_shows_that_it_lives)
{
  crash_row (SOUND, "");
  for (int64_t now = 3100; now < 3140; now += 10)
    {
      request (now, BAD);
      ck_assert (gateway_fixture_success (&f, now + 5, NULL, NULL));
    }
  ck_assert (!refuses (JUDGED_MS, SOUND));
}
END_TEST

/* Guards against requests that wait at an upstream crashing it after the
   conviction.  */
START_TEST (waiting_requests_are_refused_on_conviction)
{
  crash_row (BAD, "");
  restart_upstreams (3900);
  request (3900, BAD);
  ck_assert (gateway_fixture_success (&f, 3910, NULL, NULL));
  request (4000, SOUND);
  f.seen.refusals = 0;
  marjoram_gateway_tick (f.gateway, 4100);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.cancels, 1);
  ck_assert_int_eq (f.seen.why.status, STATUS_BAD_GATEWAY);
}
END_TEST

Suite *
suite (void)
{
  Suite *suite = suite_create ("refused_part");
  TCase *tcase = tcase_create ("refused_part");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, convicted_part_is_refused_at_once);
  tcase_add_test (tcase, part_that_crashes_after_one_event_is_refused);
  tcase_add_test (tcase, crash_of_an_answer_under_way_does_not_count);
  tcase_add_test (tcase, refusals_and_failures_clear_nothing);
  tcase_add_test (tcase, answer_of_the_same_upstream_shows_that_it_lives);
  tcase_add_test (tcase, waiting_requests_are_refused_on_conviction);
  suite_add_tcase (suite, tcase);
  return suite;
}
