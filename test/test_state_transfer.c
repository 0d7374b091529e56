/* Transfer of the replicated state from keepers to an entry host.  */
#include "suite.h"

#include "cleanup.h"
#include "state_fetch.h"
#include "state_sender.h"

#include <stdio.h>
#include <string.h>

enum
{
  ROUTE_MAX = 320,
  TICK_MS = 25,
  KEEPERS = 6,
  LOCAL_KEEPERS = 2,
  /* Keepers repeat their announcement with each heartbeat of the host.  */
  HEARTBEAT_MS = 300,
  ASKS_MAX = 64
};

#define SECONDS(count) ((count)*INT64_C (1000))

/* A host and its keepers, with at most one piece in transit.  */
struct world
{
  marjoram_state_sender *senders[KEEPERS];
  marjoram_state_fetch *fetch;
  int64_t now;
  int64_t piece_ms; /* transfer time of a piece */
  int asked;        /* keeper with an unanswered request; -1: none */
  struct marjoram_state_ask ask;
  int64_t ask_at;
  int asks;
  size_t bytes;         /* of all received pieces */
  int outstanding_asks; /* unanswered requests, including the last one */
  uint64_t number;
  struct marjoram_fetch_stats stats;
  char keeper[16]; /* source of the last transfer */
  int failures;
};

static struct world w;

static void
op_ask (void *context, const char *keeper,
        const struct marjoram_state_ask *ask)
{
  (void)context;
  w.asks++;
  w.outstanding_asks = w.asked >= 0 ? 2 : 1;
  w.asked = keeper[1] - '0';
  w.ask = *ask;
  w.ask_at = w.now;
}

static void
op_fetched (void *context, const struct marjoram_state *state,
            const struct marjoram_fetch_stats *stats)
{
  (void)context;
  w.number = state->number;
  w.stats = *stats;
  snprintf (w.keeper, sizeof w.keeper, "%s", stats->keeper);
}

static void
op_failed (void *context, const struct marjoram_fetch_stats *stats,
           const struct marjoram_error *err)
{
  (void)context;
  (void)stats;
  (void)err;
  w.failures++;
}

static const struct marjoram_state_fetch_ops ops
    = { .ask = op_ask, .fetched = op_fetched, .failed = op_failed };

static const struct marjoram_state_fetch_options options
    = { .piece_timeout_ms = 2000, .piece_timeout_max_ms = 8000 };

/* Returns state NUMBER with ROUTES routes, whose names compress badly.  The
   first route has TIMEOUT.  */
static struct marjoram_state *
make_state (uint64_t number, int routes, int timeout)
{
  struct marjoram_state *state = marjoram_state_copy (NULL);
  size_t room = (size_t)routes * ROUTE_MAX + 1;
  marjoram_auto_free char *text = marjoram_alloc (room);
  struct marjoram_file file = { .name = (char *)"routes", .text = text };
  size_t size = 0;

  for (int i = 0; i < routes; i++)
    size += (size_t)snprintf (
        text + size, room - size,
        "{\"name\":\"r-%x\",\"host\":\"%x.example\",\"path_prefix\":\"/%x/\","
        "\"kind\":\"idempotent\",\"timeout_ms\":%d,\"service\":\"app\"}",
        (unsigned)i * 2654435761U, (unsigned)i * 2246822519U,
        (unsigned)i * 3266489917U, i == 0 ? timeout : 4000);
  file.version = number;
  file.digest = (char *)"";
  marjoram_state_set_file (state, &file);
  state->number = number;
  return state;
}

/* Sets the state on all keepers.  */
static void
choose (uint64_t number, int routes, int timeout)
{
  struct marjoram_state *state = make_state (number, routes, timeout);

  for (int i = 0; i < KEEPERS; i++)
    marjoram_state_sender_set (w.senders[i], state);
  marjoram_state_destroy (state);
}

static const char *
name_of (int keeper)
{
  static char name[16];

  snprintf (name, sizeof name, "k%d", keeper);
  return name;
}

static void
announce (int keeper)
{
  marjoram_state_fetch_announced (
      w.fetch, w.now, name_of (keeper), keeper < LOCAL_KEEPERS,
      marjoram_state_sender_number (w.senders[keeper]));
}

static void
respond (void)
{
  struct marjoram_state_piece piece = { 0 };
  int keeper = w.asked;

  w.asked = -1;
  ck_assert (marjoram_state_sender_answer (w.senders[keeper], &w.ask, &piece));
  w.bytes += marjoram_bytes_size (piece.bytes);
  marjoram_state_fetch_receive_piece (w.fetch, w.now, name_of (keeper),
                                      &piece);
  marjoram_wire_clear (&marjoram_state_piece_layout, &piece);
}

