/* Tests of the repeat budget.  */
#include "suite.h"

#include "cleanup.h"

#include "repeat_budget.h"

enum
{
  HOSTS = 9,
  WINDOW_MS = 10000,
  LONG_AGO_MS = -60000
};

static const struct marjoram_repeat_limits terms = { 0.2, 58, WINDOW_MS };

static marjoram_repeat_budget *
create_budget (size_t hosts)
{
  marjoram_repeat_budget *budget
      = marjoram_repeat_budget_create (&terms, LONG_AGO_MS);

  marjoram_repeat_budget_set_hosts (budget, LONG_AGO_MS, hosts);
  return budget;
}

/* Guards against exceeding the total bound in any window when hosts without
   contact repeat every request.  */
START_TEST (sum_of_all_hosts_stays_within_the_bound)
{
  static int64_t at[HOSTS * 100000];
  size_t taken = 0;
  marjoram_repeat_budget *budgets[HOSTS];
  int64_t requests = 0;

  for (int i = 0; i < HOSTS; i++)
    budgets[i] = create_budget (HOSTS);
  for (int64_t now = 0; now < 60000; now += 10)
    for (int i = 0; i < HOSTS; i++)
      {
        /* Eleven requests per second and host.  */
        if ((now / 10 + i) % 9 != 0)
          continue;
        marjoram_repeat_budget_add_request (budgets[i], now, "lm");
        requests++;
        if (marjoram_repeat_budget_take (budgets[i], now, "lm"))
          at[taken++] = now;
      }
  for (size_t first = 0, last = 0; last < taken; last++)
    {
      double bound = 0.2 * (double)requests / 6 + 58;

      while (at[last] - at[first] >= WINDOW_MS)
        first++;
      ck_assert_msg ((double)(last - first + 1) <= bound,
                     "%zu repeats in one window, allowed %g", last - first + 1,
                     bound);
    }
  ck_assert_uint_gt (taken, 1200);
  for (int i = 0; i < HOSTS; i++)
    marjoram_repeat_budget_destroy (budgets[i]);
}
END_TEST

enum
{
  MOVING_HOSTS = 80,
  /* Requests per second of the half of the hosts in use.  */
  MOVING_RATE = 1000,
  MOVES_AT_MS = 13000,
  FAILS_AT_MS = 8000,
  RUN_MS = 24000,
  STEP_MS = 10
};

/* Counts per STEP_MS, summed over the hosts.  */
struct load_shift
{
  marjoram_repeat_budget *budgets[MOVING_HOSTS];
  int requests[RUN_MS / STEP_MS];
  int repeats[RUN_MS / STEP_MS];
};

static void
simulate_request (struct load_shift *shift, int64_t now, int number)
{
  int half = now < MOVES_AT_MS ? 0 : MOVING_HOSTS / 2;
  int host = half + number % (MOVING_HOSTS / 2);
  bool fails = now >= FAILS_AT_MS && number / MOVING_HOSTS % 2 == 0;
  marjoram_repeat_budget *budget = shift->budgets[host];

  marjoram_repeat_budget_add_request (budget, now, "lm");
  shift->requests[now / STEP_MS]++;
  if (fails && marjoram_repeat_budget_take (budget, now, "lm"))
    shift->repeats[now / STEP_MS]++;
}

static void
simulate_load_shift (struct load_shift *shift)
{
  int next = 0;

  for (int64_t now = 0; now < RUN_MS; now += STEP_MS)
    for (int i = 0; i < MOVING_RATE * STEP_MS / 1000; i++)
      simulate_request (shift, now, next++);
}

static int
count_window (const int *counts, int64_t from_ms)
{
  int sum = 0;

  for (int64_t at = from_ms; at < from_ms + WINDOW_MS; at += STEP_MS)
    sum += at >= 0 && at < RUN_MS ? counts[at / STEP_MS] : 0;
  return sum;
}

/* Guards against exceeding the bound when load moves to other hosts, as both
   groups may spend their shares in one window.  */
