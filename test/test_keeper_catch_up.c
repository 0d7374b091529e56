/* How long a keeper that starts with an empty disk takes to become a member,
   at the round trips, losses, write times and rates of changes that
   deployments may have.  SEEDS in the environment sets the number of seeds. */
#include "suite.h"

#include "cleanup.h"
#include "lib_keeper_net.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  SEEDS = 40,
  DECIMAL = 10,
  TIMEOUT_S = 600,
  SETTLE_MS = 8000,
  /* Times of a deployment: until a machine is back with an empty disk, until
     the successor of a lost machine starts, from a start until the keeper
     counts as back, and until a change is answered afterwards.  */
  DISK_BACK_MS = 3000,
  SUCCESSOR_MS = 1000,
  SPARE_SETTLE_MS = 3000,
  RECOVER_MS = 12000,
  CHANGE_LIMIT_MS = 6000,
  READ_LIMIT_MS = 2000,
  ADDED_KEEPERS = 3
};

struct site
{
  const char *name;
  struct keeper_net_options options;
  int64_t catch_up_ms;
  int routes; /* of the configuration */
};

/* Three keepers of which one may be lost, and six with five members of which
   two may be.  */
static const struct site sites[] = {
  { "one region, calm",
    { .keepers = 3, .spares = 3, .one_way_ms = 1, .write_ms = 5, .losses = 1 },
    4000,
    0 },
  { "regions, calm",
    { .keepers = 3,
      .spares = 3,
      .one_way_ms = 55,
      .write_ms = 5,
      .losses = 1 },
    4000,
    0 },
  { "regions, changes",
    { .keepers = 3,
      .spares = 3,
      .one_way_ms = 55,
      .write_ms = 5,
      .losses = 1,
      .change_every_ms = 330 },
    4000,
    0 },
  { "regions, losses",
    { .keepers = 3,
      .spares = 3,
      .one_way_ms = 55,
      .write_ms = 5,
      .losses = 1,
      .loss_per_mille = 40 },
    4000,
    0 },
  { "regions, losses, changes",
    { .keepers = 3,
      .spares = 3,
      .one_way_ms = 55,
      .write_ms = 15,
      .losses = 1,
      .loss_per_mille = 40,
      .change_every_ms = 330 },
    4000,
    0 },
  { "regions, slow disks, changes",
    { .keepers = 3,
      .spares = 3,
      .one_way_ms = 55,
      .write_ms = 60,
      .losses = 1,
      .change_every_ms = 330 },
    4000,
    0 },
  { "five members, losses, changes",
    { .keepers = 5,
      .spares = 2,
      .one_way_ms = 55,
      .write_ms = 5,
      .losses = 2,
      .loss_per_mille = 40,
      .change_every_ms = 330 },
    6000,
    0 },
  { "far regions, losses, changes, reads",
    { .keepers = 3,
      .spares = 3,
      .one_way_ms = 80,
      .write_ms = 5,
      .losses = 1,
      .loss_per_mille = 80,
      .change_every_ms = 330,
      .read_every_ms = 330 },
    4000,
    0 },
  { "five members in far regions, losses, changes, reads",
    { .keepers = 5,
      .spares = 2,
      .one_way_ms = 80,
      .write_ms = 5,
      .losses = 2,
      .loss_per_mille = 80,
      .change_every_ms = 330,
      .read_every_ms = 330 },
    6000,
    0 },
  { "large configuration, losses, changes",
    { .keepers = 3,
      .spares = 3,
      .one_way_ms = 55,
      .bytes_per_s = 2000000,
      .write_ms = 15,
      .losses = 1,
      .loss_per_mille = 40,
      .change_every_ms = 330 },
    4000,
    1400 },
};

static uint64_t
env_number (const char *name, uint64_t fallback)
{
  const char *text = getenv (name);

  return text ? strtoull (text, NULL, DECIMAL) : fallback;
}

/* Times to each step, of all starts of a test.  */
struct times
{
  size_t count;
  int64_t highest[MARJORAM_STORE_STEP_COUNT];
  int64_t sum[MARJORAM_STORE_STEP_COUNT];
  size_t late;
};

