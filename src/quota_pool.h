/* Customers' quotas at an entry host: units that keepers have handed out, and
   requests that wait for units.  A request asks the nearest keeper for what is
   missing, then all others at once, and is denied when none has enough.  Units
   that are not spent in time are void; those of a refused request may be spent
   by others until then.  Pure decision logic.  */
#ifndef MARJORAM_QUOTA_POOL_H
#define MARJORAM_QUOTA_POOL_H

#include "gateway_message.h"
#include "route_table.h"

#include <sys/queue.h>

typedef struct marjoram_quota_pool marjoram_quota_pool;

enum
{
  MARJORAM_QUOTA_KEEPERS_MAX = 16 /* asked for one customer */
};

enum marjoram_quota_result
{
  MARJORAM_QUOTA_PAID,
  MARJORAM_QUOTA_WAITING,
  MARJORAM_QUOTA_DENIED, /* no keeper has enough units */
  MARJORAM_QUOTA_UNKNOWN /* no keeper has answered */
};

/* One request's payment; embedded in the request and zero at first.  */
struct marjoram_quota_claim
{
  TAILQ_ENTRY (marjoram_quota_claim) link;
  void *owner;
  struct marjoram_quota_account *account; /* while it waits or has paid */
  int64_t units;
  int64_t started_at;
  int64_t valid_until; /* PAID: of the units that were spent */
  bool waiting;
  bool paid;
};

struct marjoram_quota_pool_ops
{
  /* Fills NAMES with the reachable keepers, nearest first; returns their
     number.  The names are borrowed until the next call.  */
  size_t (*keepers) (void *context,
                     const char *names[MARJORAM_QUOTA_KEEPERS_MAX]);
  void (*ask) (void *context, const char *keeper,
               const struct marjoram_quota_ask *ask);
  /* The wait of CLAIM has ended.  RETRY_MS is the time after which the
     customer will probably have enough units, for DENIED.  */
  void (*settled) (void *context, int64_t now,
                   struct marjoram_quota_claim *claim,
                   enum marjoram_quota_result result, int64_t retry_ms);
};

marjoram_quota_pool *
marjoram_quota_pool_create (const struct marjoram_quota_pool_ops *ops,
                            void *context);
void marjoram_quota_pool_destroy (marjoram_quota_pool *pool);
/* Pays UNITS for a request of CUSTOMER, or starts to wait for them: WAITING
   ends with a call of SETTLED from marjoram_quota_pool_serve or a later call,
   unless the claim is released before.  */
enum marjoram_quota_result
marjoram_quota_pool_claim (marjoram_quota_pool *pool, int64_t now,
                           struct marjoram_quota_claim *claim,
                           const char *customer, int64_t units);
/* Asks for the units that the latest claim waits for, which may settle claims
   of its customer.  Otherwise this is done by the next tick.  */
void marjoram_quota_pool_serve (marjoram_quota_pool *pool, int64_t now);
/* Ends the wait of CLAIM, or gives back what it paid if SPENT is false.  */
void marjoram_quota_pool_release (marjoram_quota_pool *pool, int64_t now,
                                  struct marjoram_quota_claim *claim,
                                  bool spent);
void marjoram_quota_pool_granted (marjoram_quota_pool *pool, int64_t now,
                                  const char *keeper,
                                  const struct marjoram_quota_grant *grant);
/* Calls VISIT for each customer with recent requests: units held, and units
   that requests wait for.  */
void marjoram_quota_pool_visit (const marjoram_quota_pool *pool,
                                void (*visit) (void *context,
                                               const char *customer,
                                               int64_t held, int64_t needed),
                                void *context);
/* To be called at least every 50 ms.  */
void marjoram_quota_pool_tick (marjoram_quota_pool *pool, int64_t now);

#endif
