#include "spill.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Damping factor: the other region's reported load lags behind what has been
   sent there.  */
#define DAMPING 0.5

enum
{
  /* Mean backlog below which responses are not delayed: engines then prefill
     less than half of the time.  */
  BACKLOG_MIN_MS = 30,
  DIFFERENCE_MIN_MS = 10,
  /* Standard deviation of one engine's backlog: the mean of few engines is
     mostly noise.  */
  BACKLOG_DEVIATION_MS = 80,
  /* Prompts with less uncached prefill time are not moved, since they delay
     nobody.  */
  PROMPT_MIN_MS = 25
};

bool
marjoram_spill_selects (const struct marjoram_spill_query *query)
{
  const double difference = query->local_ms - query->remote_ms;
  const double noise_ms
      = BACKLOG_DEVIATION_MS / sqrt (query->engines > 0 ? query->engines : 1);
  double share;

  if (query->local_ms < BACKLOG_MIN_MS + noise_ms
      || difference < DIFFERENCE_MIN_MS + noise_ms
      || query->prefill_ms < PROMPT_MIN_MS
      || (double)query->remote_first_ms + query->prompt_ms
             > (double)query->time_left_ms)
    return false;
  share = DAMPING * difference / (query->local_ms + query->remote_ms);
  return (double)XXH3_64bits (query->id, strlen (query->id))
         < share * (double)UINT64_MAX;
}