/* Only KEEPERS keepers, starting with number FIRST, are running.  */
static void
run (int64_t ms, int first, int keepers)
{
  for (int64_t end = w.now + ms; w.now < end; w.now += TICK_MS)
    {
      if (w.now % HEARTBEAT_MS == 0)
        for (int i = first; i < first + keepers; i++)
          announce (i);
      if (w.asked >= 0 && w.now >= w.ask_at + w.piece_ms)
        respond ();
      marjoram_state_fetch_tick (w.fetch, w.now);
    }
}

static void
setup (void)
{
  memset (&w, 0, sizeof w);
  w.asked = -1;
  w.now = HEARTBEAT_MS;
  for (int i = 0; i < KEEPERS; i++)
    w.senders[i] = marjoram_state_sender_create ();
  w.fetch = marjoram_state_fetch_create (&options, &ops, NULL);
}

static void
teardown (void)
{
  for (int i = 0; i < KEEPERS; i++)
    marjoram_state_sender_destroy (w.senders[i]);
  marjoram_state_fetch_destroy (w.fetch);
}

/* Guards against duplicate transfers that congest a slow link: however often
   keepers announce a state, it is sent once, one piece at a time.  */
START_TEST (state_is_transferred_once)
{
  size_t size;

  choose (1, 10, 500);
  run (SECONDS (1), 0, KEEPERS);
  ck_assert_uint_eq (w.number, 1);
  choose (2, 4200, 500);
  w.bytes = 0;
  w.piece_ms = 400;
  run (SECONDS (60), 0, KEEPERS);
  ck_assert_uint_eq (w.number, 2);
  size = w.stats.bytes;
  ck_assert_uint_gt (size, (size_t)2 * MARJORAM_STATE_PIECE_MAX);
  ck_assert_uint_eq (w.bytes, size);
  ck_assert_int_eq (w.outstanding_asks, 1);
  ck_assert_int_eq (w.failures, 0);
}
END_TEST

/* Guards against a transfer that uses more than half of a slow link.  */
START_TEST (host_pauses_as_long_as_a_piece_took)
{
  choose (1, 10, 500);
  run (SECONDS (1), 0, 1);
  choose (2, 4200, 500);
  w.piece_ms = 100;
  while (w.number != 2)
    run (TICK_MS, 0, 1);
  ck_assert_int_gt (w.stats.pieces, 2);
  ck_assert_int_ge (w.stats.ms,
                    ((int64_t)w.stats.pieces * 2 - 1) * w.piece_ms);
}
END_TEST

/* Guards against a delayed start: a host without a state fetches it at full
   speed.  */
START_TEST (new_host_does_not_pause)
{
  int64_t start_ms = w.now;

  choose (2, 4200, 500);
  w.piece_ms = 100;
  while (w.number != 2)
    run (TICK_MS, 0, 1);
  ck_assert_int_le (w.now - start_ms, (int64_t)w.stats.pieces * w.piece_ms
                                          + (int64_t)2 * TICK_MS);
}
END_TEST

START_TEST (one_changed_route_needs_a_small_delta)
{
  choose (1, 5600, 500);
  run (SECONDS (10), 0, 1);
  w.bytes = 0;
  choose (2, 5600, 800);
  run (SECONDS (1), 0, 1);
  ck_assert_uint_eq (w.number, 2);
  ck_assert_uint_eq (w.stats.base, 1);
  ck_assert_uint_lt (w.bytes, 1000);
}
END_TEST

/* A keeper of another region is asked only if none of the host's own region
   announces the state.  */
START_TEST (remote_keeper_is_asked_if_no_local_one_announces)
{
  choose (1, 10, 500);
  announce (LOCAL_KEEPERS);
  ck_assert_int_eq (w.asks, 0);
  w.now += HEARTBEAT_MS;
  announce (LOCAL_KEEPERS);
  ck_assert_int_eq (w.asks, 1);
}
END_TEST

START_TEST (local_keeper_is_asked_at_once)
{
  choose (1, 10, 500);
  announce (LOCAL_KEEPERS);
  announce (0);
  ck_assert_int_eq (w.asks, 1);
  ck_assert_int_eq (w.asked, 0);
}
END_TEST

/* Guards against a transfer that ends when its keeper fails.  */
START_TEST (another_keeper_resumes_transfer)
{
  choose (2, 4200, 500);
  w.piece_ms = 100;
  announce (0);
  run (150, 0, 0);
  ck_assert_int_gt (w.asks, 1);
  w.asked = -1;
  marjoram_state_fetch_disconnected (w.fetch, "k0");
  run (SECONDS (5), 1, 1);
  ck_assert_uint_eq (w.number, 2);
  ck_assert_str_eq (w.keeper, "k1");
}
END_TEST

/* Guards against repeated transfer of received pieces over an unstable
   link.  */
