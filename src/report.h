/* JSON reports on a host for callers and operators.  Read-only.  */
#ifndef MARJORAM_REPORT_H
#define MARJORAM_REPORT_H

#include "control.h"
#include "host.h"

#include <jansson.h>

/* Each returns a new reference.  */
json_t *marjoram_report_entries (const marjoram_host *host, int64_t now,
                                 int64_t wall);
json_t *marjoram_report_status (const marjoram_host *host, int64_t now);
json_t *marjoram_report_upstreams (const marjoram_host *host, int64_t now);
json_t *marjoram_report_explain (marjoram_host *host, int64_t now,
                                 const struct marjoram_explain_query *query);

#endif
