#include "quota_share.h"

#include "cleanup.h"
#include "dialect.h"

#include <stdio.h>
#include <string.h>
#include <uthash.h>

enum
{
  MSEC_PER_SEC = 1000,
  /* Minimum interval at which units are borrowed for one customer.  */
  BORROW_INTERVAL_MS = 100,
};

/* Part of the allowance that is added to the burst.  */
static const double BURST_ALLOWANCE = 0.7;
/* A share below this part of its limit is refilled by borrowing, and one above
   it is lent to others.  */
static const double RESERVE = 0.5;

struct share
{
  char customer[MARJORAM_ID_MAX];
  double rate_per_ms;
  double limit;
  double level;
  int64_t refilled_at;
  int64_t borrowed_at;
  bool configured; /* in the current table */
  UT_hash_handle hh;
};

struct marjoram_quota_shares
{
  struct share *shares;
  double allowance;
};

marjoram_quota_shares *
marjoram_quota_shares_create (double allowance)
{
  marjoram_quota_shares *shares = marjoram_alloc (sizeof *shares);

  shares->allowance = allowance;
  return shares;
}

static void
remove_share (marjoram_quota_shares *shares, struct share *share)
{
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, shares->shares, share);
  free (share);
}

void
marjoram_quota_shares_destroy (marjoram_quota_shares *shares)
{
  struct share *share;
  struct share *next;

  if (!shares)
    return;
  HASH_ITER (hh, shares->shares, share, next) { remove_share (shares, share); }
  free (shares);
}

void
marjoram_quota_shares_set_allowance (marjoram_quota_shares *shares,
                                     double allowance)
{
  shares->allowance = allowance;
}

static void
refill (struct share *share, int64_t now)
{
  if (now > share->refilled_at)
    share->level += share->rate_per_ms * (double)(now - share->refilled_at);
  if (share->level > share->limit)
    share->level = share->limit;
  share->refilled_at = now;
}

static struct share *
find_share (marjoram_quota_shares *shares, int64_t now, const char *customer)
{
  struct share *share;

  HASH_FIND_STR (shares->shares, customer, share);
  if (share)
    refill (share, now);
  return share;
}

static void
configure_customer (marjoram_quota_shares *shares, int64_t now,
                    const struct marjoram_customer_rule *customer,
                    size_t members)
{
  struct share *share = find_share (shares, now, customer->name);

  if (!share)
    {
      share = marjoram_alloc (sizeof *share);
      snprintf (share->customer, sizeof share->customer, "%s", customer->name);
      share->refilled_at = now;
      share->borrowed_at = INT64_MIN / 2;
      HASH_ADD_STR (shares->shares, customer, share);
    }
  share->configured = true;
  share->rate_per_ms = customer->rate_per_s / MSEC_PER_SEC / (double)members;
  share->limit = (customer->burst + BURST_ALLOWANCE * shares->allowance)
                 / (double)members;
  refill (share, now);
}

void
marjoram_quota_shares_configure (marjoram_quota_shares *shares, int64_t now,
                                 const struct marjoram_route_table *table,
                                 size_t members)
{
  const struct marjoram_customer_rule *customers = table->customers.items;
  struct share *share;
  struct share *next;

  HASH_ITER (hh, shares->shares, share, next) { share->configured = false; }
  for (size_t i = 0; members > 0 && i < table->customers.count; i++)
    if (marjoram_customer_has_quota (&customers[i]))
      configure_customer (shares, now, &customers[i], members);
  HASH_ITER (hh, shares->shares, share, next)
  {
    if (!share->configured)
      remove_share (shares, share);
  }
}

int64_t
marjoram_quota_shares_take (marjoram_quota_shares *shares, int64_t now,
                            const char *customer, int64_t wanted,
                            int64_t *wait_ms)
{
  struct share *share = find_share (shares, now, customer);
  int64_t taken;

  *wait_ms = 0;
  if (!share || wanted <= 0)
    return 0;
  taken = share->level < (double)wanted ? (int64_t)share->level : wanted;
  share->level -= (double)taken;
  if (taken < wanted)
    *wait_ms = (int64_t)((double)(wanted - taken) / share->rate_per_ms) + 1;
  return taken;
}

int64_t
marjoram_quota_shares_lend (marjoram_quota_shares *shares, int64_t now,
                            const char *customer, int64_t wanted)
{
  struct share *share = find_share (shares, now, customer);
  double spare;
  int64_t lent;

  if (!share)
    return 0;
  spare = share->level - RESERVE * share->limit;
  if (spare < 1 || wanted <= 0)
    return 0;
  lent = spare < (double)wanted ? (int64_t)spare : wanted;
  share->level -= (double)lent;
  return lent;
}

void
marjoram_quota_shares_add (marjoram_quota_shares *shares, int64_t now,
                           const char *customer, int64_t units)
{
  struct share *share = find_share (shares, now, customer);

  if (!share || units <= 0)
    return;
  share->level += (double)units;
  refill (share, now);
}

int64_t
marjoram_quota_shares_borrow (marjoram_quota_shares *shares, int64_t now,
                              const char *customer)
{
  struct share *share = find_share (shares, now, customer);

  if (!share || share->level >= RESERVE * share->limit
      || now < share->borrowed_at + BORROW_INTERVAL_MS)
    return 0;
  share->borrowed_at = now;
  return (int64_t)(share->limit - share->level);
}

void
marjoram_quota_shares_visit (const marjoram_quota_shares *shares,
                             void (*visit) (void *context,
                                            const char *customer,
                                            int64_t units, int64_t limit),
                             void *context)
{
  const struct share *share;

  for (share = shares->shares; share; share = share->hh.next)
    visit (context, share->customer, (int64_t)share->level,
           (int64_t)share->limit);
}