START_TEST (disconnection_keeps_received_pieces)
{
  choose (2, 4200, 500);
  w.piece_ms = 100;
  announce (0);
  run (350, 0, 0);
  ck_assert_uint_gt (w.bytes, MARJORAM_STATE_PIECE_MAX);
  w.asked = -1;
  marjoram_state_fetch_disconnected (w.fetch, "k0");
  run (SECONDS (5), 1, 1);
  ck_assert_uint_eq (w.number, 2);
  ck_assert_uint_eq (w.bytes, w.stats.bytes);
}
END_TEST

/* The second keeper lacks the base, and so encodes the state differently.  */
START_TEST (pieces_of_two_encodings_are_not_mixed)
{
  struct marjoram_state *state = make_state (2, 4200, 500);

  choose (1, 10, 500);
  run (SECONDS (1), 0, 1);
  marjoram_state_sender_set (w.senders[0], state);
  marjoram_state_sender_destroy (w.senders[1]);
  w.senders[1] = marjoram_state_sender_create ();
  marjoram_state_sender_set (w.senders[1], state);
  marjoram_state_destroy (state);
  announce (0);
  w.piece_ms = 100;
  run (350, 0, 0);
  ck_assert_uint_gt (w.bytes, MARJORAM_STATE_PIECE_MAX);
  w.asked = -1;
  marjoram_state_fetch_disconnected (w.fetch, "k0");
  run (SECONDS (5), 1, 1);
  ck_assert_uint_eq (w.number, 2);
  ck_assert_uint_eq (w.stats.base, 0);
  ck_assert_int_eq (w.failures, 0);
}
END_TEST

/* Guards against discarding a late piece that was requested again from another
   keeper, which would add to the congestion that delayed it.  */
START_TEST (late_piece_is_accepted)
{
  choose (2, 10, 500);
  announce (0);
  w.now += SECONDS (3);
  announce (1);
  ck_assert_int_eq (w.asks, 2);
  w.asked = 0;
  respond ();
  ck_assert_uint_eq (w.number, 2);
}
END_TEST

/* The keeper doesn't respond, but its connection is not closed.  */
START_TEST (stalled_keeper_is_replaced)
{
  choose (2, 10, 500);
  announce (0);
  w.asked = -1;
  run (SECONDS (4), 1, 1);
  ck_assert_uint_eq (w.number, 2);
  ck_assert_str_eq (w.keeper, "k1");
}
END_TEST

/* Changes are more frequent than transfers can complete.  */
START_TEST (newer_states_do_not_starve_a_fetch)
{
  choose (1, 4200, 500);
  run (SECONDS (5), 0, KEEPERS);
  w.piece_ms = 50;
  for (uint64_t number = 2; number < 12; number++)
    {
      choose (number, 4200 + (int)number * 200, 500);
      run (HEARTBEAT_MS, 0, KEEPERS);
      ck_assert_uint_ge (w.number, number - 1);
    }
  run (SECONDS (2), 0, KEEPERS);
  ck_assert_uint_eq (w.number, 11);
}
END_TEST

/* The host's state is older than any base that the keepers have.  */
START_TEST (outdated_host_gets_a_full_transfer)
{
  choose (1, 10, 500);
  run (SECONDS (1), 0, 1);
  for (uint64_t number = 2; number < 12; number++)
    choose (number, 10, (int)number);
  run (SECONDS (1), 0, 1);
  ck_assert_uint_eq (w.number, 11);
  ck_assert_uint_eq (w.stats.base, 0);
}
END_TEST

/* Guards against a delta from a keeper that has a different state with the
   same number.  */
START_TEST (mismatched_base_is_not_used)
{
  struct marjoram_state *other = make_state (1, 10, 999);
  struct marjoram_state *next = make_state (2, 10, 500);

  marjoram_state_sender_set (w.senders[0], other);
  marjoram_state_sender_set (w.senders[0], next);
  choose (1, 10, 500);
  run (SECONDS (1), 1, 1);
  ck_assert_uint_eq (w.number, 1);
  run (SECONDS (1), 0, 1);
  ck_assert_uint_eq (w.number, 2);
  ck_assert_uint_eq (w.stats.base, 0);
  ck_assert_int_eq (w.failures, 0);
  marjoram_state_destroy (other);
  marjoram_state_destroy (next);
}
END_TEST

/* Guards against a transfer that never completes because each piece takes
   longer than the timeout.  */
