#include "quota_pool.h"

#include "cleanup.h"
#include "dialect.h"
#include "quota_share.h"

#include <stdio.h>
#include <string.h>
#include <uthash.h>

enum
{
  /* A keeper that does not answer within ANSWER_TIMEOUT_FACTOR times its usual
     time, within the bounds, is passed over for SILENT_MS.  The farthest
     answers within about 120 ms.  */
  ANSWER_TIMEOUT_MIN_MS = 60,
  ANSWER_TIMEOUT_MAX_MS = 300,
  ANSWER_TIMEOUT_FACTOR = 3,
  SILENT_MS = 1000,
  /* How long a keeper is not asked again after it had too few units.  */
  EMPTY_MIN_MS = 20,
  EMPTY_MAX_MS = 200,
  /* How long a request may wait for units in total: two answers of the
     farthest keeper, or one more keeper after one that did not answer.  */
  WAIT_MAX_MS = 350,
  WAIT_SILENT_MAX_MS = 600,
  /* Units that would become void within this time are given back.  */
  GIVE_BACK_MS = 60,
  /* Bounds of Retry-After of a request over the quota.  */
  RETRY_MIN_MS = 200,
  RETRY_MAX_MS = 8000,
  /* Unused accounts are dropped after this time.  */
  ACCOUNT_IDLE_MS = 10000
};

/* Weight of a new sample in the usual time of an answer.  */
static const double ANSWER_SMOOTHING = 0.2;

/* Units granted at the same time.  */
struct lot
{
  TAILQ_ENTRY (lot) link;
  int64_t units;
  int64_t valid_until;
};

/* A keeper, for all customers.  */
struct keeper
{
  char name[MARJORAM_ID_MAX];
  double answer_ms; /* usual time to an answer; 0 if not known */
  int64_t silent_until;
  UT_hash_handle hh;
};

/* What is known of a customer's share at one keeper.  */
struct source
{
  struct keeper *keeper;
  int asks;         /* answers that are outstanding */
  int64_t asked_at; /* of the first of them, at the earliest */
  int64_t asked;    /* units that they may bring */
  int64_t empty_until;
  int64_t wait_ms; /* while EMPTY_UNTIL has not passed */
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
  struct keeper *keepers;
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

  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
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

      /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
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
  struct keeper *keeper;
  struct keeper *next_keeper;

  if (!pool)
    return;
  HASH_ITER (hh, pool->accounts, account, next)
  {
    remove_account (pool, account);
  }
  HASH_ITER (hh, pool->keepers, keeper, next_keeper)
  {
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, pool->keepers, keeper);
    free (keeper);
  }
  free (pool);
}

/* ---- Sources.  ---- */

static struct keeper *
get_keeper (marjoram_quota_pool *pool, const char *name)
{
  struct keeper *keeper;

  HASH_FIND_STR (pool->keepers, name, keeper);
  if (keeper)
    return keeper;
  keeper = marjoram_alloc (sizeof *keeper);
  snprintf (keeper->name, sizeof keeper->name, "%s", name);
  keeper->silent_until = INT64_MIN;
  HASH_ADD_STR (pool->keepers, name, keeper);
  return keeper;
}

static struct source *
find_source (struct marjoram_quota_account *account, const char *name)
{
  for (size_t i = 0; i < account->source_count; i++)
    if (strcmp (account->sources[i].keeper->name, name) == 0)
      return &account->sources[i];
  return NULL;
}

/* Returns null if too many keepers are in use.  */
static struct source *
get_source (marjoram_quota_pool *pool, struct marjoram_quota_account *account,
            const char *name, int64_t now)
{
  struct source *source = find_source (account, name);

  if (source)
    return source;
  for (size_t i = 0; i < account->source_count; i++)
    if (account->sources[i].asks == 0
        && now >= account->sources[i].empty_until)
      source = &account->sources[i];
  if (account->source_count < MARJORAM_QUOTA_KEEPERS_MAX)
    source = &account->sources[account->source_count++];
  if (!source)
    return NULL;
  *source = (struct source){ .keeper = get_keeper (pool, name),
                             .empty_until = INT64_MIN };
  return source;
}

static int64_t
answer_timeout (const struct keeper *keeper)
{
  const int64_t ms = (int64_t)(ANSWER_TIMEOUT_FACTOR * keeper->answer_ms);

  if (keeper->answer_ms <= 0 || ms > ANSWER_TIMEOUT_MAX_MS)
    return ANSWER_TIMEOUT_MAX_MS;
  return ms > ANSWER_TIMEOUT_MIN_MS ? ms : ANSWER_TIMEOUT_MIN_MS;
}

