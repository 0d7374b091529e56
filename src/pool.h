/* The upstreams of each model or service in this zone, with their measured
   latency, in the same order on all hosts.  Rebuilt when members change, so
   that a selection need not scan all upstreams.  */
#ifndef MARJORAM_POOL_H
#define MARJORAM_POOL_H

#include "config.h"
#include "member.h"

#include <uthash.h>

struct marjoram_upstream_latency
{
  char *name;
  double factor; /* measured time / estimated time */
  unsigned samples;
  UT_hash_handle hh;
};

struct marjoram_candidate
{
  const struct marjoram_upstream *upstream;
  struct marjoram_upstream_latency *latency;
  uint64_t key; /* hash of its name; sort key of the pool */
};

struct marjoram_ring_point
{
  uint64_t hash;
  int candidate;
};

/* Aggregate over all upstreams of one model or service.  */
struct marjoram_pool_capacity
{
  unsigned upstreams; /* usable */
  double slots;
  double load;    /* running requests */
  double free;    /* requests that could start at once */
  double factor;  /* mean of measured / estimated time */
  double wait_ms; /* at the least loaded upstream */
};

struct marjoram_pool
{
  struct marjoram_candidate *candidates;
  int count;
  struct marjoram_ring_point *ring;
  int ring_count;
  double mean_ms;    /* request time without load */
  double service_ms; /* request time of a plain service */
  struct marjoram_pool_capacity capacity;
  int64_t capacity_updated_at;
};

typedef struct marjoram_pools marjoram_pools;

marjoram_pools *marjoram_pools_create (marjoram_members *members);
void marjoram_pools_destroy (marjoram_pools *pools);
/* Retains CONFIG.  Measurements are carried over by name.  */
void marjoram_pools_configure (marjoram_pools *pools, marjoram_config *config);
/* Valid until members or the configuration change.  */
struct marjoram_pool *marjoram_pools_get (marjoram_pools *pools, int work);
/* Null if the upstream is unknown.  */
struct marjoram_upstream_latency *
marjoram_pools_latency (marjoram_pools *pools, const char *upstream);

uint64_t marjoram_pool_key (const char *upstream);
/* Index of the candidate with KEY, or -1.  */
int marjoram_pool_find (const struct marjoram_pool *pool, uint64_t key);
/* Index of the candidate that owns HASH by consistent hashing: the same on all
   hosts that know the same upstreams.  The pool must not be empty.  */
int marjoram_pool_find_by_hash (const struct marjoram_pool *pool,
                                uint64_t hash);

#endif
