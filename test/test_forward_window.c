/* Tests the limit on forwarded requests that have no first event yet.  */
#include "suite.h"

#include "forward_window.h"

#include <stdio.h>
#include <string.h>

enum
{
  REQUESTS = 2048,
  START = MARJORAM_FORWARD_LIMIT_START,
  PROBE_MS = 1500, /* above the longest pause of probes, with a round trip */
  FOREVER_MS = 1000000
};

static const int64_t round_trip_ms = 110;
static const int64_t due_after_ms = 300;
static marjoram_forward_windows *windows;
static struct marjoram_forwarded_request requests[REQUESTS];
static const struct marjoram_forward_need needed = { false, 10 };

static void
setup (void)
{
  windows = marjoram_forward_windows_create ();
  memset (requests, 0, sizeof requests);
}

static void
teardown (void)
{
  marjoram_forward_windows_destroy (windows);
}

static bool
has_room (int64_t now)
{
  return marjoram_forward_windows_has_room (windows, now, "r2", "lm", &needed);
}

static void
send_due (int64_t now, int i, int64_t due_ms)
{
  marjoram_forward_windows_sent (windows, now, "r2", "lm", &needed,
                                 round_trip_ms, due_ms, &requests[i]);
}

/* Sends as many requests as there is room for; returns how many.  */
static int
fill (int64_t now, const struct marjoram_forward_need *need)
{
  int sent = 0;

  for (int i = 0; i < REQUESTS; i++)
    if (!requests[i].window
        && marjoram_forward_windows_has_room (windows, now, "r2", "lm", need))
      {
        marjoram_forward_windows_sent (windows, now, "r2", "lm", need,
                                       round_trip_ms, due_after_ms,
                                       &requests[i]);
        sent++;
      }
  return sent;
}

static void
begin_all (int64_t now)
{
  for (int i = 0; i < REQUESTS; i++)
    marjoram_forwarded_request_began (&requests[i], now);
}

static void
refuse_all (int64_t now)
{
  for (int i = 0; i < REQUESTS; i++)
    marjoram_forwarded_request_refused (&requests[i], now);
}

/* Grows the limit for ROUNDS round trips; returns the time after them.  */
static int64_t
grow (int64_t now, int rounds)
{
  for (int i = 0; i < rounds; i++, now += round_trip_ms)
    {
      fill (now, &needed);
      begin_all (now + round_trip_ms);
    }
  return now;
}

struct seen
{
  int windows;
  int64_t limit;
  int64_t in_flight;
};

static void
visit (void *context, const char *region, const char *service, int64_t limit,
       int64_t in_flight)
{
  struct seen *seen = context;

  (void)region;
  (void)service;
  seen->windows++;
  seen->limit = limit;
  seen->in_flight = in_flight;
}

static struct seen
look (void)
{
  struct seen seen = { 0 };

  marjoram_forward_windows_visit (windows, visit, &seen);
  return seen;
}

/* Guards against all hosts sending everything to the same region at once.  */
START_TEST (starts_low_and_doubles_while_requests_begin)
{
  ck_assert_int_eq (fill (0, &needed), START);
  ck_assert_int_eq (look ().in_flight, START);
  begin_all (round_trip_ms);
  ck_assert_int_eq (fill (round_trip_ms, &needed), START + START);
  begin_all (2 * round_trip_ms);
  ck_assert_int_eq (fill (2 * round_trip_ms, &needed),
                    START + START + START + START);
}
END_TEST

/* Guards against a limit that grows while it is not used, and then allows a
   burst that the region has not shown to accept.  */
START_TEST (unused_limit_does_not_grow)
{
  int64_t now = 0;

  for (int i = 0; i < 100; i++, now += round_trip_ms)
    {
      send_due (now, 0, due_after_ms);
      marjoram_forwarded_request_began (&requests[0], now + round_trip_ms);
    }
  ck_assert_int_eq (fill (now, &needed), MARJORAM_FORWARD_LIMIT_START);
}
END_TEST

START_TEST (limit_has_a_maximum)
{
  const int64_t now = grow (0, 20);

  ck_assert_int_eq (fill (now, &needed), MARJORAM_FORWARD_LIMIT_MAX);
}
END_TEST

