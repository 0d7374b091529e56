/* Tests of the detection of parts of prompts that crash upstreams.  */
#include "suite.h"

#include "crash_part.h"
#include "wire.h"

#include <stdlib.h>

enum
{
  BAD = 0xbad, /* a part that crashes upstreams */
  SOUND = 0x50,
  OTHER = 0x51,
  STEP_MS = 1000, /* between crashes */
  KEEP_MS = 10 * 60 * 1000,
  TRIAL_MS = 60 * 1000,
  SPREAD_MS = 10 * 1000, /* of trials over hosts */
  SUSPECTS_MAX = 4096,
  FLOOD = 3 * SUSPECTS_MAX,
  CONVICTED_MAX = 16,
  CULPRITS = 3 * CONVICTED_MAX
};

static marjoram_crash_parts *here;
static marjoram_crash_parts *there;

static void
setup (void)
{
  here = marjoram_crash_parts_create ();
  there = marjoram_crash_parts_create ();
  marjoram_crash_parts_set_hosts (here, "10.0.0.1", 2);
  marjoram_crash_parts_set_hosts (there, "10.0.0.2", 2);
}

static void
teardown (void)
{
  marjoram_crash_parts_destroy (here);
  marjoram_crash_parts_destroy (there);
}

static uint64_t
instance (int number)
{
  return marjoram_crash_instance ("u", number);
}

/* A request with COUNT parts, sent 100 ms before, was there when instance
   NUMBER crashed at NOW.  */
static void
crash (marjoram_crash_parts *list, int64_t now, int number,
       const uint64_t *ids, size_t count)
{
  const struct marjoram_shared_parts parts = { "lm", ids, count };
  const struct marjoram_part_crash seen
      = { instance (number), now - 100, now };

  marjoram_crash_parts_add_crash (list, now, &parts, &seen);
}

static void
crash_one (marjoram_crash_parts *list, int64_t now, int number, uint64_t id)
{
  crash (list, now, number, &id, 1);
}

/* Crashes FROM to UNTIL, one each STEP_MS.  */
static void
crash_row (marjoram_crash_parts *list, int from, int until, uint64_t id)
{
  for (int i = from; i <= until; i++)
    crash_one (list, (int64_t)i * STEP_MS, i, id);
}

static void
answer (marjoram_crash_parts *list, int64_t now, uint64_t id)
{
  const struct marjoram_shared_parts parts = { "lm", &id, 1 };

  marjoram_crash_parts_add_answer (list, now, &parts);
}

static bool
blocks_at (marjoram_crash_parts *list, int64_t now, const char *service,
           uint64_t id)
{
  const struct marjoram_shared_parts parts = { service, &id, 1 };
  uint64_t found;

  marjoram_crash_parts_tick (list, now);
  return marjoram_crash_parts_is_blocked (list, now, &parts, &found);
}

static bool
blocks (marjoram_crash_parts *list, int64_t now, uint64_t id)
{
  return blocks_at (list, now, "lm", id);
}

static bool
takes_trial (marjoram_crash_parts *list, int64_t now, uint64_t id)
{
  const struct marjoram_shared_parts parts = { "lm", &id, 1 };

  return marjoram_crash_parts_take_trial (list, now, &parts);
}

/* Sends the report of FROM, if there is one, to TO.  */
static bool
tell (marjoram_crash_parts *from, marjoram_crash_parts *to, int64_t now)
{
  struct marjoram_crash_report report = { 0 };

  if (!marjoram_crash_parts_take_report (from, now, &report.parts))
    return false;
  marjoram_crash_parts_apply (to, now, &report.parts);
  marjoram_wire_clear (&marjoram_crash_report_layout, &report);
  return true;
}

START_TEST (row_of_crashes_convicts)
{
  crash_row (here, 1, 3, BAD);
  ck_assert (!blocks (here, 3999, BAD));
  crash_one (here, 4000, 4, BAD);
  ck_assert (!blocks (here, 4149, BAD));
  ck_assert (blocks (here, 4150, BAD));
  ck_assert (!blocks (here, 4150, SOUND));
  ck_assert (!blocks_at (here, 4150, "other", BAD));
}
END_TEST

