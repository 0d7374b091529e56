/* How many requests of this host an upstream has room for, learned from its
   refusals.  Used for upstreams that state how many refusals per second they
   tolerate, from all hosts together: the number is lowered with each refusal
   to what runs there, and raised by one after an interval that all hosts
   choose such that their trials add up to less.  Pure decision logic.  */
#ifndef MARJORAM_UPSTREAM_ROOM_H
#define MARJORAM_UPSTREAM_ROOM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct marjoram_upstream_room
{
  bool is_known;
  int64_t requests; /* that this host may run there at once */
  int64_t changed_at;
};

/* Interval in ms between trials of one of HOSTS hosts at an upstream that
   tolerates REFUSALS_PER_S.  */
int64_t marjoram_upstream_room_interval_ms (size_t hosts,
                                            double refusals_per_s);
/* Whether one more request may be sent while RUNNING run there.  */
bool marjoram_upstream_room_has (const struct marjoram_upstream_room *room,
                                 int64_t now, int64_t running,
                                 int64_t interval_ms);
/* A request was sent; RUNNING includes it.  */
void marjoram_upstream_room_take (struct marjoram_upstream_room *room,
                                  int64_t now, int64_t running);
/* A request was refused; RUNNING are left.  */
void marjoram_upstream_room_refused (struct marjoram_upstream_room *room,
                                     int64_t now, int64_t running);

#endif
