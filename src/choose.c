#include "choose.h"

#include "cache_index.h"
#include "cleanup.h"

#include <math.h>
#include <string.h>

enum
{
  PREFIXES = 16384, /* remembered */
  DRAWN = 2,        /* candidates at random */
  DRAWN_MORE = 6,   /* if those would make it wait */
  SLOW_START_MS = 10000,
  ROOM_AGE_MS = 50,
  OTHERS_AGE_MS = 1000,
  SLOW_SAMPLES = 8,
  SLOW_CHECK = 16 /* measurements between two looks at one upstream */
};

/* How much slower a full batch decodes than a single stream.  */
#define BATCH_SLOWDOWN 0.5
/* Part of the prompt that a cached prefix is taken to spare.  */
#define CACHED_PART 0.6
/* Prefill holds up the decoding of the whole batch: how much its time counts
   for each request there.  */
#define PREFILL_WEIGHT 4.0
/* What one request of this host stands for where there are other hosts.  */
#define OTHERS 2.0
#define EWMA 0.1
#define SLOW_FACTOR 3.0

struct marjoram_chooser
{
  marjoram_members *members;
  marjoram_suspects *suspects;
  marjoram_random *random;
  marjoram_config *config;
  marjoram_pools *pools;
  marjoram_cache_index *cache;
  double others; /* what one request of this host stands for */
  int64_t others_at;
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
  chooser->cache = marjoram_cache_index_create (PREFIXES);
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

/* Requests there now.  The report is old, so what this host started and ended
   since is added, and more than once if the zone has other hosts: they have
   the same old report and will have chosen alike, which would overload the
   upstream that looked free in it.  */
static double
load_of (const marjoram_chooser *chooser,
         const struct marjoram_upstream *upstream)
{
  double since = (double)upstream->started - (double)upstream->finished;
  double reported = (double)(upstream->announcement->running
                             + upstream->announcement->waiting);

  return fmax (reported + since * chooser->others, upstream->in_flight);
}

static double
slots_of (const struct marjoram_upstream *upstream)
{
  return upstream->announcement->slots ? (double)upstream->announcement->slots
                                       : 1;
}

/* Stops a returning upstream, whose cache is cold and whose load is zero, from
   drawing the whole zone's requests at once: it counts as partly loaded for
   its first seconds.  It is a matter of preference only, so that nothing is
   refused when all upstreams have just started.  */
static double
slow_start (const struct marjoram_upstream *upstream, int64_t now)
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
  return tokens * (cached ? 1 - CACHED_PART : 1) / work->prefill_rate * 1000;
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
alone_ms (const marjoram_chooser *chooser, const struct marjoram_pool *pool,
          const struct marjoram_query *query, bool cached)
{
  const struct marjoram_work *work
      = marjoram_config_work (chooser->config, query->work);

  if (work->kind == MARJORAM_WORK_SERVICE)
    return pool->service_ms;
  return prefill_ms (work, query, cached) + decode_ms (work, query);
}

double
marjoram_chooser_alone_ms (const marjoram_chooser *chooser,
                           const struct marjoram_query *query)
{
  return alone_ms (chooser, marjoram_pools_get (chooser->pools, query->work),
                   query, false);
}

static void
estimate (const marjoram_chooser *chooser, const struct marjoram_pool *pool,
          const struct marjoram_candidate *candidate,
          const struct marjoram_query *query, bool cached,
          struct marjoram_pick *pick)
{
  const struct marjoram_upstream *upstream = candidate->upstream;
  const struct marjoram_work *work
      = marjoram_config_work (chooser->config, query->work);
  double slots = slots_of (upstream);
  double load = load_of (chooser, upstream);
  double fill = fmin (1, load / slots);
  double factor = candidate->speed->factor;

