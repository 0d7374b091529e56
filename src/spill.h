/* Selects requests to move to another region although the local one could
   still serve them.  Spreads load when local engines are busy with prefill,
   which delays all running responses long before capacity is exhausted.  Pure
   decision logic.  */
#ifndef MARJORAM_SPILL_H
#define MARJORAM_SPILL_H

#include <stdbool.h>
#include <stdint.h>

struct marjoram_spill_query
{
  const char *id;          /* request id */
  int engines;             /* smaller engine count of the two regions */
  double local_ms;         /* mean prefill backlog of local engines */
  double remote_ms;        /* the same in the other region */
  double prefill_ms;       /* prefill time of the uncached prompt, locally */
  double prompt_ms;        /* prefill time of the whole prompt */
  int64_t remote_first_ms; /* time until its prefill there, with transit */
  int64_t time_left_ms;    /* time left for the first event */
};

/* Selects a share of long prompts that grows with the difference in backlog,
   so that the hosts jointly balance the regions without moving the entire load
   at once.  */
bool marjoram_spill_selects (const struct marjoram_spill_query *query);

#endif
