#include "quota_pool.h"

#include "cleanup.h"
#include "dialect.h"
#include "quota_share.h"

#include <stdio.h>
#include <string.h>
#include <uthash.h>

enum
{
  /* A keeper that does not answer within this time is passed over for
     SILENT_MS.  The farthest answers within about 120 ms.  */
  ANSWER_TIMEOUT_MS = 300,
  SILENT_MS = 1000,
  /* How long a keeper is not asked again after it had too few units.  */
  EMPTY_MIN_MS = 20,
  EMPTY_MAX_MS = 200,
  /* How long a request may wait for units in total: two answers of the
     farthest keeper, or one more keeper after one that did not answer.  */
  WAIT_MAX_MS = 250,
  WAIT_SILENT_MAX_MS = 600,
  /* Units that would become void within this time are given back.  */
  GIVE_BACK_MS = 60,
  /* Bounds of Retry-After of a request over the quota.  */
  RETRY_MIN_MS = 200,
  RETRY_MAX_MS = 8000,
  /* Unused accounts are dropped after this time.  */
  ACCOUNT_IDLE_MS = 10000
};

/* Units granted at the same time.  */
struct lot
{
  TAILQ_ENTRY (lot) link;
  int64_t units;
  int64_t valid_until;
};

/* What is known of one keeper's share.  */
struct source
{
  char keeper[MARJORAM_ID_MAX];
  int64_t asked_at; /* 0: no answer is outstanding */
  int64_t empty_until;
  int64_t wait_ms; /* while EMPTY_UNTIL has not passed */
  bool silent;     /* EMPTY_UNTIL was set because it did not answer */
};

struct marjoram_quota_account
{
  char customer[MARJORAM_ID_MAX];
  TAILQ_HEAD (lots, lot) lots; /* in order of expiry */
  int64_t held;
  TAILQ_HEAD (claims, marjoram_quota_claim) waiting;
  int64_t needed; /* units of the waiting claims */
  struct source sources[MARJORAM_QUOTA_KEEPERS_MAX];
  size_t source_count;
  size_t claim_count; /* that refer to this account */
  int64_t used_at;
  UT_hash_handle hh;
};

struct marjoram_quota_pool
{
  const struct marjoram_quota_pool_ops *ops;
  void *context;
  struct marjoram_quota_account *accounts;
  struct marjoram_quota_account *unserved; /* of the latest waiting claim */
};

marjoram_quota_pool *
marjoram_quota_pool_create (const struct marjoram_quota_pool_ops *ops,
                            void *context)
{
  marjoram_quota_pool *pool = marjoram_alloc (sizeof *pool);

  pool->ops = ops;
  pool->context = context;
  return pool;
}

/* ---- Lots.  ---- */

static void
remove_lot (struct marjoram_quota_account *account, struct lot *lot)
{
  TAILQ_REMOVE (&account->lots, lot, link);
  account->held -= lot->units;
  free (lot);
}

static void
add_lot (struct marjoram_quota_account *account, int64_t units,
         int64_t valid_until)
{
  struct lot *lot = marjoram_alloc (sizeof *lot);
  struct lot *after;

  lot->units = units;
  lot->valid_until = valid_until;
  account->held += units;
  TAILQ_FOREACH_REVERSE (after, &account->lots, lots, link)
  if (after->valid_until <= valid_until)
    {
      TAILQ_INSERT_AFTER (&account->lots, after, lot, link);
      return;
    }
  TAILQ_INSERT_HEAD (&account->lots, lot, link);
}

static void
drop_void_lots (struct marjoram_quota_account *account, int64_t now)
{
  struct lot *lot;

  while ((lot = TAILQ_FIRST (&account->lots)) && now >= lot->valid_until)
    remove_lot (account, lot);
}

/* Spends UNITS, of which enough are held; returns until when the first of them
   would have been valid.  */
static int64_t
spend (struct marjoram_quota_account *account, int64_t units)
{
  int64_t valid_until = TAILQ_FIRST (&account->lots)->valid_until;

  while (units > 0)
    {
      struct lot *lot = TAILQ_FIRST (&account->lots);

      if (lot->units > units)
        {
          lot->units -= units;
          account->held -= units;
          return valid_until;
        }
      units -= lot->units;
      remove_lot (account, lot);
    }
  return valid_until;
}

