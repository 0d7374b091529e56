/* Cost of consensus between regions: bytes, copies of values, and latency on
   slow connections.  */
#include "suite.h"

#include "cleanup.h"
#include "keeper_private.h"
#include "lib_keeper_net.h"

#include <stdio.h>
#include <string.h>

enum
{
  ROUTES = 4200,
  MANY_ROUTES = 20000,
  KEEPERS = 6,
  BYTES_PER_S = 600 * 1000,
  SLOW_BYTES_PER_S = 40 * 1000,
  SLOWER_BYTES_PER_S = 4 * 1000,
  CHANGE_BYTES = 64 * 1024, /* limit for a change of one route */
  BOOTSTRAP_LIMIT_MS = 20000,
  ANSWER_LIMIT_MS = 4000, /* limit from request to answer */
  WAIT_LIMIT_MS = 30000
};

static const struct keeper_net_options between_regions
    = { .keepers = KEEPERS, .one_way_ms = 55, .bytes_per_s = BYTES_PER_S };
static const struct keeper_net_options slower
    = { .keepers = 3, .one_way_ms = 55, .bytes_per_s = SLOWER_BYTES_PER_S };
static const struct keeper_net_options very_slow
    = { .keepers = 3, .one_way_ms = 55, .bytes_per_s = SLOW_BYTES_PER_S };

/* Creates keepers and waits until they are bootstrapped.  */
static struct keeper_net *
create_bootstrapped (const struct keeper_net_options *options)
{
  struct keeper_net *net = keeper_net_create (options);

  ck_assert (keeper_net_wait_agreement (net, BOOTSTRAP_LIMIT_MS));
  return net;
}

static int64_t
change (struct keeper_net *net, int at, int routes, int changed)
{
  marjoram_auto_free char *text = keeper_net_routes (routes, changed);

  return keeper_net_change (net, at, text, WAIT_LIMIT_MS);
}

static void
expect_routes (const struct keeper_net *net, int index, int routes,
               int changed)
{
  marjoram_auto_free char *text = keeper_net_routes (routes, changed);
  const struct marjoram_file *file
      = marjoram_state_file (keeper_net_state (net, index), "routes");

  ck_assert_ptr_nonnull (file);
  ck_assert_msg (strcmp (file->text, text) == 0,
                 "keeper %d holds a different configuration", index);
}

/* Guards against resending whole values: a change of one route among thousands
   must only send the difference.  */
