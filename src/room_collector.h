/* Adds up what a region's hosts report of each customer's use of capacity.
   Hosts report to one collector, which sends the sums to all hosts: messages
   grow with the number of hosts, not with its square.  Sums are totals: a lost
   report leaves no error after the next one.  Pure decision logic; applying a
   report costs as much as its items, whatever the number of hosts.  */
#ifndef MARJORAM_ROOM_COLLECTOR_H
#define MARJORAM_ROOM_COLLECTOR_H

#include "gateway_message.h"

typedef struct marjoram_room_collector marjoram_room_collector;

marjoram_room_collector *marjoram_room_collector_create (void);
void marjoram_room_collector_destroy (marjoram_room_collector *collector);
/* Replaces what HOST reported before.  Reports of a silent host expire.  */
void marjoram_room_collector_apply (marjoram_room_collector *collector,
                                    int64_t now, const char *host,
                                    const struct marjoram_room_report *report);
/* Builds the sums for all hosts.  The caller clears SUMS.  */
void marjoram_room_collector_take (marjoram_room_collector *collector,
                                   int64_t now,
                                   struct marjoram_room_report *sums);
/* Interval in ms at which the hosts of a region of HOSTS hosts report, and at
   which its collector sends sums: short ones while the region is URGENT.  */
int64_t marjoram_room_interval_ms (size_t hosts, bool urgent);
/* Whether requests of customers that are not over wait at some host.  */
bool
marjoram_room_collector_is_urgent (const marjoram_room_collector *collector);

#endif
