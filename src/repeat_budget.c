#include "repeat_budget.h"

#include "cleanup.h"

#include <string.h>
#include <uthash.h>

enum
{
  /* The window is divided into steps.  Repeats are summed over one step more,
     so that no interval of the window's length exceeds the bound.  */
  STEPS = 10,
  /* Validity of a keeper's sums, three heartbeats.  After that a host uses
     only its own share.  */
  SUMS_VALID_MS = 1000
};

/* Share of the total bound held back for repeats that are not in the sums
   yet.  */
#define RESERVE 0.15
/* Usage, as a share of the host's own bound or of the total bound, above which
   a host requests the sums.  */
#define SUMS_REQUEST_SHARE 0.3

struct account
{
  char *service;
  int64_t step; /* number of the newest step */
  uint32_t requests[STEPS + 1];
  uint32_t repeats[STEPS + 1];
  /* Last sums from a keeper.  */
  struct marjoram_repeat_use sums; /* service is null */
  uint64_t sums_hosts;
  int64_t sums_at; /* INT64_MIN / 2: none yet */
  uint64_t taken;  /* repeats of this host since then */
  /* As of the last call of marjoram_repeat_budget_allows.  */
  double own_bound;
  double spent_share; /* of the total bound */
  UT_hash_handle hh;
};

struct marjoram_repeat_budget
{
  struct marjoram_repeat_limits terms;
  struct account *accounts;
};

marjoram_repeat_budget *
marjoram_repeat_budget_create (const struct marjoram_repeat_limits *terms)
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
    /* False positive in list macros.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, budget->accounts, account);
    free (account->service);
    free (account);
  }
  free (budget);
}

void
marjoram_repeat_budget_set (marjoram_repeat_budget *budget,
                            const struct marjoram_repeat_limits *terms)
{
  budget->terms = *terms;
}

static struct account *
get_account (marjoram_repeat_budget *budget, const char *service, int64_t now)
{
  int64_t step = now / (budget->terms.window_ms / STEPS);
  struct account *account;

  HASH_FIND_STR (budget->accounts, service, account);
  if (!account)
    {
      account = marjoram_alloc (sizeof *account);
      account->service = marjoram_strdup (service);
      account->step = step;
      account->sums_at = INT64_MIN / 2;
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
marjoram_repeat_budget_add_request (marjoram_repeat_budget *budget,
                                    int64_t now, const char *service)
{
  struct account *account = get_account (budget, service, now);

  account->requests[account->step % (STEPS + 1)]++;
}

/* Excludes the oldest step, which is only partly in the window.  */
static uint64_t
count_requests (const struct account *account)
{
  uint64_t count = 0;

  for (int i = 0; i <= STEPS; i++)
    count += account->requests[i];
  return count - account->requests[(account->step + 1) % (STEPS + 1)];
}

static uint64_t
count_repeats (const struct account *account)
{
  uint64_t count = 0;

  for (int i = 0; i <= STEPS; i++)
    count += account->repeats[i];
  return count;
}

/* Share of the total bound spent by all hosts according to the last sums.  The
   allowance is scaled by the share of hosts included in them.  */
static double
spent_share (const marjoram_repeat_budget *budget,
             const struct account *account, size_t hosts)
{
  const struct marjoram_repeat_use *sums = &account->sums;
  double coverage = hosts ? (double)account->sums_hosts / (double)hosts : 1;
  double bound = budget->terms.ratio * (double)sums->requests
                 + budget->terms.allowance * (coverage < 1 ? coverage : 1);

  return bound > 0 ? (double)(sums->repeats + account->taken + 1) / bound : 0;
}

bool
marjoram_repeat_budget_allows (marjoram_repeat_budget *budget, int64_t now,
                               const char *service, size_t hosts)
{
  struct account *account = get_account (budget, service, now);

  account->own_bound
      = budget->terms.allowance / (double)(hosts ? hosts : 1)
        + budget->terms.ratio * (double)count_requests (account);
  account->spent_share = spent_share (budget, account, hosts);
  return (double)(count_repeats (account) + 1) <= account->own_bound
         && (now > account->sums_at + SUMS_VALID_MS
             || account->spent_share <= 1 - RESERVE);
}

bool
marjoram_repeat_budget_take (marjoram_repeat_budget *budget, int64_t now,
                             const char *service, size_t hosts)
{
  struct account *account;

  if (!marjoram_repeat_budget_allows (budget, now, service, hosts))
    return false;
  account = get_account (budget, service, now);
  account->repeats[account->step % (STEPS + 1)]++;
  account->taken++;
  return true;
}

void
marjoram_repeat_budget_get_usage (const marjoram_repeat_budget *budget,
                                  const char *service,
                                  struct marjoram_repeat_usage *usage)
{
  const struct account *account;

  HASH_FIND_STR (budget->accounts, service, account);
  usage->repeats = account ? count_repeats (account) : 0;
  usage->allowed = account ? account->own_bound : 0;
}

size_t
marjoram_repeat_budget_report (marjoram_repeat_budget *budget, int64_t now,
                               struct marjoram_repeat_use *items, size_t max)
{
  struct account *account;
  struct account *next;
  size_t count = 0;

  HASH_ITER (hh, budget->accounts, account, next)
  {
    struct marjoram_repeat_use *use = &items[count];

    if (count == max)
      break;
    get_account (budget, account->service, now);
    use->service = account->service;
    use->requests = count_requests (account);
    use->repeats = count_repeats (account);
    use->wants_sums
        = use->repeats > 0
          && ((double)use->repeats >= SUMS_REQUEST_SHARE * account->own_bound
              || account->spent_share > SUMS_REQUEST_SHARE);
    count += use->requests > 0 || use->repeats > 0;
  }
  return count;
}

/* If several keepers answer, the sums over the most hosts are kept.  */
void
marjoram_repeat_budget_apply_sums (marjoram_repeat_budget *budget, int64_t now,
                                   const struct marjoram_repeat_sums *sums)
{
  const struct marjoram_repeat_use *items = sums->items.items;

  for (size_t i = 0; i < sums->items.count; i++)
    {
      struct account *account;

      if (!items[i].service)
        continue;
      HASH_FIND_STR (budget->accounts, items[i].service, account);
      if (!account
          || (sums->hosts < account->sums_hosts
              && now <= account->sums_at + SUMS_VALID_MS))
        continue;
      account->sums = items[i];
      account->sums.service = NULL;
      account->sums_hosts = sums->hosts;
      account->sums_at = now;
      account->taken = 0;
    }
}
