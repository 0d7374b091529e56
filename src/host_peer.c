#include "host_state.h"

#include "cleanup.h"
#include "log.h"

enum
{
  SLOW_WRITE_MS = 500
};

/* Sends all known upstreams to a host of this zone that was disconnected or
   has just started.  */
static void
send_upstreams (marjoram_host *host, int64_t now, const char *slot)
{
  struct marjoram_announcement announcement;

  if (marjoram_host_ordinal (host, slot) < 0)
    return;
  for (size_t i = 0; i < marjoram_members_count (host->members); i++)
    if (marjoram_members_relay (host->members, now, i, &announcement))
      host->ops->send (host->context, slot, MARJORAM_FRAME_UPSTREAM,
                       &announcement);
}

void
marjoram_host_link_up (marjoram_host *host, int64_t now, const char *slot,
                       uint64_t incarnation)
{
  struct marjoram_link *link = marjoram_link_find (host, slot);

  host->now = now;
  if (!link)
    return;
  link->up = true;
  link->session++;
  link->incarnation = incarnation;
  link->received_at = now;
  link->heartbeat_sent_at = now - MARJORAM_HEARTBEAT_MS;
  marjoram_counters_add (host->counters, MARJORAM_COUNTER_PEER_CONNECTS, 1);
  marjoram_forward_link_up (host, now, slot);
  send_upstreams (host, now, slot);
  marjoram_links_tick (host, now);
}

void
marjoram_host_link_down (marjoram_host *host, int64_t now, const char *slot)
{
  struct marjoram_link *link = marjoram_link_find (host, slot);

  host->now = now;
  if (!link)
    return;
  link->up = false;
  marjoram_state_gossip_disconnected (host->gossip, now, slot);
}

void
marjoram_host_link_heard (marjoram_host *host, int64_t now, const char *slot)
{
  struct marjoram_link *link = marjoram_link_find (host, slot);

  host->now = now;
  if (link)
    link->received_at = now;
}

void
marjoram_host_session_closed (marjoram_host *host, int64_t now,
                              const char *slot, uint64_t session)
{
  struct marjoram_sender *sender;

  host->now = now;
  HASH_FIND_STR (host->senders, slot, sender);
  if (sender && sender->session == session)
    {
      sender->session = 0;
      marjoram_state_gossip_disconnected (host->gossip, now, slot);
    }
  marjoram_relay_session_closed (host, now, slot, session);
}

static void
handle_heartbeat (marjoram_host *host, int64_t now, const char *slot,
                  uint64_t session, const struct marjoram_heartbeat *heartbeat)
{
  int ordinal = marjoram_host_ordinal (host, slot);

  marjoram_link_heartbeat (host, now, slot, session, heartbeat);
  if (ordinal >= 0)
    marjoram_members_record_heartbeat (host->members, now, ordinal,
                                       heartbeat->incarnation,
                                       heartbeat->draining);
  marjoram_state_gossip_announced (host->gossip, now, slot,
                                   heartbeat->config_number);
  if (host->keeper && heartbeat->config_number > 0)
    marjoram_keeper_observe_number (host->keeper, heartbeat->config_number);
}

/* Handles frames that only hosts of the same zone may send.  */
static void
handle_zone_frame (marjoram_host *host, int64_t now, const char *slot,
                   enum marjoram_frame_type type, const void *message)
{
  int ordinal = marjoram_host_ordinal (host, slot);

  if (ordinal < 0 || ordinal == host->self)
    return;
  switch (type)
    {
    case MARJORAM_FRAME_UPSTREAM:
      marjoram_host_check_restarted (host, now, message);
      marjoram_members_announce (host->members, now, message, true);
      break;
    case MARJORAM_FRAME_RENEWALS:
      marjoram_renewals_apply (host, now, message);
      break;
    case MARJORAM_FRAME_CLAIM:
      marjoram_claims_receive (host->claims, now, ordinal, message);
      break;
    case MARJORAM_FRAME_ORDER:
      marjoram_orders_receive (host->orders, now, ordinal, message);
      break;
    default:
      break;
    }
}

static void
handle_offers (marjoram_host *host, int64_t now, const char *slot,
               const struct marjoram_offers *offers)
{
  const struct marjoram_link *link = marjoram_link_find (host, slot);
  int64_t round_trip = link ? link->round_trip_ms : -1;

  marjoram_router_process_offers (host->router, now, offers,
                                  round_trip < 0 ? 0 : round_trip / 2);
}

void
marjoram_host_frame (marjoram_host *host, int64_t now, const char *slot,
                     uint64_t session, uint64_t incarnation,
                     enum marjoram_frame_type type, const void *message)
{
  host->now = now;
  if (session)
    marjoram_sender_get (host, slot, incarnation)->session = session;
  else
    marjoram_host_link_heard (host, now, slot);
  switch (type)
    {
    case MARJORAM_FRAME_HEARTBEAT:
      handle_heartbeat (host, now, slot, session, message);
      break;
    case MARJORAM_FRAME_FORWARD:
      marjoram_relay_accept (host, now, slot, session, incarnation, message);
      break;
    case MARJORAM_FRAME_CANCEL:
      marjoram_relay_cancel (host, now, slot, incarnation, message);
      break;
    case MARJORAM_FRAME_REVOKE:
      marjoram_relay_revoke (host, slot, session, incarnation, message);
      break;
    case MARJORAM_FRAME_HEAD:
    case MARJORAM_FRAME_DATA:
    case MARJORAM_FRAME_END:
    case MARJORAM_FRAME_REVOKED:
      /* Responses arrive only on the session that this host opened.  */
      if (session == 0)
        marjoram_forward_handle_frame (host, now, slot, type, message);
      break;
    case MARJORAM_FRAME_UPSTREAM:
    case MARJORAM_FRAME_RENEWALS:
    case MARJORAM_FRAME_CLAIM:
    case MARJORAM_FRAME_ORDER:
      handle_zone_frame (host, now, slot, type, message);
      break;
    case MARJORAM_FRAME_KEEPER:
      if (host->keeper)
        marjoram_keeper_receive (host->keeper, now, slot, message);
      break;
    case MARJORAM_FRAME_SUSPECT:
      marjoram_host_process_suspect (host, now, slot, message);
      break;
    case MARJORAM_FRAME_OFFERS:
      handle_offers (host, now, slot, message);
      break;
    case MARJORAM_FRAME_STATE_ASK:
      marjoram_state_gossip_receive_ask (host->gossip, now, slot, message);
      break;
    case MARJORAM_FRAME_STATE_PIECE:
      marjoram_state_gossip_receive_piece (host->gossip, now, slot, message);
      break;
    case MARJORAM_FRAME_APPLY:
      marjoram_apply_frame (host, now, slot, session, message);
      break;
    case MARJORAM_FRAME_APPLIED:
      marjoram_applied_frame (host, message);
      break;
    default:
      break;
    }
  marjoram_host_deliver_claim_results (host, now);
}

void
marjoram_host_persisted (marjoram_host *host, int64_t now, uint64_t ticket,
                         bool ok)
{
  int64_t took_ms;

  host->now = now;
  if (!host->keeper)
    return;
  took_ms = marjoram_keeper_write_age_ms (host->keeper, now);
  if (took_ms >= SLOW_WRITE_MS)
    marjoram_log (MARJORAM_LOG_WARNING,
                  "a write to the data folder took %lld ms; see that its disk "
                  "is fast enough",
                  (long long)took_ms);
  marjoram_keeper_persisted (host->keeper, now, ticket, ok);
}
