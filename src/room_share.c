#include "room_share.h"

#include "cleanup.h"

#include <math.h>
#include <string.h>
#include <uthash.h>

/* Part of the capacity in use by which shares may exceed it, so that they grow
   again after part of the capacity was not used.  */
#define HEADROOM 0.05
/* The same while some hosts are not heard of: shares of the others must not
   grow fast into the capacity that these use.  */
#define PARTIAL_HEADROOM 0.02
/* Part of its share by which a customer has to want more than that for it to
   be over.  The sums of few requests vary by as much.  */
#define TOLERANCE 0.2
/* Weight of a new sample in a host's portion of a customer's demand, which is
   that of few requests.  */
#define PORTION_SMOOTHING 0.2
/* Rate at which one host starts requests of a limited customer, as a multiple
   of its portion of the share.  Slightly more, since the region's use limits
   it too.  */
#define PACE 1.1
/* Of a host in a large region, from which few of a customer's requests
   come.  */
#define PORTION_MIN 0.002

enum
{
  SHARES_VALID_MS = 25, /* one tick */
  /* After the last request of a customer that is not over was seen waiting.
     Longer than the collector's interval.  */
  SHORT_MS = 500,
  /* Work that a host may start at once is what it may start in this time.  */
  BURST_MS = 250,
  /* Requests that a host may start in a second up to which it is limited by
     its own portion as well.  With more, the region's use is enough.  */
  PACED_REQUESTS_MAX = 5,
  /* Longer than the collector's longest interval.  */
  OVERDUE_MS = 700,
  /* For which a host that receives no more sums takes a shortage to last.  */
  FROZEN_SHORT_MS = 10000,
  /* After which a place at an idle upstream that no request takes of customers
     that are not over is given to others.  One tick.  */
  HOLD_MAX_MS = 25,
  /* Work ahead at an upstream for which it needs no other yet, so that it does
     not become idle while hosts wait for a tick and for news of its load.  */
  BUSY_MIN_MS = 75,
  REFUSED_WAITS_MS = 300, /* for which a refused request counts as waiting */
  RETRY_MIN_MS = 250,
  RETRY_MAX_MS = 4000,
  PER_CENT = 100,
  PART_MAX = 100000 /* per cent */
};

/* A decaying sum.  */
struct sum
{
  double value;
  int64_t at;
};

struct user
{
  char *customer;
  double weight;
  struct sum used;    /* at this host */
  struct sum wanted;  /* likewise */
  double used_then;   /* at this host, as the last sums arrived */
  double region_used; /* as of the last sums */
  double region_wanted;
  double portion;  /* of the region's demand, that came to this host */
  bool is_limited; /* wanted more than its share, as of the last division */
  double credit;   /* work that this host may start, while limited */
  int64_t credit_at;
  double last_work; /* of a request */
  int waiting;      /* queued requests at this host that are not over */
  double queued;    /* their work */
  int64_t refused_at;
  UT_hash_handle hh;
};

struct service
{
  char *name;
  struct user *users;
  int64_t waiting_seen_at; /* at any host; INT64_MIN: never */
  bool was_waiting;        /* anywhere, by the last sums */
  bool satisfied_wait;     /* likewise, customers that are not limited */
  int64_t held_since;      /* while a place is free; 0: none is */
  double level;            /* share of weight 1; INFINITY: all are satisfied */
  int64_t level_at;        /* INT64_MIN: to be determined */
  bool is_frozen;          /* LEVEL is that of the last sums */
  UT_hash_handle hh;
};

struct weight
{
  char *customer;
  double value;
  UT_hash_handle hh;
};

struct marjoram_room_share
{
  struct service *services;
  struct weight *weights;
  double mean_weight;
  int64_t sums_at; /* INT64_MIN: none received */
  bool is_partial; /* the sums don't cover all hosts */
};

double
marjoram_room_decay (int64_t msec)
{
  return msec <= 0 ? 1 : exp (-(double)msec / MARJORAM_ROOM_DECAY_MS);
}

static double
sum_at (const struct sum *sum, int64_t now)
{
  return sum->value > 0 ? sum->value * marjoram_room_decay (now - sum->at) : 0;
}

