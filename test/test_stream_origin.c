/* Tests of the records which build began a stream, and of streams that callers
   take up again.  */
#include "suite.h"

#include "lib_gateway.h"
#include "stream_origin.h"

#include <stdio.h>
#include <string.h>

enum
{
  /* Longer than the timeout of a route and the time for which callers come
     back, shorter than records of upstreams are kept.  */
  ONE_BUILD_MS = 50000
};

/* ---- Records.  ---- */

static marjoram_stream_origins *origins;

static void
origins_setup (void)
{
  origins = marjoram_stream_origins_create ();
}

static void
origins_teardown (void)
{
  marjoram_stream_origins_destroy (origins);
}

static bool
add_origin (int64_t now, const char *id, const char *build, int64_t keep_ms)
{
  const struct marjoram_stream_origin origin = { "lm", build };

  return marjoram_stream_origins_add (origins, now, id, &origin, keep_ms);
}

static const char *
build_of (int64_t now, const char *id)
{
  const struct marjoram_stream_origin *origin
      = marjoram_stream_origins_find (origins, now, id);

  return origin ? origin->build : NULL;
}

START_TEST (record_ends_with_its_time)
{
  ck_assert (add_origin (0, "a", "v1", 1000));
  ck_assert (add_origin (0, "b", "v2", 500));
  ck_assert_str_eq (build_of (999, "a"), "v1");
  ck_assert_str_eq (build_of (499, "b"), "v2");
  ck_assert_ptr_null (build_of (500, "b"));
  ck_assert_ptr_null (build_of (0, "c"));
  marjoram_stream_origins_expire (origins, 500);
  ck_assert_uint_eq (marjoram_stream_origins_count (origins), 1);
  marjoram_stream_origins_expire (origins, 1000);
  ck_assert_uint_eq (marjoram_stream_origins_count (origins), 0);
}
END_TEST

START_TEST (record_is_extended_when_told_again)
{
  add_origin (0, "a", "v1", 1000);
  add_origin (900, "a", "v1", 1000);
  add_origin (950, "a", "v1", 100);
  ck_assert_str_eq (build_of (1800, "a"), "v1");
}
END_TEST

/* Guards against a guess where callers use one id for two streams.  */
START_TEST (id_with_two_builds_has_none)
{
  add_origin (0, "a", "v1", 1000);
  add_origin (1, "a", "v2", 1000);
  add_origin (2, "a", "v1", 1000);
  ck_assert_ptr_null (build_of (3, "a"));
}
END_TEST

/* Guards against a stream of one service going on at the same version of
   another one.  */
START_TEST (id_with_two_services_has_none)
{
  const struct marjoram_stream_origin unknown = { NULL, "v1" };
  const struct marjoram_stream_origin other = { "app", "v1" };

  add_origin (0, "a", "v1", 1000);
  marjoram_stream_origins_add (origins, 1, "a", &unknown, 1000);
  ck_assert_str_eq (build_of (2, "a"), "v1");
  ck_assert_str_eq (marjoram_stream_origins_find (origins, 2, "a")->service,
                    "lm");
  marjoram_stream_origins_add (origins, 3, "a", &other, 1000);
  ck_assert_ptr_null (build_of (4, "a"));
}
END_TEST

START_TEST (records_are_bounded)
{
  char id[32];

  for (int i = 0; i < MARJORAM_STREAM_ORIGINS_MAX; i++)
    {
      snprintf (id, sizeof id, "%d", i);
      ck_assert (add_origin (i, id, "v1", 300000));
    }
  ck_assert (!add_origin (70000, "new", "v1", 1000));
  ck_assert_uint_eq (marjoram_stream_origins_count (origins),
                     MARJORAM_STREAM_ORIGINS_MAX);
  ck_assert_ptr_null (build_of (70000, "0"));
  ck_assert_str_eq (build_of (70000, "1"), "v1");
}
END_TEST

/* ---- Taking up.  ---- */

static struct gateway_fixture f;

static void
setup (void)
{
  gateway_fixture_open (&f);
  gateway_fixture_configure (&f);
  gateway_fixture_build (&f, 0, "u1", 1, "v1");
  gateway_fixture_build (&f, 0, "u2", 1, "v1.1");
}

