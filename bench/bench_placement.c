/* Compares placement by the hosts with simple policies at four loads of four
   simulated engines: the percentage of long prompts answered in time, and the
   thousands of tokens of shared prompt parts that are prefilled again.  */
#include "lib_load.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  ENGINES = 4,
  HOSTS = 4,
  SESSIONS = 83,
  DURATION_MS = 60000,
  SEEDS = 5,
  THOUSAND = 1000,
  PERCENT = 100
};

static void
add_result (struct load_result *sum, const struct load_result *one)
{
  sum->asked += one->asked;
  sum->in_time += one->in_time;
  sum->refused += one->refused;
  sum->prefilled_again += one->prefilled_again;
}

static struct load_result
run_seeds (enum load_policy policy, double reviews_per_s, double chats_per_s)
{
  struct load_result sum = { 0 };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      const struct load_terms terms = {
        .policy = policy,
        .seed = seed,
        .engines = ENGINES,
        .hosts = HOSTS,
        .reviews_per_s = reviews_per_s,
        .chats_per_s = chats_per_s,
        .sessions = SESSIONS,
        .span_ms = DURATION_MS,
      };
      struct load_result one;

      load_run (&terms, &one);
      add_result (&sum, &one);
    }
  return sum;
}

static double
percentage (int64_t part, int64_t whole)
{
  return PERCENT * (double)part / (double)whole;
}

static void
compare (double reviews_per_s, double chats_per_s)
{
  struct load_result placed
      = run_seeds (LOAD_PLACED_COPYING, reviews_per_s, chats_per_s);

  for (int policy = 0; policy < LOAD_PLACED_COPYING; policy++)
    {
      struct load_result baseline
          = run_seeds ((enum load_policy)policy, reviews_per_s, chats_per_s);

      printf ("metric=placement_in_time_%.0f_reviews value=%.1f unit=%% "
              "baseline=%.1f baseline_name=%s\n",
              reviews_per_s, percentage (placed.in_time, placed.asked),
              percentage (baseline.in_time, baseline.asked),
              load_policy_name ((enum load_policy)policy));
      printf ("metric=placement_read_again_%.0f_reviews value=%" PRId64
              " unit=ktokens baseline=%" PRId64 " baseline_name=%s\n",
              reviews_per_s, placed.prefilled_again / THOUSAND,
              baseline.prefilled_again / THOUSAND,
              load_policy_name ((enum load_policy)policy));
    }
}

int
main (void)
{
  compare (8, 16);
  compare (14, 24);
  compare (20, 30);
  compare (25, 35);
  return EXIT_SUCCESS;
}