static void
add_to_sum (struct sum *sum, int64_t now, double amount)
{
  const double value = sum_at (sum, now) + amount;

  sum->value = value > 0 ? value : 0;
  sum->at = now;
}

/* ---- Weights.  ---- */

static void
clear_weights (marjoram_room_share *share)
{
  struct weight *weight;
  struct weight *next;

  HASH_ITER (hh, share->weights, weight, next)
  {
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, share->weights, weight);
    free (weight->customer);
    free (weight);
  }
}

/* Quotas in different units can't be compared: those in tokens, which say more
   about work, are used if there are any.  */
static int
unit_of_weights (const struct marjoram_route_table *table)
{
  const struct marjoram_customer_rule *rules = table->customers.items;

  for (size_t i = 0; i < table->customers.count; i++)
    if (marjoram_customer_has_quota (&rules[i])
        && rules[i].unit == MARJORAM_QUOTA_TOKENS)
      return MARJORAM_QUOTA_TOKENS;
  return MARJORAM_QUOTA_REQUESTS;
}

static double
weight_of (const marjoram_room_share *share, const char *customer)
{
  const struct weight *weight;

  HASH_FIND_STR (share->weights, customer, weight);
  return weight ? weight->value : share->mean_weight;
}

static void
update_weights (marjoram_room_share *share)
{
  struct service *service;
  struct user *user;

  for (service = share->services; service; service = service->hh.next)
    {
      service->level_at = INT64_MIN;
      for (user = service->users; user; user = user->hh.next)
        user->weight = weight_of (share, user->customer);
    }
}

void
marjoram_room_share_set_table (marjoram_room_share *share,
                               const struct marjoram_route_table *table)
{
  const struct marjoram_customer_rule *rules = table->customers.items;
  const int unit = unit_of_weights (table);
  double sum = 0;

  clear_weights (share);
  for (size_t i = 0; i < table->customers.count; i++)
    {
      struct weight *weight;

      if (!marjoram_customer_has_quota (&rules[i]) || rules[i].unit != unit
          || rules[i].rate_per_s <= 0)
        continue;
      weight = marjoram_alloc (sizeof *weight);
      weight->customer = marjoram_strdup (rules[i].name);
      weight->value = rules[i].rate_per_s;
      sum += weight->value;
      HASH_ADD_KEYPTR (hh, share->weights, weight->customer,
                       strlen (weight->customer), weight);
    }
  share->mean_weight
      = share->weights ? sum / (double)HASH_COUNT (share->weights) : 1;
  update_weights (share);
}

/* ---- Services and their customers.  ---- */

marjoram_room_share *
marjoram_room_share_create (void)
{
  marjoram_room_share *share = marjoram_alloc (sizeof *share);

  share->mean_weight = 1;
  share->sums_at = INT64_MIN;
  return share;
}

static void
remove_user (struct service *service, struct user *user)
{
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, service->users, user);
  free (user->customer);
  free (user);
}

void
marjoram_room_share_destroy (marjoram_room_share *share)
{
  struct service *service;
  struct service *next;
  struct user *user;
  struct user *next_user;

  if (!share)
    return;
  HASH_ITER (hh, share->services, service, next)
  {
    HASH_ITER (hh, service->users, user, next_user)
    {
      remove_user (service, user);
    }
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, share->services, service);
    free (service->name);
    free (service);
  }
  clear_weights (share);
  free (share);
}

static struct service *
find_service (const marjoram_room_share *share, const char *name)
{
  struct service *service;

  HASH_FIND_STR (share->services, name, service);
  return service;
}

static struct service *
find_or_add_service (marjoram_room_share *share, const char *name)
{
  struct service *service = find_service (share, name);

  if (service)
    return service;
  service = marjoram_alloc (sizeof *service);
  service->name = marjoram_strdup (name);
  service->waiting_seen_at = INT64_MIN;
  service->level = INFINITY;
  service->level_at = INT64_MIN;
  HASH_ADD_KEYPTR (hh, share->services, service->name, strlen (service->name),
                   service);
  return service;
}

static struct user *
find_user (const struct service *service, const char *customer)
{
  struct user *user;

  HASH_FIND_STR (service->users, customer, user);
  return user;
}

