/* What the hosts of a region run at some of its upstreams, summed up by one of
   them, the collector of those upstreams.  It answers the load of large
   fleets: a host tells a collector what changes, and each collector tells all
   hosts the sums, where reports of all hosts to all others would grow with the
   square of their number.  Pure decisions; hearing a report costs by what it
   names, whatever the number of hosts.  */
#ifndef MARJORAM_LOAD_COLLECTOR_H
#define MARJORAM_LOAD_COLLECTOR_H

#include "gateway_message.h"

typedef struct marjoram_load_collector marjoram_load_collector;

marjoram_load_collector *marjoram_load_collector_create (void);
void marjoram_load_collector_destroy (marjoram_load_collector *collector);
/* Takes in what HOST tells: of a whole report all that runs from it, else what
   has changed.  What a silent host told is taken off after a while.  */
void marjoram_load_collector_hear (marjoram_load_collector *collector,
                                   int64_t now, const char *host,
                                   const struct marjoram_load_report *report);
/* The sums that have changed since the last call, or all of them now and then,
   and what was placed since; false if there is nothing to tell.  REPORT is to
   be cleared by the caller.  */
bool marjoram_load_collector_take (marjoram_load_collector *collector,
                                   int64_t now,
                                   struct marjoram_load_report *report);

#endif