  pick->upstream = upstream;
  pick->cached = cached;
  pick->room = load < slots;
  pick->wait_ms
      = pick->room ? 0 : (load - slots + 1) / slots * pool->mean_ms * factor;
  pick->total_ms = pick->wait_ms
                   + alone_ms (chooser, pool, query, cached)
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

/* What holds for all candidates of one choice.  */
struct search
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
usable (const struct search *search, const struct marjoram_upstream *upstream)
{
  const char *name = upstream->announcement->name;

  if (!marjoram_upstream_usable (upstream, search->now)
      || was_tried (search->query, name))
    return false;
  return !search->suspect
         || marjoram_suspects_may_start (search->chooser->suspects,
                                         search->now, name,
                                         search->query->digest);
}

/* Overnight work may only fill free slots, so one that has some goes first;
   interactive work may also wait a little for the replica that has its
   prefix.  */
static bool
is_better (const struct search *search, const struct marjoram_pick *pick,
           double cost)
{
  const struct marjoram_pick *best = search->best;

  if (!best->upstream)
    return true;
  if (search->query->class == MARJORAM_CLASS_OVERNIGHT
      && best->room != pick->room)
    return pick->room;
  return cost < search->best_cost;
}

static void
consider (struct search *search, int index, bool cached)
{
  const struct marjoram_candidate *candidate
      = &search->pool->candidates[index];
  struct marjoram_pick pick;
  double cost;

  if (!usable (search, candidate->upstream))
    return;
  estimate (search->chooser, search->pool, candidate, search->query, cached,
            &pick);
  cost = pick.cost * (1 + slow_start (candidate->upstream, search->now));
  if (!is_better (search, &pick, cost))
    return;
  search->best_cost = cost;
  *search->best = pick;
}

/* All hosts find the same replica for a prefix, without a word between
   them.  */
static void
consider_preferred (struct search *search)
{
  consider (search,
            marjoram_pool_nearest (search->pool, search->query->prefix_hash),
            true);
}

static uint64_t
cache_key (const struct marjoram_query *query)
{
  return query->prefix_hash + (uint64_t)query->work;
}

/* An upstream that came back since has an empty cache.  */
static void
consider_holders (struct search *search)
{
  const struct marjoram_pool *pool = search->pool;
  const struct marjoram_cache_holder *holders = marjoram_cache_index_find (
      search->chooser->cache, search->now, cache_key (search->query));

  for (int i = 0; holders && i < MARJORAM_CACHE_HOLDERS; i++)
    {
      int index = marjoram_pool_find (pool, holders[i].holder);

      if (index >= 0
          && holders[i].seen >= pool->candidates[index].upstream->since)
        consider (search, index, true);
    }
}

static void
draw (struct search *search, int count)
{
  for (int i = 0; i < count; i++)
    consider (search,
              (int)marjoram_random_below (search->chooser->random,
                                          (uint32_t)search->pool->count),
              false);
}

/* Only when chance has found none that may be used at all.  */
static void
consider_all (struct search *search)
{
  uint32_t start = marjoram_random_below (search->chooser->random,
                                          (uint32_t)search->pool->count);

  for (int i = 0; i < search->pool->count; i++)
    consider (search, (int)(start + (uint32_t)i) % search->pool->count, false);
}

/* The other hosts are counted now and then only: it takes longer than the
   rest of a choice.  */
static void
count_others (marjoram_chooser *chooser, int64_t now)
{
  if (now < chooser->others_at + OTHERS_AGE_MS && chooser->others > 0)
    return;
  chooser->others_at = now;
  chooser->others
      = marjoram_members_hosts (chooser->members, now) > 1 ? OTHERS : 1;
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
  struct search search = { chooser, pool, query, now, false, HUGE_VAL, pick };
  double alone = alone_ms (chooser, pool, query, false);

  *pick = (struct marjoram_pick){ 0 };
  pool->mean_ms = pool->mean_ms > 0
                      ? pool->mean_ms + EWMA * (alone - pool->mean_ms)
                      : alone;
  if (pool->count == 0)
    return;
  count_others (chooser, now);
  search.suspect = is_suspect (chooser, now, query);
  if (query->prefix_hash)
    {
      consider_holders (&search);
      consider_preferred (&search);
    }
  draw (&search, DRAWN);
  if (!pick->upstream || !pick->room)
    draw (&search, DRAWN_MORE);
  if (!pick->upstream)
    consider_all (&search);
  if (pick->upstream && query->prefix_hash)
    marjoram_cache_index_add (
        chooser->cache, now, cache_key (query),
        marjoram_pool_key (pick->upstream->announcement->name));
}

const struct marjoram_room *
marjoram_chooser_room (marjoram_chooser *chooser, int64_t now, int work)
{
  struct marjoram_pool *pool = marjoram_pools_get (chooser->pools, work);
  struct marjoram_room *room = &pool->room;

  if (now < pool->room_at + ROOM_AGE_MS)
    return room;
  *room = (struct marjoram_room){ 0 };
  pool->room_at = now;
  room->wait_ms = HUGE_VAL;
  for (int i = 0; i < pool->count; i++)
    {
      const struct marjoram_candidate *candidate = &pool->candidates[i];
      double slots = slots_of (candidate->upstream);
      double load = load_of (chooser, candidate->upstream);

      if (!marjoram_upstream_usable (candidate->upstream, now))
        continue;
      room->upstreams++;
      room->factor += candidate->speed->factor;
      room->slots += slots;
      room->load += load;
      room->free += fmax (0, slots - load);
      room->wait_ms = fmin (room->wait_ms, fmax (0, load - slots + 1) / slots
                                               * pool->mean_ms
                                               * candidate->speed->factor);
    }
  room->factor = room->upstreams ? room->factor / room->upstreams : 1;
  return room;
}

/* Stops an upstream that announces itself well but works slowly (a failing
   accelerator, a busy neighbour) from holding its share of the requests: its
   time is compared with that of its peers.  */
static void
eject_if_slow (marjoram_chooser *chooser, const struct marjoram_pool *pool,
               int64_t now, struct marjoram_speed *speed)
{
  double sum = 0;
  int peers = 0;

  for (int i = 0; i < pool->count; i++)
    {
      const struct marjoram_speed *peer = pool->candidates[i].speed;

      if (peer == speed || peer->samples < SLOW_SAMPLES)
        continue;
      sum += peer->factor;
      peers++;
    }
  if (peers > 0 && speed->factor > SLOW_FACTOR * sum / peers
      && marjoram_members_eject (chooser->members, now, speed->name))
    {
      speed->samples = 0;
      speed->factor = sum / peers;
    }
}

void
marjoram_chooser_measured (marjoram_chooser *chooser, int64_t now,
                           const char *upstream,
                           const struct marjoram_query *query,
                           int64_t first_ms, int64_t whole_ms, uint64_t tokens)
{
  struct marjoram_pool *pool
      = marjoram_pools_get (chooser->pools, query->work);
  struct marjoram_query measured = *query;
  struct marjoram_speed *speed;
  double alone;

  (void)first_ms;
  speed = marjoram_pools_speed (chooser->pools, upstream);
  if (!speed)
    return;
  if (marjoram_config_work (chooser->config, query->work)->kind
      == MARJORAM_WORK_SERVICE)
    pool->service_ms += EWMA * ((double)whole_ms - pool->service_ms);
  if (tokens)
    measured.answer_tokens = tokens;
  alone = fmax (1, alone_ms (chooser, pool, &measured, false));
  speed->factor += EWMA * ((double)whole_ms / alone - speed->factor);
  speed->samples++;
  if (speed->samples >= SLOW_SAMPLES && speed->samples % SLOW_CHECK == 0)
    eject_if_slow (chooser, pool, now, speed);
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
  struct search search = { chooser, pool, query, now, false, 0, NULL };
  struct marjoram_pick pick;

  search.suspect = is_suspect (chooser, now, query);
  for (int i = 0; i < pool->count; i++)
    {
      estimate (chooser, pool, &pool->candidates[i], query, false, &pick);
      visit (context, &pick, usable (&search, pick.upstream));
    }
}
