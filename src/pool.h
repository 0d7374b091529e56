/* The upstreams of each model or service in this zone, in an order that all
   hosts share, with what was measured of them.  Built anew when members
   change, so that a choice looks at a few and not at all of them.  */
#ifndef MARJORAM_POOL_H
#define MARJORAM_POOL_H

#include "config.h"
#include "member.h"

#include <uthash.h>

/* What was measured of one upstream.  */
struct marjoram_speed
{
  char *name;
  double factor; /* measured time by estimated time */
  unsigned samples;
  UT_hash_handle hh;
};

struct marjoram_candidate
{
  const struct marjoram_upstream *upstream;
  struct marjoram_speed *speed;
  uint64_t key; /* of its name; the pool is sorted by it */
};

struct marjoram_ring_point
{
  uint64_t hash;
  int candidate;
};

/* All upstreams of one work together.  */
struct marjoram_room
{
  unsigned upstreams; /* that may be used */
  double slots;
  double load;    /* requests there */
  double free;    /* requests that would start at once */
  double factor;  /* mean of measured by estimated time */
  double wait_ms; /* at the least loaded one */
};

struct marjoram_pool
{
  struct marjoram_candidate *candidates;
  int count;
  struct marjoram_ring_point *ring;
  int ring_count;
  double mean_ms;    /* time of a request without load */
  double service_ms; /* of a plain service's request */
  struct marjoram_room room;
  int64_t room_at;
};

typedef struct marjoram_pools marjoram_pools;

marjoram_pools *marjoram_pools_create (marjoram_members *members);
void marjoram_pools_destroy (marjoram_pools *pools);
/* Retains CONFIG; what was measured is kept by name.  */
void marjoram_pools_configure (marjoram_pools *pools, marjoram_config *config);
/* Valid until members or the configuration change.  */
struct marjoram_pool *marjoram_pools_get (marjoram_pools *pools, int work);
/* Null if no such upstream is known.  */
struct marjoram_speed *marjoram_pools_speed (marjoram_pools *pools,
                                             const char *upstream);

uint64_t marjoram_pool_key (const char *upstream);
/* Index of the candidate with KEY, or -1.  */
int marjoram_pool_find (const struct marjoram_pool *pool, uint64_t key);
/* Index of the candidate that HASH falls to on a ring of hashes: the same at
   all hosts that know the same upstreams.  The pool isn't empty.  */
int marjoram_pool_nearest (const struct marjoram_pool *pool, uint64_t hash);

#endif
