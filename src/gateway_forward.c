#include "gateway_private.h"

#include "session_home.h"
#include "spill.h"

#include <stdio.h>
#include <string.h>

enum
{
  /* Round trip between two regions, plus margin.  */
  REGION_RTT_MS = 130,
  /* Allowance for one engine batch, as for requests that are queued here.  */
  RESPONSE_OVERHEAD_MS = 60,
  /* Speed at which a small host sends a request's body.  */
  BODY_BYTES_PER_MS = 1250,
  SESSION_REGIONS_MAX = 16
};

/* Time in ms that HOST has for the first event.  With balance_regions a host
   of another region gets less by the time on the way, so that it refuses what
   would reach the caller too late.  0: not stated.  */
static int64_t
time_left_for (const marjoram_gateway *gateway,
               const struct marjoram_exchange *exchange, int64_t now,
               bool other_region)
{
  const int64_t left_ms = exchange->target_at - now;

  if (other_region && gateway->features.balance_regions
      && left_ms > REGION_RTT_MS)
    return left_ms - REGION_RTT_MS;
  return left_ms > 0 ? left_ms : 0;
}

/* The service that the next host has to use, whatever its routes say: a stream
   that may be resumed has to go on at the same one.  */
static char *
service_for (struct marjoram_exchange *exchange)
{
  return exchange->stream && exchange->repeatable ? exchange->service : NULL;
}