/* ---- Accounts.  ---- */

static struct marjoram_quota_account *
get_account (marjoram_quota_pool *pool, const char *customer)
{
  struct marjoram_quota_account *account;

  HASH_FIND_STR (pool->accounts, customer, account);
  if (account)
    return account;
  account = marjoram_alloc (sizeof *account);
  snprintf (account->customer, sizeof account->customer, "%s", customer);
  TAILQ_INIT (&account->lots);
  TAILQ_INIT (&account->waiting);
  HASH_ADD_STR (pool->accounts, customer, account);
  return account;
}

static void
remove_account (marjoram_quota_pool *pool,
                struct marjoram_quota_account *account)
{
  struct lot *lot;

  while ((lot = TAILQ_FIRST (&account->lots)))
    remove_lot (account, lot);
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, pool->accounts, account);
  free (account);
}

void
marjoram_quota_pool_destroy (marjoram_quota_pool *pool)
{
  struct marjoram_quota_account *account;
  struct marjoram_quota_account *next;

  if (!pool)
    return;
  HASH_ITER (hh, pool->accounts, account, next)
  {
    remove_account (pool, account);
  }
  free (pool);
}

/* ---- Sources.  ---- */

static struct source *
find_source (struct marjoram_quota_account *account, const char *keeper)
{
  for (size_t i = 0; i < account->source_count; i++)
    if (strcmp (account->sources[i].keeper, keeper) == 0)
      return &account->sources[i];
  return NULL;
}

static struct source *
get_source (struct marjoram_quota_account *account, const char *keeper,
            int64_t now)
{
  struct source *source = find_source (account, keeper);

  if (source)
    return source;
  for (size_t i = 0; i < account->source_count; i++)
    if (!account->sources[i].asked_at
        && now >= account->sources[i].empty_until)
      source = &account->sources[i];
  if (account->source_count < MARJORAM_QUOTA_KEEPERS_MAX)
    source = &account->sources[account->source_count++];
  if (!source)
    return NULL;
  *source = (struct source){ .empty_until = INT64_MIN };
  snprintf (source->keeper, sizeof source->keeper, "%s", keeper);
  return source;
}

static void
expire_asks (struct marjoram_quota_account *account, int64_t now)
{
  for (size_t i = 0; i < account->source_count; i++)
    {
      struct source *source = &account->sources[i];

      if (!source->asked_at || now < source->asked_at + ANSWER_TIMEOUT_MS)
        continue;
      source->asked_at = 0;
      source->silent = true;
      source->empty_until = now + SILENT_MS;
    }
}

static void
ask (marjoram_quota_pool *pool, struct marjoram_quota_account *account,
     struct source *source, int64_t now, int64_t units)
{
  const struct marjoram_quota_ask message
      = { .customer = account->customer, .asked_at = now, .units = units };

  source->asked_at = now;
  pool->ops->ask (pool->context, source->keeper, &message);
}

/* What is still to be obtained, and where.  */
struct plan
{
  struct source *usable[MARJORAM_QUOTA_KEEPERS_MAX];
  size_t usable_count;
  size_t asked_count;  /* answers are outstanding */
  size_t silent_count; /* did not answer */
  int64_t wait_ms;     /* of the keeper that has the rest first */
  bool nearest_empty;
};

static void
make_plan (marjoram_quota_pool *pool, struct marjoram_quota_account *account,
           int64_t now, struct plan *plan)
{
  const char *names[MARJORAM_QUOTA_KEEPERS_MAX];
  size_t count = pool->ops->keepers (pool->context, names);

  memset (plan, 0, sizeof *plan);
  plan->wait_ms = RETRY_MAX_MS;
  for (size_t i = 0; i < count; i++)
    {
      struct source *source = get_source (account, names[i], now);

      if (!source)
        continue;
      if (source->asked_at)
        plan->asked_count++;
      else if (now >= source->empty_until)
        plan->usable[plan->usable_count++] = source;
      else if (source->silent)
        plan->silent_count++;
      else if (source->wait_ms < plan->wait_ms)
        plan->wait_ms = source->wait_ms;
      if (i == 0)
        plan->nearest_empty = !source->asked_at && now < source->empty_until;
    }
  if (count == 0)
    plan->silent_count = 1;
}

