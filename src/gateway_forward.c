#include "gateway_private.h"

#include "session_home.h"
#include "spill.h"

#include <stdio.h>
#include <string.h>

enum
{
  /* Round trip between two regions, plus margin.  */
  REGION_RTT_MS = 130,
  SESSION_REGIONS_MAX = 16
};

static bool
send_to_host (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
              int64_t now, const char *host)
{
  struct marjoram_http_request *request = exchange->request;
  const struct marjoram_run_metadata metadata
      = { .last_event = marjoram_exchange_last_event (exchange),
          .urgency = -1 };
  struct marjoram_forward forward = { 0 };
  struct marjoram_header_list headers = { 0 };

  if (!marjoram_exchange_take_repeat (gateway, exchange, now))
    return false;
  for (size_t i = 0; i < request->headers.count; i++)
    if (!marjoram_header_list_is_hop_by_hop (&request->headers,
                                             request->headers.items[i].name))
      marjoram_header_list_add (&headers, request->headers.items[i].name,
                                request->headers.items[i].value);
  gateway->options.dialect->ops->write_run (&metadata, &headers);
  if (headers.count > MARJORAM_HEADERS_MAX)
    {
      marjoram_header_list_clear (&headers);
      return false;
    }
  marjoram_exchange_start_attempt (gateway, exchange, now);
  forward.request = exchange->attempt;
  forward.id = exchange->metadata.id;
  forward.caller = *exchange->customer ? exchange->customer : NULL;
  forward.method = request->method;
  forward.path = request->target;
  forward.headers.items = headers.items;
  forward.headers.count = headers.count;
  forward.body = request->body;
  forward.budget_ms = marjoram_exchange_time_left (exchange, now);
  forward.time_left_ms
      = exchange->target_at > now ? exchange->target_at - now : 0;
  forward.config_number = exchange->config;
  forward.stream = request->has_body;
  forward.build = (char *)marjoram_exchange_required_build (exchange);
  if (gateway->ops->forward (gateway->context, host, &forward))
    {
      snprintf (exchange->host, sizeof exchange->host, "%s", host);
      exchange->upstream[0] = '\0';
      exchange->build[0] = '\0';
      exchange->attempts_sent++;
      exchange->attempts_maybe_run++;
      marjoram_metrics_add (gateway->options.metrics,
                            MARJORAM_METRIC_FORWARDED_OUT, 1);
      marjoram_header_list_clear (&headers);
      return true;
    }
  marjoram_exchange_end_attempt (gateway, exchange, now,
                                 MARJORAM_ATTEMPT_CANCELLED);
  marjoram_header_list_clear (&headers);
  return false;
}

static bool
forward_to (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
            int64_t now, const char *host)
{
  if (!send_to_host (gateway, exchange, now, host))
    return false;
  exchange->forwarded_out = true;
  return true;
}

/* HOST's offer for the exchange's service and build, or null.  */
static const struct marjoram_host_offer *
usable_offer (const struct marjoram_exchange *exchange,
              const struct marjoram_listed_host *host)
{
  const struct marjoram_host_offer *offer
      = marjoram_listed_host_offer (host, exchange->service);

  return offer && marjoram_exchange_accepts_offer (exchange, offer) ? offer
                                                                    : NULL;
}

/* HOST's offer for the exchange's service; null if the exchange cannot be
   forwarded to HOST.  */
static const struct marjoram_host_offer *
find_offer (marjoram_gateway *gateway,
            const struct marjoram_exchange *exchange,
            const struct marjoram_route_rule *route,
            const struct marjoram_listed_host *host, int64_t now)
{
  if (!marjoram_host_list_serves (host, now)
      || strcmp (host->heartbeat.region, gateway->region) == 0
      || !marjoram_exchange_allows_region (gateway, exchange, route,
                                           host->heartbeat.region)
      || !gateway->ops->reaches (gateway->context, host->heartbeat.name))
    return NULL;
  return usable_offer (exchange, host);
}

