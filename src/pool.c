#include "pool.h"

#include "cleanup.h"

#include <string.h>
#include <xxhash.h>

enum
{
  RING_POINTS = 16 /* per upstream */
};

#define DEFAULT_SERVICE_MS 20.0

struct marjoram_pools
{
  marjoram_members *members;
  marjoram_config *config;
  struct marjoram_pool *items;
  int count;
  uint64_t generation;
  struct marjoram_upstream_latency *latencies;
};

marjoram_pools *
marjoram_pools_create (marjoram_members *members)
{
  marjoram_pools *pools = marjoram_alloc (sizeof *pools);

  pools->members = members;
  return pools;
}

static void
free_items (marjoram_pools *pools)
{
  for (int i = 0; i < pools->count; i++)
    {
      free (pools->items[i].candidates);
      free (pools->items[i].ring);
    }
  free (pools->items);
}

void
marjoram_pools_destroy (marjoram_pools *pools)
{
  struct marjoram_upstream_latency *latency;
  struct marjoram_upstream_latency *next;

  if (!pools)
    return;
  free_items (pools);
  latency = pools->latencies;
  HASH_CLEAR (hh, pools->latencies);
  for (; latency; latency = next)
    {
      next = latency->hh.next;
      free (latency->name);
      free (latency);
    }
  marjoram_config_release (pools->config);
  free (pools);
}

void
marjoram_pools_configure (marjoram_pools *pools, marjoram_config *config)
{
  int count = marjoram_config_work_count (config);
  struct marjoram_pool *items
      = marjoram_alloc (((size_t)count + 1) * sizeof *items);

  for (int i = 0; i < count; i++)
    {
      const char *name = marjoram_config_work (config, i)->name;
      int old = pools->config ? marjoram_config_find_work (pools->config, name)
                              : -1;

      items[i].service_ms
          = old >= 0 ? pools->items[old].service_ms : DEFAULT_SERVICE_MS;
      items[i].mean_ms = old >= 0 ? pools->items[old].mean_ms : 0;
    }
  free_items (pools);
  pools->items = items;
  pools->count = count;
  marjoram_config_retain (config);
  marjoram_config_release (pools->config);
  pools->config = config;
  pools->generation = 0;
}

static struct marjoram_upstream_latency *
get_latency (marjoram_pools *pools, const char *name)
{
  struct marjoram_upstream_latency *latency;

  HASH_FIND_STR (pools->latencies, name, latency);
  if (latency)
    return latency;
  latency = marjoram_alloc (sizeof *latency);
  latency->name = marjoram_strdup (name);
  latency->factor = 1;
  HASH_ADD_KEYPTR (hh, pools->latencies, latency->name, strlen (latency->name),
                   latency);
  return latency;
}

static bool
is_known_upstream (const marjoram_pools *pools, const char *name)
{
  for (size_t i = 0; i < marjoram_members_count (pools->members); i++)
    if (strcmp (marjoram_members_at (pools->members, i)->announcement->name,
                name)
        == 0)
      return true;
  return false;
}

/* Removes the measurements of departed upstreams, which would accumulate since
   new upstreams have new names.  */
static void
remove_stale_latencies (marjoram_pools *pools)
{
  struct marjoram_upstream_latency *latency = pools->latencies;
  struct marjoram_upstream_latency *next;

  HASH_CLEAR (hh, pools->latencies);
  for (; latency; latency = next)
    {
      next = latency->hh.next;
      if (is_known_upstream (pools, latency->name))
        {
          HASH_ADD_KEYPTR (hh, pools->latencies, latency->name,
                           strlen (latency->name), latency);
          continue;
        }
      free (latency->name);
      free (latency);
    }
}

static int
compare_points (const void *a, const void *b)
{
  const struct marjoram_ring_point *x = a;
  const struct marjoram_ring_point *y = b;

  return x->hash < y->hash ? -1 : x->hash > y->hash;
}