static struct user *
find_or_add_user (marjoram_room_share *share, const char *service_name,
                  const char *customer)
{
  struct service *service = find_or_add_service (share, service_name);
  struct user *user = find_user (service, customer);

  if (user)
    return user;
  user = marjoram_alloc (sizeof *user);
  user->customer = marjoram_strdup (customer);
  user->weight = weight_of (share, customer);
  user->portion = 1;
  user->refused_at = INT64_MIN;
  HASH_ADD_KEYPTR (hh, service->users, user->customer, strlen (user->customer),
                   user);
  return user;
}

void
marjoram_room_share_add_wanted (marjoram_room_share *share, int64_t now,
                                const char *service, const char *customer,
                                int64_t work)
{
  add_to_sum (&find_or_add_user (share, service, customer)->wanted, now,
              (double)work);
}

void
marjoram_room_share_add_used (marjoram_room_share *share, int64_t now,
                              const char *service, const char *customer,
                              int64_t work)
{
  struct user *user = find_or_add_user (share, service, customer);

  add_to_sum (&user->used, now, (double)work);
  user->credit -= (double)work;
  user->last_work = (double)work;
}

void
marjoram_room_share_return_used (marjoram_room_share *share, int64_t now,
                                 const char *service, const char *customer,
                                 int64_t work)
{
  struct user *user = find_or_add_user (share, service, customer);

  add_to_sum (&user->used, now, -(double)work);
  user->credit += (double)work;
}

/* ---- Use and shares.  ---- */

static bool
has_sums (const marjoram_room_share *share, int64_t now)
{
  return share->sums_at != INT64_MIN
         && now <= share->sums_at + MARJORAM_ROOM_VALID_MS;
}

/* Until the next sums the use of the other hosts is taken to change as that of
   this host does, in proportion to the demand that each has.  Otherwise each
   host would let through, in one interval, all that the region has.  */
static double
used_by (const marjoram_room_share *share, const struct user *user,
         int64_t now)
{
  const double own = sum_at (&user->used, now);

  if (!has_sums (share, now))
    return own;
  return fmax (own,
               user->region_used + (own - user->used_then) / user->portion);
}

/* A request that waits is wanted however long it has waited.  */
static double
own_demand (const struct user *user, int64_t now)
{
  return fmax (sum_at (&user->wanted, now),
               sum_at (&user->used, now) + user->queued);
}

static double
wanted_by (const marjoram_room_share *share, const struct user *user,
           int64_t now)
{
  const double own = own_demand (user, now);

  return has_sums (share, now) ? fmax (own, user->region_wanted) : own;
}

static double
demand_of (const marjoram_room_share *share, const struct user *user,
           int64_t now)
{
  return fmax (used_by (share, user, now), wanted_by (share, user, now));
}

struct demand
{
  double amount;
  double weight;
};

static int
compare_demands (const void *a, const void *b)
{
  const struct demand *left = a;
  const struct demand *right = b;
  const double difference
      = left->amount * right->weight - right->amount * left->weight;

  return difference < 0 ? -1 : difference > 0;
}

/* The share of weight 1, of CAPACITY, that no customer exceeds by its demand
   if it is satisfied; INFINITY if all are.  Sorts DEMANDS.  */
static double
find_level (struct demand *demands, size_t count, double capacity)
{
  double weights = 0;

  qsort (demands, count, sizeof *demands, compare_demands);
  for (size_t i = 0; i < count; i++)
    weights += demands[i].weight;
  for (size_t i = 0; i < count; i++)
    {
      if (demands[i].amount * weights > capacity * demands[i].weight)
        return capacity / weights;
      capacity -= demands[i].amount;
      weights -= demands[i].weight;
    }
  return INFINITY;
}

/* Equal until the host has received sums: how the weights of the customers at
   this host compare with those in the region is not known.  */
static double
own_weight (const marjoram_room_share *share, const struct user *user)
{
  return share->sums_at == INT64_MIN ? 1 : user->weight;
}

/* Hosts that have started more than their portion wait for longer, so that not
   all of them start a request at once.  */
static void
limit (const marjoram_room_share *share, const struct service *service,
       struct user *user, int64_t now)
{
  const double part = service->level * own_weight (share, user);
  const bool was_limited = user->is_limited;

  user->is_limited = demand_of (share, user, now) > part * (1 + TOLERANCE);
  if (!user->is_limited || was_limited)
    return;
  user->credit = part * user->portion - sum_at (&user->used, now);
  user->credit_at = now;
}

