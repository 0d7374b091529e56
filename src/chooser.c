#include "chooser.h"

#include "cache_index.h"
#include "cleanup.h"

#include <math.h>
#include <string.h>

enum
{
  PREFIX_INDEX_CAPACITY = 16384,
  SAMPLE_SIZE = 2,       /* random candidates */
  EXTRA_SAMPLE_SIZE = 6, /* if those would queue */
  SLOW_START_MS = 10000,
  CAPACITY_CACHE_MS = 50,
  PEER_WEIGHT_CACHE_MS = 1000,
  OUTLIER_MIN_SAMPLES = 8,
  OUTLIER_CHECK_INTERVAL = 16 /* in samples */
};

/* Relative slowdown of decoding in a full batch over a single stream.  */
#define BATCH_SLOWDOWN 0.5
/* Fraction of the prefill time that a cached prefix saves.  */
#define CACHED_PREFIX_SAVING 0.6
/* Prefill stalls the decoding of the whole batch; weight of its duration for
   each request in the batch.  */
#define PREFILL_WEIGHT 4.0
/* Weight of a request of this host when the zone has other hosts.  */
#define PEER_LOAD_WEIGHT 2.0
#define EWMA_WEIGHT 0.1
#define OUTLIER_FACTOR 3.0

struct marjoram_chooser
{
  marjoram_members *members;
  marjoram_suspects *suspects;
  marjoram_random *random;
  marjoram_config *config;
  marjoram_pools *pools;
  marjoram_cache_index *cache;
  double peer_weight;
  int64_t peer_weight_updated;
};

marjoram_chooser *
marjoram_chooser_create (marjoram_members *members,
                         marjoram_suspects *suspects, marjoram_random *random)
{
  marjoram_chooser *chooser = marjoram_alloc (sizeof *chooser);

  chooser->members = members;
  chooser->suspects = suspects;
  chooser->random = random;
  chooser->pools = marjoram_pools_create (members);
  chooser->cache = marjoram_cache_index_create (PREFIX_INDEX_CAPACITY);
  return chooser;
}

void
marjoram_chooser_destroy (marjoram_chooser *chooser)
{
  if (!chooser)
    return;
  marjoram_pools_destroy (chooser->pools);
  marjoram_cache_index_destroy (chooser->cache);
  marjoram_config_release (chooser->config);
  free (chooser);
}

void
marjoram_chooser_configure (marjoram_chooser *chooser, marjoram_config *config)
{
  marjoram_pools_configure (chooser->pools, config);
  marjoram_config_retain (config);
  marjoram_config_release (chooser->config);
  chooser->config = config;
}

/* Estimated number of requests at the upstream.  The last report is stale, so
   requests that this host started or finished since are added.  They are
   weighted if the zone has other hosts, which select from the same report and
   would otherwise overload the upstream that looked idle in it.  */
static double
estimate_load (const marjoram_chooser *chooser,
               const struct marjoram_upstream *upstream)
{
  double since = (double)upstream->started - (double)upstream->finished;
  double reported = (double)(upstream->announcement->running
                             + upstream->announcement->waiting);

  return fmax (reported + since * chooser->peer_weight, upstream->in_flight);
}

static double
slot_count (const struct marjoram_upstream *upstream)
{
  return upstream->announcement->slots ? (double)upstream->announcement->slots
                                       : 1;
}

/* Keeps a restarted upstream, with an empty cache and no load, from attracting
   all new requests of the zone: its cost is raised during the first seconds.
   This affects only the ranking, so that requests are not refused when all
   upstreams have just started.  */
static double
slow_start_penalty (const struct marjoram_upstream *upstream, int64_t now)
{
  int64_t age = now - upstream->since;

  if (age >= SLOW_START_MS)
    return 0;
  return 1 - (double)(age > 0 ? age : 0) / SLOW_START_MS;
}

static double
prefill_ms (const struct marjoram_work *work,
            const struct marjoram_query *query, bool cached)
{
  double tokens = (double)query->prompt_tokens;

  if (work->prefill_rate <= 0)
    return 0;
  return tokens * (cached ? 1 - CACHED_PREFIX_SAVING : 1) / work->prefill_rate
         * 1000;
}

static double
decode_ms (const struct marjoram_work *work,
           const struct marjoram_query *query)
{
  if (work->decode_rate <= 0)
    return 0;
  return (double)query->answer_tokens / work->decode_rate * 1000;
}