static void
teardown (void)
{
  gateway_fixture_close (&f);
}

/* A keeper's answer: the stream of ID began at BUILD of the route's service;
   null if it doesn't know.  */
static void
answer (int64_t now, const char *id, const char *build)
{
  const struct marjoram_stream_origin origin = { "lm", build };

  marjoram_gateway_origin_answered (f.gateway, now, f.calls, id,
                                    build ? &origin : NULL);
}

static bool
went_to (const char *address)
{
  return f.seen.sends > 0 && strcmp (f.seen.address, address) == 0;
}

START_TEST (first_event_records_the_build)
{
  const char *build;

  gateway_fixture_call (&f, 0, "/ask/x");
  build = went_to ("10.0.0.1:80") ? "v1" : "v1.1";
  gateway_fixture_head (&f, 10, 200, NULL, true, false);
  ck_assert_int_eq (f.seen.told, 0);
  gateway_fixture_data (&f, 10, "id: 1\ndata: a\n\n");
  gateway_fixture_data (&f, 20, "id: 2\ndata: a\n\n");
  ck_assert_int_eq (f.seen.told, 1);
  ck_assert_str_eq (f.seen.told_id, "id-1");
  ck_assert_str_eq (f.seen.told_build, build);
  ck_assert_str_eq (f.seen.told_service, "lm");
  ck_assert_int_ge (f.seen.keep_ms, 30000);
}
END_TEST

/* Streams that may not be taken up need no record.  */
START_TEST (other_streams_are_not_recorded)
{
  gateway_fixture_call (&f, 0, "/digest/x");
  gateway_fixture_head (&f, 10, 200, NULL, true, false);
  gateway_fixture_data (&f, 10, "id: 1\ndata: a\n\n");
  ck_assert_int_eq (f.seen.told, 0);
}
END_TEST

/* Guards against a stream that is taken up going on at another build.  */
START_TEST (stream_goes_on_at_the_build_that_keepers_know)
{
  const char *const builds[] = { "v1", "v1.1" };
  const char *const addresses[] = { "10.0.0.1:80", "10.0.0.2:80" };

  gateway_fixture_take_up (&f, 0, "/ask/x", "first");
  ck_assert_int_eq (f.seen.sends, 0);
  ck_assert_str_eq (f.seen.asked_id, "first");
  answer (2, "first", NULL);
  ck_assert_int_eq (f.seen.refusals, 0);
  answer (3, "other", "v2");
  ck_assert_int_eq (f.seen.sends, 0);
  answer (4, "first", builds[_i]);
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert (went_to (addresses[_i]));
  ck_assert_str_eq (f.seen.told_id, "first");
  answer (5, "first", builds[_i]);
  ck_assert_int_eq (f.seen.sends, 1);
}
END_TEST

START_TEST (host_that_began_it_asks_nobody)
{
  gateway_fixture_call (&f, 0, "/ask/x");
  gateway_fixture_head (&f, 10, 200, NULL, true, false);
  gateway_fixture_data (&f, 10, "id: 1\ndata: a\n\n");
  marjoram_gateway_caller_disconnected (f.gateway, 20, f.calls);
  f.seen.address[0] = '\0';
  gateway_fixture_take_up (&f, 30, "/ask/x", "id-1");
  ck_assert_str_eq (f.seen.asked_id, "");
  ck_assert_int_eq (f.seen.sends, 2);
  ck_assert (went_to (strcmp (f.seen.told_build, "v1") == 0 ? "10.0.0.1:80"
                                                            : "10.0.0.2:80"));
}
END_TEST

static void
assert_refused (void)
{
  ck_assert_int_eq (f.seen.sends, 0);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.reason, MARJORAM_REASON_BUILD_UNKNOWN);
  ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_NOT_RUN);
  ck_assert_int_eq (f.seen.why.status, 503);
}

/* Guards against a guess when no keeper knows.  */
START_TEST (stream_of_unknown_build_is_refused)
{
  gateway_fixture_take_up (&f, 0, "/ask/x", "first");
  for (int i = 0; i < 3; i++)
    {
      ck_assert_int_eq (f.seen.refusals, 0);
      answer (2, "first", NULL);
    }
  assert_refused ();
}
END_TEST

