#include "spill.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Part of the difference that is moved at once: word of the other region is
   older than what has been sent there since.  */
#define CAUTION 0.5

enum
{
  /* Below this mean backlog, engines read prompts less than half of the time
     and answers keep their pace.  */
  BUSY_MS = 30,
  /* By how much another region must be less busy.  */
  MARGIN_MS = 10,
  /* Spread of one engine's backlog: the mean of few engines is mostly
     noise.  */
  SPREAD_MS = 80,
  /* Shorter prompts delay nobody.  */
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