static void
forget_asks (struct source *source)
{
  source->asks = 0;
  source->asked = 0;
}

static void
expire_asks (struct marjoram_quota_account *account, int64_t now)
{
  for (size_t i = 0; i < account->source_count; i++)
    {
      struct source *source = &account->sources[i];

      if (source->asks == 0
          || now < source->asked_at + answer_timeout (source->keeper))
        continue;
      forget_asks (source);
      source->keeper->silent_until = now + SILENT_MS;
    }
}

static void
ask (marjoram_quota_pool *pool, struct marjoram_quota_account *account,
     struct source *source, int64_t now, int64_t units)
{
  const struct marjoram_quota_ask message
      = { .customer = account->customer, .asked_at = now, .units = units };

  if (source->asks++ == 0)
    source->asked_at = now;
  source->asked += units;
  pool->ops->ask (pool->context, source->keeper->name, &message);
}

/* Where the units of a customer may be obtained.  */
struct plan
{
  struct source *usable[MARJORAM_QUOTA_KEEPERS_MAX]; /* nearest first */
  size_t usable_count;
  int64_t asked;      /* units of outstanding asks */
  bool silent;        /* a keeper did not answer */
  int64_t wait_ms;    /* of the keeper that has the rest first */
  bool empty;         /* a keeper had too few units */
  bool nearest_empty; /* the nearest of those that answer */
};

static void
make_plan (marjoram_quota_pool *pool, struct marjoram_quota_account *account,
           int64_t now, struct plan *plan)
{
  const char *names[MARJORAM_QUOTA_KEEPERS_MAX];
  size_t count = pool->ops->keepers (pool->context, names);
  bool is_nearest = true;

  memset (plan, 0, sizeof *plan);
  plan->wait_ms = RETRY_MAX_MS;
  plan->silent = count == 0;
  for (size_t i = 0; i < count; i++)
    {
      struct source *source = get_source (pool, account, names[i], now);

      if (!source)
        continue;
      plan->asked += source->asked;
      if (now < source->keeper->silent_until)
        {
          plan->silent = true;
          continue;
        }
      if (now >= source->empty_until)
        plan->usable[plan->usable_count++] = source;
      else
        {
          plan->empty = true;
          plan->nearest_empty |= is_nearest;
          if (source->wait_ms < plan->wait_ms)
            plan->wait_ms = source->wait_ms;
        }
      is_nearest = false;
    }
}

/* Asks for the units that the account lacks, as far as they are not asked for
   already.  Returns whether an answer is outstanding.  */
static bool
ask_for (marjoram_quota_pool *pool, struct marjoram_quota_account *account,
         int64_t now, const struct plan *plan)
{
  const int64_t missing = account->needed - account->held - plan->asked;

  if (missing <= 0 || plan->usable_count == 0)
    return plan->asked > 0;
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
      make_plan (pool, account, now, &plan);
      if (now < claim->started_at
                    + (plan.silent ? WAIT_SILENT_MAX_MS : WAIT_MAX_MS)
          && ask_for (pool, account, now, &plan))
        break;
      stop_waiting (account, claim);
      settle (pool, now, claim,
              !plan.empty ? MARJORAM_QUOTA_UNKNOWN : MARJORAM_QUOTA_DENIED,
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

static void
answered (struct source *source, int64_t now,
          const struct marjoram_quota_grant *grant)
{
  struct keeper *keeper = source->keeper;
  const double ms = (double)(now - grant->asked_at);

  keeper->silent_until = INT64_MIN;
  keeper->answer_ms += keeper->answer_ms > 0
                           ? ANSWER_SMOOTHING * (ms - keeper->answer_ms)
                           : ms;
  source->asked -= grant->asked_units;
  if (source->asks <= 1 || source->asked <= 0)
    forget_asks (source);
  else
    source->asks--;
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
  answered (source, now, grant);
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
         /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
         && lot->valid_until <= now + GIVE_BACK_MS)
    {
      message.given_back += lot->units;
      remove_lot (account, lot);
    }
  if (message.given_back > 0 && pool->ops->keepers (pool->context, names) > 0)
    pool->ops->ask (pool->context, names[0], &message);
}

void
marjoram_quota_pool_visit (const marjoram_quota_pool *pool,
                           void (*visit) (void *context, const char *customer,
                                          int64_t held, int64_t needed),
                           void *context)
{
  const struct marjoram_quota_account *account;

  for (account = pool->accounts; account; account = account->hh.next)
    visit (context, account->customer, account->held, account->needed);
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