/* Guards against late answers to an earlier question counting as those to a
   later one, which keepers asked in the meantime can answer.  */
START_TEST (answers_count_for_the_question_that_they_answer)
{
  uint64_t former;

  gateway_fixture_take_up (&f, 0, "/ask/x", "first");
  former = f.calls;
  marjoram_gateway_caller_disconnected (f.gateway, 190, former);
  gateway_fixture_take_up (&f, 200, "/ask/x", "first");
  for (int i = 0; i < 3; i++)
    marjoram_gateway_origin_answered (f.gateway, 210, former, "first", NULL);
  ck_assert_int_eq (f.seen.refusals, 0);
  answer (300, "first", "v1");
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert (went_to ("10.0.0.1:80"));
}
END_TEST

START_TEST (stream_is_refused_when_no_keeper_answers)
{
  gateway_fixture_take_up (&f, 0, "/ask/x", "first");
  marjoram_gateway_tick (f.gateway, 375);
  ck_assert_int_eq (f.seen.refusals, 0);
  marjoram_gateway_tick (f.gateway, 400);
  assert_refused ();
}
END_TEST

START_TEST (stream_is_refused_at_once_without_keepers)
{
  f.keepers = 0;
  gateway_fixture_take_up (&f, 0, "/ask/x", "first");
  assert_refused ();
}
END_TEST

/* Guards against a stream of one service going on at the same version of
   another one.  */
START_TEST (stream_of_another_service_is_refused)
{
  const struct marjoram_stream_origin origin = { "app", "v1" };

  gateway_fixture_take_up (&f, 0, "/ask/x", "first");
  marjoram_gateway_origin_answered (f.gateway, 2, f.calls, "first", &origin);
  ck_assert_int_eq (f.seen.sends, 0);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.reason, MARJORAM_REASON_CONFIG_CHANGED);
  ck_assert_int_eq (f.seen.why.status, 503);
}
END_TEST

/* A host of a former release tells no service.  */
START_TEST (stream_of_an_untold_service_goes_on_at_the_only_one)
{
  const struct marjoram_stream_origin origin = { NULL, "v1" };

  gateway_fixture_take_up (&f, 0, "/ask/x", "first");
  marjoram_gateway_origin_answered (f.gateway, 2, f.calls, "first", &origin);
  ck_assert (went_to ("10.0.0.1:80"));
}
END_TEST

/* Guards against waiting for a build that is gone.  */
START_TEST (stream_of_a_build_that_is_gone_is_refused)
{
  gateway_fixture_take_up (&f, 0, "/ask/x", "first");
  answer (2, "first", "v0");
  ck_assert_int_eq (f.seen.sends, 0);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.reason, MARJORAM_REASON_OTHER_BUILD);
}
END_TEST

/* Guards against refusing a stream while upstreams of its build still serve,
   and against sending them anything else.  */
START_TEST (stream_goes_on_at_a_leaving_upstream)
{
  gateway_fixture_leave (&f, 0, "u1");
  gateway_fixture_take_up (&f, 1400, "/ask/x", "first");
  answer (1402, "first", "v1");
  ck_assert (went_to ("10.0.0.1:80"));
  gateway_fixture_call (&f, 1410, "/ask/x");
  ck_assert (went_to ("10.0.0.2:80"));
  gateway_fixture_take_up (&f, 1600, "/ask/x", "second");
  answer (1602, "second", "v1");
  ck_assert_int_eq (f.seen.sends, 2);
  ck_assert_int_eq (f.seen.why.reason, MARJORAM_REASON_OTHER_BUILD);
}
END_TEST

/* The keeper's answer to the last question for the one build of a service.  */
static void
answer_only_build (int64_t now, const char *build)
{
  marjoram_gateway_only_build_answered (f.gateway, now, f.seen.only_call,
                                        build, f.keepers);
}

static void
answer_all (int64_t now, const char *build)
{
  for (size_t i = 0; i < f.keepers; i++)
    answer_only_build (now, build);
}

