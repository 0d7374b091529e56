/* Tests of what callers are told of requests that may have run: statuses that
   promise "not run" need a proof.  */
#include "suite.h"

#include "lib_gateway.h"

#include <stdio.h>
#include <string.h>

enum
{
  TICK_MS = 25,
  WAIT_MS = 300 /* for an answer that names the request */
};

static struct gateway_fixture f;

static void
setup (void)
{
  gateway_fixture_open (&f);
  gateway_fixture_configure (&f);
  f.link_up = false;
}

static void
teardown (void)
{
  gateway_fixture_close (&f);
}

static void
tick_until (int64_t from, int64_t until)
{
  for (int64_t now = from; now <= until; now += TICK_MS)
    marjoram_gateway_tick (f.gateway, now);
}

/* An answer that only looks like a proof, as it names no request.  */
struct nameless
{
  int status;
  const char *name;
};

static const struct nameless nameless[]
    = { { 503, "Marjoramproxy-Not-Executed" },
        { 429, "Marjoramproxy-Not-Executed" },
        { 421, NULL },
        { 503, NULL },
        { 408, NULL } };

enum
{
  NAMELESS = sizeof nameless / sizeof *nameless
};

static void
answer_nameless (int64_t now, int i)
{
  ck_assert (!gateway_fixture_nameless (&f, now, nameless[i].status,
                                        nameless[i].name, "1"));
}

/* Guards against believing a refusal that may belong to another request.  */
START_TEST (refusal_without_id_is_skipped)
{
  gateway_fixture_call (&f, 0, "/flip/x");
  answer_nameless (10, _i);
  ck_assert_int_eq (f.seen.refusals, 0);
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert (gateway_fixture_head (&f, 20, 200, NULL, true, false));
  gateway_fixture_data (&f, 20, "ran");
  gateway_fixture_end (&f, 20, MARJORAM_HTTP_COMPLETE);
  ck_assert_int_eq (f.seen.ends, 1);
  ck_assert_str_eq (f.seen.body, "ran");
}
END_TEST

/* Guards against waiting until the deadline after a nameless answer.  */
START_TEST (request_with_only_an_answer_without_id_may_have_run)
{
  gateway_fixture_call (&f, 0, "/flip/x");
  answer_nameless (10, _i);
  tick_until (10, 10 + WAIT_MS);
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_int_eq (f.seen.cancels, 1);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_UNKNOWN);
  ck_assert_int_eq (f.seen.why.status, 502);
}
END_TEST

START_TEST (connection_that_ends_after_an_answer_without_id_may_have_run)
{
  gateway_fixture_call (&f, 0, "/flip/x");
  answer_nameless (10, _i);
  gateway_fixture_end (&f, 12, MARJORAM_HTTP_BROKEN);
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.status, 502);
}
END_TEST

START_TEST (repeatable_request_is_sent_again_after_an_answer_without_id)
{
  gateway_fixture_call (&f, 0, "/ask/x");
  answer_nameless (10, _i);
  tick_until (10, 10 + WAIT_MS);
  ck_assert_int_eq (f.seen.cancels, 1);
  ck_assert_int_eq (f.seen.sends, 2);
}
END_TEST

/* Guards against blaming the request for a crash of its upstream.  */
START_TEST (answer_without_id_is_no_crash)
{
  for (int i = 0; i < 5; i++)
    {
      const int64_t now = INT64_C (1000) * i;

      gateway_fixture_call (&f, now, "/flip/x");
      ck_assert_int_eq (f.seen.sends, i + 1);
      answer_nameless (now + 10, 0);
      gateway_fixture_end (&f, now + 12, MARJORAM_HTTP_BROKEN);
      ck_assert_int_eq (f.seen.why.status, 502);
    }
}
END_TEST

/* Guards against sparing an upstream for what a nameless answer states.  */
START_TEST (statement_without_id_is_not_believed)
{
  static const struct
  {
    const char *name;
    const char *value;
  } statements[] = { { "Retry-After", "3" },
                     { "Server-Leaving", "1" },
                     { "Server-Limit", "0.1" } };

  gateway_fixture_call (&f, 0, "/flip/x");
  gateway_fixture_nameless (&f, 10, 503, statements[_i].name,
                            statements[_i].value);
  gateway_fixture_end (&f, 12, MARJORAM_HTTP_BROKEN);
  for (int i = 1; i <= 3; i++)
    {
      gateway_fixture_call (&f, INT64_C (100) * i, "/flip/y");
      ck_assert_int_eq (f.seen.sends, 1 + i);
      ck_assert (gateway_fixture_head (&f, INT64_C (100) * i + 5, 200, NULL,
                                       true, false));
      gateway_fixture_end (&f, INT64_C (100) * i + 5, MARJORAM_HTTP_COMPLETE);
    }
}
END_TEST

