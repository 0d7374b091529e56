/* Tests of the bound on repeats that hosts keep by shares, for random loads.
   The check is the same for all: no window of the sum over all hosts exceeds
   the bound.  */
#include "suite.h"

#include "cleanup.h"
#include "lib_repeat_bound.h"
#include "random.h"

#include "repeat_budget.h"

enum
{
  HOSTS = 9,
  /* Hosts of one region, with the same load.  */
  GROUP = 3,
  RUN_MS = 60000,
  LONG_AGO_MS = -60000,
  STEP_MS = 10,
  /* Longest time from the decision to repeat to the arrival.  */
  ARRIVAL_MS = 150,
  SEEDS = 20
};

static const struct marjoram_repeat_limits limits = { 0.2, 58, 10000 };

struct host
{
  marjoram_repeat_budget *budget;
  double due; /* fractions of requests */
  int64_t restarts_at;
};

struct region
{
  double per_s;
  int64_t rate_until;
};

struct run
{
  struct host hosts[HOSTS];
  struct region regions[HOSTS / GROUP];
  bool fails;
  int64_t fails_until; /* or works until */
  marjoram_random *random;
  struct repeat_bound *bound;
  size_t hosts_known;
  bool restarts;
  int repeats;
};

static int64_t
random_ms (struct run *run, int64_t min, int64_t max)
{
  return min + marjoram_random_below (run->random, (uint32_t)(max - min + 1));
}

static void
change_rate (struct run *run, struct region *region, int64_t now)
{
  static const double rates[] = { 0, 0, 10, 60 };

  if (now < region->rate_until)
    return;
  region->per_s = rates[marjoram_random_below (run->random, 4)];
  region->rate_until = now + random_ms (run, 500, 12000);
}

static void
change_fault (struct run *run, int64_t now)
{
  if (now < run->fails_until)
    return;
  run->fails = !run->fails;
  run->fails_until = now + random_ms (run, 1000, 12000);
}

static void
restart (struct run *run, struct host *host, int64_t now)
{
  if (!run->restarts || now < host->restarts_at)
    return;
  if (host->restarts_at > 0)
    {
      marjoram_repeat_budget_destroy (host->budget);
      host->budget = marjoram_repeat_budget_create (&limits, now);
      marjoram_repeat_budget_set_hosts (host->budget, now, run->hosts_known);
    }
  host->restarts_at = now + random_ms (run, 1000, 15000);
}

/* Each request fails once while upstreams fail.  */
static void
send_requests (struct run *run, struct host *host, double per_s, int64_t now)
{
  host->due += per_s * STEP_MS / 1000;
  for (; host->due >= 1; host->due--)
    {
      repeat_bound_add_request (run->bound, now);
      marjoram_repeat_budget_add_request (host->budget, now, "lm");
      if (!run->fails
          || !marjoram_repeat_budget_take (host->budget, now, "lm"))
        continue;
      run->repeats++;
      repeat_bound_add_repeat (run->bound,
                               now + random_ms (run, 0, ARRIVAL_MS));
    }
}

static void
play (struct run *run, int64_t from, int64_t until)
{
  for (int64_t now = from; now < until; now += STEP_MS)
    {
      change_fault (run, now);
      for (int i = 0; i < HOSTS / GROUP; i++)
        change_rate (run, &run->regions[i], now);
      for (int i = 0; i < HOSTS; i++)
        {
          restart (run, &run->hosts[i], now);
          send_requests (run, &run->hosts[i], run->regions[i / GROUP].per_s,
                         now);
        }
    }
}

static struct run *
open_run (int seed)
{
  struct run *run = marjoram_alloc (sizeof *run);

  run->random = marjoram_random_create ((uint64_t)seed);
  run->bound = repeat_bound_create (&limits, RUN_MS);
  run->hosts_known = HOSTS;
  for (int i = 0; i < HOSTS; i++)
    {
      run->hosts[i].budget
          = marjoram_repeat_budget_create (&limits, LONG_AGO_MS);
      marjoram_repeat_budget_set_hosts (run->hosts[i].budget, LONG_AGO_MS,
                                        HOSTS);
    }
  return run;
}

static void
close_run (struct run *run)
{
  int64_t from;
  double excess = repeat_bound_excess (run->bound, &from);

  ck_assert_msg (excess <= 0, "%.1f repeats beyond the bound from %d ms",
                 excess, (int)from);
  ck_assert_int_gt (run->repeats, 200);
  for (int i = 0; i < HOSTS; i++)
    marjoram_repeat_budget_destroy (run->hosts[i].budget);
  marjoram_random_destroy (run->random);
  repeat_bound_destroy (run->bound);
  free (run);
}

/* Guards against hosts spending shares of requests that no single window
   holds.  */
START_TEST (loads_that_rise_and_fall_stay_within_the_bound)
{
  struct run *run = open_run (_i);

  play (run, 0, RUN_MS);
  close_run (run);
}
END_TEST

/* Guards against a restarted host spending its share a second time.  */
START_TEST (restarts_stay_within_the_bound)
{
  struct run *run = open_run (_i);

  run->restarts = true;
  play (run, 0, RUN_MS);
  close_run (run);
}
END_TEST

/* Guards against larger shares of the allowance when a host no longer knows of
   hosts that are cut off from it.  */
START_TEST (forgotten_hosts_keep_their_shares)
{
  struct run *run = open_run (_i);

  play (run, 0, RUN_MS / 2);
  run->hosts_known = HOSTS / 3;
  for (int i = 0; i < HOSTS; i++)
    marjoram_repeat_budget_set_hosts (run->hosts[i].budget, RUN_MS / 2,
                                      run->hosts_known);
  play (run, RUN_MS / 2, RUN_MS);
  close_run (run);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("repeat_shares");
  TCase *c = tcase_create ("repeat_shares");

  tcase_set_timeout (c, 60);
  tcase_add_loop_test (c, loads_that_rise_and_fall_stay_within_the_bound, 1,
                       SEEDS + 1);
  tcase_add_loop_test (c, restarts_stay_within_the_bound, 1, SEEDS + 1);
  tcase_add_loop_test (c, forgotten_hosts_keep_their_shares, 1, SEEDS + 1);
  suite_add_tcase (s, c);
  return s;
}
