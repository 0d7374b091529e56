/* Attempts of several keepers at once: what they leave one another, so that a
   membership change is decided in time.  */
#include "suite.h"

#include "lib_keeper_net.h"

enum
{
  ONE_WAY_MS = 55,
  TRIP_MS = 2 * ONE_WAY_MS,
  WRITE_MS = 5,
  /* Two round trips, and a write in each phase.  */
  ATTEMPT_MS = 2 * (TRIP_MS + WRITE_MS),
  /* A greeting, an attempt, a round trip with a write for the second value,
     and the message that tells the store.  */
  ADMISSION_MS
  = TRIP_MS + ATTEMPT_MS + (TRIP_MS + WRITE_MS) + ONE_WAY_MS + 2 * WRITE_MS,
  /* What a keeper leaves another's attempt after a message of it.  */
  PAUSE_MS = 3 * TRIP_MS + 200 + 3 * WRITE_MS,
  TICK_MS = 100,
  ADMITTED_WITHIN_MS = 4000,
  SETTLE_MS = 8000,
  LEARN_MS = 1000,
  STEP_MS = 10,
  /* How much later than another request one comes, at most.  */
  LEAD_MS = 2 * TRIP_MS,
  LONG_LEAD_MS = 5 * TRIP_MS,
  WAIT_LIMIT_MS = 30000
};

static struct keeper_net *
create_settled (void)
{
  static const struct keeper_net_options options
      = { .keepers = 3,
          .spares = 1,
          .one_way_ms = ONE_WAY_MS,
          .write_ms = WRITE_MS,
          .repair_within_ms = ADMITTED_WITHIN_MS };
  struct keeper_net *net = keeper_net_create (&options);

  keeper_net_run (net, SETTLE_MS);
  return net;
}

/* Ends keeper 2, and starts keeper 3 to take its place.  */
static struct keeper_net *
create_with_successor (void)
{
  struct keeper_net *net = create_settled ();

  keeper_net_stop (net, 2);
  keeper_net_start_empty (net, 3);
  keeper_net_run (net, LEARN_MS);
  ck_assert_int_ge (keeper_net_step_ms (net, 3, MARJORAM_STORE_LEARNT), 0);
  return net;
}

static int
count_attempts (const struct keeper_net *net)
{
  int count = 0;

  for (int end = 0; end < MARJORAM_BALLOT_END_COUNT; end++)
    count += keeper_net_ballots (net, (enum marjoram_ballot_end)end);
  return count;
}

static void
check_member (const struct keeper_net *net, int64_t lead_ms)
{
  ck_assert_msg (keeper_net_step_ms (net, 3, MARJORAM_STORE_MEMBER) >= 0,
                 "lead of %lld ms: keeper 3 is no member yet",
                 (long long)lead_ms);
}

/* Guards against an attempt for which others stop waiting because a lower
   ballot is chosen meanwhile.  */
START_TEST (a_lower_ballot_that_is_chosen_ends_no_other_attempt)
{
  for (int64_t lead_ms = 0; lead_ms < LEAD_MS; lead_ms += STEP_MS)
    {
      struct keeper_net *net = create_settled ();

      keeper_net_start_empty (net, 3);
      keeper_net_run (net, LEARN_MS);
      keeper_net_begin_change (net, 1);
      keeper_net_run (net, ONE_WAY_MS + STEP_MS);
      keeper_net_begin_change (net, 2);
      keeper_net_run (net, lead_ms);
      keeper_net_replace (net, 0, 2, 3);
      keeper_net_run (net, ADMISSION_MS);
      check_member (net, lead_ms);
      keeper_net_destroy (net);
    }
}
END_TEST

/* Guards against members that ask for the same change one after the other and
   outdate one another's attempts, also between the two values of the
   change.  */
START_TEST (a_membership_change_ends_no_other)
{
  for (int64_t lead_ms = ONE_WAY_MS + WRITE_MS; lead_ms < LONG_LEAD_MS;
       lead_ms += STEP_MS)
    {
      struct keeper_net *net = create_with_successor ();
      int outdated = keeper_net_ballots (net, MARJORAM_BALLOT_OUTDATED);

      keeper_net_replace (net, 0, 2, 3);
      keeper_net_run (net, lead_ms);
      keeper_net_replace (net, 1, 2, 3);
      keeper_net_run (net, ADMISSION_MS);
      check_member (net, lead_ms);
      ck_assert_int_eq (keeper_net_ballots (net, MARJORAM_BALLOT_OUTDATED),
                        outdated);
      keeper_net_destroy (net);
    }
}
END_TEST

/* Guards against a store that outdates others' attempts because it is asked to
   read before it has learnt the state.  */
