/* How far behind a host's own hearing is, in ms.  A full link of its own, or
   an event loop that stands still, makes all that it hears late, while a peer
   that is dead or slow makes only that peer's link late: so the host's own lag
   is the least lag of its links.  Pure decisions: beats, their answers and the
   time go in.

   Each beat is answered at once, in the order of the beats on a link, so that
   an answer needs no name of the beat that it answers.  */
#ifndef MARJORAM_OWN_LAG_H
#define MARJORAM_OWN_LAG_H

#include <stdbool.h>
#include <stdint.h>

/* Of one link; one beat at a time is timed.  */
struct marjoram_link_lag
{
  uint64_t sent; /* beats */
  uint64_t answered;
  uint64_t timed;        /* the number of the beat; 0: none */
  int64_t timed_at;      /* when it was sent */
  int64_t round_trip_ms; /* of the last one that was; -1: none yet */
};

/* The link has come up.  */
void marjoram_link_lag_start (struct marjoram_link_lag *lag);
void marjoram_link_lag_sent (struct marjoram_link_lag *lag, int64_t now);
void marjoram_link_lag_answered (struct marjoram_link_lag *lag, int64_t now);

struct marjoram_own_lag
{
  /* Of the present look at all links.  */
  int links;
  int64_t least_ms;
  int64_t heard_at; /* something, on any of them */

  int64_t looked_at; /* the last time; 0: never */
  int64_t ms;        /* the result; 0 at first */
  int64_t ms_at;
};

/* A look: begin, each link that is up with the time at which something was
   last heard on it, end.  */
void marjoram_own_lag_begin (struct marjoram_own_lag *own);
void marjoram_own_lag_add (struct marjoram_own_lag *own, int64_t now,
                           const struct marjoram_link_lag *lag,
                           int64_t heard_at);
void marjoram_own_lag_end (struct marjoram_own_lag *own, int64_t now);

#endif