START_TEST (slow_pieces_arrive_eventually)
{
  static struct marjoram_state_ask asks[ASKS_MAX];
  static int keepers[ASKS_MAX];
  static int64_t due[ASKS_MAX];
  const int64_t slow_ms = 2500;
  const int64_t end = w.now + SECONDS (40);
  int sent = 0;
  int arrived = 0;

  choose (2, 700, 500);
  for (; w.now < end && w.number == 0; w.now += TICK_MS)
    {
      if (w.now % HEARTBEAT_MS == 0)
        announce ((int)(w.now / HEARTBEAT_MS) % LOCAL_KEEPERS);
      marjoram_state_fetch_tick (w.fetch, w.now);
      if (w.asks > sent && sent < ASKS_MAX)
        {
          asks[sent] = w.ask;
          keepers[sent] = w.asked;
          due[sent++] = w.now + slow_ms;
        }
      if (arrived < sent && w.now >= due[arrived])
        {
          w.ask = asks[arrived];
          w.asked = keepers[arrived++];
          respond ();
        }
    }
  ck_assert_uint_eq (w.number, 2);
}
END_TEST

/* Guards against memory exhaustion by a faulty keeper that announces an
   excessive size.  */
START_TEST (size_over_the_limit_is_not_fetched)
{
  struct marjoram_state_piece piece
      = { .number = 1,
          .size = (uint64_t)MARJORAM_FRAME_MAX + 1,
          .bytes = marjoram_bytes_create ("oops", 4) };

  choose (1, 10, 500);
  announce (0);
  marjoram_state_fetch_receive_piece (w.fetch, w.now, "k0", &piece);
  ck_assert_int_eq (w.asks, 1);
  w.asked = -1;
  run (SECONDS (4), 1, 1);
  ck_assert_uint_eq (w.number, 1);
  marjoram_bytes_release (piece.bytes);
}
END_TEST

/* Guards against a wait for the timeout when the keeper evicts the base, and
   the encoding against it, during a transfer.  */
START_TEST (dropped_base_does_not_stall)
{
  struct marjoram_state_piece piece = { 0 };
  struct marjoram_state_ask other = { .number = 9 };
  const int64_t stall_ms = 2000;

  choose (1, 10, 500);
  run (SECONDS (1), 0, 1);
  ck_assert_uint_eq (w.number, 1);
  choose (2, 4200, 500);
  announce (0);
  w.now += TICK_MS;
  respond ();
  ck_assert_int_lt (w.asked, 0);
  w.now += TICK_MS;
  marjoram_state_fetch_tick (w.fetch, w.now);
  ck_assert_int_ge (w.asked, 0);
  for (uint64_t number = 3; number < 6; number++)
    choose (number, 4200, (int)number);
  for (other.base = 20; other.base < 24; other.base++)
    {
      ck_assert (marjoram_state_sender_answer (w.senders[0], &other, &piece));
      marjoram_wire_clear (&marjoram_state_piece_layout, &piece);
    }
  run (stall_ms - TICK_MS, 0, 1);
  ck_assert_uint_ge (w.number, 2);
}
END_TEST

/* An unreadable state is rejected and requested again.  */
START_TEST (damaged_piece_is_rejected)
{
  struct marjoram_state_piece piece
      = { .number = 1, .size = 4, .bytes = marjoram_bytes_create ("oops", 4) };

  choose (1, 10, 500);
  announce (0);
  w.asked = -1;
  marjoram_state_fetch_receive_piece (w.fetch, w.now, "k0", &piece);
  ck_assert_int_eq (w.failures, 1);
  ck_assert_uint_eq (w.number, 0);
  run (SECONDS (1), 0, 1);
  ck_assert_uint_eq (w.number, 1);
  marjoram_bytes_release (piece.bytes);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("state_transfer");
  TCase *c = tcase_create ("state_transfer");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_set_timeout (c, 60);
  tcase_add_test (c, state_is_transferred_once);
  tcase_add_test (c, host_pauses_as_long_as_a_piece_took);
  tcase_add_test (c, new_host_does_not_pause);
  tcase_add_test (c, one_changed_route_needs_a_small_delta);
  tcase_add_test (c, remote_keeper_is_asked_if_no_local_one_announces);
  tcase_add_test (c, local_keeper_is_asked_at_once);
  tcase_add_test (c, another_keeper_resumes_transfer);
  tcase_add_test (c, disconnection_keeps_received_pieces);
  tcase_add_test (c, pieces_of_two_encodings_are_not_mixed);
  tcase_add_test (c, late_piece_is_accepted);
  tcase_add_test (c, stalled_keeper_is_replaced);
  tcase_add_test (c, newer_states_do_not_starve_a_fetch);
  tcase_add_test (c, outdated_host_gets_a_full_transfer);
  tcase_add_test (c, mismatched_base_is_not_used);
  tcase_add_test (c, slow_pieces_arrive_eventually);
  tcase_add_test (c, size_over_the_limit_is_not_fetched);
  tcase_add_test (c, dropped_base_does_not_stall);
  tcase_add_test (c, damaged_piece_is_rejected);
  suite_add_tcase (s, c);
  return s;
}