static double
unloaded_ms (const marjoram_chooser *chooser, const struct marjoram_pool *pool,
             const struct marjoram_query *query, bool cached)
{
  const struct marjoram_work *work
      = marjoram_config_work (chooser->config, query->work);

  if (work->kind == MARJORAM_WORK_SERVICE)
    return pool->service_ms;
  return prefill_ms (work, query, cached) + decode_ms (work, query);
}

double
marjoram_chooser_unloaded_ms (const marjoram_chooser *chooser,
                              const struct marjoram_query *query)
{
  return unloaded_ms (
      chooser, marjoram_pools_get (chooser->pools, query->work), query, false);
}

/* Returns true if a request has waited there in vain since the last report,
   which then came before the upstream was full.  */
static bool
waited_since_report (const struct marjoram_upstream *upstream, int64_t now)
{
  return marjoram_upstream_least_wait_ms (upstream, now) > 0
         && upstream->waited_at >= upstream->reported;
}

/* The wait for a slot of a full upstream.  The mean is of this host's own
   requests; those of other hosts may be much longer, which shows only when
   requests wait in vain.  */
static double
slot_wait_ms (const struct marjoram_pool *pool,
              const struct marjoram_candidate *candidate, double load,
              int64_t now)
{
  double slots = slot_count (candidate->upstream);
  double expected_ms = (load - slots + 1) / slots * pool->mean_ms
                       * candidate->latency->factor;

  return fmax (expected_ms, (double)marjoram_upstream_least_wait_ms (
                                candidate->upstream, now));
}

static void
estimate_candidate (const marjoram_chooser *chooser, int64_t now,
                    const struct marjoram_pool *pool,
                    const struct marjoram_candidate *candidate,
                    const struct marjoram_query *query, bool cached,
                    struct marjoram_pick *pick)
{
  const struct marjoram_upstream *upstream = candidate->upstream;
  const struct marjoram_work *work
      = marjoram_config_work (chooser->config, query->work);
  double slots = slot_count (upstream);
  double load = estimate_load (chooser, upstream);
  double fill = fmin (1, load / slots);
  double factor = candidate->latency->factor;

  pick->upstream = upstream;
  pick->cached = cached;
  pick->has_free_slot = load < slots && !waited_since_report (upstream, now);
  pick->wait_ms
      = pick->has_free_slot ? 0 : slot_wait_ms (pool, candidate, load, now);
  pick->total_ms = pick->wait_ms
                   + unloaded_ms (chooser, pool, query, cached)
                         * (1 + BATCH_SLOWDOWN * fill) * factor;
  pick->cost = pick->total_ms
               + PREFILL_WEIGHT * fmin (load, slots)
                     * prefill_ms (work, query, cached);
}

static bool
was_tried (const struct marjoram_query *query, const char *name)
{
  for (int i = 0; i < query->tried_count; i++)
    if (strcmp (query->tried[i], name) == 0)
      return true;
  return false;
}

struct selection
{
  marjoram_chooser *chooser;
  struct marjoram_pool *pool;
  const struct marjoram_query *query;
  int64_t now;
  bool suspect;
  double best_cost;
  struct marjoram_pick *best;
};

static bool
is_usable (const struct selection *selection,
           const struct marjoram_upstream *upstream)
{
  const char *name = upstream->announcement->name;

  if (!marjoram_upstream_usable (upstream, selection->now)
      || was_tried (selection->query, name))
    return false;
  return !selection->suspect
         || marjoram_suspects_may_start (selection->chooser->suspects,
                                         selection->now, name,
                                         selection->query->digest);
}

/* Overnight work may only use free slots, so an upstream with free slots ranks
   first.  Interactive work may also queue at the replica that has its prefix
   cached.  */
static bool
is_better (const struct selection *selection, const struct marjoram_pick *pick,
           double cost)
{
  const struct marjoram_pick *best = selection->best;

  if (!best->upstream)
    return true;
  if (selection->query->class == MARJORAM_CLASS_OVERNIGHT
      && best->has_free_slot != pick->has_free_slot)
    return pick->has_free_slot;
  return cost < selection->best_cost;
}