/* Asks for MISSING units.  Returns whether an answer is outstanding.  */
static bool
ask_for (marjoram_quota_pool *pool, struct marjoram_quota_account *account,
         int64_t now, int64_t missing, struct plan *plan)
{
  make_plan (pool, account, now, plan);
  if (plan->asked_count > 0)
    return true;
  if (plan->usable_count == 0)
    return false;
  if (!plan->nearest_empty)
    {
      ask (pool, account, plan->usable[0], now, missing);
      return true;
    }
  for (size_t i = 0; i < plan->usable_count; i++)
    ask (pool, account, plan->usable[i], now,
         missing / (int64_t)plan->usable_count + 1);
  return true;
}

/* ---- Claims.  ---- */

static void
stop_waiting (struct marjoram_quota_account *account,
              struct marjoram_quota_claim *claim)
{
  TAILQ_REMOVE (&account->waiting, claim, link);
  account->needed -= claim->units;
  claim->waiting = false;
}

static void
detach (struct marjoram_quota_claim *claim)
{
  if (claim->account)
    claim->account->claim_count--;
  claim->account = NULL;
}

static void
pay (struct marjoram_quota_account *account,
     struct marjoram_quota_claim *claim)
{
  claim->valid_until = spend (account, claim->units);
  claim->paid = true;
}

static int64_t
retry_after (const struct plan *plan)
{
  return plan->wait_ms < RETRY_MIN_MS   ? RETRY_MIN_MS
         : plan->wait_ms > RETRY_MAX_MS ? RETRY_MAX_MS
                                        : plan->wait_ms;
}

static void
settle (marjoram_quota_pool *pool, int64_t now,
        struct marjoram_quota_claim *claim, enum marjoram_quota_result result,
        int64_t retry_ms)
{
  if (result != MARJORAM_QUOTA_PAID)
    detach (claim);
  pool->ops->settled (pool->context, now, claim, result, retry_ms);
}

static int64_t
wait_max (const struct marjoram_quota_account *account, int64_t now)
{
  for (size_t i = 0; i < account->source_count; i++)
    if (account->sources[i].silent && now < account->sources[i].empty_until)
      return WAIT_SILENT_MAX_MS;
  return WAIT_MAX_MS;
}

/* Whether a claim may wait for an answer that is outstanding.  */
static bool
is_asking (const struct marjoram_quota_account *account)
{
  for (size_t i = 0; i < account->source_count; i++)
    if (account->sources[i].asked_at)
      return true;
  return false;
}

/* Serves waiting claims in order, and asks for what the first one lacks.  */
static void
serve (marjoram_quota_pool *pool, struct marjoram_quota_account *account,
       int64_t now)
{
  struct marjoram_quota_claim *claim;

  account->claim_count++; /* keeps the account during the callbacks */
  while ((claim = TAILQ_FIRST (&account->waiting)))
    {
      struct plan plan;

      drop_void_lots (account, now);
      if (account->held >= claim->units)
        {
          stop_waiting (account, claim);
          pay (account, claim);
          settle (pool, now, claim, MARJORAM_QUOTA_PAID, 0);
          continue;
        }
      if (is_asking (account) && now < claim->started_at + WAIT_SILENT_MAX_MS)
        break;
      if (now < claim->started_at + wait_max (account, now)
          && ask_for (pool, account, now, account->needed - account->held,
                      &plan))
        break;
      make_plan (pool, account, now, &plan);
      stop_waiting (account, claim);
      settle (pool, now, claim,
              plan.wait_ms == RETRY_MAX_MS && plan.silent_count > 0
                  ? MARJORAM_QUOTA_UNKNOWN
                  : MARJORAM_QUOTA_DENIED,
              retry_after (&plan));
    }
  account->claim_count--;
}