START_TEST (bytes_of_a_change_among_4200_routes)
{
  struct keeper_net *net = create_bootstrapped (&between_regions);
  int64_t elapsed_ms;

  ck_assert_int_ge (change (net, 0, ROUTES, -1), 0);
  ck_assert (keeper_net_wait_agreement (net, WAIT_LIMIT_MS));
  keeper_net_run (net, WAIT_LIMIT_MS);
  keeper_net_reset_counters (net);
  elapsed_ms = change (net, 2, ROUTES, 7);
  ck_assert (keeper_net_wait_agreement (net, WAIT_LIMIT_MS));
  printf ("one route of %d: %llu bytes, answered after %lld ms\n", ROUTES,
          (unsigned long long)keeper_net_bytes (net), (long long)elapsed_ms);
  ck_assert_int_ge (elapsed_ms, 0);
  ck_assert_int_lt (elapsed_ms, ANSWER_LIMIT_MS / 4);
  ck_assert_uint_lt (keeper_net_bytes (net), CHANGE_BYTES);
  for (int i = 0; i < KEEPERS; i++)
    expect_routes (net, i, ROUTES, 7);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against proposers that send whole values to keepers outside the
   previous quorum.  */
START_TEST (successive_proposers_send_differences)
{
  struct keeper_net *net = create_bootstrapped (&between_regions);

  ck_assert_int_ge (change (net, 0, ROUTES, -1), 0);
  ck_assert (keeper_net_wait_agreement (net, WAIT_LIMIT_MS));
  keeper_net_run (net, WAIT_LIMIT_MS);
  keeper_net_reset_counters (net);
  for (int i = 0; i < KEEPERS; i++)
    ck_assert_int_ge (change (net, i, ROUTES, i), 0);
  ck_assert (keeper_net_wait_agreement (net, WAIT_LIMIT_MS));
  printf ("%d changes at keepers in turn: %llu bytes\n", KEEPERS,
          (unsigned long long)keeper_net_bytes (net));
  ck_assert_uint_lt (keeper_net_bytes (net), CHANGE_BYTES);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against late or missing answers as the configuration grows, when
   repeated whole values saturate the connections.  */
START_TEST (growth_is_answered_in_time)
{
  struct keeper_net *net = create_bootstrapped (&between_regions);

  for (int routes = 1400; routes <= 5600; routes += 1400)
    {
      int64_t elapsed_ms = change (net, routes / 1400 % KEEPERS, routes, -1);

      printf ("grown to %d routes: answered after %lld ms\n", routes,
              (long long)elapsed_ms);
      ck_assert_int_ge (elapsed_ms, 0);
      ck_assert_int_lt (elapsed_ms, ANSWER_LIMIT_MS);
      elapsed_ms = change (net, 0, routes, 3);
      ck_assert_int_ge (elapsed_ms, 0);
      ck_assert_int_lt (elapsed_ms, ANSWER_LIMIT_MS);
    }
  ck_assert (keeper_net_wait_agreement (net, WAIT_LIMIT_MS));
  keeper_net_destroy (net);
}
END_TEST

/* Guards against piling up copies of a value on a connection slower than the
   resend interval.  */
START_TEST (slow_connection_gets_one_copy)
{
  struct keeper_net *net = create_bootstrapped (&very_slow);
  int64_t elapsed_ms;

  keeper_net_reset_counters (net);
  elapsed_ms = change (net, 0, 1400, -1);
  printf ("1400 routes over 40 kB a second: %d and %d copies, at most %llu "
          "bytes in flight, answered after %lld ms\n",
          keeper_net_large_messages (net, 0, 1),
          keeper_net_large_messages (net, 0, 2),
          (unsigned long long)keeper_net_peak_queued (net),
          (long long)elapsed_ms);
  ck_assert_int_ge (elapsed_ms, 0);
  ck_assert (keeper_net_wait_agreement (net, WAIT_LIMIT_MS));
  /* No second copy follows later.  */
  keeper_net_run (net, WAIT_LIMIT_MS);
  ck_assert_int_eq (keeper_net_large_messages (net, 0, 1), 1);
  ck_assert_int_eq (keeper_net_large_messages (net, 0, 2), 1);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against starting a transfer anew with each attempt when it takes
   longer than one attempt.  */
START_TEST (value_slower_than_an_attempt_is_agreed_on)
{
  struct keeper_net *net = create_bootstrapped (&slower);

  keeper_net_reset_counters (net);
  ck_assert_int_eq (change (net, 0, 1400, -1), -1);
  ck_assert (keeper_net_wait_agreement (net, WAIT_LIMIT_MS));
  expect_routes (net, 1, 1400, -1);
  printf ("1400 routes over 4 kB a second: %d and %d copies\n",
          keeper_net_large_messages (net, 0, 1),
          keeper_net_large_messages (net, 0, 2));
  ck_assert_int_eq (keeper_net_large_messages (net, 0, 1), 1);
  ck_assert_int_eq (keeper_net_large_messages (net, 0, 2), 1);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against unbounded memory for messages to a stalled keeper whose
   connections stay open.  */
START_TEST (stalled_keeper_has_one_value_queued)
{
  struct keeper_net *net = create_bootstrapped (&between_regions);
  uint64_t size;

  ck_assert_int_ge (change (net, 0, ROUTES, -1), 0);
  ck_assert (keeper_net_wait_agreement (net, WAIT_LIMIT_MS));
  size = strlen (
      marjoram_state_file (keeper_net_state (net, 0), "routes")->text);
  keeper_net_stall (net, 5, true);
  keeper_net_reset_counters (net);
  for (int i = 0; i < 5; i++)
    {
      ck_assert_int_ge (change (net, 0, ROUTES + 400 * (i + 1), i), 0);
      keeper_net_run (net, 10000);
    }
  printf ("%llu bytes of text; %llu in flight to the stalled keeper\n",
          (unsigned long long)size,
          (unsigned long long)keeper_net_peak_queued (net));
  ck_assert_uint_lt (keeper_net_peak_queued (net), size);
  ck_assert_int_le (keeper_net_large_messages (net, 0, 5), 1);
  keeper_net_stall (net, 5, false);
  ck_assert (keeper_net_wait_agreement (net, WAIT_LIMIT_MS));
  expect_routes (net, 5, ROUTES + 2000, 4);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against losing a value when a connection breaks with the only copy in
   flight: it must be resent in time.  */
START_TEST (lost_copy_is_sent_again)
{
  struct keeper_net *net = create_bootstrapped (&very_slow);
  marjoram_auto_free char *text = keeper_net_routes (1400, -1);

  ck_assert_int_eq (keeper_net_change (net, 0, text, 400), -1);
  keeper_net_drop_inbound (net, 1);
  keeper_net_drop_inbound (net, 2);
  ck_assert (keeper_net_wait_agreement (net, WAIT_LIMIT_MS));
  expect_routes (net, 0, 1400, -1);
  expect_routes (net, 1, 1400, -1);
  ck_assert_int_le (keeper_net_large_messages (net, 0, 1), 2);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against encoding against a value that a keeper returning from a
   partition does not hold: it must get the latest state.  */
START_TEST (partitioned_keeper_gets_the_latest_state)
{
  struct keeper_net *net = create_bootstrapped (&between_regions);

  ck_assert_int_ge (change (net, 0, ROUTES, -1), 0);
  ck_assert (keeper_net_wait_agreement (net, WAIT_LIMIT_MS));
  keeper_net_partition (net, 4, true);
  for (int i = 0; i < 4; i++)
    ck_assert_int_ge (change (net, i, ROUTES, i), 0);
  keeper_net_partition (net, 4, false);
  ck_assert (keeper_net_wait_agreement (net, WAIT_LIMIT_MS));
  expect_routes (net, 4, ROUTES, 3);
  ck_assert_int_ge (change (net, 4, ROUTES, 9), 0);
  ck_assert (keeper_net_wait_agreement (net, WAIT_LIMIT_MS));
  for (int i = 0; i < KEEPERS; i++)
    expect_routes (net, i, ROUTES, 9);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against sending compressed values to keepers of an earlier release
   during a rolling update, which would drop them and never vote.  */
START_TEST (keepers_of_the_earlier_release_get_plain_values)
{
  struct keeper_net *net = keeper_net_create (&between_regions);

  for (int i = 0; i < KEEPERS / 2; i++)
    keeper_net_set_earlier_release (net, i);
  ck_assert (keeper_net_wait_agreement (net, BOOTSTRAP_LIMIT_MS));
  ck_assert_int_ge (change (net, 0, 400, -1), 0);
  ck_assert_int_ge (change (net, KEEPERS - 1, 400, 7), 0);
  ck_assert (keeper_net_wait_agreement (net, WAIT_LIMIT_MS));
  for (int i = 0; i < KEEPERS; i++)
    expect_routes (net, i, 400, 7);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against late answers when a compressed value takes longer to send
   than the resend interval.  */
START_TEST (many_routes_at_once_are_answered)
{
  struct keeper_net *net = create_bootstrapped (&between_regions);
  int64_t elapsed_ms = change (net, 0, MANY_ROUTES, -1);

  printf ("%d routes at once: answered after %lld ms\n", MANY_ROUTES,
          (long long)elapsed_ms);
  ck_assert_int_ge (elapsed_ms, 0);
  ck_assert_int_lt (elapsed_ms, ANSWER_LIMIT_MS);
  ck_assert (keeper_net_wait_agreement (net, WAIT_LIMIT_MS));
  keeper_net_destroy (net);
}
END_TEST

START_TEST (a_state_is_confirmed_in_one_round_trip)
{
  struct keeper_net *net = create_bootstrapped (&between_regions);
  const uint64_t number = keeper_net_state (net, 0)->number;

  ck_assert_uint_eq (keeper_net_confirm (net, 0, 120), number);
  ck_assert_int_ge (change (net, 0, 10, -1), 0);
  ck_assert_uint_gt (keeper_net_confirm (net, 0, 120), number);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against a keeper that missed a change and vouches for its own older
   state.  */
START_TEST (a_late_keeper_learns_that_a_newer_state_was_chosen)
{
  struct keeper_net *net = create_bootstrapped (&between_regions);
  const uint64_t number = keeper_net_state (net, 5)->number;

  keeper_net_partition (net, 5, true);
  ck_assert_int_ge (change (net, 0, 10, -1), 0);
  ck_assert_uint_eq (keeper_net_confirm (net, 5, 3000), 0);
  keeper_net_partition (net, 5, false);
  ck_assert_uint_eq (keeper_net_state (net, 5)->number, number);
  ck_assert_uint_gt (keeper_net_confirm (net, 5, 120), number);
  keeper_net_destroy (net);
}
END_TEST

START_TEST (a_minority_confirms_nothing)
{
  struct keeper_net *net = create_bootstrapped (&between_regions);

  for (int i = 0; i < KEEPERS / 2; i++)
    keeper_net_partition (net, i, true);
  ck_assert_uint_eq (keeper_net_confirm (net, KEEPERS - 1, 3000), 0);
  keeper_net_partition (net, 0, false);
  ck_assert_uint_gt (keeper_net_confirm (net, KEEPERS - 1, 120), 0);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against an answer that a keeper gave before a change and that arrives
   after it, for another round.  */
START_TEST (answers_to_an_earlier_round_do_not_count)
{
  struct keeper_net *net = create_bootstrapped (&between_regions);

  ck_assert_uint_eq (keeper_net_confirm (net, 0, 100), 0);
  for (int i = 1; i < KEEPERS; i++)
    keeper_net_partition (net, i, true);
  ck_assert_uint_eq (keeper_net_confirm (net, 0, 3000), 0);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against keepers that outdate one another's attempts forever.  */
START_TEST (slow_disks_delay_decisions_but_do_not_prevent_them)
{
  static const int writes_ms[] = { 600, 1200, 2000 };

  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      const struct keeper_net_options options = { .keepers = seed % 2 ? 3 : 5,
                                                  .one_way_ms = 55,
                                                  .write_ms = writes_ms[_i],
                                                  .seed = seed };
      struct keeper_net *net = create_bootstrapped (&options);

      ck_assert_int_ge (change (net, 0, 10, -1), 0);
      ck_assert_int_ge (change (net, 1, 10, 3), 0);
      ck_assert (keeper_net_wait_agreement (net, WAIT_LIMIT_MS));
      ck_assert_int_le (keeper_net_ballots (net, MARJORAM_BALLOT_OUTDATED),
                        keeper_net_ballots (net, MARJORAM_BALLOT_COMPLETED));
      keeper_net_destroy (net);
    }
}
END_TEST

/* Guards against a keeper that never gets to its own change.  */
START_TEST (changes_at_all_keepers_are_answered)
{
  static const int writes_ms[] = { 5, 200, 600 };

  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      const struct keeper_net_options options = {
        .keepers = 3, .one_way_ms = 55, .write_ms = writes_ms[_i], .seed = seed
      };
      struct keeper_net *net = create_bootstrapped (&options);

      for (int i = 0; i < 5; i++)
        ck_assert_int_ge (keeper_net_change_all (net, WAIT_LIMIT_MS), 0);
      ck_assert (keeper_net_wait_agreement (net, WAIT_LIMIT_MS));
      keeper_net_destroy (net);
    }
}
END_TEST

/* Guards against hosts that are told of no state by a keeper whose disk is
   slower than states follow each other.  */
START_TEST (slow_disk_delivers_while_changes_follow_each_other)
{
  const struct keeper_net_options options
      = { .keepers = 3, .one_way_ms = 55, .change_every_ms = 330 };
  const int64_t write_ms = 600;
  struct keeper_net *net = create_bootstrapped (&options);

  keeper_net_set_write_ms (net, 2, write_ms);
  for (int i = 0; i < 5; i++)
    {
      uint64_t number = keeper_net_state (net, 2)->number;

      /* The write in progress, and one with this state.  */
      keeper_net_run (net, 2 * write_ms);
      ck_assert_uint_ge (keeper_net_durable_state (net, 2)->number, number);
    }
  keeper_net_destroy (net);
}
END_TEST

/* Guards against a state that was sent into a broken connection and is not
   sent again for seconds: two round trips after the connection is back, the
   keeper holds it.  */
START_TEST (state_lost_with_a_connection_is_sent_again)
{
  struct keeper_net *net = create_bootstrapped (&between_regions);
  const int last = between_regions.keepers - 1;

  for (int i = 0; i < 5; i++)
    {
      uint64_t number;

      keeper_net_partition (net, last, true);
      ck_assert_int_ge (change (net, 0, 10, i), 0);
      number = keeper_net_state (net, 0)->number;
      keeper_net_partition (net, last, false);
      /* The state goes out, and is lost.  */
      keeper_net_greet (net, last);
      keeper_net_run (net, 2 * between_regions.one_way_ms + 10);
      keeper_net_drop_inbound (net, last);
      keeper_net_greet (net, last);
      keeper_net_run (net, 6 * between_regions.one_way_ms + 20);
      ck_assert_uint_eq (keeper_net_state (net, last)->number, number);
    }
  keeper_net_destroy (net);
}
END_TEST

/* Guards against keepers of different regions that outdate one another's
   attempts: each takes its turn, of three round trips at most.  */
START_TEST (far_keepers_decide_in_turn)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      const struct keeper_net_options options
          = { .keepers = _i, .one_way_ms = 55, .write_ms = 5, .seed = seed };
      const int64_t turn_ms
          = 6 * options.one_way_ms
            + MARJORAM_KEEPER_ATTEMPT_WRITES * options.write_ms;
      struct keeper_net *net = create_bootstrapped (&options);

      for (int i = 0; i < 5; i++)
        {
          int64_t elapsed_ms = keeper_net_change_all (net, WAIT_LIMIT_MS);

          ck_assert_int_ge (elapsed_ms, 0);
          ck_assert_int_le (elapsed_ms, options.keepers * turn_ms);
        }
      keeper_net_destroy (net);
    }
}
END_TEST

/* Guards against keepers that go on leaving time to a keeper which is cut off
   one way and repeats its ballot: it delays them once.  */
START_TEST (keeper_cut_off_one_way_delays_others_once)
{
  const struct keeper_net_options options
      = { .keepers = 3, .one_way_ms = 55, .write_ms = 5 };
  const int64_t attempt_ms = 4 * options.one_way_ms + 4 * options.write_ms;
  struct keeper_net *net = create_bootstrapped (&options);

  keeper_net_run (net, 2000);
  keeper_net_stall (net, 0, true);
  keeper_net_begin_change (net, 0);
  keeper_net_run (net, 100);
  ck_assert_int_ge (change (net, 1, 10, 0), 0);
  for (int i = 0; i < 5; i++)
    {
      int64_t elapsed_ms;

      keeper_net_run (net, 300);
      elapsed_ms = change (net, 1, 10, i);
      ck_assert_int_ge (elapsed_ms, 0);
      ck_assert_int_le (elapsed_ms, attempt_ms);
    }
  keeper_net_destroy (net);
}
END_TEST

/* Guards against an attempt that another keeper outdates, as a lost packet of
   it arrives later.  */
START_TEST (lost_packet_does_not_outdate_an_attempt)
{
  const struct keeper_net_options options
      = { .keepers = 3, .one_way_ms = 55, .write_ms = 5 };
  struct keeper_net *net = create_bootstrapped (&options);
  int outdated;

  keeper_net_run (net, 2000);
  outdated = keeper_net_ballots (net, MARJORAM_BALLOT_OUTDATED);
  keeper_net_begin_change (net, 0);
  keeper_net_run (net, options.one_way_ms + 5);
  keeper_net_begin_change (net, 1);
  keeper_net_stall (net, 0, true);
  keeper_net_run (net, options.one_way_ms + KEEPER_NET_REPEAT_MS);
  keeper_net_stall (net, 0, false);
  keeper_net_run (net, 2000);
  ck_assert_int_eq (keeper_net_changes_accepted (net), 2);
  ck_assert_int_eq (keeper_net_ballots (net, MARJORAM_BALLOT_OUTDATED),
                    outdated);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against reads that fail because a disk is slow.  */
START_TEST (reads_do_not_wait_for_disks)
{
  const struct keeper_net_options options
      = { .keepers = 3, .one_way_ms = 55, .write_ms = 600 };
  struct keeper_net *net = create_bootstrapped (&options);

  for (int i = 0; i < options.keepers; i++)
    {
      int64_t elapsed_ms = keeper_net_read (net, i, WAIT_LIMIT_MS);

      ck_assert_int_ge (elapsed_ms, 0);
      ck_assert_int_le (elapsed_ms, 2 * options.one_way_ms + 10);
    }
  keeper_net_destroy (net);
}
END_TEST

/* Guards against a read at a keeper without a majority.  */
START_TEST (a_minority_answers_no_read)
{
  struct keeper_net *net = create_bootstrapped (&between_regions);

  keeper_net_partition (net, 5, true);
  ck_assert_int_eq (keeper_net_read (net, 5, 3000), -1);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against a late keeper that answers a read with an older state.  */
START_TEST (reads_of_a_late_keeper_are_not_older)
{
  struct keeper_net *net = create_bootstrapped (&between_regions);
  uint64_t number;

  keeper_net_partition (net, 5, true);
  ck_assert_int_ge (change (net, 0, 10, -1), 0);
  number = keeper_net_state (net, 0)->number;
  keeper_net_partition (net, 5, false);
  ck_assert_int_ge (keeper_net_read (net, 5, 3000), 0);
  ck_assert_uint_ge (keeper_net_state (net, 5)->number, number);
  keeper_net_destroy (net);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("keeper_net");
  TCase *c = tcase_create ("keeper_net");

  tcase_set_timeout (c, 120);
  tcase_add_test (c, bytes_of_a_change_among_4200_routes);
  tcase_add_test (c, successive_proposers_send_differences);
  tcase_add_test (c, growth_is_answered_in_time);
  tcase_add_test (c, slow_connection_gets_one_copy);
  tcase_add_test (c, value_slower_than_an_attempt_is_agreed_on);
  tcase_add_test (c, stalled_keeper_has_one_value_queued);
  tcase_add_test (c, lost_copy_is_sent_again);
  tcase_add_test (c, partitioned_keeper_gets_the_latest_state);
  tcase_add_test (c, keepers_of_the_earlier_release_get_plain_values);
  tcase_add_test (c, many_routes_at_once_are_answered);
  tcase_add_test (c, a_state_is_confirmed_in_one_round_trip);
  tcase_add_test (c, a_late_keeper_learns_that_a_newer_state_was_chosen);
  tcase_add_test (c, a_minority_confirms_nothing);
  tcase_add_test (c, answers_to_an_earlier_round_do_not_count);
  tcase_add_loop_test (c, slow_disks_delay_decisions_but_do_not_prevent_them,
                       0, 3);
  tcase_add_loop_test (c, changes_at_all_keepers_are_answered, 0, 3);
  tcase_add_test (c, slow_disk_delivers_while_changes_follow_each_other);
  tcase_add_test (c, state_lost_with_a_connection_is_sent_again);
  tcase_add_loop_test (c, far_keepers_decide_in_turn, 3, 6);
  tcase_add_test (c, keeper_cut_off_one_way_delays_others_once);
  tcase_add_test (c, lost_packet_does_not_outdate_an_attempt);
  tcase_add_test (c, reads_do_not_wait_for_disks);
  tcase_add_test (c, a_minority_answers_no_read);
  tcase_add_test (c, reads_of_a_late_keeper_are_not_older);
  suite_add_tcase (s, c);
  return s;
}
