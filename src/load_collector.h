/* Aggregates the load that a region's hosts report for a group of upstreams.
   Hosts send changes to one collector per group, which sends totals back to
   all hosts; all-to-all reports would grow with the square of the fleet size.
   Pure decision logic; the cost of applying a report does not depend on the
   number of hosts.  */
#ifndef MARJORAM_LOAD_COLLECTOR_H
#define MARJORAM_LOAD_COLLECTOR_H

#include "gateway_message.h"

typedef struct marjoram_load_collector marjoram_load_collector;

marjoram_load_collector *marjoram_load_collector_create (void);
void marjoram_load_collector_destroy (marjoram_load_collector *collector);
/* Applies a report of HOST: its complete load if the report is whole,
   otherwise its changes.  Reports of a silent host expire.  */
void marjoram_load_collector_apply_report (
    marjoram_load_collector *collector, int64_t now, const char *host,
    const struct marjoram_load_report *report);
/* Builds a report of the totals changed since the last call, or periodically
   of all totals, and of the parts placed since.  Returns false if there is
   nothing to send.  The caller clears REPORT.  */
bool marjoram_load_collector_take_report (marjoram_load_collector *collector,
                                          int64_t now,
                                          struct marjoram_load_report *report);

/* Sets the number of hosts of the region, which decides how much is told.  */
void marjoram_load_collector_set_hosts (marjoram_load_collector *collector,
                                        size_t hosts);
/* Interval in ms at which a collector sends totals in a region of HOSTS hosts.
 */
int64_t marjoram_load_collector_interval_ms (size_t hosts);

#endif