static void
add_times (struct times *times, const struct keeper_net *net, int index,
           int64_t limit_ms)
{
  int64_t member_ms = keeper_net_step_ms (net, index, MARJORAM_STORE_MEMBER);

  times->count++;
  times->late += member_ms < 0 || member_ms > limit_ms;
  for (int step = 0; step < MARJORAM_STORE_STEP_COUNT; step++)
    {
      int64_t ms
          = keeper_net_step_ms (net, index, (enum marjoram_store_step)step);

      if (ms < 0)
        ms = limit_ms;
      times->sum[step] += ms;
      if (ms > times->highest[step])
        times->highest[step] = ms;
    }
}

static void
print_times (const struct site *site, const struct times *times)
{
  printf ("%s: %zu starts, %zu late;", site->name, times->count, times->late);
  for (int step = MARJORAM_STORE_REACHED; step < MARJORAM_STORE_STEP_COUNT;
       step++)
    printf (" %s %lld ms, at most %lld;",
            marjoram_store_step_name ((enum marjoram_store_step)step),
            (long long)(times->sum[step] / (int64_t)times->count),
            (long long)times->highest[step]);
  printf ("\n");
  fflush (stdout);
}

/* Loses the disk of keeper INDEX, whose machine is back later.  */
static void
lose_disk (struct keeper_net *net, int index)
{
  keeper_net_stop (net, index);
  keeper_net_run (net, DISK_BACK_MS);
  keeper_net_start_empty (net, index);
}

/* Loses keeper INDEX for good; SUCCESSOR starts later.  */
static void
lose_machine (struct keeper_net *net, int index, int successor)
{
  keeper_net_stop (net, index);
  keeper_net_run (net, SUCCESSOR_MS);
  keeper_net_start_empty (net, successor);
}

/* Runs until the keeper counts as back, and notes its times.  */
static void
catch_up (struct keeper_net *net, const struct site *site, int index,
          struct times *times)
{
  keeper_net_run (net, site->catch_up_ms);
  add_times (times, net, index, site->catch_up_ms);
}

/* Checks that a change is accepted, and read back at the latest keeper.  */
static void
check_serves (struct keeper_net *net, const struct site *site, int latest)
{
  ck_assert_msg (keeper_net_change (net, latest, "y", RECOVER_MS) >= 0,
                 "%s: no change is accepted", site->name);
  ck_assert_msg (keeper_net_read (net, latest, READ_LIMIT_MS) >= 0,
                 "%s: the configuration is not read back", site->name);
  ck_assert_str_eq (
      marjoram_state_file (keeper_net_state (net, latest), "routes")->text,
      "y");
}

/* Two rounds of a lost disk and a lost machine, in either order.  */
static void
run_losses (const struct site *site, uint64_t seed, struct times *times)
{
  struct keeper_net_options options = site->options;
  marjoram_auto_free char *text = keeper_net_routes (site->routes, -1);
  struct keeper_net *net;
  int first = options.keepers;

  options.seed = seed;
  options.repair_within_ms = site->catch_up_ms;
  net = keeper_net_create (&options);
  keeper_net_run (net, SETTLE_MS);
  ck_assert_int_ge (keeper_net_change (net, 0, text, CHANGE_LIMIT_MS), 0);
  if (seed % 2)
    {
      lose_disk (net, (int)(seed / 2 % 2));
      catch_up (net, site, (int)(seed / 2 % 2), times);
      lose_machine (net, 2, first);
      catch_up (net, site, first, times);
    }
  else
    {
      lose_machine (net, (int)(seed / 2 % 2), first);
      catch_up (net, site, first, times);
      lose_disk (net, 2);
      catch_up (net, site, 2, times);
    }
  keeper_net_pause_changes (net, true);
  if (times->late == 0)
    check_serves (net, site, first);
  keeper_net_destroy (net);
}

/* Guards against a lost keeper whose successor is a member too late for the
   next loss.  */
