#include "repeat_budget.h"

#include "cleanup.h"

#include <string.h>
#include <uthash.h>

enum
{
  STEPS = 20, /* of a window */
  /* A repeat may arrive this many steps after it was taken.  */
  ARRIVAL_STEPS = 1,
  REPEAT_STEPS = STEPS + ARRIVAL_STEPS + 1,
  /* Steps of the window before that surely lie in it.  */
  BEFORE_STEPS = STEPS - ARRIVAL_STEPS - 1,
  REQUEST_STEPS = REPEAT_STEPS + BEFORE_STEPS,
  /* Hosts that are no longer known keep their shares of the allowance for this
     long.  */
  HOSTS_VALID_MS = 3600 * 1000
};

/* Weight of a request in the window or in the one before it.  */
#define REQUEST_WEIGHT 0.5

struct account
{
  char *service;
  int64_t step; /* number of the newest step */
  /* Rings, indexed by the step's number.  */
  uint32_t requests[REQUEST_STEPS];
  uint32_t repeats[REPEAT_STEPS];
  struct marjoram_repeat_usage usage;
  UT_hash_handle hh;
};

struct marjoram_repeat_budget
{
  struct marjoram_repeat_limits terms;
  int64_t allowance_from; /* when the allowance starts to apply */
  size_t hosts;           /* that share the allowance */
  int64_t hosts_at;       /* when at least as many were last known */
  struct account *accounts;
};

static int64_t
step_ms (const marjoram_repeat_budget *budget)
{
  return budget->terms.window_ms / STEPS;
}

static void
start (marjoram_repeat_budget *budget, int64_t now,
       const struct marjoram_repeat_limits *terms)
{
  budget->terms = *terms;
  budget->allowance_from = now + REPEAT_STEPS * step_ms (budget);
}

marjoram_repeat_budget *
marjoram_repeat_budget_create (const struct marjoram_repeat_limits *terms,
                               int64_t now)
{
  marjoram_repeat_budget *budget = marjoram_alloc (sizeof *budget);

  start (budget, now, terms);
  budget->hosts = 1;
  budget->hosts_at = now;
  return budget;
}

static void
clear (marjoram_repeat_budget *budget)
{
  struct account *account;
  struct account *next;

  HASH_ITER (hh, budget->accounts, account, next)
  {
    /* False positive in list macros.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, budget->accounts, account);
    free (account->service);
    free (account);
  }
}

void
marjoram_repeat_budget_destroy (marjoram_repeat_budget *budget)
{
  if (!budget)
    return;
  clear (budget);
  free (budget);
}

void
marjoram_repeat_budget_set (marjoram_repeat_budget *budget, int64_t now,
                            const struct marjoram_repeat_limits *terms)
{
  if (terms->window_ms == budget->terms.window_ms)
    {
      budget->terms = *terms;
      return;
    }
  clear (budget);
  start (budget, now, terms);
}

void
marjoram_repeat_budget_set_hosts (marjoram_repeat_budget *budget, int64_t now,
                                  size_t hosts)
{
  if (hosts < budget->hosts && now < budget->hosts_at + HOSTS_VALID_MS)
    return;
  budget->hosts = hosts > 0 ? hosts : 1;
  budget->hosts_at = now;
}

static void
advance (struct account *account, int64_t step)
{
  if (step - account->step >= REQUEST_STEPS)
    {
      memset (account->requests, 0, sizeof account->requests);
      memset (account->repeats, 0, sizeof account->repeats);
      account->step = step;
    }
  while (account->step < step)
    {
      account->step++;
      account->requests[account->step % REQUEST_STEPS] = 0;
      account->repeats[account->step % REPEAT_STEPS] = 0;
    }
}

static struct account *
get_account (marjoram_repeat_budget *budget, const char *service, int64_t now)
{
  int64_t step = now / step_ms (budget);
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
  advance (account, step);
  return account;
}

void
marjoram_repeat_budget_add_request (marjoram_repeat_budget *budget,
                                    int64_t now, const char *service)
{
  struct account *account = get_account (budget, service, now);

  account->requests[account->step % REQUEST_STEPS]++;
}

static uint32_t
requests_at (const struct account *account, int steps_ago)
{
  return account
      ->requests[(account->step + REQUEST_STEPS - steps_ago) % REQUEST_STEPS];
}

static uint32_t
repeats_at (const struct account *account, int steps_ago)
{
  return account
      ->repeats[(account->step + REPEAT_STEPS - steps_ago) % REPEAT_STEPS];
}

/* Finds the window with the least room for repeats; it may begin in any of the
   last steps.  All repeats taken since that step count, as they may arrive
   after the window begins.  Requests of the window before count only in steps
   that surely lie in it.  */
static void
update_usage (const marjoram_repeat_budget *budget, struct account *account,
              int64_t now)
{
  const double share = now < budget->allowance_from
                           ? 0
                           : budget->terms.allowance / (double)budget->hosts;
  double least_room = 0;
  uint64_t requests = 0;
  uint64_t repeats = 0;

  for (int i = 0; i < BEFORE_STEPS; i++)
    requests += requests_at (account, i);
  for (int begin = 0; begin < REPEAT_STEPS; begin++)
    {
      double allowed;

      repeats += repeats_at (account, begin);
      requests += requests_at (account, begin + BEFORE_STEPS);
      allowed
          = share + budget->terms.ratio * REQUEST_WEIGHT * (double)requests;
      if (begin > 0 && allowed - (double)repeats >= least_room)
        continue;
      least_room = allowed - (double)repeats;
      account->usage = (struct marjoram_repeat_usage){ repeats, allowed };
    }
}

bool
marjoram_repeat_budget_allows (marjoram_repeat_budget *budget, int64_t now,
                               const char *service)
{
  struct account *account = get_account (budget, service, now);

  update_usage (budget, account, now);
  return (double)(account->usage.repeats + 1) <= account->usage.allowed;
}

bool
marjoram_repeat_budget_take (marjoram_repeat_budget *budget, int64_t now,
                             const char *service)
{
  struct account *account;

  if (!marjoram_repeat_budget_allows (budget, now, service))
    return false;
  account = get_account (budget, service, now);
  account->repeats[account->step % REPEAT_STEPS]++;
  return true;
}

void
marjoram_repeat_budget_get_usage (const marjoram_repeat_budget *budget,
                                  const char *service,
                                  struct marjoram_repeat_usage *usage)
{
  const struct account *account;

  HASH_FIND_STR (budget->accounts, service, account);
  *usage = account ? account->usage : (struct marjoram_repeat_usage){ 0, 0 };
}
