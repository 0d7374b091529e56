#include "keeper_role_private.h"

#include "cleanup.h"
#include "event_log.h"
#include "liveness.h"

#include <inttypes.h>
#include <string.h>

enum
{
  LIVENESS_INTERVAL_MS = 1000,
  /* After a start, when upstreams and other keepers may not have reported yet.
   */
  LIVENESS_UNKNOWN_MS = 8000
};

/* ---- State.  ---- */

static void
load_newest_state (struct marjoram_keeper_role *self)
{
  const struct marjoram_state *state
      = marjoram_keeper_durable_state (self->keeper);

  if (state)
    marjoram_state_sender_set (self->state_sender, state);
}

/* Only the number is announced; hosts request what they lack.  Pushing a large
   state would send it to each host from several keepers at once, and delay
   upstream traffic on the same link until upstreams look dead.  */
void
marjoram_keeper_announce_state (struct marjoram_keeper_role *self)
{
  struct marjoram_state_news announcement;

  load_newest_state (self);
  announcement.number = marjoram_state_sender_number (self->state_sender);
  marjoram_host_links_multicast (self->parts->links, MARJORAM_TO_ENTRY_HOSTS,
                                 self->parts->settings->region,
                                 MARJORAM_FRAME_STATE_NEWS, &announcement);
}

void
marjoram_keeper_announce_state_to (struct marjoram_keeper_role *self,
                                   const char *host, uint64_t session,
                                   const struct marjoram_host_beat *heartbeat)
{
  struct marjoram_state_news announcement;

  load_newest_state (self);
  announcement.number = marjoram_state_sender_number (self->state_sender);
  if (!heartbeat->keeper && heartbeat->config_number < announcement.number)
    marjoram_host_links_reply (self->parts->links, host, session,
                               MARJORAM_FRAME_STATE_NEWS, &announcement);
}

void
marjoram_keeper_send_state_piece (struct marjoram_keeper_role *self,
                                  const char *host, uint64_t session,
                                  const struct marjoram_state_ask *ask)
{
  struct marjoram_state_piece piece = { 0 };

  if (!marjoram_state_sender_answer (self->state_sender, ask, &piece))
    return;
  marjoram_host_links_reply (self->parts->links, host, session,
                             MARJORAM_FRAME_STATE_PIECE, &piece);
  marjoram_wire_clear (&marjoram_state_piece_layout, &piece);
}

/* ---- Upstreams.  ---- */

/* Copies the items of BATCH in REGION to PART.  An item whose zone is unknown,
   as when only its departure was reported, belongs to all regions.  */
static void
filter_region (const struct marjoram_gateway_settings *settings,
               const char *region, const struct marjoram_news_batch *batch,
               struct marjoram_news_batch *part)
{
  const struct marjoram_news_item *items = batch->items.items;
  struct marjoram_news_item *picked
      = marjoram_alloc (batch->items.count * sizeof *picked);

  part->ticket = batch->ticket;
  part->items.items = picked;
  part->items.count = 0;
  for (size_t i = 0; i < batch->items.count; i++)
    {
      const char *in
          = marjoram_gateway_settings_region (settings, items[i].zone);

      if (!in || strcmp (in, region) == 0)
        picked[part->items.count++] = items[i];
    }
}

static bool
region_done (const struct marjoram_gateway_settings *settings, size_t zone)
{
  for (size_t i = 0; i < zone; i++)
    if (strcmp (settings->zones[i].region, settings->zones[zone].region) == 0)
      return true;
  return false;
}

/* The part of BATCH after the SENT items that fits into one frame; returns
   false after the last.  */
static bool
next_page (const struct marjoram_news_batch *batch, size_t *sent,
           struct marjoram_news_batch *page)
{
  struct marjoram_news_item *items = batch->items.items;
  size_t count = batch->items.count - *sent;

  if (count > MARJORAM_NEWS_PAGE)
    count = MARJORAM_NEWS_PAGE;
  *page = (struct marjoram_news_batch){ .ticket = batch->ticket,
                                        .items = { items + *sent, count } };
  *sent += count;
  return count > 0;
}

