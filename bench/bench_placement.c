/* Share of requests with long prompts that are served in time, placed by the
   hosts or by baseline policies, at four loads of four simulated engines, and
   thousands of shared prefix tokens that the engines recomputed.  */
#include "lib_load.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  ENGINES = 4,
  HOSTS = 4,
  SESSIONS = 83,
  SPAN_MS = 60000,
  SEEDS = 5,
  THOUSAND = 1000,
  PERCENT = 100
};

static void
add (struct load_result *sum, const struct load_result *one)
{
  sum->asked += one->asked;
  sum->in_time += one->in_time;
  sum->refused += one->refused;
  sum->read_again += one->read_again;
}

static struct load_result
run_all_seeds (enum load_policy way, double reviews_per_s, double chats_per_s)
{
  struct load_result sum = { 0 };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      const struct load_terms terms = {
        .way = way,
        .seed = seed,
        .engines = ENGINES,
        .hosts = HOSTS,
        .reviews_per_s = reviews_per_s,
        .chats_per_s = chats_per_s,
        .sessions = SESSIONS,
        .span_ms = SPAN_MS,
      };
      struct load_result one;

      load_run (&terms, &one);
      add (&sum, &one);
    }
  return sum;
}

static double
share (int64_t part, int64_t whole)
{
  return PERCENT * (double)part / (double)whole;
}

static void
compare (double reviews_per_s, double chats_per_s)
{
  struct load_result ours
      = run_all_seeds (LOAD_PLACED_COPYING, reviews_per_s, chats_per_s);

  for (int way = 0; way < LOAD_PLACED_COPYING; way++)
    {
      struct load_result theirs
          = run_all_seeds ((enum load_policy)way, reviews_per_s, chats_per_s);

      printf ("metric=placement_in_time_%.0f_reviews value=%.1f unit=%% "
              "baseline=%.1f baseline_name=%s\n",
              reviews_per_s, share (ours.in_time, ours.asked),
              share (theirs.in_time, theirs.asked),
              load_policy_name ((enum load_policy)way));
      printf ("metric=placement_read_again_%.0f_reviews value=%" PRId64
              " unit=ktokens baseline=%" PRId64 " baseline_name=%s\n",
              reviews_per_s, ours.read_again / THOUSAND,
              theirs.read_again / THOUSAND,
              load_policy_name ((enum load_policy)way));
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
