/* What a host in the role entry or keeper tells operators about itself, as
   JSON.  Queries only; each function returns a new value.  */
#ifndef MARJORAM_GATEWAY_REPORT_H
#define MARJORAM_GATEWAY_REPORT_H

#include "host_list.h"
#include "ini_key.h"
#include "keeper.h"
#include "registry.h"

#include <jansson.h>

/* The hosts that it has heard of, and when.  */
json_t *marjoram_gateway_report_hosts (marjoram_host_list *hosts, int64_t now);
/* The upstreams that it has heard of, and whether they are used.  */
json_t *marjoram_gateway_report_upstreams (marjoram_registry *registry,
                                           int64_t now);
json_t *marjoram_gateway_report_zones (const struct marjoram_names *zones);
/* Slots of the members, and why this one has no vote; null if KEEPER has no
   state yet.  */
json_t *marjoram_gateway_report_keeper (const marjoram_keeper *keeper);

#endif
