/* The budget of second sendings.  */
#include "suite.h"

#include "repeat_budget.h"

enum
{
  HOSTS = 9,
  WINDOW_MS = 10000
};

static const struct marjoram_repeat_terms terms = { 0.2, 58, WINDOW_MS };

/* An upstream fails every request, and nine hosts that can't talk to each
   other send each one again.  Whatever span of the window's length is looked
   at, the sum over all hosts must stay within the share and the allowance.  */
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
        /* Eleven requests a second each.  */
        if ((now / 10 + i) % 9 != 0)
          continue;
        marjoram_repeat_budget_request (budgets[i], now, "lm");
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

START_TEST (services_have_their_own)
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
  tcase_add_test (c, services_have_their_own);
  suite_add_tcase (s, c);
  return s;
}