/* ---- Statuses that promise.  ---- */

static const int promises[] = { 503, 429, 408 };

enum
{
  PROMISES = sizeof promises / sizeof *promises
};

/* The last attempt's upstream has run the request and answers with a status
   that promises the opposite.  */
static void
run_and_promise (int64_t now, int status)
{
  ck_assert (gateway_fixture_head (&f, now, status, NULL, true, false));
  gateway_fixture_data (&f, now, "busy");
  gateway_fixture_end (&f, now, MARJORAM_HTTP_COMPLETE);
}

static void
check_unknown (void)
{
  ck_assert_int_eq (f.seen.heads, 0);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_UNKNOWN);
  ck_assert_int_eq (f.seen.why.status, 502);
  ck_assert_int_eq (f.seen.why.retry_ms, 0);
}

/* Guards against passing on a refusal of a request that has run.  */
START_TEST (status_that_promises_without_proof_is_not_passed_on)
{
  static const char *const paths[] = { "/flip/x", "/digest/x" };

  for (size_t i = 0; i < 2; i++)
    {
      memset (&f.seen, 0, sizeof f.seen);
      gateway_fixture_call (&f, 0, paths[i]);
      run_and_promise (10, promises[_i]);
      ck_assert_int_eq (f.seen.sends, 1);
      check_unknown ();
    }
}
END_TEST

START_TEST (repeatable_request_is_sent_again_after_a_promise_without_proof)
{
  gateway_fixture_call (&f, 0, "/ask/x");
  run_and_promise (10, promises[_i]);
  ck_assert_int_eq (f.seen.sends, 2);
  run_and_promise (20, promises[_i]);
  ck_assert_int_eq (f.seen.sends, 2);
  check_unknown ();
}
END_TEST

START_TEST (forwarded_request_may_have_run_after_a_promise_without_proof)
{
  gateway_fixture_forwarded (&f, 0, "/flip/x");
  run_and_promise (10, promises[_i]);
  check_unknown ();
}
END_TEST

/* Guards against believing the host that a request was forwarded to.  */
START_TEST (promise_of_another_host_is_not_passed_on)
{
  f.link_up = true;
  gateway_fixture_call (&f, 0, "/home/x");
  ck_assert (f.seen.forwarded);
  run_and_promise (10, promises[_i]);
  if (f.seen.refusals == 0)
    run_and_promise (20, promises[_i]);
  check_unknown ();
}
END_TEST

/* Guards against taking the head of another host's answer for a proof.  */
START_TEST (misdirected_answer_of_another_host_proves_nothing)
{
  f.link_up = true;
  gateway_fixture_call (&f, 0, "/home/x");
  run_and_promise (10, 421);
  if (f.seen.refusals == 0)
    run_and_promise (20, 421);
  check_unknown ();
}
END_TEST

/* Guards against an answer that belongs to no attempt of the request.  */
START_TEST (nameless_answer_of_another_host_is_not_passed_on)
{
  f.link_up = true;
  gateway_fixture_call (&f, 0, "/home/x");
  ck_assert (f.seen.forwarded);
  for (int i = 1; i < 5 && f.seen.refusals == 0; i++)
    {
      gateway_fixture_nameless (&f, INT64_C (10) * i, 500, NULL, NULL);
      gateway_fixture_end (&f, INT64_C (10) * i, MARJORAM_HTTP_COMPLETE);
    }
  check_unknown ();
}
END_TEST

/* Guards against believing a host that was not asked.  */
START_TEST (only_the_host_that_was_asked_may_answer)
{
  uint64_t attempt;

  f.link_up = true;
  gateway_fixture_call (&f, 0, "/home/x");
  attempt = f.seen.attempt;
  ck_assert (
      marjoram_gateway_is_forwarded_to (f.gateway, attempt, f.seen.host));
  ck_assert (!marjoram_gateway_is_forwarded_to (f.gateway, attempt, "other"));
  ck_assert (!marjoram_gateway_is_forwarded_to (f.gateway, attempt, ""));
  ck_assert (
      !marjoram_gateway_is_forwarded_to (f.gateway, attempt + 1, f.seen.host));
  gateway_fixture_call (&f, 5, "/flip/x");
  ck_assert (!f.seen.forwarded);
  ck_assert (
      !marjoram_gateway_is_forwarded_to (f.gateway, f.seen.attempt, ""));
}
END_TEST

