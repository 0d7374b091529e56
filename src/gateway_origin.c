/* Streams that callers take up again: the build that began one is looked up at
   this host and, if it did not serve the stream, at keepers.  */
#include "gateway_private.h"

#include <stdio.h>
#include <string.h>

enum
{
  STATUS_UNAVAILABLE = 503,
  /* Time for the keepers' answers: a round trip to another region, and the
     time for which a busy keeper may be late.  */
  ANSWER_TIMEOUT_MS = 400,
  /* Time after a stream's deadline for which its build is kept, for callers
     that come back late.  */
  KEEP_AFTER_DEADLINE_MS = 30000,
  RETRY_MS = 250
};

static void
keep_origin (marjoram_gateway *gateway,
             const struct marjoram_exchange *exchange, int64_t now,
             const char *id)
{
  const struct marjoram_stream_origin origin
      = { *exchange->required_service ? exchange->required_service : NULL,
          exchange->required_build };
  const int64_t keep_ms
      = marjoram_exchange_time_left (exchange, now) + KEEP_AFTER_DEADLINE_MS;

  marjoram_stream_origins_add (gateway->origins, now, id, &origin, keep_ms);
  gateway->ops->tell_origin (gateway->context, id, &origin, keep_ms);
}

void
marjoram_exchange_record_origin (marjoram_gateway *gateway,
                                 const struct marjoram_exchange *exchange,
                                 int64_t now)
{
  if (exchange->repeatable && !exchange->forwarded && *exchange->metadata.id)
    keep_origin (gateway, exchange, now, exchange->metadata.id);
}

static void
refuse_unknown (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
                int64_t now)
{
  static const struct marjoram_refusal refusal
      = { MARJORAM_REASON_BUILD_UNKNOWN, STATUS_UNAVAILABLE, RETRY_MS };

  marjoram_exchange_refuse (gateway, exchange, now, &refusal);
}

/* The service of all streams that began since SINCE on ROUTE; null if there
   may have been several.  */
static const char *
only_service (const marjoram_gateway *gateway,
              const struct marjoram_exchange *exchange,
              const struct marjoram_route_rule *route, int64_t since)
{
  const char *service = marjoram_route_only_service (route);
  const char *host
      = marjoram_header_list_get (&exchange->request->headers, "Host");
  const struct marjoram_route_rule *previous;
  const char *former;

  if (!service || gateway->table_set_at <= since || !gateway->previous_table)
    return service;
  previous = marjoram_route_table_find (
      gateway->previous_table, host ? host : "", exchange->request->target);
  former = previous ? marjoram_route_only_service (previous) : NULL;
  return former && gateway->previous_set_at <= since
                 && strcmp (former, service) == 0
             ? service
             : NULL;
}

/* A caller that does not name the attempt that began the stream: its build is
   known only if the service has had a single one since before that.  What this
   host has not heard of may have been there, as it may be cut off or stand
   still, so that keepers are asked too.  Returns how many.  */
static size_t
ask_only_build (const marjoram_gateway *gateway,
                const struct marjoram_route_rule *route,
                struct marjoram_exchange *exchange, int64_t now)
{
  const int64_t for_ms = route->timeout_ms + KEEP_AFTER_DEADLINE_MS;
  const char *service = only_service (gateway, exchange, route, now - for_ms);
  const char *build
      = service ? marjoram_registry_only_build (
            gateway->options.place.registry, service, now - for_ms)
                : NULL;

  if (!build)
    return 0;
  snprintf (exchange->only_build, sizeof exchange->only_build, "%s", build);
  return gateway->ops->ask_only_build (gateway->context, exchange->call,
                                       service, for_ms);
}

static bool
is_taken_up (const struct marjoram_exchange *exchange,
             const struct marjoram_route_rule *route)
{
  return route->stream && exchange->build_rule == MARJORAM_BUILD_ANY
         && exchange->attempts_sent == 0
         && (*exchange->metadata.resumes || *exchange->metadata.last_event);
}