/* A caller that names no attempt goes on only where there is one build, and
   has been for as long as the stream may have been on its way.  */
START_TEST (unnamed_stream_needs_a_single_build)
{
  marjoram_registry_set_known (f.registry, INT64_MIN / 2);
  gateway_fixture_take_up (&f, 0, "/ask/x", NULL);
  assert_refused ();
  gateway_fixture_build (&f, 10, "u2", 1, "v1");
  gateway_fixture_take_up (&f, 20, "/ask/x", NULL);
  ck_assert_int_eq (f.seen.sends, 0);
  ck_assert_int_eq (f.seen.refusals, 2);
  gateway_fixture_build (&f, ONE_BUILD_MS, "u1", 1, "v1");
  gateway_fixture_build (&f, ONE_BUILD_MS, "u2", 1, "v1");
  ck_assert_int_eq (f.seen.only_asks, 0);
  gateway_fixture_take_up (&f, 10 + ONE_BUILD_MS, "/ask/x", NULL);
  answer_all (11 + ONE_BUILD_MS, "v1");
  ck_assert_int_eq (f.seen.sends, 1);
}
END_TEST

/* Guards against a host that has just started and takes the build that it has
   heard of for the only one there was.  */
START_TEST (unnamed_stream_is_refused_by_a_host_that_knows_too_little)
{
  gateway_fixture_build (&f, 0, "u2", 1, "v1");
  gateway_fixture_build (&f, ONE_BUILD_MS, "u1", 1, "v1");
  gateway_fixture_build (&f, ONE_BUILD_MS, "u2", 1, "v1");
  gateway_fixture_take_up (&f, ONE_BUILD_MS, "/ask/x", NULL);
  assert_refused ();
  marjoram_registry_set_known (f.registry, ONE_BUILD_MS - 20000);
  gateway_fixture_take_up (&f, ONE_BUILD_MS + 10, "/ask/x", NULL);
  ck_assert_int_eq (f.seen.refusals, 2);
  marjoram_registry_set_known (f.registry, 0);
  ck_assert_int_eq (f.seen.only_asks, 0);
  gateway_fixture_take_up (&f, ONE_BUILD_MS + 20, "/ask/x", NULL);
  answer_all (ONE_BUILD_MS + 21, "v1");
  ck_assert_int_eq (f.seen.sends, 1);
}
END_TEST

/* Leaves a single build, as far as this host knows.  */
static void
know_one_build (void)
{
  marjoram_registry_set_known (f.registry, INT64_MIN / 2);
  gateway_fixture_build (&f, 10, "u2", 1, "v1");
  gateway_fixture_build (&f, ONE_BUILD_MS, "u1", 1, "v1");
  gateway_fixture_build (&f, ONE_BUILD_MS, "u2", 1, "v1");
  gateway_fixture_take_up (&f, ONE_BUILD_MS, "/ask/x", NULL);
}

/* Guards against a host that was cut off or stood still while another build
   joined.  */
START_TEST (unnamed_stream_goes_on_once_all_keepers_agree)
{
  know_one_build ();
  ck_assert_str_eq (f.seen.only_service, "lm");
  ck_assert_int_ge (f.seen.only_for_ms, 30000);
  for (size_t i = 1; i < f.keepers; i++)
    {
      answer_only_build (ONE_BUILD_MS + 1, "v1");
      ck_assert_int_eq (f.seen.sends, 0);
      ck_assert_int_eq (f.seen.refusals, 0);
    }
  answer_only_build (ONE_BUILD_MS + 2, "v1");
  ck_assert_int_eq (f.seen.sends, 1);
  answer_only_build (ONE_BUILD_MS + 3, "v1");
  ck_assert_int_eq (f.seen.sends, 1);
}
END_TEST

START_TEST (unnamed_stream_is_refused_when_a_keeper_knows_better)
{
  const char *const builds[] = { NULL, "v1.1" };

  know_one_build ();
  answer_only_build (ONE_BUILD_MS + 1, "v1");
  answer_only_build (ONE_BUILD_MS + 1, builds[_i]);
  assert_refused ();
}
END_TEST

/* Guards against a host that is cut off from the one keeper that has heard of
   another build.  */
