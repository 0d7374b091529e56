/* Tests of the repeat budget.  */
#include "suite.h"

#include "cleanup.h"

#include "repeat_budget.h"
#include "repeat_sums.h"

#include <stdio.h>

enum
{
  HOSTS = 9,
  WINDOW_MS = 10000
};

static const struct marjoram_repeat_limits terms = { 0.2, 58, WINDOW_MS };

/* Guards against exceeding the total bound in any window when hosts without
   contact repeat every request.  */
START_TEST (sum_of_all_hosts_stays_within_the_bound)
{
  static int64_t at[HOSTS * 100000];
  size_t taken = 0;
  marjoram_repeat_budget *budgets[HOSTS];
  int64_t requests = 0;

  for (int i = 0; i < HOSTS; i++)
    budgets[i] = marjoram_repeat_budget_create (&terms);
  for (int64_t now = 0; now < 60000; now += 10)
    for (int i = 0; i < HOSTS; i++)
      {
        /* Eleven requests per second and host.  */
        if ((now / 10 + i) % 9 != 0)
          continue;
        marjoram_repeat_budget_add_request (budgets[i], now, "lm");
        requests++;
        if (marjoram_repeat_budget_take (budgets[i], now, "lm", HOSTS))
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
  STEP_MS = 10,
  BEAT_MS = 300
};

/* Counts per STEP_MS, summed over the hosts.  */
struct load_shift
{
  marjoram_repeat_budget *budgets[MOVING_HOSTS];
  marjoram_repeat_sums_list *keeper;
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
  if (fails && marjoram_repeat_budget_take (budget, now, "lm", MOVING_HOSTS))
    shift->repeats[now / STEP_MS]++;
}

static void
simulate_heartbeat (struct load_shift *shift, int64_t now, int host)
{
  struct marjoram_repeat_use uses[MARJORAM_REPEAT_USES_MAX];
  struct marjoram_repeat_use answered[MARJORAM_REPEAT_USES_MAX];
  struct marjoram_array reported = { uses, 0 };
  struct marjoram_repeat_sums sums = { 0, { answered, 0 } };
  char name[16];

  reported.count = marjoram_repeat_budget_report (
      shift->budgets[host], now, uses, MARJORAM_REPEAT_USES_MAX);
  snprintf (name, sizeof name, "h-%d", host);
  marjoram_repeat_sums_list_update (shift->keeper, now, name, &reported);
  marjoram_repeat_sums_list_query (shift->keeper, &reported, &sums);
  marjoram_repeat_budget_apply_sums (shift->budgets[host], now, &sums);
}

static void
simulate_load_shift (struct load_shift *shift)
{
  int next = 0;

  for (int64_t now = 0; now < RUN_MS; now += STEP_MS)
    {
      for (int i = 0; i < MOVING_RATE * STEP_MS / 1000; i++)
        simulate_request (shift, now, next++);
      for (int i = 0; i < MOVING_HOSTS; i++)
        if ((now / STEP_MS + i) % (BEAT_MS / STEP_MS) == 0)
          simulate_heartbeat (shift, now, i);
    }
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

  shift->keeper = marjoram_repeat_sums_list_create ();
  for (int i = 0; i < MOVING_HOSTS; i++)
    shift->budgets[i] = marjoram_repeat_budget_create (&terms);
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
  marjoram_repeat_sums_list_destroy (shift->keeper);
  free (shift);
}
END_TEST

/* Guards against a host being limited by sums that have expired.  */
START_TEST (expired_sums_do_not_bind)
{
  marjoram_repeat_budget *budget = marjoram_repeat_budget_create (&terms);
  struct marjoram_repeat_use full = { (char *)"lm", 0, 1000, false };
  const struct marjoram_repeat_sums sums = { 1, { &full, 1 } };

  ck_assert (marjoram_repeat_budget_take (budget, 0, "lm", 1));
  marjoram_repeat_budget_apply_sums (budget, 100, &sums);
  ck_assert (!marjoram_repeat_budget_take (budget, 200, "lm", 1));
  ck_assert (marjoram_repeat_budget_take (budget, 1200, "lm", 1));
  marjoram_repeat_budget_destroy (budget);
}
END_TEST

START_TEST (sums_follow_reports_and_expire)
{
  marjoram_repeat_sums_list *list = marjoram_repeat_sums_list_create ();
  struct marjoram_repeat_use first = { (char *)"lm", 10, 4, true };
  struct marjoram_repeat_use second = { (char *)"lm", 20, 5, false };
  struct marjoram_repeat_use answered[MARJORAM_REPEAT_USES_MAX];
  struct marjoram_repeat_sums sums = { 0, { answered, 0 } };
  struct marjoram_array a = { &first, 1 };
  struct marjoram_array b = { &second, 1 };

  marjoram_repeat_sums_list_update (list, 0, "a", &a);
  marjoram_repeat_sums_list_update (list, 0, "b", &b);
  marjoram_repeat_sums_list_query (list, &b, &sums);
  ck_assert_uint_eq (sums.items.count, 0);
  first.repeats = 6;
  marjoram_repeat_sums_list_update (list, 9000, "a", &a);
  marjoram_repeat_sums_list_query (list, &a, &sums);
  ck_assert_uint_eq (sums.items.count, 1);
  ck_assert_uint_eq (sums.hosts, 2);
  ck_assert_uint_eq (answered[0].requests, 30);
  ck_assert_uint_eq (answered[0].repeats, 11);
  marjoram_repeat_sums_list_update (list, 10001, "a", &a);
  marjoram_repeat_sums_list_query (list, &a, &sums);
  ck_assert_uint_eq (sums.hosts, 1);
  ck_assert_uint_eq (answered[0].requests, 10);
  marjoram_repeat_sums_list_destroy (list);
}
END_TEST

START_TEST (services_have_separate_budgets)
{
  marjoram_repeat_budget *budget = marjoram_repeat_budget_create (&terms);
  int taken = 0;

  while (marjoram_repeat_budget_take (budget, 0, "lm", 1))
    taken++;
  ck_assert_int_eq (taken, 58);
  ck_assert (marjoram_repeat_budget_take (budget, 0, "app", 1));
  ck_assert (!marjoram_repeat_budget_take (budget, 9000, "lm", 1));
  ck_assert (marjoram_repeat_budget_take (budget, 12000, "lm", 1));
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
  tcase_add_test (c, expired_sums_do_not_bind);
  tcase_add_test (c, sums_follow_reports_and_expire);
  tcase_add_test (c, services_have_separate_budgets);
  suite_add_tcase (s, c);
  return s;
}