static void
divide (const marjoram_room_share *share, struct service *service, int64_t now)
{
  const size_t count = HASH_COUNT (service->users);
  marjoram_auto_free struct demand *demands
      = marjoram_alloc ((count + 1) * sizeof *demands);
  struct user *user;
  const double headroom = service->satisfied_wait ? 0
                          : share->is_partial     ? PARTIAL_HEADROOM
                                                  : HEADROOM;
  double capacity = 0;
  size_t i = 0;

  for (user = service->users; user; user = user->hh.next)
    {
      capacity += used_by (share, user, now);
      demands[i++] = (struct demand){ demand_of (share, user, now),
                                      own_weight (share, user) };
    }
  service->level = count > 1
                       ? find_level (demands, count, capacity * (1 + headroom))
                       : INFINITY;
  service->level_at = now;
  for (user = service->users; user; user = user->hh.next)
    limit (share, service, user, now);
}

/* When the sums have expired, the last shares are kept if they limited any
   customer.  */
static void
update_level (const marjoram_room_share *share, struct service *service,
              int64_t now)
{
  const bool is_stale = share->sums_at != INT64_MIN && !has_sums (share, now);

  service->is_frozen
      = is_stale && (service->is_frozen || isfinite (service->level));
  if (service->is_frozen || has_sums (share, now)
      || (service->level_at != INT64_MIN
          && now < service->level_at + SHARES_VALID_MS))
    return;
  divide (share, service, now);
}

/* INFINITY if the customer may have what it wants.  */
static double
share_of (const marjoram_room_share *share, struct service *service,
          const struct user *user, int64_t now)
{
  update_level (share, service, now);
  if (service->is_frozen && !user->is_limited)
    return INFINITY;
  return service->level * own_weight (share, user);
}

/* Whether this host has started its portion of share PART.  Many hosts that
   looked at the region's use alone would start a request each as soon as it
   falls below the share.  */
static bool
is_spent (const struct service *service, struct user *user, double part,
          int64_t now)
{
  const double pace = service->is_frozen ? 1 : PACE;
  const double rate = part * user->portion * pace / MARJORAM_ROOM_DECAY_MS;

  if (!service->is_frozen
      && part * user->portion > PACED_REQUESTS_MAX * user->last_work)
    return false;
  user->credit = fmin (rate * BURST_MS,
                       user->credit + rate * (double)(now - user->credit_at));
  user->credit_at = now;
  return user->credit <= user->queued;
}

static bool
is_over (const marjoram_room_share *share, struct service *service,
         struct user *user, int64_t now)
{
  const double part = share_of (share, service, user, now);
  const double portion = has_sums (share, now) ? user->portion : 1;

  if (isinf (part))
    return false;
  if (service->is_frozen)
    return is_spent (service, user, part, now);
  if (demand_of (share, user, now) <= part * (1 + TOLERANCE))
    return false;
  return used_by (share, user, now) + user->queued / portion > part
         || (user->is_limited && has_sums (share, now)
             && is_spent (service, user, part, now));
}

bool
marjoram_room_share_is_over (marjoram_room_share *share, int64_t now,
                             const char *service_name, const char *customer)
{
  struct service *service = find_service (share, service_name);
  struct user *user = service ? find_user (service, customer) : NULL;

  return user && is_over (share, service, user, now);
}

bool
marjoram_room_share_is_limited (const marjoram_room_share *share,
                                const char *service_name, const char *customer)
{
  const struct service *service = find_service (share, service_name);
  const struct user *user = service ? find_user (service, customer) : NULL;

  return user && user->is_limited;
}

static int
part_of (const marjoram_room_share *share, struct service *service,
         const struct user *user, int64_t now)
{
  const double part = fmin (share_of (share, service, user, now),
                            demand_of (share, user, now));
  double per_cent;

  if (part <= 0)
    return 0;
  per_cent = PER_CENT * used_by (share, user, now) / part;
  return per_cent < PART_MAX ? (int)per_cent : PART_MAX;
}

int
marjoram_room_share_part (marjoram_room_share *share, int64_t now,
                          const char *service_name, const char *customer)
{
  struct service *service = find_service (share, service_name);
  const struct user *user = service ? find_user (service, customer) : NULL;

  return user ? part_of (share, service, user, now) : -1;
}