START_TEST (load_that_moves_between_hosts_stays_within_the_bound)
{
  struct load_shift *shift = marjoram_alloc (sizeof *shift);

  for (int i = 0; i < MOVING_HOSTS; i++)
    shift->budgets[i] = create_budget (MOVING_HOSTS);
  simulate_load_shift (shift);
  for (int64_t from = 0; from + WINDOW_MS <= RUN_MS; from += STEP_MS)
    {
      int repeats = count_window (shift->repeats, from);
      double bound = terms.ratio * count_window (shift->requests, from)
                     + terms.allowance;

      ck_assert_msg (repeats <= bound, "%d repeats from %d ms, allowed %g",
                     repeats, (int)from, bound);
    }
  ck_assert_int_gt (count_window (shift->repeats, FAILS_AT_MS), 1700);
  for (int i = 0; i < MOVING_HOSTS; i++)
    marjoram_repeat_budget_destroy (shift->budgets[i]);
  free (shift);
}
END_TEST

START_TEST (services_have_separate_budgets)
{
  marjoram_repeat_budget *budget
      = marjoram_repeat_budget_create (&terms, LONG_AGO_MS);
  int taken = 0;

  while (marjoram_repeat_budget_take (budget, 0, "lm"))
    taken++;
  ck_assert_int_eq (taken, 58);
  ck_assert (marjoram_repeat_budget_take (budget, 0, "app"));
  ck_assert (!marjoram_repeat_budget_take (budget, 9000, "lm"));
  ck_assert (marjoram_repeat_budget_take (budget, 12000, "lm"));
  marjoram_repeat_budget_destroy (budget);
}
END_TEST

static int
take_all (marjoram_repeat_budget *budget, int64_t now)
{
  int taken = 0;

  while (marjoram_repeat_budget_take (budget, now, "lm"))
    taken++;
  return taken;
}

/* Guards against a restarted host spending the allowance again.  */
START_TEST (allowance_applies_one_window_after_the_start)
{
  marjoram_repeat_budget *budget = marjoram_repeat_budget_create (&terms, 0);

  ck_assert_int_eq (take_all (budget, 0), 0);
  for (int i = 0; i < 100; i++)
    marjoram_repeat_budget_add_request (budget, 1000, "lm");
  ck_assert_int_eq (take_all (budget, 1000), 10);
  ck_assert_int_eq (take_all (budget, WINDOW_MS), 0);
  ck_assert_int_eq (take_all (budget, 21000), 58);
  marjoram_repeat_budget_destroy (budget);
}
END_TEST

/* Guards against larger shares when hosts that are cut off are dropped from
   the list.  */
START_TEST (share_of_dropped_hosts_is_kept_for_an_hour)
{
  const int64_t hour_ms = 3600000;
  marjoram_repeat_budget *budget = create_budget (9);

  marjoram_repeat_budget_set_hosts (budget, 0, 9);
  marjoram_repeat_budget_set_hosts (budget, 70000, 1);
  ck_assert_int_eq (take_all (budget, 70000), 6);
  marjoram_repeat_budget_set_hosts (budget, 80000, 29);
  marjoram_repeat_budget_set_hosts (budget, 80000, 1);
  ck_assert_int_eq (take_all (budget, 100000), 2);
  marjoram_repeat_budget_set_hosts (budget, 80000 + hour_ms, 1);
  ck_assert_int_eq (take_all (budget, 100000 + hour_ms), 58);
  marjoram_repeat_budget_destroy (budget);
}
END_TEST

/* Guards against counts of one step length being read as of another.  */
START_TEST (new_window_length_starts_anew)
{
  marjoram_repeat_budget *budget
      = marjoram_repeat_budget_create (&terms, LONG_AGO_MS);
  struct marjoram_repeat_limits longer = terms;

  longer.window_ms *= 2;
  marjoram_repeat_budget_set (budget, 0, &terms);
  ck_assert_int_eq (take_all (budget, 0), 58);
  marjoram_repeat_budget_set (budget, 100, &longer);
  ck_assert_int_eq (take_all (budget, 20000), 0);
  ck_assert_int_eq (take_all (budget, 30000), 58);
  marjoram_repeat_budget_destroy (budget);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("repeat_budget");
  TCase *c = tcase_create ("repeat_budget");

  tcase_add_test (c, sum_of_all_hosts_stays_within_the_bound);
  tcase_add_test (c, load_that_moves_between_hosts_stays_within_the_bound);
  tcase_add_test (c, services_have_separate_budgets);
  tcase_add_test (c, allowance_applies_one_window_after_the_start);
  tcase_add_test (c, share_of_dropped_hosts_is_kept_for_an_hour);
  tcase_add_test (c, new_window_length_starts_anew);
  suite_add_tcase (s, c);
  return s;
}