START_TEST (a_lost_keeper_is_replaced_within_the_time_of_the_deployment)
{
  const struct site *site = &sites[_i];
  const uint64_t seeds = env_number ("SEEDS", SEEDS);
  struct times times = { 0 };

  for (uint64_t seed = 1; seed <= seeds; seed++)
    run_losses (site, seed, &times);
  ck_assert_uint_gt (times.count, 0);
  print_times (site, &times);
  ck_assert_msg (times.late == 0, "%zu of %zu keepers were members too late",
                 times.late, times.count);
}
END_TEST

/* Creates keepers that have settled, of which keeper 2 has ended and keeper 3
   started to take its place.  */
static struct keeper_net *
create_with_successor (const struct keeper_net_options *options)
{
  struct keeper_net *net = keeper_net_create (options);

  keeper_net_run (net, SETTLE_MS);
  keeper_net_stop (net, 2);
  keeper_net_start_empty (net, 3);
  keeper_net_run (net, SUCCESSOR_MS);
  return net;
}

/* Guards against a membership change that stays half done for seconds after
   its proposer ended: the others leave it the time of an attempt, then go on.
 */
START_TEST (a_change_of_a_lost_proposer_is_completed_at_once)
{
  static const struct keeper_net_options options
      = { .keepers = 5, .spares = 1, .one_way_ms = 55, .write_ms = 5 };
  const int64_t trip_ms = 2 * options.one_way_ms;
  const int64_t attempt_ms = 2 * trip_ms + 4 * options.write_ms;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct keeper_net_options seeded = options;
      struct keeper_net *net;

      seeded.seed = seed;
      net = keeper_net_create (&seeded);
      keeper_net_run (net, SETTLE_MS);
      keeper_net_stop (net, 4);
      keeper_net_start_empty (net, 5);
      keeper_net_run (net, SUCCESSOR_MS);
      keeper_net_replace (net, 0, 4, 5);
      while (keeper_net_state (net, 1)->next_members.count == 0)
        keeper_net_run (net, 1);
      keeper_net_stop (net, 0);
      /* The time left to the proposer, a tick, and two attempts.  */
      keeper_net_run (net, 3 * trip_ms + 200 + 3 * options.write_ms + 100
                               + 2 * attempt_ms);
      ck_assert_uint_eq (keeper_net_state (net, 1)->next_members.count, 0);
      keeper_net_destroy (net);
    }
}
END_TEST

/* Guards against a store that counts as a member, and would grant its part of
   the quotas, when it has accepted that but it is not decided.  */
START_TEST (a_store_is_no_member_before_that_is_decided)
{
  static const struct keeper_net_options options
      = { .keepers = 3, .spares = 1, .one_way_ms = 55, .write_ms = 5 };
  const int64_t trip_ms = 2 * options.one_way_ms;
  struct keeper_net *net = create_with_successor (&options);

  keeper_net_replace (net, 0, 2, 3);
  /* A greeting, and a promise of each member.  */
  keeper_net_run (net, 2 * trip_ms + 2 * options.write_ms);
  keeper_net_partition (net, 1, true);
  keeper_net_run (net, trip_ms);
  ck_assert_int_ge (keeper_net_step_ms (net, 3, MARJORAM_STORE_ASKED), 0);
  ck_assert_int_lt (keeper_net_step_ms (net, 3, MARJORAM_STORE_MEMBER), 0);
  keeper_net_partition (net, 1, false);
  keeper_net_run (net, SUCCESSOR_MS);
  ck_assert_int_ge (keeper_net_step_ms (net, 3, MARJORAM_STORE_MEMBER), 0);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against members that are added late, so that two losses at once take
   the majority.  */
START_TEST (members_are_added_within_the_time_of_the_deployment)
{
  const int64_t within_ms = 6000;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      const struct keeper_net_options options
          = { .keepers = 3,
              .spares = ADDED_KEEPERS,
              .one_way_ms = 55,
              .write_ms = 5,
              .losses = 2,
              .loss_per_mille = 40,
              .change_every_ms = 330,
              .repair_within_ms = within_ms,
              .seed = seed };
      struct keeper_net *net = keeper_net_create (&options);

      keeper_net_run (net, SETTLE_MS);
      for (int i = 0; i < ADDED_KEEPERS; i++)
        keeper_net_start_empty (net, 3 + i);
      keeper_net_run (net, within_ms);
      ck_assert_uint_eq (keeper_net_state (net, 0)->members.count, 5);
      ck_assert_uint_eq (keeper_net_state (net, 0)->next_members.count, 0);
      keeper_net_destroy (net);
    }
}
END_TEST