/* Rendezvous hashing: the same request prefers the same host, and requests
   spread evenly.  */
static uint64_t
host_weight (const struct marjoram_exchange *exchange,
             const struct marjoram_listed_host *host)
{
  return marjoram_listed_host_weight (host, exchange->metadata.id);
}

/* ---- Within this region.  ---- */

static bool
may_relay_to (marjoram_gateway *gateway,
              const struct marjoram_exchange *exchange,
              const struct marjoram_listed_host *host, int64_t now)
{
  return strcmp (host->heartbeat.region, gateway->region) == 0
         && strcmp (host->heartbeat.name, gateway->host) != 0
         && marjoram_host_list_serves (host, now)
         && usable_offer (exchange, host)
         && gateway->ops->reaches (gateway->context, host->heartbeat.name);
}

/* Requests are spread over the hosts that offer the service.  */
static const struct marjoram_listed_host *
choose_relay (marjoram_gateway *gateway,
              const struct marjoram_exchange *exchange, int64_t now)
{
  const struct marjoram_host_slice *offering
      = marjoram_host_list_offering (gateway->options.place.hosts, now);
  const struct marjoram_listed_host *best = NULL;

  for (size_t i = 0; i < offering->count; i++)
    {
      const struct marjoram_listed_host *host = offering->hosts[i];

      if (may_relay_to (gateway, exchange, host, now)
          && (!best
              || host_weight (exchange, host) > host_weight (exchange, best)))
        best = host;
    }
  return best;
}

bool
marjoram_exchange_may_relay (marjoram_gateway *gateway,
                             const struct marjoram_exchange *exchange,
                             int64_t now)
{
  return !exchange->forwarded && !exchange->relayed
         && choose_relay (gateway, exchange, now);
}

bool
marjoram_exchange_relay (marjoram_gateway *gateway,
                         struct marjoram_exchange *exchange, int64_t now)
{
  const struct marjoram_listed_host *host;

  if (exchange->forwarded || exchange->relayed)
    return false;
  host = choose_relay (gateway, exchange, now);
  if (!host || !send_to_host (gateway, exchange, now, host->heartbeat.name))
    return false;
  exchange->relayed = true;
  return true;
}

/* ---- To other regions.  ---- */

/* Orders regions by the wait at their least loaded upstream or by the mean
   backlog of their upstreams.  */
enum region_order
{
  BY_WAIT,
  BY_BACKLOG
};

static uint64_t
load_of (const struct marjoram_host_offer *offer, enum region_order order)
{
  return order == BY_WAIT ? offer->wait_ms : offer->backlog_ms;
}

static const char *
choose_region (marjoram_gateway *gateway,
               const struct marjoram_exchange *exchange,
               const struct marjoram_route_rule *route, int64_t now,
               enum region_order order, struct marjoram_host_offer *found)
{
  const struct marjoram_host_slice *offering
      = marjoram_host_list_offering (gateway->options.place.hosts, now);
  const char *best = NULL;

  for (size_t i = 0; i < offering->count; i++)
    {
      const struct marjoram_listed_host *host = offering->hosts[i];
      const struct marjoram_host_offer *offer
          = find_offer (gateway, exchange, route, host, now);

      if (!offer || (best && load_of (offer, order) >= load_of (found, order)))
        continue;
      best = host->heartbeat.region;
      *found = *offer;
    }
  return best;
}

/* The host of REGION that the exchange is forwarded to.  All hosts of a region
   share its upstreams, so requests are spread over them instead of all
   queueing at the host with the best offer.  */