static void
evaluate (struct selection *selection, int index, bool cached)
{
  const struct marjoram_candidate *candidate
      = &selection->pool->candidates[index];
  struct marjoram_pick pick;
  double cost;

  if (!is_usable (selection, candidate->upstream))
    return;
  estimate_candidate (selection->chooser, selection->now, selection->pool,
                      candidate, selection->query, cached, &pick);
  cost = pick.cost
         * (1 + slow_start_penalty (candidate->upstream, selection->now));
  if (!is_better (selection, &pick, cost))
    return;
  selection->best_cost = cost;
  *selection->best = pick;
}

/* Hashing maps a prefix to the same replica on all hosts without
   coordination.  */
static void
evaluate_preferred (struct selection *selection)
{
  evaluate (selection,
            marjoram_pool_find_by_hash (selection->pool,
                                        selection->query->prefix_hash),
            true);
}

static uint64_t
cache_key (const struct marjoram_query *query)
{
  return query->prefix_hash + (uint64_t)query->work;
}

/* An upstream that restarted after the entry was recorded has an empty
   cache.  */
static void
evaluate_cache_holders (struct selection *selection)
{
  const struct marjoram_pool *pool = selection->pool;
  const struct marjoram_cache_holder *holders = marjoram_cache_index_find (
      selection->chooser->cache, selection->now, cache_key (selection->query));

  for (int i = 0; holders && i < MARJORAM_CACHE_HOLDERS; i++)
    {
      int index = marjoram_pool_find (pool, holders[i].holder);

      if (index >= 0
          && holders[i].seen >= pool->candidates[index].upstream->since)
        evaluate (selection, index, true);
    }
}

static void
evaluate_sample (struct selection *selection, int count)
{
  for (int i = 0; i < count; i++)
    evaluate (selection,
              (int)marjoram_random_below (selection->chooser->random,
                                          (uint32_t)selection->pool->count),
              false);
}

/* Fallback if the sample holds no usable upstream.  */
static void
evaluate_all (struct selection *selection)
{
  uint32_t start = marjoram_random_below (selection->chooser->random,
                                          (uint32_t)selection->pool->count);

  for (int i = 0; i < selection->pool->count; i++)
    evaluate (selection, (int)(start + (uint32_t)i) % selection->pool->count,
              false);
}

/* Recomputed periodically, since counting hosts costs more than the rest of a
   selection.  */
static void
update_peer_weight (marjoram_chooser *chooser, int64_t now)
{
  if (now < chooser->peer_weight_updated + PEER_WEIGHT_CACHE_MS
      && chooser->peer_weight > 0)
    return;
  chooser->peer_weight_updated = now;
  chooser->peer_weight
      = marjoram_members_count_hosts (chooser->members, now) > 1
            ? PEER_LOAD_WEIGHT
            : 1;
}

static bool
is_suspect (const marjoram_chooser *chooser, int64_t now,
            const struct marjoram_query *query)
{
  return query->digest && chooser->suspects
         && marjoram_suspects_get (chooser->suspects, now, query->digest)
                != MARJORAM_SUSPICION_NONE;
}

void
marjoram_chooser_pick (marjoram_chooser *chooser, int64_t now,
                       const struct marjoram_query *query,
                       struct marjoram_pick *pick)
{
  struct marjoram_pool *pool
      = marjoram_pools_get (chooser->pools, query->work);
  struct selection selection
      = { chooser, pool, query, now, false, HUGE_VAL, pick };
  double unloaded = unloaded_ms (chooser, pool, query, false);

  *pick = (struct marjoram_pick){ 0 };
  pool->mean_ms
      = pool->mean_ms > 0
            ? pool->mean_ms + EWMA_WEIGHT * (unloaded - pool->mean_ms)
            : unloaded;
  if (pool->count == 0)
    return;
  update_peer_weight (chooser, now);
  selection.suspect = is_suspect (chooser, now, query);
  if (query->prefix_hash)
    {
      evaluate_cache_holders (&selection);
      evaluate_preferred (&selection);
    }
  evaluate_sample (&selection, SAMPLE_SIZE);
  if (!pick->upstream || !pick->has_free_slot)
    evaluate_sample (&selection, EXTRA_SAMPLE_SIZE);
  if (!pick->upstream)
    evaluate_all (&selection);
  if (pick->upstream && query->prefix_hash)
    marjoram_cache_index_add (
        chooser->cache, now, cache_key (query),
        marjoram_pool_key (pick->upstream->announcement->name));
}