static int
compare_candidates (const void *a, const void *b)
{
  const struct marjoram_candidate *x = a;
  const struct marjoram_candidate *y = b;

  return x->key < y->key ? -1 : x->key > y->key;
}

static void
build_ring (struct marjoram_pool *pool)
{
  if (pool->count > 0)
    qsort (pool->candidates, (size_t)pool->count, sizeof *pool->candidates,
           compare_candidates);
  pool->ring = marjoram_alloc (((size_t)pool->count * RING_POINTS + 1)
                               * sizeof *pool->ring);
  pool->ring_count = 0;
  for (int i = 0; i < pool->count; i++)
    {
      const char *name = pool->candidates[i].upstream->announcement->name;

      for (int j = 0; j < RING_POINTS; j++)
        pool->ring[pool->ring_count++] = (struct marjoram_ring_point){
          XXH64 (name, strlen (name), (unsigned long long)j), i
        };
    }
  if (pool->ring_count > 0)
    qsort (pool->ring, (size_t)pool->ring_count, sizeof *pool->ring,
           compare_points);
}

uint64_t
marjoram_pool_key (const char *upstream)
{
  return XXH64 (upstream, strlen (upstream), 0);
}

static void
add_candidate (marjoram_pools *pools, struct marjoram_pool *pool,
               const struct marjoram_upstream *upstream)
{
  size_t size = (size_t)(pool->count + 1) * sizeof *pool->candidates;

  pool->candidates = realloc (pool->candidates, size);
  if (!pool->candidates)
    abort ();
  pool->candidates[pool->count++] = (struct marjoram_candidate){
    upstream, get_latency (pools, upstream->announcement->name),
    marjoram_pool_key (upstream->announcement->name)
  };
}

static void
rebuild (marjoram_pools *pools)
{
  size_t count = marjoram_members_count (pools->members);

  for (int i = 0; i < pools->count; i++)
    {
      free (pools->items[i].candidates);
      free (pools->items[i].ring);
      pools->items[i].candidates = NULL;
      pools->items[i].count = 0;
      pools->items[i].capacity_updated_at = INT64_MIN / 2;
    }
  remove_stale_latencies (pools);
  for (size_t i = 0; i < count; i++)
    {
      const struct marjoram_upstream *upstream
          = marjoram_members_at (pools->members, i);
      const struct marjoram_work_name *works
          = upstream->announcement->works.items;

      for (size_t j = 0; j < upstream->announcement->works.count; j++)
        {
          int work = works[j].name ? marjoram_config_find_work (pools->config,
                                                                works[j].name)
                                   : -1;

          if (work >= 0)
            add_candidate (pools, &pools->items[work], upstream);
        }
    }
  for (int i = 0; i < pools->count; i++)
    build_ring (&pools->items[i]);
  pools->generation = marjoram_members_generation (pools->members);
}

struct marjoram_pool *
marjoram_pools_get (marjoram_pools *pools, int work)
{
  if (pools->generation != marjoram_members_generation (pools->members))
    rebuild (pools);
  return &pools->items[work];
}

struct marjoram_upstream_latency *
marjoram_pools_latency (marjoram_pools *pools, const char *upstream)
{
  struct marjoram_upstream_latency *latency;

  HASH_FIND_STR (pools->latencies, upstream, latency);
  return latency;
}

int
marjoram_pool_find (const struct marjoram_pool *pool, uint64_t key)
{
  int low = 0;
  int high = pool->count;

  while (low < high)
    {
      int middle = (low + high) / 2;

      if (pool->candidates[middle].key < key)
        low = middle + 1;
      else
        high = middle;
    }
  return low < pool->count && pool->candidates[low].key == key ? low : -1;
}

int
marjoram_pool_find_by_hash (const struct marjoram_pool *pool, uint64_t hash)
{
  int low = 0;
  int high = pool->ring_count;

  while (low < high)
    {
      int middle = (low + high) / 2;

      if (pool->ring[middle].hash < hash)
        low = middle + 1;
      else
        high = middle;
    }
  return pool->ring[low % pool->ring_count].candidate;
}
