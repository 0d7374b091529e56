/* Consensus among keepers under seeded fault schedules.  SEEDS and FIRST_SEED
   in the environment set the number of seeds and the first one; a soak run
   uses SEEDS=200000.  */
#include "suite.h"

#include "lib_keepers.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  SEEDS = 2000,
  READ_SEEDS = 300,
  LARGE_SEEDS = 300,
  DECIMAL = 10,
  TIMEOUT_S = 7200
};

static uint64_t
env_number (const char *name, uint64_t fallback)
{
  const char *text = getenv (name);

  return text ? strtoull (text, NULL, DECIMAL) : fallback;
}

static void
add_counts (struct sim_counts *sum, const struct sim_counts *counts)
{
  uint64_t *to = (uint64_t *)sum;
  const uint64_t *from = (const uint64_t *)counts;

  for (size_t i = 0; i < sizeof *sum / sizeof *to; i++)
    to[i] += from[i];
}

static void
print_counts (uint64_t seeds, const struct sim_counts *sum)
{
  printf (
      "%llu seeds: %llu accepted, %llu refused, %llu not run, "
      "%llu unknown, %llu resent; %llu crashes, %llu during a write, "
      "%llu freezes, %llu partitions, %llu lost disks, "
      "%llu restored older disks, "
      "%llu repairs\n",
      (unsigned long long)seeds, (unsigned long long)sum->accepted,
      (unsigned long long)sum->refused, (unsigned long long)sum->not_run,
      (unsigned long long)sum->unknown, (unsigned long long)sum->resent,
      (unsigned long long)sum->crashes, (unsigned long long)sum->torn,
      (unsigned long long)sum->freezes, (unsigned long long)sum->partitions,
      (unsigned long long)sum->lost_disks,
      (unsigned long long)sum->older_disks, (unsigned long long)sum->repairs);
}

/* Regression seeds: soak runs failed on these.  */
static const uint64_t regression_seeds[] = { 13894, 143387, 213326, 229332 };

static int
run_seed (uint64_t seed, struct sim_counts *sum)
{
  struct sim *sim = sim_create (seed);
  bool failed;

  sim_run (sim);
  failed = sim_violation (sim)[0];
  if (failed)
    {
      printf ("seed %llu: %s\n", (unsigned long long)seed,
              sim_violation (sim));
      fflush (stdout);
    }
  add_counts (sum, sim_counts (sim));
  sim_destroy (sim);
  return failed;
}

/* Guards against lost accepted changes, refused changes that appear, reads
   that go back, and no progress after recovery, under crashes, torn writes,
   freezes, partitions, lost disks and restored older disks.  */
START_TEST (holds_under_faults)
{
  uint64_t first = env_number ("FIRST_SEED", 1);
  uint64_t count = env_number ("SEEDS", SEEDS);
  struct sim_counts sum = { 0 };
  int failed = 0;

  for (size_t i = 0; i < sizeof regression_seeds / sizeof *regression_seeds;
       i++)
    failed += run_seed (regression_seeds[i], &sum);
  for (uint64_t seed = first; seed < first + count; seed++)
    failed += run_seed (seed, &sum);
  print_counts (count, &sum);
  ck_assert_msg (failed == 0, "%d of %llu seeds failed", failed,
                 (unsigned long long)count);
  if (count < SEEDS)
    return;
  ck_assert (sum.accepted > count && sum.refused > count);
  ck_assert (sum.torn > 0 && sum.unknown > 0 && sum.not_run > 0);
  ck_assert (sum.older_disks > 0 && sum.repairs > count / 10);
}
END_TEST

/* Guards against stale reads: a confirmed read must include everything
   acknowledged before it was requested, also at a partitioned keeper.  */
START_TEST (confirmed_reads_are_not_older_than_what_was_answered)
{
  struct sim_counts sum = { 0 };
  uint64_t count = env_number ("READ_SEEDS", READ_SEEDS);

  for (uint64_t seed = 1; seed <= count; seed++)
    {
      struct sim *sim = sim_create (seed);

      sim_enable_reads (sim);
      sim_run (sim);
      ck_assert_msg (!sim_violation (sim)[0], "seed %llu: %s",
                     (unsigned long long)seed, sim_violation (sim));
      add_counts (&sum, sim_counts (sim));
      sim_destroy (sim);
    }
  printf ("%llu reads confirmed, %llu not\n", (unsigned long long)sum.reads,
          (unsigned long long)sum.unconfirmed_reads);
  ck_assert (sum.reads > 10 * count && sum.unconfirmed_reads > count);
}
END_TEST

/* Guards against decoding to the wrong value: large values are sent
   compressed, as differences and as references, under all faults above.  */
START_TEST (large_values_hold_under_faults)
{
  struct sim_counts sum = { 0 };
  uint64_t count = env_number ("LARGE_SEEDS", LARGE_SEEDS);
  int failed = 0;

  for (uint64_t seed = 1; seed <= count; seed++)
    {
      struct sim *sim = sim_create (seed);

      sim_use_large_texts (sim);
      sim_run (sim);
      if (sim_violation (sim)[0])
        {
          printf ("large, seed %llu: %s\n", (unsigned long long)seed,
                  sim_violation (sim));
          failed++;
        }
      add_counts (&sum, sim_counts (sim));
      sim_destroy (sim);
    }
  printf ("large values: %llu plain, %llu compressed, %llu as a difference, "
          "%llu as a reference\n",
          (unsigned long long)sum.encodings[0],
          (unsigned long long)sum.encodings[1],
          (unsigned long long)sum.encodings[2],
          (unsigned long long)sum.encodings[3]);
  ck_assert_int_eq (failed, 0);
  for (int i = 1; i < SIM_ENCODINGS; i++)
    ck_assert_uint_gt (sum.encodings[i], count);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("keeper");
  TCase *c = tcase_create ("keeper");

  tcase_set_timeout (c, TIMEOUT_S);
  tcase_add_test (c, holds_under_faults);
  tcase_add_test (c, large_values_hold_under_faults);
  tcase_add_test (c, confirmed_reads_are_not_older_than_what_was_answered);
  suite_add_tcase (s, c);
  return s;
}
