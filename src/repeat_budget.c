#include "repeat_budget.h"

#include "cleanup.h"

#include <string.h>
#include <uthash.h>

enum
{
  /* The window is counted in steps; repeats are counted for one step more than
     it has, so that no span of its length holds more.  */
  STEPS = 10
};

struct account
{
  char *service;
  int64_t step; /* number of the newest step */
  uint32_t requests[STEPS + 1];
  uint32_t repeats[STEPS + 1];
  UT_hash_handle hh;
};

struct marjoram_repeat_budget
{
  struct marjoram_repeat_terms terms;
  struct account *accounts;
};

marjoram_repeat_budget *
marjoram_repeat_budget_create (const struct marjoram_repeat_terms *terms)
{
  marjoram_repeat_budget *budget = marjoram_alloc (sizeof *budget);

  budget->terms = *terms;
  return budget;
}

void
marjoram_repeat_budget_destroy (marjoram_repeat_budget *budget)
{
  struct account *account;
  struct account *next;

  if (!budget)
    return;
  HASH_ITER (hh, budget->accounts, account, next)
  {
    /* The list macros mislead it.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, budget->accounts, account);
    free (account->service);
    free (account);
  }
  free (budget);
}

void
marjoram_repeat_budget_set (marjoram_repeat_budget *budget,
                            const struct marjoram_repeat_terms *terms)
{
  budget->terms = *terms;
}

static struct account *
open_account (marjoram_repeat_budget *budget, const char *service, int64_t now)
{
  int64_t step = now / (budget->terms.window_ms / STEPS);
  struct account *account;

  HASH_FIND_STR (budget->accounts, service, account);
  if (!account)
    {
      account = marjoram_alloc (sizeof *account);
      account->service = marjoram_strdup (service);
      account->step = step;
      HASH_ADD_KEYPTR (hh, budget->accounts, account->service,
                       strlen (account->service), account);
    }
  for (int i = 0; account->step < step && i <= STEPS; i++)
    {
      account->step++;
      account->requests[account->step % (STEPS + 1)] = 0;
      account->repeats[account->step % (STEPS + 1)] = 0;
    }
  account->step = step;
  return account;
}

void
marjoram_repeat_budget_request (marjoram_repeat_budget *budget, int64_t now,
                                const char *service)
{
  struct account *account = open_account (budget, service, now);

  account->requests[account->step % (STEPS + 1)]++;
}

bool
marjoram_repeat_budget_take (marjoram_repeat_budget *budget, int64_t now,
                             const char *service, size_t hosts)
{
  struct account *account = open_account (budget, service, now);
  double allowed = budget->terms.allowance / (double)(hosts ? hosts : 1);
  double repeats = 1;

  for (int i = 0; i <= STEPS; i++)
    {
      allowed += budget->terms.ratio * account->requests[i];
      repeats += account->repeats[i];
    }
  /* The oldest step is only partly in the window.  */
  allowed -= budget->terms.ratio
             * account->requests[(account->step + 1) % (STEPS + 1)];
  if (repeats > allowed)
    return false;
  account->repeats[account->step % (STEPS + 1)]++;
  return true;
}
