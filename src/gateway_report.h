/* JSON status reports of hosts in the roles entry and keeper.  Read-only; each
   function returns a new reference.  */
#ifndef MARJORAM_GATEWAY_REPORT_H
#define MARJORAM_GATEWAY_REPORT_H

#include "forward_window.h"
#include "gateway.h"
#include "host_list.h"
#include "ini_key.h"
#include "keeper.h"
#include "key_lease.h"
#include "quota_pool.h"
#include "quota_share.h"
#include "registry.h"
#include "room_share.h"

#include <jansson.h>

json_t *marjoram_gateway_report_hosts (marjoram_host_list *hosts, int64_t now);
json_t *marjoram_gateway_report_upstreams (marjoram_registry *registry,
                                           int64_t now);
json_t *marjoram_gateway_report_zones (const struct marjoram_names *zones);
/* Slots of the members, and the reason if this keeper may not vote; JSON null
   if KEEPER has no state yet.  */
json_t *marjoram_gateway_report_keeper (const marjoram_keeper *keeper);
/* Lease on keys and quotas in use at an entry host.  */
json_t *marjoram_gateway_report_customers (const marjoram_key_lease *lease,
                                           const marjoram_quota_pool *pool,
                                           int64_t now);
/* Requests forwarded to each region and service, and their limits.  */
json_t *
marjoram_gateway_report_windows (const marjoram_forward_windows *windows);
/* Use of the region's capacity by each customer in use; empty if capacity is
   not shared.  */
json_t *marjoram_gateway_report_room (marjoram_room_share *share, int64_t now);
/* A keeper's shares of the quotas.  */
json_t *marjoram_gateway_report_shares (const marjoram_quota_shares *shares);

/* Upstreams that count as dark, and for how long.  */
json_t *marjoram_gateway_report_dark (marjoram_gateway *gateway, int64_t now);

#endif
