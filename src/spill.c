#include "spill.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Damping factor: the other region's reported load lags behind what has been
   sent there.  */
#define CAUTION 0.5

enum
{
  /* Mean backlog below which responses are not delayed.  */
  BUSY_MS = 30,
  /* Minimum difference in backlog.  */
  MARGIN_MS = 10,
  /* Standard deviation of one engine's backlog.  */
  SPREAD_MS = 80,
  /* Shorter prompts are not moved.  */
  LONG_PROMPT_MS = 25
};

bool
marjoram_spill_wanted (const struct marjoram_spill_query *query)
{
  const double difference = query->here_ms - query->there_ms;
  const double noise_ms
      = SPREAD_MS / sqrt (query->engines > 0 ? query->engines : 1);
  double share;

  if (query->here_ms < BUSY_MS + noise_ms || difference < MARGIN_MS + noise_ms
      || query->unread_ms < LONG_PROMPT_MS
      || (double)query->there_first_ms + query->prompt_ms
             > (double)query->useful_ms)
    return false;
  share = CAUTION * difference / (query->here_ms + query->there_ms);
  return (double)XXH3_64bits (query->id, strlen (query->id))
         < share * (double)UINT64_MAX;
}