static const struct marjoram_listed_host *
choose_host (marjoram_gateway *gateway,
             const struct marjoram_exchange *exchange,
             const struct marjoram_route_rule *route, int64_t now,
             const char *region)
{
  const struct marjoram_host_slice *offering
      = marjoram_host_list_offering (gateway->options.place.hosts, now);
  const struct marjoram_listed_host *best = NULL;

  for (size_t i = 0; i < offering->count; i++)
    {
      const struct marjoram_listed_host *host = offering->hosts[i];

      if (strcmp (host->heartbeat.region, region) == 0
          && find_offer (gateway, exchange, route, host, now)
          && (!best
              || host_weight (exchange, host) > host_weight (exchange, best)))
        best = host;
    }
  return best;
}

static const struct marjoram_listed_host *
choose_remote_host (marjoram_gateway *gateway,
                    const struct marjoram_exchange *exchange,
                    const struct marjoram_route_rule *route, int64_t now,
                    enum region_order order, struct marjoram_host_offer *offer)
{
  const char *region
      = choose_region (gateway, exchange, route, now, order, offer);

  return region ? choose_host (gateway, exchange, route, now, region) : NULL;
}

bool
marjoram_exchange_may_forward (marjoram_gateway *gateway,
                               const struct marjoram_exchange *exchange,
                               const struct marjoram_route_rule *route,
                               int64_t now, int64_t max_wait_ms)
{
  struct marjoram_host_offer offer = { 0 };

  return !exchange->forwarded && !exchange->forwarded_out
         && choose_remote_host (gateway, exchange, route, now, BY_WAIT, &offer)
         && (int64_t)offer.wait_ms + REGION_RTT_MS <= max_wait_ms;
}

bool
marjoram_exchange_forward (marjoram_gateway *gateway,
                           struct marjoram_exchange *exchange,
                           const struct marjoram_route_rule *route,
                           int64_t now, int64_t max_wait_ms)
{
  const struct marjoram_listed_host *host;
  struct marjoram_host_offer offer = { 0 };

  if (exchange->forwarded || exchange->forwarded_out)
    return false;
  host = choose_remote_host (gateway, exchange, route, now, BY_WAIT, &offer);
  if (!host || (int64_t)offer.wait_ms + REGION_RTT_MS > max_wait_ms)
    return false;
  exchange->estimated_wait_ms = (int64_t)offer.wait_ms + REGION_RTT_MS;
  return forward_to (gateway, exchange, now, host->heartbeat.name);
}

/* Regions that may serve the exchange, this one first, with the offer of one
   host of each other region.  */
struct session_regions
{
  struct marjoram_session_region items[SESSION_REGIONS_MAX];
  struct marjoram_host_offer offers[SESSION_REGIONS_MAX];
  size_t count;
};

static bool
has_region (const struct session_regions *regions, const char *name)
{
  for (size_t i = 0; i < regions->count; i++)
    if (strcmp (regions->items[i].name, name) == 0)
      return true;
  return false;
}

static void
find_regions (marjoram_gateway *gateway,
              const struct marjoram_exchange *exchange,
              const struct marjoram_route_rule *route, int64_t now,
              int local_engines, struct session_regions *regions)
{
  const struct marjoram_host_slice *offering
      = marjoram_host_list_offering (gateway->options.place.hosts, now);

  regions->count = 1;
  regions->items[0]
      = (struct marjoram_session_region){ gateway->region,
                                          (uint64_t)local_engines };
  for (size_t i = 0;
       i < offering->count && regions->count < SESSION_REGIONS_MAX; i++)
    {
      const struct marjoram_listed_host *host = offering->hosts[i];
      const struct marjoram_host_offer *offer;

      if (has_region (regions, host->heartbeat.region))
        continue;
      offer = find_offer (gateway, exchange, route, host, now);
      if (!offer)
        continue;
      regions->offers[regions->count] = *offer;
      regions->items[regions->count++]
          = (struct marjoram_session_region){ host->heartbeat.region,
                                              offer->upstreams };
    }
}

/* Tokens of the chosen place's prefill that other requests share: all but the
   last part, which belongs to this request.  */
