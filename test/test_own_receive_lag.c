/* Tests the estimate of a host's receive lag.  */
#include "suite.h"

#include "own_receive_lag.h"

enum
{
  LINKS = 3,
  BEAT_MS = 300,
  TICK_MS = 25,
  ROUND_TRIP_MS = 2,
  QUIET_MS = 5000,
  LONG_MS = 50000,
  BEATS_MAX = 256 /* unacknowledged heartbeats per link */
};

/* A peer and the state of the connection to it.  */
struct peer
{
  struct marjoram_link_lag lag;
  int64_t received_at;
  int64_t sent_at[BEATS_MAX];
  int pending;
  bool dead;
};

static struct peer peers[LINKS];
static struct marjoram_own_lag own;
static int64_t now;

static void
setup (void)
{
  now = 0;
  own = (struct marjoram_own_lag){ 0 };
  for (int i = 0; i < LINKS; i++)
    {
      peers[i] = (struct peer){ 0 };
      marjoram_link_lag_start (&peers[i].lag);
    }
}

static void
send_timed_heartbeat (struct peer *peer)
{
  ck_assert_int_lt (peer->pending, BEATS_MAX);
  marjoram_link_lag_sent (&peer->lag, now);
  peer->sent_at[peer->pending++] = now;
}

/* Processes the acknowledgements that were under way for LATE_MS.  */
static void
receive_acks (struct peer *peer, int64_t late_ms)
{
  int taken = 0;

  while (taken < peer->pending && peer->sent_at[taken] + late_ms <= now)
    {
      marjoram_link_lag_answered (&peer->lag, now);
      peer->received_at = now;
      taken++;
    }
  for (int i = taken; i < peer->pending; i++)
    peer->sent_at[i - taken] = peer->sent_at[i];
  peer->pending -= taken;
}

static void
measure (void)
{
  marjoram_own_lag_begin (&own);
  for (int i = 0; i < LINKS; i++)
    marjoram_own_lag_add (&own, now, &peers[i].lag, peers[i].received_at);
  marjoram_own_lag_end (&own, now);
}

/* Advances the clock by MS while acknowledgements take LATE_MS.  PARTS: parts
   of large frames arrive all the time.  */
static void
advance (int64_t ms, int64_t late_ms, bool parts)
{
  for (int64_t end = now + ms; now < end; now += TICK_MS)
    {
      for (int i = 0; i < LINKS; i++)
        {
          if (!peers[i].dead)
            receive_acks (&peers[i], late_ms);
          if (now % BEAT_MS == 0)
            send_timed_heartbeat (&peers[i]);
        }
      if (parts)
        peers[0].received_at = now;
      measure ();
    }
}

START_TEST (no_lag_without_delays)
{
  ck_assert_int_eq (own.ms, 0);
  advance (QUIET_MS, ROUND_TRIP_MS, false);
  ck_assert_int_le (own.ms, TICK_MS);
}
END_TEST

/* Guards against taking live peers for dead while this host's link is
   saturated, and against a lag that outlasts the congestion.  */
START_TEST (saturated_link_is_lag)
{
  const int64_t known_ms = 2000 - BEAT_MS - TICK_MS;

  advance (QUIET_MS, ROUND_TRIP_MS, false);
  advance (2000, QUIET_MS, true);
  ck_assert_int_ge (own.ms, known_ms);
  advance (1000, 2000, true);
  ck_assert_int_ge (own.ms, known_ms);
  advance (1300, ROUND_TRIP_MS, false);
  ck_assert_int_le (own.ms, TICK_MS);
}
END_TEST

/* Guards against dropping the lag as soon as the first connection has
   recovered.  */
START_TEST (lag_is_held_until_others_recover)
{
  advance (QUIET_MS, ROUND_TRIP_MS, false);
  advance (2000, QUIET_MS, true);
  receive_acks (&peers[0], ROUND_TRIP_MS);
  send_timed_heartbeat (&peers[0]);
  now += TICK_MS;
  receive_acks (&peers[0], ROUND_TRIP_MS);
  measure ();
  ck_assert_int_ge (own.ms, 2000 - BEAT_MS - TICK_MS);
}
END_TEST

