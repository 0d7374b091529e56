/* The parts of the role keeper: keeper_role.c (tasks, course, members) and
   keeper_tell.c (what it tells other hosts).  */
#ifndef MARJORAM_KEEPER_ROLE_PRIVATE_H
#define MARJORAM_KEEPER_ROLE_PRIVATE_H

#include "crash_list.h"
#include "disk.h"
#include "keeper_care.h"
#include "registrar.h"
#include "repeat_sums.h"
#include "role.h"
#include "state_giver.h"

struct marjoram_keeper_role
{
  struct marjoram_role role;
  const struct marjoram_role_parts *parts;
  marjoram_registry *registry;
  marjoram_registrar *registrar;
  marjoram_random *random;
  marjoram_disk *disk;
  marjoram_keeper *keeper;
  marjoram_keeper_care *care;
  marjoram_crash_list *crashes; /* for hosts that have just started */
  int64_t cared_at;
  int64_t ticked_at;
  marjoram_state_giver *giver;
  marjoram_repeat_sums_list *repeats;
  int64_t stopped_at;
};

int64_t marjoram_keeper_role_now (const struct marjoram_keeper_role *self);

/* keeper_tell.c */
/* There is a new state: to the hosts of this region at once.  */
void marjoram_keeper_tell_state (struct marjoram_keeper_role *self);
/* News that tell something new, to all keepers and the hosts of the upstreams'
   regions; returns to how many.  */
size_t marjoram_keeper_tell_news (struct marjoram_keeper_role *self,
                                  const struct marjoram_news_batch *batch);
/* That upstreams live, to the keepers and hosts of their regions.  */
void marjoram_keeper_tell_renewals (struct marjoram_keeper_role *self,
                                    const struct marjoram_news_batch *batch);
/* What is known, to a host whose session is new.  */
void marjoram_keeper_welcome (struct marjoram_keeper_role *self,
                              const char *host, uint64_t session,
                              const struct marjoram_host_beat *beat);
/* Tells HOST of the newest state, if by its BEAT it lacks it.  */
void marjoram_keeper_offer_state (struct marjoram_keeper_role *self,
                                  const char *host, uint64_t session,
                                  const struct marjoram_host_beat *beat);
/* Gives HOST the piece of the state that it asks for.  */
void marjoram_keeper_give_state (struct marjoram_keeper_role *self,
                                 const char *host, uint64_t session,
                                 const struct marjoram_state_ask *ask);
/* Counts what HOST repeated, and tells it what all hosts did, if it asks.  */
void marjoram_keeper_tell_repeats (struct marjoram_keeper_role *self,
                                   const char *host, uint64_t session,
                                   const struct marjoram_host_beat *beat);
/* A host's report, for the hosts of this region too.  */
void marjoram_keeper_hear_crashes (struct marjoram_keeper_role *self,
                                   const char *host,
                                   const struct marjoram_crash_report *report);

#endif
