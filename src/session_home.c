#include "session_home.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

enum
{
  /* Shared parts with less prefill time are read where the caller is: they
     cost less than the transit.  */
  SHARED_MIN_MS = 25,
  MANTISSA_BITS = 53
};

/* Uniform in (0, 1].  */
static double
uniform_hash (uint64_t session, const char *region)
{
  uint64_t hash = XXH3_64bits_withSeed (region, strlen (region), session);

  return ((double)(hash >> (64 - MANTISSA_BITS)) + 1)
         / (double)(UINT64_C (1) << MANTISSA_BITS);
}

size_t
marjoram_session_home_find (uint64_t session,
                            const struct marjoram_session_region *regions,
                            size_t count)
{
  size_t best = count;
  double best_score = 0;

  for (size_t i = 0; i < count; i++)
    {
      double score;

      if (regions[i].engines == 0)
        continue;
      score = -log (uniform_hash (session, regions[i].name))
              / (double)regions[i].engines;
      if (best == count || score < best_score)
        {
          best = i;
          best_score = score;
        }
    }
  return best;
}

/* The home is left when its engines are busier by more than reading the shared
   parts here would cost.  */
bool
marjoram_session_home_is_better (
    const struct marjoram_session_home_query *query)
{
  return query->shared_ms >= SHARED_MIN_MS
         && query->remote_ms <= query->local_ms + query->shared_ms
         && (double)query->remote_first_ms + query->prompt_ms
                <= (double)query->time_left_ms;
}