/* Guards against a power loss convicting what ran at many upstreams.  */
START_TEST (crashes_at_once_count_as_one)
{
  for (int i = 0; i < 40; i++)
    crash_one (here, 1000 + i, i, SOUND);
  ck_assert (!blocks (here, 2000, SOUND));
}
END_TEST

/* Guards against blaming a part of requests that were on their way when the
   first upstream crashed.  */
START_TEST (requests_sent_before_the_former_crash_do_not_count)
{
  const uint64_t id = SOUND;
  const struct marjoram_shared_parts parts = { "lm", &id, 1 };

  for (int i = 1; i <= 6; i++)
    {
      const int64_t now = INT64_C (1000) * i;
      const struct marjoram_part_crash seen = { instance (i), 900, now };

      marjoram_crash_parts_add_crash (here, now, &parts, &seen);
    }
  ck_assert (!blocks (here, 7000, SOUND));
}
END_TEST

/* Guards against upstream after upstream being lost while all crash at
   once.  */
START_TEST (crowds_of_crashes_convict)
{
  const int crowds = _i == 0 ? 2 : 3;
  const int size = _i == 0 ? 6 : 3;
  const int64_t last = INT64_C (2000) * crowds;

  for (int i = 1; i <= crowds; i++)
    {
      ck_assert (!blocks (here, INT64_C (2000) * i, BAD));
      for (int j = 0; j < size; j++)
        crash_one (here, INT64_C (2000) * i, i * 10 + j, BAD);
    }
  ck_assert (blocks (here, last + 150, BAD));
}
END_TEST

/* Guards against convicting a part that is answered between crashes.  */
START_TEST (answer_clears_a_part_at_all_hosts)
{
  crash_row (here, 1, 3, SOUND);
  tell (here, there, 3000);
  answer (there, 3500, SOUND);
  ck_assert (tell (there, here, 3600));
  crash_row (here, 5, 7, SOUND);
  ck_assert (!blocks (here, 8000, SOUND));
  ck_assert_uint_eq (marjoram_crash_parts_count (there), 0);
}
END_TEST

/* Guards against a host that sees only crashes convicting what others have
   just seen answered.  */
START_TEST (host_that_knows_an_answer_tells_it)
{
  crash_row (here, 1, 4, SOUND);
  answer (there, 4100, SOUND);
  tell (here, there, 4110);
  ck_assert_uint_eq (marjoram_crash_parts_count (there), 0);
  ck_assert (tell (there, here, 4140));
  ck_assert (!blocks (here, 5000, SOUND));
}
END_TEST

START_TEST (one_host_of_many_tells_an_answer)
{
  marjoram_crash_parts_set_hosts (here, "10.0.0.1", 500);
  marjoram_crash_parts_set_hosts (there, "10.0.0.2", 500);
  crash_one (here, 1000, 1, SOUND);
  tell (here, there, 1000);
  answer (here, 2000, SOUND);
  answer (there, 2000, SOUND);
  for (int64_t now = 2000; now <= 3000; now++)
    ck_assert (!tell (here, there, now) || !tell (there, here, now));
  ck_assert (!tell (here, there, 9000));
  ck_assert (!tell (there, here, 9000));
}
END_TEST

/* Guards against a sound request that is repeated from one crashing upstream
   to the next.  */
START_TEST (part_at_all_crashes_is_told_from_its_companions)
{
  const uint64_t both[] = { SOUND, BAD };

  for (int i = 1; i <= 4; i++)
    crash (here, (int64_t)i * STEP_MS, i, both, 2);
  ck_assert (!blocks (here, 4500, BAD));
  ck_assert (!blocks (here, 4500, SOUND));
  crash_one (here, 5000, 5, BAD);
  ck_assert (blocks (here, 5150, BAD));
  crash_one (here, 6000, 6, SOUND);
  crash_row (here, 7, 8, SOUND);
  ck_assert (!blocks (here, 8500, SOUND));
}
END_TEST

