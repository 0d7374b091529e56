#include "choose.h"

#include "cache_index.h"
#include "cleanup.h"

#include <math.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

enum
{
  RING_POINTS = 16, /* of each upstream */
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
#define SERVICE_MS 20.0
#define EWMA 0.1
#define SLOW_FACTOR 3.0

/* What was measured of one upstream.  */
struct speed
{
  char *name;
  double factor; /* measured time by estimated time */
  unsigned samples;
  UT_hash_handle hh;
};

struct candidate
{
  const struct marjoram_upstream *upstream;
  struct speed *speed;
  uint64_t key; /* of its name; the group is sorted by it */
};

struct ring_point
{
  uint64_t hash;
  int candidate;
};

/* Upstreams of one work.  */
struct group
{
  struct candidate *candidates;
  int count;
  struct ring_point *ring;
  int ring_count;
  double mean_ms; /* time of a request without load */
  double service_ms;
  struct marjoram_room room;
  int64_t room_at;
};

struct marjoram_chooser
{
  marjoram_members *members;
  marjoram_suspects *suspects;
  marjoram_random *random;
  marjoram_config *config;
  struct group *groups;
  int group_count;
  uint64_t generation;
  struct speed *speeds;
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
  chooser->cache = marjoram_cache_index_create (PREFIXES);
  return chooser;
}

static void
free_groups (marjoram_chooser *chooser)
{
  for (int i = 0; i < chooser->group_count; i++)
    {
      free (chooser->groups[i].candidates);
      free (chooser->groups[i].ring);
    }
  free (chooser->groups);
}

void
marjoram_chooser_destroy (marjoram_chooser *chooser)
{
  struct speed *speed;
  struct speed *next;

  if (!chooser)
    return;
  free_groups (chooser);
  speed = chooser->speeds;
  HASH_CLEAR (hh, chooser->speeds);
  for (; speed; speed = next)
    {
      next = speed->hh.next;
      free (speed->name);
      free (speed);
    }
  marjoram_cache_index_destroy (chooser->cache);
  marjoram_config_release (chooser->config);
  free (chooser);
}

void
marjoram_chooser_configure (marjoram_chooser *chooser, marjoram_config *config)
{
  int count = marjoram_config_work_count (config);
  struct group *groups = marjoram_alloc (((size_t)count + 1) * sizeof *groups);

  for (int i = 0; i < count; i++)
    {
      const char *name = marjoram_config_work (config, i)->name;
      int old = chooser->config
                    ? marjoram_config_find_work (chooser->config, name)
                    : -1;

      groups[i].service_ms
          = old >= 0 ? chooser->groups[old].service_ms : SERVICE_MS;
      groups[i].mean_ms = old >= 0 ? chooser->groups[old].mean_ms : 0;
      groups[i].room_at = INT64_MIN / 2;
    }
  free_groups (chooser);
  chooser->groups = groups;
  chooser->group_count = count;
  marjoram_config_retain (config);
  marjoram_config_release (chooser->config);
  chooser->config = config;
  chooser->generation = 0;
}

static struct speed *
speed_of (marjoram_chooser *chooser, const char *name)
{
  struct speed *speed;

  HASH_FIND_STR (chooser->speeds, name, speed);
  if (speed)
    return speed;
  speed = marjoram_alloc (sizeof *speed);
  speed->name = marjoram_strdup (name);
  speed->factor = 1;
  HASH_ADD_KEYPTR (hh, chooser->speeds, speed->name, strlen (speed->name),
                   speed);
  return speed;
}

static bool
is_member (const marjoram_chooser *chooser, const char *name)
{
  for (size_t i = 0; i < marjoram_members_count (chooser->members); i++)
    if (strcmp (marjoram_members_at (chooser->members, i)->announcement->name,
                name)
        == 0)
      return true;
  return false;
}

/* Upstreams come and go under new names; what was measured of those that are
   gone must not pile up.  */
static void
forget_speeds (marjoram_chooser *chooser)
{
  struct speed *speed = chooser->speeds;
  struct speed *next;

  HASH_CLEAR (hh, chooser->speeds);
  for (; speed; speed = next)
    {
      next = speed->hh.next;
      if (is_member (chooser, speed->name))
        {
          HASH_ADD_KEYPTR (hh, chooser->speeds, speed->name,
                           strlen (speed->name), speed);
          continue;
        }
      free (speed->name);
      free (speed);
    }
}

static int
compare_points (const void *a, const void *b)
{
  const struct ring_point *x = a;
  const struct ring_point *y = b;

  return x->hash < y->hash ? -1 : x->hash > y->hash;
}

static int
compare_candidates (const void *a, const void *b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;

  return x->key < y->key ? -1 : x->key > y->key;
}

static void
build_ring (struct group *group)
{
  if (group->count > 0)
    qsort (group->candidates, (size_t)group->count, sizeof *group->candidates,
           compare_candidates);
  group->ring = marjoram_alloc (((size_t)group->count * RING_POINTS + 1)
                                * sizeof *group->ring);
  group->ring_count = 0;
  for (int i = 0; i < group->count; i++)
    {
      const char *name = group->candidates[i].upstream->announcement->name;

      for (int j = 0; j < RING_POINTS; j++)
        group->ring[group->ring_count++] = (struct ring_point){
          XXH64 (name, strlen (name), (unsigned long long)j), i
        };
    }
  qsort (group->ring, (size_t)group->ring_count, sizeof *group->ring,
         compare_points);
}

static uint64_t
key_of (const struct marjoram_upstream *upstream)
{
  const char *name = upstream->announcement->name;

  return XXH64 (name, strlen (name), 0);
}

static void
add_candidate (marjoram_chooser *chooser, struct group *group,
               const struct marjoram_upstream *upstream)
{
  size_t size = (size_t)(group->count + 1) * sizeof *group->candidates;

  group->candidates = realloc (group->candidates, size);
  if (!group->candidates)
    abort ();
  group->candidates[group->count++]
      = (struct candidate){ upstream,
                            speed_of (chooser, upstream->announcement->name) };
}

static void
rebuild (marjoram_chooser *chooser)
{
  size_t count = marjoram_members_count (chooser->members);

  for (int i = 0; i < chooser->group_count; i++)
    {
      free (chooser->groups[i].candidates);
      free (chooser->groups[i].ring);
      chooser->groups[i].candidates = NULL;
      chooser->groups[i].count = 0;
      chooser->groups[i].room_at = INT64_MIN / 2;
    }
  forget_speeds (chooser);
  for (size_t i = 0; i < count; i++)
    {
      const struct marjoram_upstream *upstream
          = marjoram_members_at (chooser->members, i);
      const struct marjoram_work_name *works
          = upstream->announcement->works.items;

      for (size_t j = 0; j < upstream->announcement->works.count; j++)
        {
          int work = works[j].name ? marjoram_config_find_work (
                         chooser->config, works[j].name)
                                   : -1;

          if (work >= 0)
            add_candidate (chooser, &chooser->groups[work], upstream);
        }
    }
  for (int i = 0; i < chooser->group_count; i++)
    build_ring (&chooser->groups[i]);
  chooser->generation = marjoram_members_generation (chooser->members);
}

static struct group *
group_of (marjoram_chooser *chooser, int work)
{
  if (chooser->generation != marjoram_members_generation (chooser->members))
    rebuild (chooser);
  return &chooser->groups[work];
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
alone_ms (const marjoram_chooser *chooser, const struct group *group,
          const struct marjoram_query *query, bool cached)
{
  const struct marjoram_work *work
      = marjoram_config_work (chooser->config, query->work);

  if (work->kind == MARJORAM_WORK_SERVICE)
    return group->service_ms;
  return prefill_ms (work, query, cached) + decode_ms (work, query);
}

double
marjoram_chooser_alone_ms (const marjoram_chooser *chooser,
                           const struct marjoram_query *query)
{
  return alone_ms (chooser, &chooser->groups[query->work], query, false);
}

static void
estimate (const marjoram_chooser *chooser, const struct group *group,
          const struct candidate *candidate,
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
      = pick->room ? 0 : (load - slots + 1) / slots * group->mean_ms * factor;
  pick->total_ms = pick->wait_ms
                   + alone_ms (chooser, group, query, cached)
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
  struct group *group;
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
  const struct candidate *candidate = &search->group->candidates[index];
  struct marjoram_pick pick;
  double cost;

  if (!usable (search, candidate->upstream))
    return;
  estimate (search->chooser, search->group, candidate, search->query, cached,
            &pick);
  cost = pick.cost * (1 + slow_start (candidate->upstream, search->now));
  if (!is_better (search, &pick, cost))
    return;
  search->best_cost = cost;
  *search->best = pick;
}

/* All hosts find the same replica for a prefix, without a word between
   them: the first on a ring of hashes.  */
static void
consider_preferred (struct search *search)
{
  const struct group *group = search->group;
  uint64_t hash = search->query->prefix_hash;
  int low = 0;
  int high = group->ring_count;

  while (low < high)
    {
      int middle = (low + high) / 2;

      if (group->ring[middle].hash < hash)
        low = middle + 1;
      else
        high = middle;
    }
  consider (search, group->ring[low % group->ring_count].candidate, true);
}

static uint64_t
cache_key (const struct marjoram_query *query)
{
  return query->prefix_hash + (uint64_t)query->work;
}

/* Index of the candidate with KEY, or -1.  */
static int
find_candidate (const struct group *group, uint64_t key)
{
  int low = 0;
  int high = group->count;

  while (low < high)
    {
      int middle = (low + high) / 2;

      if (group->candidates[middle].key < key)
        low = middle + 1;
      else
        high = middle;
    }
  return low < group->count && group->candidates[low].key == key ? low : -1;
}

/* An upstream that came back since has an empty cache.  */
static void
consider_holders (struct search *search)
{
  const struct group *group = search->group;
  const struct marjoram_cache_holder *holders = marjoram_cache_index_find (
      search->chooser->cache, search->now, cache_key (search->query));

  for (int i = 0; holders && i < MARJORAM_CACHE_HOLDERS; i++)
    {
      int index = find_candidate (group, holders[i].holder);

      if (index >= 0
          && holders[i].seen >= group->candidates[index].upstream->since)
        consider (search, index, true);
    }
}

static void
draw (struct search *search, int count)
{
  for (int i = 0; i < count; i++)
    consider (search,
              (int)marjoram_random_below (search->chooser->random,
                                          (uint32_t)search->group->count),
              false);
}

/* Only when chance has found none that may be used at all.  */
static void
consider_all (struct search *search)
{
  uint32_t start = marjoram_random_below (search->chooser->random,
                                          (uint32_t)search->group->count);

  for (int i = 0; i < search->group->count; i++)
    consider (search, (int)(start + (uint32_t)i) % search->group->count,
              false);
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
  struct group *group = group_of (chooser, query->work);
  struct search search = { chooser, group, query, now, false, HUGE_VAL, pick };
  double alone = alone_ms (chooser, group, query, false);

  *pick = (struct marjoram_pick){ 0 };
  group->mean_ms = group->mean_ms > 0
                       ? group->mean_ms + EWMA * (alone - group->mean_ms)
                       : alone;
  if (group->count == 0)
    return;
  count_others (chooser, now);
  search.suspect
      = query->digest && chooser->suspects
        && marjoram_suspects_get (chooser->suspects, now, query->digest)
               != MARJORAM_SUSPICION_NONE;
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
    marjoram_cache_index_add (chooser->cache, now, cache_key (query),
                              key_of (pick->upstream));
}

const struct marjoram_room *
marjoram_chooser_room (marjoram_chooser *chooser, int64_t now, int work)
{
  struct group *group = group_of (chooser, work);
  struct marjoram_room *room = &group->room;

  if (now < group->room_at + ROOM_AGE_MS)
    return room;
  *room = (struct marjoram_room){ 0 };
  group->room_at = now;
  room->wait_ms = HUGE_VAL;
  for (int i = 0; i < group->count; i++)
    {
      const struct candidate *candidate = &group->candidates[i];
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
                                               * group->mean_ms
                                               * candidate->speed->factor);
    }
  room->factor = room->upstreams ? room->factor / room->upstreams : 1;
  return room;
}

/* Stops an upstream that announces itself well but works slowly (a failing
   accelerator, a busy neighbour) from holding its share of the requests: its
   time is compared with that of its peers.  */
static void
eject_if_slow (marjoram_chooser *chooser, const struct group *group,
               int64_t now, struct speed *speed)
{
  double sum = 0;
  int peers = 0;

  for (int i = 0; i < group->count; i++)
    {
      const struct speed *peer = group->candidates[i].speed;

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
  struct group *group = group_of (chooser, query->work);
  struct marjoram_query measured = *query;
  struct speed *speed;
  double alone;

  (void)first_ms;
  HASH_FIND_STR (chooser->speeds, upstream, speed);
  if (!speed)
    return;
  if (marjoram_config_work (chooser->config, query->work)->kind
      == MARJORAM_WORK_SERVICE)
    group->service_ms += EWMA * ((double)whole_ms - group->service_ms);
  if (tokens)
    measured.answer_tokens = tokens;
  alone = fmax (1, alone_ms (chooser, group, &measured, false));
  speed->factor += EWMA * ((double)whole_ms / alone - speed->factor);
  speed->samples++;
  if (speed->samples >= SLOW_SAMPLES && speed->samples % SLOW_CHECK == 0)
    eject_if_slow (chooser, group, now, speed);
}

void
marjoram_chooser_visit (marjoram_chooser *chooser, int64_t now,
                        const struct marjoram_query *query,
                        void (*visit) (void *context,
                                       const struct marjoram_pick *pick,
                                       bool usable),
                        void *context)
{
  struct group *group = group_of (chooser, query->work);
  struct search search = { chooser, group, query, now, false, 0, NULL };
  struct marjoram_pick pick;

  search.suspect
      = query->digest && chooser->suspects
        && marjoram_suspects_get (chooser->suspects, now, query->digest)
               != MARJORAM_SUSPICION_NONE;
  for (int i = 0; i < group->count; i++)
    {
      estimate (chooser, group, &group->candidates[i], query, false, &pick);
      visit (context, &pick, usable (&search, pick.upstream));
    }
}
