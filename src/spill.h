/* Which requests leave a region that could still take them.  It answers a load
   that has moved to one region while others are idle: engines there read
   prompts most of the time, and the tokens of all running answers come late,
   long before any request finds no place.  Pure decisions.  */
#ifndef MARJORAM_SPILL_H
#define MARJORAM_SPILL_H

#include <stdbool.h>
#include <stdint.h>

struct marjoram_spill_query
{
  const char *id;   /* of the request */
  int engines;      /* of the region that has fewer */
  double here_ms;   /* mean time to read the prompts ahead, over the engines */
  double there_ms;  /* the same in the other region */
  double unread_ms; /* to read what is not kept of the request's prompt here */
  double prompt_ms; /* to read all of it */
  int64_t there_first_ms; /* until its turn there, the way included */
  int64_t useful_ms;      /* until its first event is of no use */
};

/* Of long prompts a share that grows with the difference between the two
   regions, so that all hosts together even it out and don't move the whole
   load at once.  */
bool marjoram_spill_wanted (const struct marjoram_spill_query *query);

#endif