/* Its use has to fall to its share, and what it asked for beyond that share
   comes first.  */
int64_t
marjoram_room_share_retry_ms (marjoram_room_share *share, int64_t now,
                              const char *service_name, const char *customer)
{
  struct service *service = find_service (share, service_name);
  const struct user *user = service ? find_user (service, customer) : NULL;
  double part;
  double retry_ms;

  if (!user)
    return 0;
  part = share_of (share, service, user, now);
  if (demand_of (share, user, now) <= part * (1 + TOLERANCE))
    return 0;
  if (part <= 0)
    return RETRY_MAX_MS;
  retry_ms = MARJORAM_ROOM_DECAY_MS
             * (log (fmax (1, used_by (share, user, now) / part))
                + demand_of (share, user, now) / part - 1);
  return (int64_t)fmax (RETRY_MIN_MS, fmin (RETRY_MAX_MS, retry_ms));
}

/* ---- Shortage.  ---- */

void
marjoram_room_share_clear_waiting (marjoram_room_share *share)
{
  struct service *service;
  struct user *user;

  for (service = share->services; service; service = service->hh.next)
    for (user = service->users; user; user = user->hh.next)
      {
        user->waiting = 0;
        user->queued = 0;
      }
}

void
marjoram_room_share_add_waiting (marjoram_room_share *share, int64_t now,
                                 const char *service, const char *customer,
                                 int64_t work)
{
  struct user *user = find_or_add_user (share, service, customer);

  user->waiting++;
  user->queued += (double)work;
  find_service (share, service)->waiting_seen_at = now;
}

void
marjoram_room_share_add_refused (marjoram_room_share *share, int64_t now,
                                 const char *service, const char *customer)
{
  find_or_add_user (share, service, customer)->refused_at = now;
  find_service (share, service)->waiting_seen_at = now;
}

static bool
is_short (const marjoram_room_share *share, struct service *service,
          int64_t now)
{
  update_level (share, service, now);
  /* Requests may wait at a host that is not heard of.  */
  if (has_sums (share, now)
      && (service->was_waiting
          || (isfinite (service->level)
              && (share->is_partial || now > share->sums_at + OVERDUE_MS))))
    return true;
  if (service->is_frozen && now <= share->sums_at + FROZEN_SHORT_MS)
    return true;
  return service->waiting_seen_at != INT64_MIN
         && now <= service->waiting_seen_at + SHORT_MS;
}

bool
marjoram_room_share_is_short (marjoram_room_share *share, int64_t now,
                              const char *service_name)
{
  struct service *service = find_service (share, service_name);

  return service && is_short (share, service, now);
}

bool
marjoram_room_share_is_urgent (marjoram_room_share *share, int64_t now)
{
  struct service *service;

  for (service = share->services; service; service = service->hh.next)
    if (is_short (share, service, now))
      return true;
  return false;
}

bool
marjoram_room_share_holds (marjoram_room_share *share, int64_t now,
                           const char *service_name, const char *customer,
                           int64_t busy_ms)
{
  struct service *service = find_service (share, service_name);

  if (!service || !is_short (share, service, now)
      || !marjoram_room_share_is_over (share, now, service_name, customer))
    return false;
  if (busy_ms > BUSY_MIN_MS)
    {
      service->held_since = 0;
      return true;
    }
  if (service->held_since == 0)
    service->held_since = now;
  return now < service->held_since + HOLD_MAX_MS;
}

void
marjoram_room_share_found_none (marjoram_room_share *share,
                                const char *service_name)
{
  struct service *service = find_service (share, service_name);

  if (service)
    service->held_since = 0;
}

/* ---- Messages.  ---- */

static int
waiting_of (const struct user *user, int64_t now)
{
  const bool refused = user->refused_at != INT64_MIN
                       && now <= user->refused_at + REFUSED_WAITS_MS;

  return user->waiting + refused;
}

static bool
is_in_use (const struct user *user, int64_t now)
{
  return sum_at (&user->used, now) >= 1 || sum_at (&user->wanted, now) >= 1
         || waiting_of (user, now) > 0;
}