/* Guards against refusing a part that all requests have.  */
START_TEST (part_of_fewer_requests_is_at_fault)
{
  const uint64_t both[] = { SOUND, BAD };

  for (int i = 1; i <= 4; i++)
    {
      crash (here, (int64_t)i * STEP_MS, i, both, 2);
      for (int j = 0; j < 3; j++)
        crash_one (here, (int64_t)i * STEP_MS, i, SOUND);
    }
  crash_one (here, 4100, 5, SOUND);
  ck_assert (blocks (here, 4500, BAD));
  ck_assert (!blocks (here, 4500, SOUND));
}
END_TEST

START_TEST (parts_that_are_never_apart_are_both_convicted)
{
  const uint64_t both[] = { OTHER, BAD };

  for (int i = 1; i <= 6; i++)
    crash (here, (int64_t)i * STEP_MS, i, both, 2);
  ck_assert (blocks (here, 6500, BAD));
  ck_assert (blocks (here, 6500, OTHER));
}
END_TEST

/* Guards against taking a reset connection for a crash.  */
START_TEST (crash_of_a_living_upstream_does_not_count)
{
  crash_row (here, 1, 4, SOUND);
  tell (here, there, 4100);
  ck_assert (blocks (there, 4500, SOUND));
  marjoram_crash_parts_add_alive (here, 5000, instance (2));
  tell (here, there, 5000);
  ck_assert (!blocks (here, 5000, SOUND));
  ck_assert (!blocks (there, 5000, SOUND));
}
END_TEST

/* Guards against a host that has just started sending what others refuse.  */
START_TEST (convictions_are_exported)
{
  marjoram_crash_parts *fresh = marjoram_crash_parts_create ();
  struct marjoram_crash_report report = { 0 };

  for (int i = 0; i < 3; i++)
    for (int j = 0; j < 4; j++)
      crash_one (here, 1000 + INT64_C (2000) * i, i * 10 + j, BAD);
  marjoram_crash_parts_tick (here, 6000);
  marjoram_crash_parts_export (here, 90000, &report.parts);
  marjoram_crash_parts_apply (fresh, 90000, &report.parts);
  ck_assert (blocks (fresh, 90000, BAD));
  marjoram_wire_clear (&marjoram_crash_report_layout, &report);
  marjoram_crash_parts_destroy (fresh);
}
END_TEST

/* Guards against trying a part again each time its entry expires.  */
START_TEST (part_stays_refused_while_requests_come_anywhere)
{
  const int64_t end = INT64_C (2) * KEEP_MS;

  crash_row (here, 1, 4, BAD);
  tell (here, there, 4100);
  for (int64_t now = 5000; now < end; now += 1000)
    {
      takes_trial (here, now, BAD);
      blocks (here, now, BAD);
      tell (here, there, now);
    }
  ck_assert (blocks (there, end, BAD) || !takes_trial (there, end, BAD));
}
END_TEST

START_TEST (part_is_forgotten_after_its_requests_end)
{
  crash_row (here, 1, 4, BAD);
  ck_assert (blocks (here, 4200, BAD));
  marjoram_crash_parts_tick (here, 4200 + KEEP_MS);
  ck_assert_uint_eq (marjoram_crash_parts_count (here), 0);
}
END_TEST

/* Guards against a sound part that is refused for ever, and against several
   upstreams lost for a trial.  */
START_TEST (one_host_tries_a_part_rarely)
{
  const int64_t end = INT64_C (20) * 60 * 1000;
  int trials = 0;

  crash_row (here, 1, 4, BAD);
  tell (here, there, 4100);
  for (int64_t now = 4200; now < end; now += 100)
    {
      marjoram_crash_parts *const lists[] = { here, there };

      for (int i = 0; i < 2; i++)
        if (!blocks (lists[i], now, BAD) && takes_trial (lists[i], now, BAD))
          {
            ck_assert_int_ge (now, 4150 + TRIAL_MS);
            trials++;
            crash_one (lists[i], now, 100 + trials, BAD);
            tell (lists[i], lists[1 - i], now);
          }
      tell (here, there, now);
      tell (there, here, now);
    }
  /* After 1, 3, 7 and 15 minutes.  */
  ck_assert_int_eq (trials, 4);
}
END_TEST