/* Guards against the refusals of one burst taking the limit down to one.  */
START_TEST (halves_at_most_once_a_round_trip)
{
  const int64_t now = grow (0, 3);
  const int64_t limit = look ().limit;

  ck_assert_int_eq (fill (now, &needed), limit);
  refuse_all (now + round_trip_ms);
  ck_assert_int_eq (look ().limit, limit / 2);
  ck_assert_int_eq (fill (now + round_trip_ms, &needed), limit / 2);
  refuse_all (now + 2 * round_trip_ms);
  ck_assert_int_eq (look ().limit, limit / 4);
}
END_TEST

/* Guards against refusals alternating with bursts: above the limit that was
   refused it grows slowly.  */
START_TEST (grows_slowly_above_a_refused_limit)
{
  int64_t now = grow (0, 4);
  const int64_t limit = look ().limit;

  fill (now, &needed);
  refuse_all (now + round_trip_ms);
  now = grow (now + round_trip_ms, 1);
  ck_assert_int_gt (look ().limit, limit / 2);
  ck_assert_int_le (look ().limit, limit * 5 / 8);
  grow (now, 12);
  ck_assert_int_gt (look ().limit, limit);
}
END_TEST

/* Guards against a region that is never tried again, and against one that is
   tried with every request.  */
START_TEST (never_falls_below_one)
{
  int64_t now = 0;

  for (int i = 0; i < 20; i++, now += PROBE_MS)
    {
      marjoram_forward_windows_tick (windows, now);
      ck_assert (has_room (now));
      fill (now, &needed);
      refuse_all (now + round_trip_ms);
    }
  ck_assert_int_eq (look ().limit, 1);
  ck_assert_int_eq (fill (now, &needed), 1);
  refuse_all (now + round_trip_ms);
  ck_assert (!has_room (now + round_trip_ms));
  ck_assert (has_room (now + PROBE_MS));
}
END_TEST

/* Guards against a region that recovers being found only slowly.  */
START_TEST (recovers_from_one)
{
  int64_t now = 0;

  for (int i = 0; i < 10; i++, now += PROBE_MS)
    {
      fill (now, &needed);
      refuse_all (now + round_trip_ms);
    }
  ck_assert_int_eq (look ().limit, 1);
  grow (now, 10);
  ck_assert_int_ge (look ().limit, 8);
}
END_TEST

/* Guards against requests waiting at the other region's host until it is too
   late to serve them.  */
START_TEST (late_requests_halve_the_limit)
{
  const int64_t now = grow (0, 3);
  const int64_t limit = look ().limit;

  fill (now, &needed);
  marjoram_forward_windows_tick (windows, now + due_after_ms);
  ck_assert_int_eq (look ().limit, limit);
  marjoram_forward_windows_tick (windows, now + due_after_ms + 1);
  ck_assert_int_eq (look ().limit, limit / 2);
  ck_assert_int_eq (look ().in_flight, limit);
  ck_assert (!has_room (now + due_after_ms + 1));
  begin_all (now + 2 * due_after_ms);
  ck_assert_int_eq (look ().limit, limit / 2);
  ck_assert_int_eq (look ().in_flight, 0);
}
END_TEST

/* Guards against a limit that grows while requests queue in the region.  */
START_TEST (slow_requests_do_not_raise_the_limit)
{
  const int64_t now = grow (0, 3);
  const int64_t limit = look ().limit;

  fill (now, &needed);
  begin_all (now + due_after_ms - 1);
  ck_assert_int_eq (look ().limit, limit);
}
END_TEST

/* Guards against many requests being lost in a region that has been cut off
   without a sign of it.  */
START_TEST (silence_lowers_the_limit_to_one)
{
  int64_t now = grow (0, 4);

  for (int i = 0; i < 3; i++)
    send_due (now, i, FOREVER_MS);
  marjoram_forward_windows_tick (windows,
                                 now + MARJORAM_FORWARD_SILENCE_MS - 1);
  ck_assert_int_gt (look ().limit, MARJORAM_FORWARD_LIMIT_START);
  now += MARJORAM_FORWARD_SILENCE_MS;
  marjoram_forward_windows_tick (windows, now);
  ck_assert_int_eq (look ().limit, 1);
  for (int i = 0; i < 3; i++)
    marjoram_forwarded_request_lost (&requests[i], now);
  ck_assert_int_eq (look ().limit, 1);
  grow (now, 3);
  ck_assert_int_eq (look ().limit, 8);
}
END_TEST

/* Guards against a burst after a quiet time being sent on what the region
   accepted before it.  */