/* Whether a spare keeper, whose writes take WRITE_MS, becomes a member within
   a greeting, a turn of each keeper, two decisions and two writes, while a
   file is changed each EVERY_MS.  */
static bool
is_admitted_during_changes (int64_t every_ms, int64_t write_ms)
{
  const struct keeper_net_options options = { .keepers = 3,
                                              .spares = 1,
                                              .one_way_ms = 55,
                                              .write_ms = 5,
                                              .change_every_ms = every_ms };
  const int64_t trip_ms = 2 * options.one_way_ms;
  struct keeper_net *net = keeper_net_create (&options);
  bool admitted;

  keeper_net_run (net, SETTLE_MS);
  keeper_net_stop (net, 2);
  keeper_net_set_write_ms (net, 3, write_ms);
  keeper_net_start_empty (net, 3);
  keeper_net_run (net, SPARE_SETTLE_MS);
  ck_assert_int_ge (keeper_net_step_ms (net, 3, MARJORAM_STORE_LEARNT), 0);
  keeper_net_replace (net, 0, 2, 3);
  /* A round trip, and three for each turn and each decision.  */
  keeper_net_run (net, 16 * trip_ms + 2 * write_ms);
  admitted = keeper_net_step_ms (net, 3, MARJORAM_STORE_MEMBER) >= 0;
  keeper_net_destroy (net);
  return admitted;
}

/* Guards against a store that is not admitted while files change without
   end.  */
START_TEST (a_store_is_admitted_while_files_change_without_end)
{
  ck_assert (is_admitted_during_changes (40, 5));
}
END_TEST

/* Guards against a store that is not admitted as each change outdates the
   state that it is known to hold.  */
START_TEST (a_store_is_admitted_though_it_is_behind)
{
  ck_assert (is_admitted_during_changes (330, 600));
}
END_TEST

/* Guards against a membership change that waits for the changes of files of
   all other keepers: it is decided within two attempts, whatever the others
   do.  */
START_TEST (a_membership_change_does_not_wait_for_others)
{
  static const struct keeper_net_options options
      = { .keepers = 3, .spares = 1, .one_way_ms = 55, .write_ms = 5 };
  const int64_t trip_ms = 2 * options.one_way_ms;

  for (int64_t lead_ms = 0; lead_ms < 2 * trip_ms; lead_ms += 20)
    {
      struct keeper_net *net = create_with_successor (&options);

      keeper_net_begin_change (net, 1);
      keeper_net_run (net, lead_ms);
      keeper_net_replace (net, 0, 2, 3);
      /* A greeting, two attempts, and the message that tells the store.  */
      keeper_net_run (net, trip_ms + 4 * trip_ms + trip_ms / 2
                               + 10 * options.write_ms);
      ck_assert_int_ge (keeper_net_step_ms (net, 3, MARJORAM_STORE_MEMBER), 0);
      keeper_net_destroy (net);
    }
}
END_TEST

/* Guards against a membership change that waits for the changes of files that
   its own keeper got before.  */
START_TEST (a_membership_change_goes_before_files)
{
  static const struct keeper_net_options options
      = { .keepers = 3, .spares = 1, .one_way_ms = 55, .write_ms = 5 };
  const int64_t trip_ms = 2 * options.one_way_ms;
  struct keeper_net *net = create_with_successor (&options);

  /* Keeper 0 leaves its change until that of keeper 1 is decided.  */
  keeper_net_begin_change (net, 1);
  keeper_net_run (net, options.one_way_ms + 5);
  keeper_net_begin_change (net, 0);
  keeper_net_replace (net, 0, 2, 3);
  /* A greeting, two attempts, and the message that tells the store.  */
  keeper_net_run (net,
                  trip_ms + 4 * trip_ms + trip_ms / 2 + 10 * options.write_ms);
  ck_assert_int_ge (keeper_net_step_ms (net, 3, MARJORAM_STORE_MEMBER), 0);
  keeper_net_destroy (net);
}
END_TEST

