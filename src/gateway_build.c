/* The build at which a stream goes on: what upstreams of two builds write does
   not fit together, so that once a caller has events of one, only upstreams of
   that build may send more.  */
#include "gateway_private.h"

#include "build_set.h"

#include <stdio.h>
#include <string.h>

const char *
marjoram_exchange_service (const struct marjoram_exchange *exchange,
                           const struct marjoram_route_rule *route)
{
  return *exchange->required_service
             ? exchange->required_service
             : marjoram_route_pick_service (route, exchange->metadata.id);
}

const char *
marjoram_exchange_required_build (const struct marjoram_exchange *exchange)
{
  return exchange->build_rule == MARJORAM_BUILD_SAME ? exchange->required_build
                                                     : NULL;
}

void
marjoram_exchange_require_build (struct marjoram_exchange *exchange,
                                 const char *build)
{
  exchange->build_rule = build ? MARJORAM_BUILD_SAME : MARJORAM_BUILD_NONE;
  snprintf (exchange->required_build, sizeof exchange->required_build, "%s",
            build ? build : "");
}

void
marjoram_exchange_require_origin (struct marjoram_exchange *exchange,
                                  const struct marjoram_stream_origin *origin)
{
  marjoram_exchange_require_build (exchange, origin->build);
  snprintf (exchange->required_service, sizeof exchange->required_service,
            "%s", origin->service ? origin->service : "");
}

/* Whether the upstream of the current attempt is still the instance to which
   it was sent, and heard since connections to it broke: otherwise its build is
   that of a former instance.  */
static bool
knows_build (const marjoram_gateway *gateway,
             const struct marjoram_exchange *exchange)
{
  const struct marjoram_registered *upstream;

  if (*exchange->host)
    return exchange->forward_has_build;
  upstream = marjoram_registry_find (gateway->options.place.registry,
                                     exchange->upstream);
  return upstream
         && upstream->heartbeat.started_at == exchange->upstream_started_at
         && strcmp (upstream->heartbeat.build, exchange->build) == 0
         && marjoram_placement_is_confirmed (gateway->placement, upstream);
}

void
marjoram_exchange_keep_build (marjoram_gateway *gateway,
                              struct marjoram_exchange *exchange, int64_t now)
{
  const struct marjoram_stream_origin origin
      = { exchange->service,
          knows_build (gateway, exchange) ? exchange->build : NULL };

  if (exchange->build_rule == MARJORAM_BUILD_SAME)
    return;
  marjoram_exchange_require_origin (exchange, &origin);
  if (exchange->build_rule == MARJORAM_BUILD_SAME)
    marjoram_exchange_record_origin (gateway, exchange, now);
}

bool
marjoram_exchange_accepts_offer (const struct marjoram_exchange *exchange,
                                 const struct marjoram_host_offer *offer)
{
  const char *build = marjoram_exchange_required_build (exchange);

  return !build || marjoram_build_set_may_have (offer->builds, build);
}

const char *
marjoram_gateway_build_of (const marjoram_gateway *gateway, uint64_t call)
{
  const struct marjoram_exchange *exchange;

  HASH_FIND (by_call, gateway->by_call, &call, sizeof call, exchange);
  return exchange ? marjoram_exchange_required_build (exchange) : NULL;
}

bool
marjoram_gateway_forward_head (marjoram_gateway *gateway, int64_t now,
                               uint64_t attempt, int status,
                               struct marjoram_header_list *headers,
                               const char *build)
{
  struct marjoram_exchange *exchange;

  HASH_FIND (by_attempt, gateway->by_attempt, &attempt, sizeof attempt,
             exchange);
  if (exchange)
    {
      exchange->forward_has_build = build != NULL;
      snprintf (exchange->build, sizeof exchange->build, "%s",
                build ? build : "");
    }
  if (marjoram_gateway_head (gateway, now, attempt, status, headers))
    return true;
  if (exchange)
    marjoram_exchange_end_foreign (gateway, exchange, now);
  return false;
}