/* Guards against an interrupted stream that ends as refused.  */
START_TEST (stream_that_has_begun_is_cut_by_a_promise_without_proof)
{
  gateway_fixture_call (&f, 0, "/ask/x");
  ck_assert (gateway_fixture_success (&f, 10, NULL, NULL));
  gateway_fixture_data (&f, 10, "id: 1\ndata: a\n\n");
  gateway_fixture_end (&f, 12, MARJORAM_HTTP_BROKEN);
  ck_assert_int_eq (f.seen.sends, 2);
  run_and_promise (20, promises[_i]);
  ck_assert_int_eq (f.seen.refusals, 0);
  ck_assert_int_eq (f.seen.cuts, 1);
}
END_TEST

/* Guards against taking refusals with proof for runs.  */
START_TEST (refusal_with_proof_is_told_as_not_run)
{
  static const int statuses[] = { 503, 429, 421 };

  gateway_fixture_call (&f, 0, "/flip/x");
  for (int i = 1; i < 10 && f.seen.refusals == 0; i++)
    gateway_fixture_refuse (&f, i, statuses[_i], NULL);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_NOT_RUN);
  ck_assert_int_eq (f.seen.why.status, 503);
  ck_assert_int_gt (f.seen.why.retry_ms, 0);
}
END_TEST

/* ---- Changes of the configuration.  ---- */

/* Guards against repeating what only a former configuration let repeat.  */
START_TEST (request_that_may_not_be_repeated_any_more_is_not_sent_again)
{
  gateway_fixture_call (&f, 0, "/get/x");
  ck_assert_int_eq (f.seen.sends, 1);
  gateway_fixture_configure_once (&f);
  gateway_fixture_end (&f, 10, MARJORAM_HTTP_BROKEN);
  ck_assert_int_eq (f.seen.sends, 1);
  check_unknown ();
}
END_TEST

/* ---- The same upstream again.  ---- */

/* The id in the header of the last message.  */
static const char *
sent_id (void)
{
  return f.seen.ids[f.seen.attempt % GATEWAY_IDS_MAX];
}

/* Guards against a request going over a connection that carried it before.  */
START_TEST (each_attempt_names_its_request_to_the_connections)
{
  char first[MARJORAM_ID_MAX];

  gateway_fixture_call (&f, 0, "/digest/x");
  ck_assert_str_ne (f.seen.id, "");
  ck_assert_str_eq (f.seen.id, sent_id ());
  snprintf (first, sizeof first, "%s", f.seen.address);
  gateway_fixture_refuse (&f, 1, 503, NULL);
  ck_assert_str_ne (f.seen.address, first);
  ck_assert_str_eq (f.seen.id, sent_id ());
  gateway_fixture_refuse (&f, 100, 503, NULL);
  ck_assert_int_eq (f.seen.sends, 3);
  ck_assert_str_eq (f.seen.address, first);
  ck_assert_str_eq (f.seen.id, sent_id ());
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("promise");
  TCase *tests = tcase_create ("promise");

  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_loop_test (tests, refusal_without_id_is_skipped, 0, NAMELESS);
  tcase_add_loop_test (
      tests, request_with_only_an_answer_without_id_may_have_run, 0, NAMELESS);
  tcase_add_loop_test (
      tests, connection_that_ends_after_an_answer_without_id_may_have_run, 0,
      NAMELESS);
  tcase_add_loop_test (
      tests, repeatable_request_is_sent_again_after_an_answer_without_id, 0,
      NAMELESS);
  tcase_add_test (tests, answer_without_id_is_no_crash);
  tcase_add_loop_test (tests, statement_without_id_is_not_believed, 0, 3);
  tcase_add_loop_test (
      tests, status_that_promises_without_proof_is_not_passed_on, 0, PROMISES);
  tcase_add_loop_test (
      tests, repeatable_request_is_sent_again_after_a_promise_without_proof, 0,
      PROMISES);
  tcase_add_loop_test (
      tests, forwarded_request_may_have_run_after_a_promise_without_proof, 0,
      PROMISES);
  tcase_add_loop_test (tests, promise_of_another_host_is_not_passed_on, 0,
                       PROMISES);
  tcase_add_test (tests, misdirected_answer_of_another_host_proves_nothing);
  tcase_add_test (tests, nameless_answer_of_another_host_is_not_passed_on);
  tcase_add_test (tests, only_the_host_that_was_asked_may_answer);
  tcase_add_loop_test (tests,
                       stream_that_has_begun_is_cut_by_a_promise_without_proof,
                       0, PROMISES);
  tcase_add_loop_test (tests, refusal_with_proof_is_told_as_not_run, 0, 3);
  tcase_add_test (tests, each_attempt_names_its_request_to_the_connections);
  tcase_add_test (tests,
                  request_that_may_not_be_repeated_any_more_is_not_sent_again);
  suite_add_tcase (all, tests);
  return all;
}