enum marjoram_quota_result
marjoram_quota_pool_claim (marjoram_quota_pool *pool, int64_t now,
                           struct marjoram_quota_claim *claim,
                           const char *customer, int64_t units)
{
  struct marjoram_quota_account *account = get_account (pool, customer);

  account->used_at = now;
  account->claim_count++;
  claim->account = account;
  claim->units = units;
  claim->started_at = now;
  drop_void_lots (account, now);
  if (TAILQ_EMPTY (&account->waiting) && account->held >= units)
    {
      if (units > 0)
        pay (account, claim);
      return MARJORAM_QUOTA_PAID;
    }
  claim->waiting = true;
  account->needed += units;
  TAILQ_INSERT_TAIL (&account->waiting, claim, link);
  pool->unserved = account;
  return MARJORAM_QUOTA_WAITING;
}

void
marjoram_quota_pool_serve (marjoram_quota_pool *pool, int64_t now)
{
  struct marjoram_quota_account *account = pool->unserved;

  pool->unserved = NULL;
  if (account)
    serve (pool, account, now);
}

void
marjoram_quota_pool_release (marjoram_quota_pool *pool, int64_t now,
                             struct marjoram_quota_claim *claim, bool spent)
{
  struct marjoram_quota_account *account = claim->account;

  (void)pool;
  if (!account)
    return;
  if (claim->waiting)
    stop_waiting (account, claim);
  else if (claim->paid && !spent && now < claim->valid_until)
    add_lot (account, claim->units, claim->valid_until);
  claim->paid = false;
  detach (claim);
}

void
marjoram_quota_pool_granted (marjoram_quota_pool *pool, int64_t now,
                             const char *keeper,
                             const struct marjoram_quota_grant *grant)
{
  struct marjoram_quota_account *account;
  struct source *source;

  HASH_FIND_STR (pool->accounts, grant->customer, account);
  source = account ? find_source (account, keeper) : NULL;
  if (!source || grant->asked_at > now || grant->units < 0)
    return;
  if (source->asked_at == grant->asked_at)
    source->asked_at = 0;
  source->silent = false;
  source->empty_until = now;
  if (grant->wait_ms > 0)
    {
      source->wait_ms = grant->wait_ms;
      source->empty_until
          = now
            + (grant->wait_ms < EMPTY_MIN_MS   ? EMPTY_MIN_MS
               : grant->wait_ms > EMPTY_MAX_MS ? EMPTY_MAX_MS
                                               : grant->wait_ms);
    }
  if (grant->units > 0 && now < grant->asked_at + MARJORAM_QUOTA_VALID_MS)
    add_lot (account, grant->units, grant->asked_at + MARJORAM_QUOTA_VALID_MS);
  serve (pool, account, now);
}

/* Returns units that nobody here will spend in time to the nearest keeper.  */
static void
give_back (marjoram_quota_pool *pool, struct marjoram_quota_account *account,
           int64_t now)
{
  const char *names[MARJORAM_QUOTA_KEEPERS_MAX];
  struct marjoram_quota_ask message
      = { .customer = account->customer, .asked_at = now };
  struct lot *lot;

  if (!TAILQ_EMPTY (&account->waiting))
    return;
  while ((lot = TAILQ_FIRST (&account->lots))
         && lot->valid_until <= now + GIVE_BACK_MS)
    {
      message.given_back += lot->units;
      remove_lot (account, lot);
    }
  if (message.given_back > 0 && pool->ops->keepers (pool->context, names) > 0)
    pool->ops->ask (pool->context, names[0], &message);
}

void
marjoram_quota_pool_tick (marjoram_quota_pool *pool, int64_t now)
{
  struct marjoram_quota_account *account;
  struct marjoram_quota_account *next;

  pool->unserved = NULL;
  HASH_ITER (hh, pool->accounts, account, next)
  {
    drop_void_lots (account, now);
    expire_asks (account, now);
    serve (pool, account, now);
    give_back (pool, account, now);
    if (account->claim_count == 0 && TAILQ_EMPTY (&account->lots)
        && now >= account->used_at + ACCOUNT_IDLE_MS)
      remove_account (pool, account);
  }
}