/* Frozen shares are kept, since the customers may return.  */
static bool
is_forgotten (const struct service *service, const struct user *user,
              int64_t now)
{
  return !is_in_use (user, now) && !service->is_frozen && user->region_used < 1
         && user->region_wanted < 1;
}

static size_t
count_users (const marjoram_room_share *share)
{
  const struct service *service;
  size_t count = 0;

  for (service = share->services; service; service = service->hh.next)
    count += HASH_COUNT (service->users);
  return count;
}

static void
add_item (struct marjoram_room_report *report, const struct service *service,
          const struct user *user, int64_t now)
{
  struct marjoram_room_item *items = report->items.items;

  items[report->items.count++] = (struct marjoram_room_item){
    .service = marjoram_strdup (service->name),
    .customer = marjoram_strdup (user->customer),
    .used = (uint64_t)llround (sum_at (&user->used, now)),
    .wanted = (uint64_t)llround (own_demand (user, now)),
    .waiting = (uint64_t)waiting_of (user, now)
  };
}

void
marjoram_room_share_report (marjoram_room_share *share, int64_t now,
                            struct marjoram_room_report *report)
{
  struct service *service;
  struct user *user;
  struct user *next;

  memset (report, 0, sizeof *report);
  report->hosts = 1;
  report->items.items = marjoram_alloc ((count_users (share) + 1)
                                        * sizeof (struct marjoram_room_item));
  for (service = share->services; service; service = service->hh.next)
    HASH_ITER (hh, service->users, user, next)
    {
      if (is_forgotten (service, user, now))
        remove_user (service, user);
      else if (is_in_use (user, now)
               && report->items.count < MARJORAM_ROOM_ITEMS_MAX)
        add_item (report, service, user, now);
    }
}

static void
clear_region (marjoram_room_share *share, int64_t now)
{
  struct service *service;
  struct user *user;

  for (service = share->services; service; service = service->hh.next)
    {
      service->was_waiting = false;
      service->satisfied_wait = false;
      for (user = service->users; user; user = user->hh.next)
        {
          user->used_then = sum_at (&user->used, now);
          user->region_used = 0;
          user->region_wanted = 0;
        }
    }
}

static void
apply_item (marjoram_room_share *share, int64_t now,
            const struct marjoram_room_item *item)
{
  struct user *user = find_or_add_user (share, item->service, item->customer);
  const double portion
      = item->wanted > 0
            ? fmin (1, own_demand (user, now) / (double)item->wanted)
            : 1;

  user->used_then = sum_at (&user->used, now);
  user->region_used = (double)item->used;
  user->region_wanted = (double)item->wanted;
  user->portion += PORTION_SMOOTHING * (portion - user->portion);
  user->portion = fmax (PORTION_MIN, user->portion);
  if (item->waiting > 0)
    {
      struct service *service = find_service (share, item->service);

      service->waiting_seen_at = now;
      service->was_waiting = true;
      service->satisfied_wait = service->satisfied_wait || !user->is_limited;
    }
}

void
marjoram_room_share_apply (marjoram_room_share *share, int64_t now,
                           const struct marjoram_room_report *sums,
                           size_t hosts)
{
  const struct marjoram_room_item *items = sums->items.items;
  struct service *service;

  /* A collector that has just begun.  */
  if (sums->hosts * 2 < hosts)
    return;
  clear_region (share, now);
  share->sums_at = now;
  share->is_partial = sums->hosts < hosts;
  for (size_t i = 0; i < sums->items.count; i++)
    if (items[i].service && items[i].customer)
      apply_item (share, now, &items[i]);
  for (service = share->services; service; service = service->hh.next)
    divide (share, service, now);
}

void
marjoram_room_share_visit (
    marjoram_room_share *share, int64_t now,
    void (*visit) (void *context, const struct marjoram_room_state *state),
    void *context)
{
  struct service *service;
  struct user *user;

  for (service = share->services; service; service = service->hh.next)
    for (user = service->users; user; user = user->hh.next)
      {
        const struct marjoram_room_state state
            = { .service = service->name,
                .customer = user->customer,
                .weight = user->weight,
                .used = used_by (share, user, now),
                .wanted = wanted_by (share, user, now),
                .part = part_of (share, service, user, now),
                .is_over = is_over (share, service, user, now),
                .is_short = is_short (share, service, now) };

        visit (context, &state);
      }
}