/* Guards against taking peers for silent whose data still waits in socket
   buffers after a stall of the event loop.  */
START_TEST (stalled_loop_is_lag)
{
  advance (QUIET_MS - QUIET_MS % BEAT_MS + TICK_MS, ROUND_TRIP_MS, false);
  ck_assert_int_gt (peers[0].pending, 0);
  now += 2000;
  receive_acks (&peers[0], ROUND_TRIP_MS);
  measure ();
  ck_assert_int_ge (own.ms, 2000 - TICK_MS);
}
END_TEST

/* Guards against missing a stall during which no heartbeat was pending.  */
START_TEST (stall_between_heartbeats_is_lag)
{
  advance (QUIET_MS, ROUND_TRIP_MS, false);
  while (now % BEAT_MS != BEAT_MS / 2)
    advance (TICK_MS, ROUND_TRIP_MS, false);
  ck_assert_int_eq (peers[0].pending, 0);
  now += 2000;
  measure ();
  ck_assert_int_ge (own.ms, 2000);
}
END_TEST

/* Guards against attributing the delay of dead or slow peers to this host.  */
START_TEST (slow_peers_are_not_lag)
{
  advance (QUIET_MS, ROUND_TRIP_MS, false);
  peers[0].dead = true;
  peers[1].dead = true;
  advance (QUIET_MS, ROUND_TRIP_MS, true);
  ck_assert_int_le (own.ms, TICK_MS);
}
END_TEST

/* Guards against treating a partition as lag, which would keep dead
   connections open.  */
START_TEST (partition_is_not_lag)
{
  advance (QUIET_MS, ROUND_TRIP_MS, false);
  advance (1500, QUIET_MS, false);
  ck_assert_int_le (own.ms, TICK_MS);
}
END_TEST

/* Guards against deriving a lag from a single connection, whose peer may be
   the slow one.  */
START_TEST (single_link_is_ignored)
{
  advance (QUIET_MS, ROUND_TRIP_MS, false);
  marjoram_link_lag_start (&peers[1].lag);
  marjoram_link_lag_start (&peers[2].lag);
  peers[0].dead = true;
  peers[1].dead = true;
  peers[2].dead = true;
  advance (2000, QUIET_MS, true);
  ck_assert_int_le (own.ms, TICK_MS);
}
END_TEST

/* Guards against a new connection without a measurement ending the lag.  */
START_TEST (new_link_does_not_hide_lag)
{
  advance (QUIET_MS, ROUND_TRIP_MS, false);
  advance (2000, QUIET_MS, true);
  marjoram_link_lag_start (&peers[2].lag);
  peers[2].pending = 0;
  advance (1000, QUIET_MS, true);
  ck_assert_int_ge (own.ms, 2000);
}
END_TEST

/* Guards against a lag so large that dead peers are not detected.  */
START_TEST (lag_is_bounded)
{
  advance (QUIET_MS, ROUND_TRIP_MS, false);
  advance (LONG_MS / 2, LONG_MS, true);
  ck_assert_int_eq (own.ms, 3000);
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("own_receive_lag");
  TCase *tests = tcase_create ("own_receive_lag");

  tcase_add_checked_fixture (tests, setup, NULL);
  tcase_add_test (tests, no_lag_without_delays);
  tcase_add_test (tests, saturated_link_is_lag);
  tcase_add_test (tests, lag_is_held_until_others_recover);
  tcase_add_test (tests, stalled_loop_is_lag);
  tcase_add_test (tests, stall_between_heartbeats_is_lag);
  tcase_add_test (tests, slow_peers_are_not_lag);
  tcase_add_test (tests, partition_is_not_lag);
  tcase_add_test (tests, single_link_is_ignored);
  tcase_add_test (tests, new_link_does_not_hide_lag);
  tcase_add_test (tests, lag_is_bounded);
  suite_add_tcase (all, tests);
  return all;
}