START_TEST (unused_window_starts_again)
{
  const int64_t now = grow (0, 6);

  ck_assert_int_gt (look ().limit, MARJORAM_FORWARD_LIMIT_START);
  ck_assert_int_eq ((marjoram_forward_windows_tick (
                         windows, now + MARJORAM_FORWARD_SILENCE_MS),
                     fill (now + MARJORAM_FORWARD_SILENCE_MS, &needed)),
                    MARJORAM_FORWARD_LIMIT_START);
}
END_TEST

/* Guards against callers that hang up being taken for a region that has no
   capacity, or filling the window for ever.  */
START_TEST (cancelled_requests_change_nothing)
{
  fill (0, &needed);
  for (int i = 0; i < REQUESTS; i++)
    marjoram_forwarded_request_cancelled (&requests[i]);
  ck_assert_int_eq (look ().limit, MARJORAM_FORWARD_LIMIT_START);
  ck_assert_int_eq (look ().in_flight, 0);
  refuse_all (round_trip_ms);
  begin_all (round_trip_ms);
  ck_assert_int_eq (look ().limit, MARJORAM_FORWARD_LIMIT_START);
}
END_TEST

/* Guards against one region's or service's refusals limiting others, and
   against state that grows with the names that were ever used.  */
START_TEST (windows_are_separate_and_forgotten)
{
  char region[16];
  char service[16];

  for (int i = 0; i < REQUESTS; i++)
    {
      snprintf (region, sizeof region, "r%d", i / 32);
      snprintf (service, sizeof service, "s%d", i % 32);
      marjoram_forward_windows_sent (windows, 0, region, service, &needed,
                                     round_trip_ms, due_after_ms,
                                     &requests[i]);
    }
  ck_assert_int_eq (look ().windows, REQUESTS);
  for (int i = 1; i < REQUESTS; i++)
    marjoram_forwarded_request_refused (&requests[i], round_trip_ms);
  for (int i = 0; i < 3; i++)
    ck_assert (marjoram_forward_windows_has_room (windows, round_trip_ms, "r0",
                                                  "s0", &needed));
  marjoram_forward_windows_tick (windows, FOREVER_MS);
  ck_assert_int_eq (look ().windows, 1);
  marjoram_forwarded_request_lost (&requests[0], FOREVER_MS);
  marjoram_forward_windows_tick (windows, (int64_t)2 * FOREVER_MS);
  ck_assert_int_eq (look ().windows, 0);
}
END_TEST

/* Guards against requests that could stay taking the room of those that would
   be refused, and costly ones that of cheap ones.  */
START_TEST (room_is_left_to_requests_that_need_it_more)
{
  const struct marjoram_forward_need optional = { true, 10 };
  const struct marjoram_forward_need costly = { false, 100 };
  const int64_t now = grow (0, 2);
  const int limit = (int)look ().limit;

  ck_assert_int_eq (limit % 4, 0);
  ck_assert_int_eq (fill (now, &optional), limit / 2);
  ck_assert_int_eq (fill (now, &costly), limit / 4);
  ck_assert_int_eq (fill (now, &needed), limit / 4);
  ck_assert (!has_room (now));
}
END_TEST

/* Guards against a limit of one that no costly request may use.  */
START_TEST (every_request_may_use_a_limit_of_one)
{
  const struct marjoram_forward_need costly = { true, 1000 };
  int64_t now = 0;

  for (int i = 0; i < 10; i++, now += PROBE_MS)
    {
      fill (now, &needed);
      refuse_all (now + round_trip_ms);
    }
  ck_assert_int_eq (look ().limit, 1);
  ck_assert_int_eq (fill (now, &costly), 1);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("forward_window");
  TCase *c = tcase_create ("forward_window");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, starts_low_and_doubles_while_requests_begin);
  tcase_add_test (c, unused_limit_does_not_grow);
  tcase_add_test (c, limit_has_a_maximum);
  tcase_add_test (c, halves_at_most_once_a_round_trip);
  tcase_add_test (c, grows_slowly_above_a_refused_limit);
  tcase_add_test (c, never_falls_below_one);
  tcase_add_test (c, recovers_from_one);
  tcase_add_test (c, late_requests_halve_the_limit);
  tcase_add_test (c, slow_requests_do_not_raise_the_limit);
  tcase_add_test (c, silence_lowers_the_limit_to_one);
  tcase_add_test (c, unused_window_starts_again);
  tcase_add_test (c, cancelled_requests_change_nothing);
  tcase_add_test (c, windows_are_separate_and_forgotten);
  tcase_add_test (c, room_is_left_to_requests_that_need_it_more);
  tcase_add_test (c, every_request_may_use_a_limit_of_one);
  suite_add_tcase (s, c);
  return s;
}