static bool
send_to_host (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
              int64_t now, const char *host, bool other_region)
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
  marjoram_exchange_start_attempt (gateway, exchange, now);
  forward.request = exchange->attempt;
  forward.id = exchange->metadata.id;
  forward.caller = *exchange->customer ? exchange->customer : NULL;
  forward.method = request->method;
  forward.path = request->target;
  forward.headers.items = headers.items;
  forward.headers.count = headers.count;
  forward.body = request->body;
  forward.budget_ms = marjoram_exchange_answer_time (gateway, exchange, now);
  forward.time_left_ms = time_left_for (gateway, exchange, now, other_region);
  forward.config_number = exchange->config;
  forward.stream = request->has_body;
  forward.build = (char *)marjoram_exchange_required_build (exchange);
  forward.service = service_for (exchange);
  if (gateway->ops->forward (gateway->context, host, &forward))
    {
      snprintf (exchange->host, sizeof exchange->host, "%s", host);
      exchange->upstream[0] = '\0';
      exchange->build[0] = '\0';
      exchange->attempts_sent++;
      marjoram_run_record_sent (&exchange->runs, exchange->attempt);
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

/* Hosts of one region have the same upstreams and do not tell one another what
   they offer, only if that is nothing.  */
static bool
may_relay_to (marjoram_gateway *gateway,
              const struct marjoram_listed_host *host)
{
  return strcmp (host->heartbeat.name, gateway->host) != 0
         && !host->heartbeat.offers_nothing
         && gateway->ops->reaches (gateway->context, host->heartbeat.name);
}

/* Requests are spread over the hosts that reach upstreams.  */
static const struct marjoram_listed_host *
choose_relay (marjoram_gateway *gateway,
              const struct marjoram_exchange *exchange, int64_t now)
{
  const struct marjoram_host_slice *serving = marjoram_host_list_of_region (
      gateway->options.place.hosts, now, gateway->region);
  const struct marjoram_listed_host *best = NULL;

  for (size_t i = 0; i < serving->count; i++)
    {
      const struct marjoram_listed_host *host = serving->hosts[i];

      if (may_relay_to (gateway, host)
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
  if (!host
      || !send_to_host (gateway, exchange, now, host->heartbeat.name, false))
    return false;
  exchange->relayed = true;
  return true;
}

/* ---- To other regions.  ---- */

/* Orders regions by the time until the first event or by the mean backlog of
   their upstreams.  */
enum region_order
{
  BY_WAIT,
  BY_BACKLOG
};

struct region_choice
{
  enum region_order order;
  bool optional;      /* the exchange may still be served here in time */
  bool any_window;    /* regions whose windows are full, too */
  const char *home;   /* of the exchange's session; null if not known */
  const char *except; /* null: none */
};

static bool
is_balanced (const marjoram_gateway *gateway)
{
  return gateway->features.balance_regions;
}

/* Cost in ms of moving the exchange to REGION: the prefill of tokens that are
   not cached there, and the transfer of its body.  Parts before the session's
   are shared by sessions of all regions.  0 without balance_regions.  */
static double
move_ms (const marjoram_gateway *gateway,
         const struct marjoram_exchange *exchange, const char *region,
         const char *home)
{
  const struct marjoram_call_metadata *metadata = &exchange->metadata;
  const size_t parts = metadata->part_count;
  const double tokens_per_ms = exchange->place.engine_tokens_per_ms;
  int64_t tokens = metadata->prompt_tokens;
  double ms;

  if (!is_balanced (gateway))
    return 0;
  if (parts >= 2)
    {
      tokens = metadata->parts[parts - 1].tokens;
      if (!home || strcmp (region, home) != 0)
        tokens += metadata->parts[parts - 2].tokens;
    }
  ms = (double)marjoram_bytes_size (exchange->request->body)
       / BODY_BYTES_PER_MS;
  return tokens_per_ms > 0 ? ms + (double)tokens / tokens_per_ms : ms;
}

/* Whether the window of REGION has room for the exchange.  One that may run
   only in other regions is counted but not limited, since it cannot wait
   here.  */
static bool
has_window_room (const marjoram_gateway *gateway,
                 const struct marjoram_exchange *exchange,
                 const struct marjoram_route_rule *route, int64_t now,
                 const char *region, const struct region_choice *choice)
{
  const struct marjoram_forward_need need
      = { choice->optional,
          move_ms (gateway, exchange, region, choice->home) };

  return !is_balanced (gateway) || choice->any_window
         || marjoram_forward_windows_has_room (gateway->windows, now, region,
                                               exchange->service, &need)
         || !marjoram_exchange_allows_region (gateway, exchange, route,
                                              gateway->region);
}

/* Forwards the exchange to HOST, where by its offer the exchange begins after
   EXPECTED_MS.  */
static bool
forward_to (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
            int64_t now, const struct marjoram_listed_host *host,
            const struct region_choice *choice, int64_t expected_ms)
{
  const char *region = host->heartbeat.region;
  const struct marjoram_forward_need need
      = { choice->optional,
          move_ms (gateway, exchange, region, choice->home) };

  if (!send_to_host (gateway, exchange, now, host->heartbeat.name, true))
    return false;
  exchange->forwarded_out = true;
  if (is_balanced (gateway))
    marjoram_forward_windows_sent (
        gateway->windows, now, region, exchange->service, &need, expected_ms,
        exchange->target_at - now, &exchange->forward);
  return true;
}

static double
load_of (const marjoram_gateway *gateway,
         const struct marjoram_exchange *exchange,
         const struct marjoram_host_offer *offer, const char *region,
         const struct region_choice *choice)
{
  return choice->order == BY_WAIT
             ? (double)offer->wait_ms
                   + move_ms (gateway, exchange, region, choice->home)
             : (double)offer->backlog_ms;
}

static const char *
choose_region (marjoram_gateway *gateway,
               const struct marjoram_exchange *exchange,
               const struct marjoram_route_rule *route, int64_t now,
               const struct region_choice *choice,
               struct marjoram_host_offer *found)
{
  const struct marjoram_host_slice *offering
      = marjoram_host_list_offering (gateway->options.place.hosts, now);
  const char *best = NULL;
  double least = 0;

  for (size_t i = 0; i < offering->count; i++)
    {
      const struct marjoram_listed_host *host = offering->hosts[i];
      const char *region = host->heartbeat.region;
      const struct marjoram_host_offer *offer
          = find_offer (gateway, exchange, route, host, now);
      double load;

      if (!offer || (choice->except && strcmp (region, choice->except) == 0))
        continue;
      load = load_of (gateway, exchange, offer, region, choice);
      if ((best && load >= least)
          || !has_window_room (gateway, exchange, route, now, region, choice))
        continue;
      best = region;
      least = load;
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

/* The home region of the exchange's session; null if there is none or it does
   not matter.  */
static const char *
find_home (marjoram_gateway *gateway, const struct marjoram_exchange *exchange,
           const struct marjoram_route_rule *route, int64_t now)
{
  const struct marjoram_call_metadata *metadata = &exchange->metadata;
  struct session_regions regions;
  size_t home;

  if (!is_balanced (gateway) || metadata->part_count < 2)
    return NULL;
  find_regions (gateway, exchange, route, now, exchange->place.usable,
                &regions);
  home = marjoram_session_home_find (
      metadata->parts[metadata->part_count - 2].id, regions.items,
      regions.count);
  return home < regions.count ? regions.items[home].name : NULL;
}

static const struct marjoram_listed_host *
choose_remote_host (marjoram_gateway *gateway,
                    const struct marjoram_exchange *exchange,
                    const struct marjoram_route_rule *route, int64_t now,
                    const struct region_choice *choice,
                    struct marjoram_host_offer *offer)
{
  const char *region
      = choose_region (gateway, exchange, route, now, choice, offer);

  return region ? choose_host (gateway, exchange, route, now, region) : NULL;
}

/* The host of another region that would answer first.  Null if none would
   within MAX_WAIT_MS; otherwise EXPECTED_MS is the time by its offer.  With
   balance_regions the wait there may double while the exchange is on its way,
   since other hosts send to the same region.  */
static const struct marjoram_listed_host *
find_in_time (marjoram_gateway *gateway,
              const struct marjoram_exchange *exchange,
              const struct marjoram_route_rule *route, int64_t now,
              int64_t max_wait_ms, const struct region_choice *choice,
              int64_t *expected_ms)
{
  struct marjoram_host_offer offer = { 0 };
  const struct marjoram_listed_host *host
      = choose_remote_host (gateway, exchange, route, now, choice, &offer);
  int64_t margin_ms;

  if (!host)
    return NULL;
  *expected_ms = (int64_t)offer.wait_ms + REGION_RTT_MS
                 + (int64_t)move_ms (gateway, exchange, host->heartbeat.region,
                                     choice->home);
  margin_ms = is_balanced (gateway)
                  ? (int64_t)offer.wait_ms + RESPONSE_OVERHEAD_MS
                  : 0;
  return *expected_ms + margin_ms <= max_wait_ms ? host : NULL;
}

static bool
was_forwarded (const struct marjoram_exchange *exchange)
{
  return exchange->forwarded || exchange->forwarded_out
         || *exchange->refused_region;
}

bool
marjoram_exchange_may_forward (marjoram_gateway *gateway,
                               const struct marjoram_exchange *exchange,
                               const struct marjoram_route_rule *route,
                               int64_t now, int64_t max_wait_ms)
{
  struct region_choice choice = { .order = BY_WAIT };
  int64_t expected_ms;

  if (was_forwarded (exchange))
    return false;
  choice.home = find_home (gateway, exchange, route, now);
  return find_in_time (gateway, exchange, route, now, max_wait_ms, &choice,
                       &expected_ms);
}

/* Counts a request that is not forwarded, if only full windows prevented
   it.  */
static void
count_limited (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
               const struct marjoram_route_rule *route, int64_t now,
               int64_t max_wait_ms, struct region_choice choice)
{
  int64_t expected_ms;

  choice.any_window = true;
  if (!is_balanced (gateway) || exchange->forward_limited
      || !find_in_time (gateway, exchange, route, now, max_wait_ms, &choice,
                        &expected_ms))
    return;
  exchange->forward_limited = true;
  marjoram_metrics_add (gateway->options.metrics,
                        MARJORAM_METRIC_FORWARDS_LIMITED, 1);
}

static bool
forward_in_time (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
                 const struct marjoram_route_rule *route, int64_t now,
                 int64_t max_wait_ms, bool optional)
{
  const struct marjoram_listed_host *host;
  struct region_choice choice = { .order = BY_WAIT, .optional = optional };
  int64_t expected_ms;

  if (was_forwarded (exchange))
    return false;
  choice.home = find_home (gateway, exchange, route, now);
  host = find_in_time (gateway, exchange, route, now, max_wait_ms, &choice,
                       &expected_ms);
  if (!host)
    {
      count_limited (gateway, exchange, route, now, max_wait_ms, choice);
      return false;
    }
  exchange->estimated_wait_ms = expected_ms;
  return forward_to (gateway, exchange, now, host, &choice, expected_ms);
}

bool
marjoram_exchange_forward (marjoram_gateway *gateway,
                           struct marjoram_exchange *exchange,
                           const struct marjoram_route_rule *route,
                           int64_t now, int64_t max_wait_ms)
{
  /* A wait here that is more than half of the time left, as estimated, may
     turn out to be too long.  */
  const bool optional = 2 * max_wait_ms <= exchange->target_at - now;

  return forward_in_time (gateway, exchange, route, now, max_wait_ms,
                          optional);
}

bool
marjoram_exchange_forward_instead (marjoram_gateway *gateway,
                                   struct marjoram_exchange *exchange,
                                   const struct marjoram_route_rule *route,
                                   int64_t now, int64_t max_wait_ms)
{
  return is_balanced (gateway)
         && forward_in_time (gateway, exchange, route, now, max_wait_ms,
                             false);
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
  struct region_choice choice = { .optional = true };
  struct session_regions regions;
  size_t home;

  if (was_forwarded (exchange) || marjoram_exchange_may_have_run (exchange)
      || chosen->engine_tokens_per_ms <= 0 || metadata->part_count < 2)
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
  choice.home = regions.items[home].name;
  if (!has_window_room (gateway, exchange, route, now, choice.home, &choice))
    return false;
  host = choose_host (gateway, exchange, route, now, regions.items[home].name);
  if (!host)
    return false;
  exchange->estimated_wait_ms
      = query.remote_first_ms + (int64_t)query.prompt_ms;
  return forward_to (gateway, exchange, now, host, &choice,
                     exchange->estimated_wait_ms);
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
  const struct region_choice choice
      = { .order = BY_BACKLOG, .optional = true };

  if (was_forwarded (exchange) || marjoram_exchange_may_have_run (exchange)
      || chosen->engine_tokens_per_ms <= 0)
    return false;
  host = choose_remote_host (gateway, exchange, route, now, &choice, &offer);
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
  return forward_to (gateway, exchange, now, host, &choice,
                     exchange->estimated_wait_ms);
}

/* ---- What becomes of forwarded requests, with balance_regions.  ---- */

/* Whether a refusal for REASON is for want of capacity.  */
static bool
is_for_capacity (enum marjoram_reason reason)
{
  return reason == MARJORAM_REASON_OVERLOAD
         || reason == MARJORAM_REASON_NO_UPSTREAM
         || reason == MARJORAM_REASON_UPSTREAM_REFUSED
         || reason == MARJORAM_REASON_RETRY_BUDGET
         || reason == MARJORAM_REASON_DEADLINE;
}

void
marjoram_exchange_forward_refused (marjoram_gateway *gateway,
                                   struct marjoram_exchange *exchange,
                                   int64_t now, enum marjoram_reason reason)
{
  const struct marjoram_listed_host *host;

  if (!is_balanced (gateway) || !exchange->forwarded_out
      || reason == MARJORAM_REASON_DRAINING)
    return;
  host
      = marjoram_host_list_find (gateway->options.place.hosts, exchange->host);
  /* A host of this region, to which it was relayed.  */
  if (host && strcmp (host->heartbeat.region, gateway->region) == 0)
    return;
  if (is_for_capacity (reason))
    marjoram_forwarded_request_refused (&exchange->forward, now);
  snprintf (exchange->refused_region, sizeof exchange->refused_region, "%s",
            host ? host->heartbeat.region : "?");
}

void
marjoram_exchange_forward_ended (struct marjoram_exchange *exchange,
                                 int64_t now, enum marjoram_attempt_end how)
{
  if (how == MARJORAM_ATTEMPT_BROKEN || how == MARJORAM_ATTEMPT_TIMED_OUT
      || how == MARJORAM_ATTEMPT_FAILED)
    marjoram_forwarded_request_lost (&exchange->forward, now);
  else
    marjoram_forwarded_request_cancelled (&exchange->forward);
}

/* Whether a region that has not refused the exchange would answer it in
   time.  */
static bool
has_room_elsewhere (marjoram_gateway *gateway,
                    const struct marjoram_exchange *exchange,
                    const struct marjoram_route_rule *route, int64_t now)
{
  const struct region_choice choice
      = { .order = BY_WAIT,
          .home = find_home (gateway, exchange, route, now),
          .except = exchange->refused_region };
  int64_t expected_ms;

  return find_in_time (gateway, exchange, route, now,
                       exchange->target_at - now, &choice, &expected_ms);
}

void
marjoram_exchange_count_refusal (marjoram_gateway *gateway,
                                 const struct marjoram_exchange *exchange,
                                 int64_t now, enum marjoram_reason reason)
{
  const struct marjoram_route_rule *route;

  if (!is_balanced (gateway) || exchange->forwarded || !gateway->table
      || !is_for_capacity (reason)
      || exchange->state == MARJORAM_EXCHANGE_STREAMING
      || marjoram_exchange_may_have_run (exchange)
      || !marjoram_exchange_may_repeat (gateway, exchange, now))
    return;
  route = marjoram_exchange_route (gateway, exchange);
  if (route && has_room_elsewhere (gateway, exchange, route, now))
    marjoram_metrics_add (gateway->options.metrics,
                          MARJORAM_METRIC_REFUSED_WITH_ROOM, 1);
}