static int64_t
shared_prefill_tokens (const struct marjoram_exchange *exchange,
                       const struct marjoram_place *chosen)
{
  const struct marjoram_call_metadata *metadata = &exchange->metadata;

  return chosen->prefill_tokens
         - metadata->parts[metadata->part_count - 1].tokens;
}

bool
marjoram_exchange_follow_session (marjoram_gateway *gateway,
                                  struct marjoram_exchange *exchange,
                                  const struct marjoram_route_rule *route,
                                  int64_t now,
                                  const struct marjoram_place *chosen,
                                  int64_t time_left_ms)
{
  const struct marjoram_call_metadata *metadata = &exchange->metadata;
  struct marjoram_session_home_query query = { 0 };
  const struct marjoram_listed_host *host;
  struct session_regions regions;
  size_t home;

  if (exchange->forwarded || exchange->forwarded_out
      || exchange->attempts_maybe_run > 0 || chosen->engine_tokens_per_ms <= 0
      || metadata->part_count < 2)
    return false;
  query.shared_ms = (double)shared_prefill_tokens (exchange, chosen)
                    / chosen->engine_tokens_per_ms;
  query.time_left_ms = time_left_ms;
  /* No home is better for this little; saves looking at all regions.  */
  if (!marjoram_session_home_is_better (&query))
    return false;
  find_regions (gateway, exchange, route, now, chosen->usable, &regions);
  home = marjoram_session_home_find (
      metadata->parts[metadata->part_count - 2].id, regions.items,
      regions.count);
  if (home == 0 || home == regions.count)
    return false;
  query.prompt_ms
      = (double)metadata->prompt_tokens / chosen->engine_tokens_per_ms;
  query.local_ms
      = marjoram_placement_backlog (gateway->placement, exchange->service);
  query.remote_ms = (double)regions.offers[home].backlog_ms;
  query.remote_first_ms
      = (int64_t)regions.offers[home].wait_ms + REGION_RTT_MS;
  if (!marjoram_session_home_is_better (&query))
    return false;
  host = choose_host (gateway, exchange, route, now, regions.items[home].name);
  if (!host)
    return false;
  exchange->estimated_wait_ms
      = query.remote_first_ms + (int64_t)query.prompt_ms;
  return forward_to (gateway, exchange, now, host->heartbeat.name);
}

bool
marjoram_exchange_spill (marjoram_gateway *gateway,
                         struct marjoram_exchange *exchange,
                         const struct marjoram_route_rule *route, int64_t now,
                         const struct marjoram_place *chosen,
                         int64_t time_left_ms)
{
  const struct marjoram_listed_host *host;
  struct marjoram_host_offer offer = { 0 };
  struct marjoram_spill_query query = { .id = exchange->metadata.id };

  if (exchange->forwarded || exchange->forwarded_out
      || exchange->attempts_maybe_run > 0 || chosen->engine_tokens_per_ms <= 0)
    return false;
  host
      = choose_remote_host (gateway, exchange, route, now, BY_BACKLOG, &offer);
  if (!host)
    return false;
  query.engines = (int)offer.upstreams < chosen->usable ? (int)offer.upstreams
                                                        : chosen->usable;
  query.local_ms
      = marjoram_placement_backlog (gateway->placement, exchange->service);
  query.remote_ms = (double)offer.backlog_ms;
  query.prefill_ms
      = (double)chosen->prefill_tokens / chosen->engine_tokens_per_ms;
  query.prompt_ms = (double)exchange->metadata.prompt_tokens
                    / chosen->engine_tokens_per_ms;
  query.remote_first_ms = (int64_t)offer.wait_ms + REGION_RTT_MS;
  query.time_left_ms = time_left_ms;
  if (!marjoram_spill_selects (&query))
    return false;
  exchange->estimated_wait_ms
      = query.remote_first_ms + (int64_t)query.prompt_ms;
  return forward_to (gateway, exchange, now, host->heartbeat.name);
}