START_TEST (unnamed_stream_is_refused_when_too_few_keepers_are_reached)
{
  f.keepers = 2;
  know_one_build ();
  for (int i = 0; i < 2; i++)
    marjoram_gateway_only_build_answered (f.gateway, ONE_BUILD_MS + 1,
                                          f.seen.only_call, "v1", 3);
  assert_refused ();
}
END_TEST

START_TEST (unnamed_stream_is_refused_when_a_keeper_does_not_answer)
{
  know_one_build ();
  answer_only_build (ONE_BUILD_MS + 1, "v1");
  answer_only_build (ONE_BUILD_MS + 1, "v1");
  marjoram_gateway_tick (f.gateway, ONE_BUILD_MS + 375);
  ck_assert_int_eq (f.seen.refusals, 0);
  marjoram_gateway_tick (f.gateway, ONE_BUILD_MS + 400);
  assert_refused ();
}
END_TEST

START_TEST (unnamed_stream_is_refused_at_once_without_keepers)
{
  f.keepers = 0;
  know_one_build ();
  assert_refused ();
}
END_TEST

/* Guards against upstreams that start again under their ids with another
   build, so that the former one is not listed any more.  */
START_TEST (unnamed_stream_is_refused_after_all_builds_changed_in_place)
{
  marjoram_registry_set_known (f.registry, INT64_MIN / 2);
  gateway_fixture_build (&f, ONE_BUILD_MS, "u1", 2, "v3");
  gateway_fixture_build (&f, ONE_BUILD_MS, "u2", 2, "v3");
  gateway_fixture_take_up (&f, ONE_BUILD_MS + 10, "/ask/x", NULL);
  assert_refused ();
}
END_TEST

/* Guards against going on at another build after one more break.  */
START_TEST (stream_that_was_taken_up_keeps_its_build)
{
  gateway_fixture_take_up (&f, 0, "/ask/x", "first");
  answer (2, "first", "v1");
  gateway_fixture_break (&f, 5);
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_int_eq (f.seen.refusals, 1);
}
END_TEST

/* All connections to the upstreams break; only u1 has the stream's build.  */
static void
take_up_after_breaks (int64_t now)
{
  marjoram_placement *placement = marjoram_gateway_placement (f.gateway);

  marjoram_placement_connection_lost (placement, now, "10.0.0.1:80", true);
  marjoram_placement_connection_lost (placement, now, "10.0.0.2:80", true);
  gateway_fixture_take_up (&f, now, "/ask/x", "first");
  answer (now + 2, "first", "v1");
}

/* Guards against refusing streams whose upstreams have only lost their
   connections, as when those of a host are reset.  */
START_TEST (stream_is_held_until_its_upstream_is_heard_again)
{
  take_up_after_breaks (10);
  marjoram_gateway_tick (f.gateway, 900);
  ck_assert_int_eq (f.seen.refusals, 0);
  ck_assert_int_eq (f.seen.sends, 0);
  gateway_fixture_build (&f, 1000, "u1", 1, "v1");
  marjoram_gateway_tick (f.gateway, 1025);
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert (went_to ("10.0.0.1:80"));
}
END_TEST

/* Guards against going on at an upstream that has started again with another
   build.  */
START_TEST (stream_is_refused_once_its_upstream_has_started_again)
{
  take_up_after_breaks (10);
  gateway_fixture_build (&f, 1000, "u1", 2, "v1.1");
  marjoram_gateway_tick (f.gateway, 1025);
  ck_assert_int_eq (f.seen.sends, 0);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.reason, MARJORAM_REASON_OTHER_BUILD);
}
END_TEST

START_TEST (stream_is_not_held_for_an_upstream_that_stays_silent)
{
  take_up_after_breaks (10);
  marjoram_gateway_tick (f.gateway, 2485);
  ck_assert_int_eq (f.seen.refusals, 0);
  marjoram_gateway_tick (f.gateway, 2510);
  ck_assert_int_eq (f.seen.sends, 0);
  ck_assert_int_eq (f.seen.refusals, 1);
  gateway_fixture_take_up (&f, 2520, "/ask/x", "second");
  answer (2522, "second", "v1");
  ck_assert_int_eq (f.seen.refusals, 2);
}
END_TEST