static size_t
multicast_pages (struct marjoram_keeper_role *self,
                 enum marjoram_recipients recipients, const char *region,
                 const struct marjoram_news_batch *batch)
{
  struct marjoram_news_batch page;
  size_t sent = 0;
  size_t count = 0;

  while (next_page (batch, &sent, &page))
    count = marjoram_host_links_multicast (self->parts->links, recipients,
                                           region, MARJORAM_FRAME_NEWS, &page);
  return count;
}

/* Hosts only use upstreams of their own region, so updates stay within it,
   which saves most of the traffic between regions.  */
static size_t
publish_to_regions (struct marjoram_keeper_role *self,
                    const struct marjoram_news_batch *batch,
                    enum marjoram_recipients recipients)
{
  const struct marjoram_gateway_settings *settings = self->parts->settings;
  size_t count = 0;

  for (size_t i = 0; i < settings->zone_count; i++)
    {
      const char *region = settings->zones[i].region;
      struct marjoram_news_batch part;

      if (region_done (settings, i))
        continue;
      filter_region (settings, region, batch, &part);
      count += multicast_pages (self, recipients, region, &part);
      free (part.items.items);
    }
  return count;
}

/* Changes go to all keepers: a delayed message from an earlier incarnation of
   an upstream, or from before it left, may reach any of them.  A change that
   has to be acknowledged goes to all hosts, others to those that follow this
   keeper: the other keepers pass them on to theirs.  */
size_t
marjoram_keeper_publish_changes (struct marjoram_keeper_role *self,
                                 const struct marjoram_news_batch *batch)
{
  size_t recipients = multicast_pages (self, MARJORAM_TO_KEEPERS, NULL, batch);

  return recipients
         + publish_to_regions (self, batch,
                               batch->ticket ? MARJORAM_TO_ENTRY_HOSTS
                                             : MARJORAM_TO_FOLLOWERS);
}

void
marjoram_keeper_relay_changes (struct marjoram_keeper_role *self,
                               const struct marjoram_news_batch *batch)
{
  publish_to_regions (self, batch, MARJORAM_TO_SOLE_FOLLOWERS);
}

/* Hosts that follow one keeper are sent summaries instead.  */
void
marjoram_keeper_publish_renewals (struct marjoram_keeper_role *self,
                                  const struct marjoram_news_batch *batch)
{
  publish_to_regions (self, batch, MARJORAM_TO_KEEPERS);
  publish_to_regions (self, batch, MARJORAM_TO_JOINT_FOLLOWERS);
}

static void
send_pages (struct marjoram_keeper_role *self, const char *host,
            uint64_t session, const struct marjoram_news_batch *batch)
{
  struct marjoram_news_batch page;
  size_t sent = 0;

  while (next_page (batch, &sent, &page))
    marjoram_host_links_reply (self->parts->links, host, session,
                               MARJORAM_FRAME_NEWS, &page);
}

/* Packs all upstreams of REGION.  The caller frees the items.  */
static void
pack_region (struct marjoram_keeper_role *self, const char *region,
             struct marjoram_news_batch *batch)
{
  struct marjoram_news_batch all;

  marjoram_registrar_snapshot (self->registrar,
                               marjoram_keeper_role_now (self), &all);
  filter_region (self->parts->settings, region, &all, batch);
  free (all.items.items);
}

/* Sends all upstreams to a keeper, and those of its region to a host.  */
static void
send_upstreams (struct marjoram_keeper_role *self, const char *host,
                uint64_t session, const struct marjoram_host_beat *heartbeat)
{
  const struct marjoram_news_batch end
      = { .has_known = true,
          .known_ms = marjoram_registry_known_ms (
              self->registry, marjoram_keeper_role_now (self)) };
  struct marjoram_news_batch batch;

  if (heartbeat->keeper)
    marjoram_registrar_snapshot (self->registrar,
                                 marjoram_keeper_role_now (self), &batch);
  else
    pack_region (self, heartbeat->region, &batch);
  send_pages (self, host, session, &batch);
  marjoram_host_links_reply (self->parts->links, host, session,
                             MARJORAM_FRAME_NEWS, &end);
  free (batch.items.items);
}

static bool
knows_liveness (const struct marjoram_keeper_role *self)
{
  return marjoram_keeper_role_now (self)
         >= self->created_at + LIVENESS_UNKNOWN_MS;
}

