#include "host_state.h"

#include "cleanup.h"
#include "clock.h"
#include "log.h"

#include <stdio.h>
#include <string.h>

enum
{
  SUSPECT_RETENTION_MS = 3600000,
  OFFER_INTERVAL_MS = 1000
};

/* ---- Creation.  ---- */

marjoram_host *
marjoram_host_create (const struct marjoram_host_options *options,
                      const struct marjoram_host_ops *ops, void *context,
                      int64_t now, int64_t wall, struct marjoram_error *err)
{
  marjoram_host *host = marjoram_alloc (sizeof *host);
  const struct marjoram_settings *settings = options->settings;

  host->ops = ops;
  host->context = context;
  host->settings = settings;
  host->counters = options->counters;
  host->random = options->random;
  host->incarnation = options->incarnation;
  host->now = now;
  host->wall_offset = wall - now;
  host->zone = -1;
  host->self = -1;
  STAILQ_INIT (&host->claim_results);
  host->requests = marjoram_requests_create ();
  host->members = marjoram_members_create (settings->zone, -1);
  host->suspects = marjoram_suspects_create (SUSPECT_RETENTION_MS);
  marjoram_suspects_set_report (host->suspects, marjoram_host_report_suspect,
                                host);
  host->router = marjoram_router_create (settings->zone, host->members,
                                         host->suspects, host->random);
  host->gossip = marjoram_host_create_gossip (host, now);
  if (settings->keeper && !marjoram_host_create_keeper (host, options, err))
    {
      marjoram_host_destroy (host);
      return NULL;
    }
  marjoram_links_plan (host);
  return host;
}

void
marjoram_host_destroy (marjoram_host *host)
{
  struct marjoram_claim_result *result;

  if (!host)
    return;
  marjoram_requests_destroy (host);
  marjoram_senders_destroy (host);
  marjoram_renewals_destroy (host);
  marjoram_links_destroy (host);
  marjoram_applies_destroy (host);
  while ((result = STAILQ_FIRST (&host->claim_results)))
    {
      STAILQ_REMOVE_HEAD (&host->claim_results, next);
      marjoram_claim_result_destroy (result);
    }
  marjoram_router_destroy (host->router);
  marjoram_claims_destroy (host->claims);
  marjoram_model_placement_destroy (host->model_placement);
  marjoram_orders_destroy (host->orders);
  marjoram_keeper_destroy (host->keeper);
  marjoram_state_gossip_destroy (host->gossip);
  marjoram_suspects_destroy (host->suspects);
  marjoram_members_destroy (host->members);
  marjoram_config_release (host->config);
  free (host);
}

/* ---- Timers.  ---- */

static void
upstream_expired (void *context, int64_t now,
                  const struct marjoram_upstream *upstream)
{
  marjoram_host *host = context;

  marjoram_counters_add (host->counters, MARJORAM_COUNTER_UPSTREAMS_EXPIRED,
                         1);
  marjoram_log (MARJORAM_LOG_NOTICE,
                "upstream %s: lease expired %lld ms after its last renewal, "
                "which left it %lld ms",
                upstream->announcement->name,
                (long long)(now - upstream->reported),
                (long long)(upstream->lease_end - upstream->reported));
}

/* Sends SLOT the capacity that this zone offers to its zone and the usage of
   each caller here, over a session in either direction.  */
static void
send_offer (marjoram_host *host, int64_t now, const char *slot)
{
  int index = marjoram_config_find_slot (host->config, slot);
  struct marjoram_offers offers = { 0 };

  if (index < 0)
    return;
  marjoram_router_build_offers (
      host->router, now, marjoram_config_slot (host->config, index)->zone,
      &offers);
  marjoram_link_send_any (host, slot, MARJORAM_FRAME_OFFERS, &offers);
  marjoram_wire_clear (&marjoram_offers_layout, &offers);
}

/* Sends offers both to hosts that this one connects to and to hosts that only
   connect to it: beyond the full mesh, a host in another zone may have no
   other link to this zone.  */
static void
send_offers (marjoram_host *host, int64_t now)
{
  struct marjoram_link *link;
  struct marjoram_link *next;
  struct marjoram_sender *sender;
  struct marjoram_sender *next_sender;

  if (!host->config || host->zone < 0 || host->draining
      || now - host->offers_sent_at < OFFER_INTERVAL_MS)
    return;
  host->offers_sent_at = now;
  HASH_ITER (hh, host->links, link, next)
  {
    if (link->up)
      send_offer (host, now, link->slot);
  }
  HASH_ITER (hh, host->senders, sender, next_sender)
  {
    link = marjoram_link_find (host, sender->slot);
    if (sender->session && !(link && link->up))
      send_offer (host, now, sender->slot);
  }
}