/* The fixture's callers wait for 3 s.  */
START_TEST (stream_is_not_held_beyond_its_deadline)
{
  marjoram_placement *placement = marjoram_gateway_placement (f.gateway);

  gateway_fixture_take_up (&f, 0, "/ask/x", "first");
  marjoram_gateway_tick (f.gateway, 0);
  marjoram_placement_connection_lost (placement, 300, "10.0.0.1:80", true);
  marjoram_placement_connection_lost (placement, 900, "10.0.0.1:80", true);
  answer (350, "first", "v1");
  ck_assert_int_eq (f.seen.refusals, 0);
  marjoram_gateway_tick (f.gateway, 3000);
  ck_assert_int_eq (f.seen.sends, 0);
  ck_assert_int_eq (f.seen.refusals, 1);
}
END_TEST

START_TEST (taken_up_stream_names_its_build_to_other_regions)
{
  gateway_fixture_offer (&f, "far1", "v1");
  gateway_fixture_take_up (&f, 0, "/home/x", "first");
  answer (2, "first", "v1");
  ck_assert_int_eq (f.seen.forwards, 1);
  ck_assert (f.seen.has_build);
  ck_assert_str_eq (f.seen.build, "v1");
  ck_assert_str_eq (f.seen.service, "lm");
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("stream_origin");
  TCase *records = tcase_create ("records");
  TCase *c = tcase_create ("taking up");

  tcase_add_checked_fixture (records, origins_setup, origins_teardown);
  tcase_add_test (records, record_ends_with_its_time);
  tcase_add_test (records, record_is_extended_when_told_again);
  tcase_add_test (records, id_with_two_builds_has_none);
  tcase_add_test (records, id_with_two_services_has_none);
  tcase_add_test (records, records_are_bounded);
  suite_add_tcase (s, records);
  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, first_event_records_the_build);
  tcase_add_test (c, other_streams_are_not_recorded);
  tcase_add_loop_test (c, stream_goes_on_at_the_build_that_keepers_know, 0, 2);
  tcase_add_test (c, host_that_began_it_asks_nobody);
  tcase_add_test (c, stream_of_unknown_build_is_refused);
  tcase_add_test (c, answers_count_for_the_question_that_they_answer);
  tcase_add_test (c, stream_is_refused_when_no_keeper_answers);
  tcase_add_test (c, stream_is_refused_at_once_without_keepers);
  tcase_add_test (c, stream_of_another_service_is_refused);
  tcase_add_test (c, stream_of_an_untold_service_goes_on_at_the_only_one);
  tcase_add_test (c, stream_of_a_build_that_is_gone_is_refused);
  tcase_add_test (c, stream_goes_on_at_a_leaving_upstream);
  tcase_add_test (c, unnamed_stream_needs_a_single_build);
  tcase_add_test (c,
                  unnamed_stream_is_refused_by_a_host_that_knows_too_little);
  tcase_add_test (c,
                  unnamed_stream_is_refused_after_all_builds_changed_in_place);
  tcase_add_test (c, unnamed_stream_goes_on_once_all_keepers_agree);
  tcase_add_loop_test (c, unnamed_stream_is_refused_when_a_keeper_knows_better,
                       0, 2);
  tcase_add_test (c,
                  unnamed_stream_is_refused_when_too_few_keepers_are_reached);
  tcase_add_test (c, unnamed_stream_is_refused_when_a_keeper_does_not_answer);
  tcase_add_test (c, unnamed_stream_is_refused_at_once_without_keepers);
  tcase_add_test (c, stream_that_was_taken_up_keeps_its_build);
  tcase_add_test (c, stream_is_held_until_its_upstream_is_heard_again);
  tcase_add_test (c, stream_is_refused_once_its_upstream_has_started_again);
  tcase_add_test (c, stream_is_not_held_for_an_upstream_that_stays_silent);
  tcase_add_test (c, stream_is_not_held_beyond_its_deadline);
  tcase_add_test (c, taken_up_stream_names_its_build_to_other_regions);
  suite_add_tcase (s, c);
  return s;
}