/* A keeper that does not know yet which upstreams are alive names those that
   it has heard of, but does not say that there are no others.  */
void
marjoram_keeper_answer_news_ask (struct marjoram_keeper_role *self,
                                 const char *host, uint64_t session,
                                 const struct marjoram_news_ask *ask)
{
  const struct marjoram_listed_host *listed
      = marjoram_host_list_find (self->parts->hosts, host);
  const struct marjoram_news_batch end
      = { .asked_at = ask->asked_at, .is_last = knows_liveness (self) };
  struct marjoram_news_batch batch;

  if (!listed)
    return;
  pack_region (self, listed->heartbeat.region, &batch);
  marjoram_event (MARJORAM_EVENT_UPSTREAM, "state=snapshot host=%s count=%zu",
                  host, batch.items.count);
  send_pages (self, host, session, &batch);
  marjoram_host_links_reply (self->parts->links, host, session,
                             MARJORAM_FRAME_NEWS, &end);
  free (batch.items.items);
}

static bool
is_own_region (void *context, const char *zone)
{
  const struct marjoram_keeper_role *self = context;
  const char *region
      = marjoram_gateway_settings_region (self->parts->settings, zone);

  return region && strcmp (region, self->parts->settings->region) == 0;
}

/* Changes precede the summary, so that a host knows all that it renews.  */
void
marjoram_keeper_publish_liveness (struct marjoram_keeper_role *self,
                                  int64_t now)
{
  const char *region = self->parts->settings->region;
  const struct marjoram_liveness_scope scope
      = { self->registry, self->parts->hosts, is_own_region, self };
  struct marjoram_liveness summary;

  if (now < self->liveness_sent_at + LIVENESS_INTERVAL_MS
      || !knows_liveness (self)
      || !marjoram_host_links_has_sole_followers (self->parts->links))
    return;
  self->liveness_sent_at = now;
  marjoram_registrar_send_changes (self->registrar, now);
  marjoram_liveness_build (&scope, now, &summary);
  if (summary.silent.count > 0)
    marjoram_event (MARJORAM_EVENT_UPSTREAM,
                    "state=summary live=%" PRIu64 " silent=%zu", summary.count,
                    summary.silent.count);
  marjoram_host_links_multicast (self->parts->links,
                                 MARJORAM_TO_SOLE_FOLLOWERS, region,
                                 MARJORAM_FRAME_LIVENESS, &summary);
  marjoram_wire_clear (&marjoram_liveness_layout, &summary);
}

static void
send_crashes (struct marjoram_keeper_role *self, const char *host,
              uint64_t session)
{
  struct marjoram_crash_report all;

  if (marjoram_crash_list_count (self->crashes) == 0)
    return;
  marjoram_crash_list_export (self->crashes, marjoram_keeper_role_now (self),
                              &all);
  marjoram_host_links_reply (self->parts->links, host, session,
                             MARJORAM_FRAME_CRASHES, &all);
  marjoram_wire_clear (&marjoram_crash_report_layout, &all);
}

/* Each keeper tells its followers, so that a host does not get a copy from
   each keeper.  A sender has notified the hosts of its own region itself,
   unless they follow one keeper.  */
void
marjoram_keeper_forward_crashes (struct marjoram_keeper_role *self,
                                 const char *host,
                                 const struct marjoram_crash_report *report)
{
  const char *region = self->parts->settings->region;
  const struct marjoram_listed_host *sender
      = marjoram_host_list_find (self->parts->hosts, host);

  marjoram_crash_list_apply (self->crashes, marjoram_keeper_role_now (self),
                             report);
  if (sender)
    marjoram_host_links_multicast (self->parts->links,
                                   strcmp (sender->heartbeat.region, region)
                                           == 0
                                       ? MARJORAM_TO_SOLE_FOLLOWERS
                                       : MARJORAM_TO_FOLLOWERS,
                                   region, MARJORAM_FRAME_CRASHES, report);
}

void
marjoram_keeper_send_snapshot (struct marjoram_keeper_role *self,
                               const char *host, uint64_t session,
                               const struct marjoram_host_beat *heartbeat)
{
  send_upstreams (self, host, session, heartbeat);
  send_crashes (self, host, session);
}