/* Guards against a store that outdates its own admission by changes of
   files.  */
START_TEST (a_membership_change_wins_against_simultaneous_attempts)
{
  static const struct keeper_net_options options
      = { .keepers = 3, .spares = 1, .one_way_ms = 55, .write_ms = 5 };
  const int64_t trip_ms = 2 * options.one_way_ms;

  for (int64_t lead_ms = 0; lead_ms < 2 * trip_ms; lead_ms += 10)
    {
      struct keeper_net *net = keeper_net_create (&options);

      keeper_net_run (net, SETTLE_MS);
      keeper_net_stop (net, 2);
      /* Of two starts, the second has the higher incarnation.  */
      keeper_net_start_empty (net, 3);
      keeper_net_stop (net, 3);
      keeper_net_start_empty (net, 3);
      keeper_net_run (net, SUCCESSOR_MS);
      keeper_net_replace (net, 0, 2, 3);
      keeper_net_run (net, lead_ms);
      keeper_net_begin_change (net, 3);
      /* A greeting, two attempts, and the message that tells the store.  */
      keeper_net_run (net, trip_ms + 4 * trip_ms + trip_ms / 2
                               + 10 * options.write_ms - lead_ms);
      ck_assert_int_ge (keeper_net_step_ms (net, 3, MARJORAM_STORE_MEMBER), 0);
      keeper_net_destroy (net);
    }
}
END_TEST

/* Guards against an attempt that ends because a store that is no member, whose
   vote is not needed, has promised a ballot that no member knows of.  */
START_TEST (a_store_that_is_no_member_ends_no_attempt)
{
  static const struct keeper_net_options options
      = { .keepers = 3, .spares = 1, .one_way_ms = 55, .write_ms = 5 };
  struct keeper_net *net = keeper_net_create (&options);

  keeper_net_run (net, SETTLE_MS);
  keeper_net_start_empty (net, 3);
  keeper_net_run (net, SUCCESSOR_MS);
  keeper_net_stop (net, 3);
  keeper_net_start_empty (net, 3);
  keeper_net_run (net, SUCCESSOR_MS);
  ck_assert_int_ge (keeper_net_step_ms (net, 3, MARJORAM_STORE_LEARNT), 0);
  /* The store promises a ballot of its own, which reaches nobody before the
     ballot of keeper 0 is decided: that needs two round trips, and the writes
     of both phases.  */
  keeper_net_run (net, 30);
  keeper_net_begin_change (net, 0);
  keeper_net_run (net, 50);
  keeper_net_mute (net, 3, true);
  keeper_net_begin_change (net, 3);
  keeper_net_run (net, 1);
  keeper_net_mute (net, 3, false);
  keeper_net_run (net, 4 * options.one_way_ms + 4 * options.write_ms - 51);
  ck_assert_int_eq (keeper_net_changes_accepted (net), 1);
  keeper_net_destroy (net);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("keeper_catch_up");
  TCase *c = tcase_create ("keeper_catch_up");

  tcase_set_timeout (c, TIMEOUT_S);
  tcase_add_loop_test (
      c, a_lost_keeper_is_replaced_within_the_time_of_the_deployment, 0,
      sizeof sites / sizeof *sites);
  tcase_add_test (c, a_store_is_admitted_while_files_change_without_end);
  tcase_add_test (c, a_store_is_admitted_though_it_is_behind);
  tcase_add_test (c, a_membership_change_does_not_wait_for_others);
  tcase_add_test (c, a_store_that_is_no_member_ends_no_attempt);
  tcase_add_test (c, a_membership_change_goes_before_files);
  tcase_add_test (c, a_membership_change_wins_against_simultaneous_attempts);
  tcase_add_test (c, a_store_is_no_member_before_that_is_decided);
  tcase_add_test (c, members_are_added_within_the_time_of_the_deployment);
  tcase_add_test (c, a_change_of_a_lost_proposer_is_completed_at_once);
  suite_add_tcase (s, c);
  return s;
}