static void
check_drained (marjoram_host *host, int64_t now)
{
  bool late = now >= host->drain_limit;

  if (!host->draining || host->drained)
    return;
  if (marjoram_host_request_count (host) > 0 && !late)
    return;
  host->drained = true;
  if (late)
    marjoram_log (MARJORAM_LOG_WARNING,
                  "drain limit passed; aborting %zu requests",
                  marjoram_host_request_count (host));
  host->ops->drained (host->context);
  marjoram_requests_give_up (host, now);
}

void
marjoram_host_note_time (marjoram_host *host, int64_t now)
{
  int64_t before = host->noted_at;

  host->noted_at = now;
  if (before == 0 || now - before < MARJORAM_STALL_MIN_MS)
    return;
  marjoram_log (MARJORAM_LOG_WARNING, "the event loop stood still for %lld ms",
                (long long)(now - before));
  marjoram_members_stalled (host->members, before, now);
}

void
marjoram_host_tick (marjoram_host *host, int64_t now, int64_t wall)
{
  marjoram_host_note_time (host, now);
  host->now = now;
  host->wall_offset = wall - now;
  marjoram_members_tick (host->members, now, upstream_expired, host);
  marjoram_suspects_tick (host->suspects, now);
  if (host->claims)
    {
      marjoram_claims_tick (host->claims, now, wall);
      marjoram_orders_tick (host->orders, now);
      if (!host->draining)
        marjoram_model_placement_tick (host->model_placement, now,
                                       host->config, host->members,
                                       host->orders);
    }
  marjoram_host_deliver_claim_results (host, now);
  if (host->keeper)
    marjoram_keeper_tick (host->keeper, now);
  marjoram_state_gossip_tick (host->gossip, now);
  marjoram_links_replan (host, now);
  marjoram_links_tick (host, now);
  marjoram_renewals_tick (host, now);
  send_offers (host, now);
  marjoram_applies_tick (host, now);
  marjoram_requests_tick (host, now);
  marjoram_host_deliver_claim_results (host, now);
  check_drained (host, now);
}

void
marjoram_host_drain (marjoram_host *host, int64_t now)
{
  if (host->draining)
    return;
  marjoram_log (MARJORAM_LOG_NOTICE, "draining");
  host->draining = true;
  host->drain_limit = now + host->settings->drain_limit_ms;
}

void
marjoram_host_give_up (marjoram_host *host, int64_t now)
{
  host->now = now;
  marjoram_requests_give_up (host, now);
}

/* ---- Queries.  ---- */

bool
marjoram_host_ready (const marjoram_host *host)
{
  return host->config && host->zone >= 0
         && marjoram_state_gossip_ready (host->gossip);
}

bool
marjoram_host_draining (const marjoram_host *host)
{
  return host->draining;
}

const char *
marjoram_host_zone (const marjoram_host *host)
{
  return host->settings->zone;
}

marjoram_config *
marjoram_host_config (const marjoram_host *host)
{
  return host->config;
}

const struct marjoram_state *
marjoram_host_state (const marjoram_host *host)
{
  return marjoram_state_gossip_state (host->gossip);
}

const marjoram_members *
marjoram_host_members (const marjoram_host *host)
{
  return host->members;
}

size_t
marjoram_host_request_count (const marjoram_host *host)
{
  const struct marjoram_request *request;
  size_t count = 0;

  TAILQ_FOREACH (request, &host->requests->all, all)
  {
    count += !request->answered;
  }
  return count;
}

void
marjoram_host_view (const marjoram_host *host, int64_t now, const char *slot,
                    struct marjoram_host_view *view)
{
  const struct marjoram_link *link = marjoram_link_find (host, slot);

  memset (view, 0, sizeof *view);
  view->round_trip_ms = -1;
  if (!link)
    return;
  view->alive = link->up && now - link->received_at < MARJORAM_LINK_SILENT_MS;
  view->draining = link->draining;
  view->incarnation = link->incarnation;
  view->config_number = link->config_number;
  view->round_trip_ms = link->round_trip_ms;
}

char *
marjoram_host_explain (marjoram_host *host, int64_t now,
                       struct marjoram_query *query,
                       struct marjoram_choice *choice)
{
  return marjoram_router_explain (host->router, now, query, choice);
}