START_TEST (answered_trial_frees_a_part)
{
  const int64_t now = 4200 + TRIAL_MS + SPREAD_MS;

  crash_row (here, 1, 4, BAD);
  tell (here, there, 4100);
  ck_assert (blocks (here, 4200, BAD));
  ck_assert (blocks (there, 4200, BAD));
  ck_assert (!blocks (here, now, BAD));
  ck_assert (takes_trial (here, now, BAD));
  ck_assert (!takes_trial (here, now, BAD));
  answer (here, now + 500, BAD);
  tell (here, there, now + 1000);
  ck_assert (!blocks (here, now + 1000, BAD));
  ck_assert (!blocks (there, now + 1000, BAD));
}
END_TEST

/* Guards against a flood of parts that pushes a suspect out.  */
START_TEST (suspects_are_bounded)
{
  crash_row (here, 1, 3, BAD);
  for (uint64_t i = 0; i < FLOOD; i++)
    crash_one (here, 3500, 100 + (int)i % 50, 0x10000 + i);
  ck_assert_uint_eq (marjoram_crash_parts_count (here), SUSPECTS_MAX);
  crash_one (here, 5000, 9, BAD);
  ck_assert (blocks (here, 5200, BAD));
}
END_TEST

/* Guards against refusing everything while upstreams crash at whatever they
   get.  */
START_TEST (convicted_parts_are_bounded)
{
  int refused = 0;

  for (int i = 0; i < CULPRITS; i++)
    for (int j = 1; j <= 4; j++)
      crash_one (here, (int64_t)j * STEP_MS, i * 10 + j, 0x100 + (uint64_t)i);
  for (int i = 0; i < CULPRITS; i++)
    refused += blocks (here, 5000, 0x100 + (uint64_t)i);
  ck_assert_int_eq (refused, CONVICTED_MAX);
}
END_TEST

/* Guards against malformed reports of other hosts.  */
START_TEST (malformed_items_are_ignored)
{
  struct marjoram_part_item items[]
      = { { .kind = MARJORAM_PART_CRASHED, .instance = 1 },
          { .kind = MARJORAM_PART_ANSWERED },
          { .kind = MARJORAM_PART_TRIED },
          { .kind = 99, .service = "lm" },
          { .kind = MARJORAM_PART_CRASHED, .service = "lm", .ago_ms = -5 } };
  const struct marjoram_array received
      = { items, sizeof items / sizeof *items };

  marjoram_crash_parts_apply (here, 0, &received);
  ck_assert_uint_eq (marjoram_crash_parts_count (here), 0);
}
END_TEST

Suite *
suite (void)
{
  Suite *suite = suite_create ("part_suspect");
  TCase *tcase = tcase_create ("part_suspect");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, row_of_crashes_convicts);
  tcase_add_test (tcase, crashes_at_once_count_as_one);
  tcase_add_test (tcase, requests_sent_before_the_former_crash_do_not_count);
  tcase_add_loop_test (tcase, crowds_of_crashes_convict, 0, 2);
  tcase_add_test (tcase, answer_clears_a_part_at_all_hosts);
  tcase_add_test (tcase, host_that_knows_an_answer_tells_it);
  tcase_add_test (tcase, one_host_of_many_tells_an_answer);
  tcase_add_test (tcase, part_at_all_crashes_is_told_from_its_companions);
  tcase_add_test (tcase, part_of_fewer_requests_is_at_fault);
  tcase_add_test (tcase, parts_that_are_never_apart_are_both_convicted);
  tcase_add_test (tcase, crash_of_a_living_upstream_does_not_count);
  tcase_add_test (tcase, convictions_are_exported);
  tcase_add_test (tcase, part_stays_refused_while_requests_come_anywhere);
  tcase_add_test (tcase, part_is_forgotten_after_its_requests_end);
  tcase_add_test (tcase, one_host_tries_a_part_rarely);
  tcase_add_test (tcase, answered_trial_frees_a_part);
  tcase_add_test (tcase, suspects_are_bounded);
  tcase_add_test (tcase, convicted_parts_are_bounded);
  tcase_add_test (tcase, malformed_items_are_ignored);
  suite_add_tcase (suite, tcase);
  return suite;
}