const struct marjoram_pool_capacity *
marjoram_chooser_capacity (marjoram_chooser *chooser, int64_t now, int work)
{
  struct marjoram_pool *pool = marjoram_pools_get (chooser->pools, work);
  struct marjoram_pool_capacity *capacity = &pool->capacity;

  if (now < pool->capacity_updated_at + CAPACITY_CACHE_MS)
    return capacity;
  *capacity = (struct marjoram_pool_capacity){ 0 };
  pool->capacity_updated_at = now;
  capacity->wait_ms = HUGE_VAL;
  for (int i = 0; i < pool->count; i++)
    {
      const struct marjoram_candidate *candidate = &pool->candidates[i];
      double slots = slot_count (candidate->upstream);
      double load = estimate_load (chooser, candidate->upstream);

      if (!marjoram_upstream_usable (candidate->upstream, now))
        continue;
      capacity->upstreams++;
      capacity->factor += candidate->latency->factor;
      capacity->slots += slots;
      capacity->load += load;
      capacity->free += fmax (0, slots - load);
      capacity->wait_ms = fmin (
          capacity->wait_ms,
          load < slots ? 0 : slot_wait_ms (pool, candidate, load, now));
    }
  capacity->factor
      = capacity->upstreams ? capacity->factor / capacity->upstreams : 1;
  return capacity;
}

/* Ejects an upstream that reports itself healthy but is much slower than its
   peers, for example because of a failing accelerator.  */
static void
eject_if_slow (marjoram_chooser *chooser, const struct marjoram_pool *pool,
               int64_t now, struct marjoram_upstream_latency *latency)
{
  double sum = 0;
  int peers = 0;

  for (int i = 0; i < pool->count; i++)
    {
      const struct marjoram_upstream_latency *peer
          = pool->candidates[i].latency;

      if (peer == latency || peer->samples < OUTLIER_MIN_SAMPLES)
        continue;
      sum += peer->factor;
      peers++;
    }
  if (peers > 0 && latency->factor > OUTLIER_FACTOR * sum / peers
      && marjoram_members_eject (chooser->members, now, latency->name))
    {
      latency->samples = 0;
      latency->factor = sum / peers;
    }
}

void
marjoram_chooser_record_latency (marjoram_chooser *chooser, int64_t now,
                                 const char *upstream,
                                 const struct marjoram_query *query,
                                 int64_t first_ms, int64_t whole_ms,
                                 uint64_t tokens)
{
  struct marjoram_pool *pool
      = marjoram_pools_get (chooser->pools, query->work);
  struct marjoram_query measured = *query;
  struct marjoram_upstream_latency *latency;
  double unloaded;

  (void)first_ms;
  latency = marjoram_pools_latency (chooser->pools, upstream);
  if (!latency)
    return;
  if (marjoram_config_work (chooser->config, query->work)->kind
      == MARJORAM_WORK_SERVICE)
    pool->service_ms += EWMA_WEIGHT * ((double)whole_ms - pool->service_ms);
  if (tokens)
    measured.answer_tokens = tokens;
  unloaded = fmax (1, unloaded_ms (chooser, pool, &measured, false));
  latency->factor
      += EWMA_WEIGHT * ((double)whole_ms / unloaded - latency->factor);
  latency->samples++;
  if (latency->samples >= OUTLIER_MIN_SAMPLES
      && latency->samples % OUTLIER_CHECK_INTERVAL == 0)
    eject_if_slow (chooser, pool, now, latency);
}

void
marjoram_chooser_visit (marjoram_chooser *chooser, int64_t now,
                        const struct marjoram_query *query,
                        void (*visit) (void *context,
                                       const struct marjoram_pick *pick,
                                       bool usable),
                        void *context)
{
  struct marjoram_pool *pool
      = marjoram_pools_get (chooser->pools, query->work);
  struct selection selection = { chooser, pool, query, now, false, 0, NULL };
  struct marjoram_pick pick;

  selection.suspect = is_suspect (chooser, now, query);
  for (int i = 0; i < pool->count; i++)
    {
      estimate_candidate (chooser, now, pool, &pool->candidates[i], query,
                          false, &pick);
      visit (context, &pick, is_usable (&selection, pick.upstream));
    }
}