static void
ask_keepers (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
             const struct marjoram_route_rule *route, int64_t now)
{
  exchange->origin_asked = true;
  exchange->origin_asked_at = now;
  exchange->origins_awaited
      = *exchange->metadata.resumes
            ? gateway->ops->ask_origin (gateway->context, exchange->call,
                                        exchange->metadata.resumes)
            : ask_only_build (gateway, route, exchange, now);
}

/* Binds the exchange to ORIGIN.  Returns whether that says where it goes
   on.  */
static bool
apply_origin (struct marjoram_exchange *exchange,
              const struct marjoram_route_rule *route,
              const struct marjoram_stream_origin *origin)
{
  if (!origin->service && !marjoram_route_only_service (route))
    return false;
  marjoram_exchange_require_origin (exchange, origin);
  return true;
}

bool
marjoram_exchange_find_origin (marjoram_gateway *gateway,
                               struct marjoram_exchange *exchange,
                               const struct marjoram_route_rule *route,
                               int64_t now)
{
  const struct marjoram_stream_origin *origin;

  if (!is_taken_up (exchange, route))
    return true;
  origin = *exchange->metadata.resumes ? marjoram_stream_origins_find (
               gateway->origins, now, exchange->metadata.resumes)
                                       : NULL;
  if (origin && apply_origin (exchange, route, origin))
    return true;
  if (!exchange->origin_asked)
    ask_keepers (gateway, exchange, route, now);
  if (exchange->origins_awaited > 0
      && now < exchange->origin_asked_at + ANSWER_TIMEOUT_MS)
    return false;
  refuse_unknown (gateway, exchange, now);
  return false;
}

static bool
awaits_origin (const struct marjoram_exchange *exchange)
{
  return exchange->origins_awaited > 0
         && exchange->state == MARJORAM_EXCHANGE_WAITING
         && exchange->build_rule == MARJORAM_BUILD_ANY;
}

static void
receive_origin (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
                int64_t now, const struct marjoram_stream_origin *origin)
{
  const struct marjoram_route_rule *route
      = marjoram_exchange_route (gateway, exchange);

  exchange->origins_awaited--;
  if (origin && route && apply_origin (exchange, route, origin))
    keep_origin (gateway, exchange, now, exchange->metadata.resumes);
  if (exchange->build_rule == MARJORAM_BUILD_SAME
      || exchange->origins_awaited == 0)
    marjoram_exchange_admit (gateway, exchange, now);
}

void
marjoram_gateway_origin_answered (marjoram_gateway *gateway, int64_t now,
                                  uint64_t call, const char *id,
                                  const struct marjoram_stream_origin *origin)
{
  struct marjoram_exchange *exchange;
  struct marjoram_exchange *next;

  HASH_ITER (by_call, gateway->by_call, exchange, next)
  {
    if (awaits_origin (exchange)
        && strcmp (exchange->metadata.resumes, id) == 0
        && (origin || call == 0 || call == exchange->call))
      receive_origin (gateway, exchange, now, origin);
  }
}

void
marjoram_gateway_only_build_answered (marjoram_gateway *gateway, int64_t now,
                                      uint64_t call, const char *build,
                                      uint64_t keepers)
{
  struct marjoram_exchange *exchange;

  HASH_FIND (by_call, gateway->by_call, &call, sizeof call, exchange);
  if (!exchange || !awaits_origin (exchange) || *exchange->metadata.resumes)
    return;
  if (!build || strcmp (build, exchange->only_build) != 0)
    {
      refuse_unknown (gateway, exchange, now);
      return;
    }
  exchange->only_said++;
  if (keepers > exchange->only_needed)
    exchange->only_needed = keepers;
  if (--exchange->origins_awaited > 0)
    return;
  if (exchange->only_said >= exchange->only_needed)
    marjoram_exchange_require_build (exchange, exchange->only_build);
  marjoram_exchange_admit (gateway, exchange, now);
}