START_TEST (an_empty_store_reads_without_a_ballot)
{
  struct keeper_net *net = create_settled ();
  int attempts;

  keeper_net_start_empty (net, 3);
  attempts = count_attempts (net);
  ck_assert_int_ge (keeper_net_read (net, 3, WAIT_LIMIT_MS), 0);
  keeper_net_run (net, LEARN_MS);
  ck_assert_int_eq (count_attempts (net), attempts);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against keepers that leave a rival more and more time because packets
   were lost before.  */
START_TEST (slow_answers_do_not_lengthen_the_time_left_to_a_rival)
{
  const int64_t stall_ms = 400;
  const int samples = 4;
  struct keeper_net *net = create_settled ();

  for (int i = 0; i < samples; i++)
    {
      keeper_net_greet (net, 0);
      keeper_net_run (net, ONE_WAY_MS);
      keeper_net_stall (net, 0, true);
      keeper_net_run (net, stall_ms);
      keeper_net_stall (net, 0, false);
      keeper_net_run (net, TRIP_MS);
    }
  keeper_net_begin_change (net, 1);
  keeper_net_run (net, ONE_WAY_MS + 1);
  keeper_net_stop (net, 1);
  keeper_net_begin_change (net, 0);
  keeper_net_run (net, PAUSE_MS + TICK_MS + ATTEMPT_MS + WRITE_MS);
  ck_assert_int_eq (keeper_net_changes_accepted (net), 1);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against keepers that wait for a rival whose attempt has ended without
   a value.  */
START_TEST (an_attempt_without_a_value_delays_others_only_while_it_lasts)
{
  for (int64_t lead_ms = 0; lead_ms < LEARN_MS; lead_ms += TICK_MS / 2)
    {
      struct keeper_net *net = create_settled ();
      int64_t elapsed_ms;

      /* The read needs a ballot in the end, as its confirmation is lost.  */
      keeper_net_mute (net, 1, true);
      keeper_net_begin_read (net, 1);
      keeper_net_run (net, PAUSE_MS + TICK_MS);
      keeper_net_mute (net, 1, false);
      keeper_net_run (net, lead_ms);
      elapsed_ms = keeper_net_change (net, 0, "x", WAIT_LIMIT_MS);
      ck_assert_int_ge (elapsed_ms, 0);
      ck_assert_msg (elapsed_ms <= 2 * ATTEMPT_MS + TICK_MS,
                     "lead of %lld ms: answered after %lld ms",
                     (long long)lead_ms, (long long)elapsed_ms);
      keeper_net_destroy (net);
    }
}
END_TEST

/* Guards against a store that outdates its own admission by changes of files:
   it leaves ballots to the members, but not for ever.  */
START_TEST (a_new_store_leaves_ballots_to_the_members)
{
  struct keeper_net *net = create_with_successor ();
  int attempts = count_attempts (net);

  keeper_net_begin_change (net, 3);
  keeper_net_run (net, PAUSE_MS);
  ck_assert_int_eq (count_attempts (net), attempts);
  ck_assert_int_eq (keeper_net_changes_accepted (net), 0);
  keeper_net_run (net, ADMITTED_WITHIN_MS);
  ck_assert_int_eq (keeper_net_changes_accepted (net), 1);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against a change of files that its keeper begins while it waits for
   the answer of the store that is to be a member.  */
START_TEST (files_wait_for_the_answer_of_a_new_store)
{
  const int64_t late_ms = 20;
  struct keeper_net *net = create_with_successor ();

  keeper_net_replace (net, 0, 2, 3);
  keeper_net_begin_change (net, 0);
  keeper_net_run (net, ONE_WAY_MS - 1);
  keeper_net_stall (net, 3, true);
  keeper_net_run (net, late_ms + 1);
  keeper_net_stall (net, 3, false);
  keeper_net_run (net, ADMISSION_MS - ONE_WAY_MS);
  check_member (net, 0);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against a membership change whose second value asks the members to
   promise its ballot once more.  */
START_TEST (the_second_value_of_a_change_takes_one_round_trip)
{
  struct keeper_net *net = create_with_successor ();

  keeper_net_replace (net, 0, 2, 3);
  keeper_net_run (net, ADMISSION_MS);
  check_member (net, 0);
  keeper_net_destroy (net);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("keeper_rivals");
  TCase *c = tcase_create ("keeper_rivals");

  tcase_add_test (c, a_lower_ballot_that_is_chosen_ends_no_other_attempt);
  tcase_add_test (c, a_membership_change_ends_no_other);
  tcase_add_test (c, an_empty_store_reads_without_a_ballot);
  tcase_add_test (c, slow_answers_do_not_lengthen_the_time_left_to_a_rival);
  tcase_add_test (
      c, an_attempt_without_a_value_delays_others_only_while_it_lasts);
  tcase_add_test (c, a_new_store_leaves_ballots_to_the_members);
  tcase_add_test (c, files_wait_for_the_answer_of_a_new_store);
  tcase_add_test (c, the_second_value_of_a_change_takes_one_round_trip);
  suite_add_tcase (s, c);
  return s;
}
