#include "host_links_private.h"

#include "cleanup.h"
#include "event_log.h"

#include <inttypes.h>
#include <string.h>

enum
{
  HEARTBEAT_MS = MARJORAM_HOST_HEARTBEAT_MS,
  REMOTE_HEARTBEAT_MS = 600, /* to entry hosts of other regions */
  /* The same from a host that is told by a keeper which hosts have died.  */
  REMOTE_HEARTBEAT_FOLLOWING_MS = 2000,
  /* Regions with more hosts use a proportionally longer interval, which bounds
     the heartbeats that a host sends per second.  */
  FULL_RATE_HOSTS = 32,
  /* The same for hosts that are told by a keeper which hosts have died.  */
  FULL_RATE_HOSTS_FOLLOWING = 8,
  EVENTS_INTERVAL_MS = 200, /* between checks for hosts that have died */
  /* Heartbeats per second that a keeper receives from all hosts of a region if
     it watches them, and from all others, before they use longer intervals. */
  WATCHED_HEARTBEATS_PER_S = 1000,
  OTHER_HEARTBEATS_PER_S = 500,
  MSEC_PER_SEC = 1000,
  /* How often a keeper sends its list of hosts to keepers and to all hosts.
     The latter traffic grows with the square of the number of hosts; changes
     are sent at once.  host_list.c and gateway_daemon.c depend on these.  */
  LIST_INTERVAL_MS = 5000,
  LIST_BROADCAST_INTERVAL_MS = 20000
};

static void
make_heartbeat (marjoram_host_links *links,
                struct marjoram_host_beat *heartbeat)
{
  const struct marjoram_gateway_settings *settings = links->settings;

  *heartbeat = (struct marjoram_host_beat){
    .name = settings->ip,
    .zone = settings->zone,
    .region = settings->region,
    .entry = settings->role == MARJORAM_ROLE_ENTRY ? settings->entry_address
                                                   : (char *)"",
    .keeper = settings->role == MARJORAM_ROLE_KEEPER,
    .incarnation = links->incarnation,
    .sequence = ++links->sequence,
  };
  links->ops->fill_heartbeat (links->context, heartbeat);
}

/* Recipients of a heartbeat.  Only entry hosts of other regions need offers,
   by which they choose where to forward.  */
enum audience
{
  AUDIENCE_LOCAL,
  AUDIENCE_REMOTE,
  AUDIENCE_HOME,    /* the keeper that this host follows */
  AUDIENCE_WITNESS, /* the other one that watches it */
  AUDIENCE_KEEPER,
  AUDIENCE_COUNT
};

static enum audience
audience_of (const marjoram_host_links *links,
             const struct marjoram_host_link *link)
{
  const struct marjoram_listed_host *host
      = marjoram_host_list_find (links->hosts, link->host);
  const bool is_local
      = host && strcmp (host->heartbeat.region, links->settings->region) == 0;

  if (links->settings->role != MARJORAM_ROLE_ENTRY)
    return AUDIENCE_LOCAL;
  if (host && !host->heartbeat.keeper)
    return is_local ? AUDIENCE_LOCAL : AUDIENCE_REMOTE;
  if (link->is_home)
    return AUDIENCE_HOME;
  return link->is_witness ? AUDIENCE_WITNESS : AUDIENCE_KEEPER;
}

static int64_t
interval_for (const marjoram_host_links *links, enum audience audience)
{
  switch (audience)
    {
    case AUDIENCE_LOCAL:
      return links->local_interval_ms;
    case AUDIENCE_REMOTE:
      return marjoram_host_links_follows_one (links)
                 ? REMOTE_HEARTBEAT_FOLLOWING_MS
                 : REMOTE_HEARTBEAT_MS;
    case AUDIENCE_HOME:
    case AUDIENCE_WITNESS:
      return links->watcher_interval_ms;
    case AUDIENCE_KEEPER:
      return links->keeper_interval_ms;
    default:
      return HEARTBEAT_MS;
    }
}

/* This host's heartbeat, packed on demand for each audience.  */
struct packed_heartbeats
{
  struct marjoram_host_beat heartbeat; /* name is NULL until it is built */
  marjoram_bytes *frames[AUDIENCE_COUNT];
};

static const marjoram_bytes *
pack_heartbeat (marjoram_host_links *links, struct packed_heartbeats *packed,
                const struct marjoram_host_link *link, enum audience audience)
{
  struct marjoram_host_beat heartbeat;

  if (packed->frames[audience])
    return packed->frames[audience];
  if (!packed->heartbeat.name)
    make_heartbeat (links, &packed->heartbeat);
  heartbeat = packed->heartbeat;
  if (audience != AUDIENCE_REMOTE)
    heartbeat.offers = (struct marjoram_array){ NULL, 0 };
  if (audience != AUDIENCE_REMOTE || marjoram_host_links_follows_one (links))
    heartbeat.interval_ms = (uint64_t)interval_for (links, audience);
  if (audience >= AUDIENCE_HOME)
    heartbeat.follow = marjoram_host_links_follow (links, link);
  packed->frames[audience]
      = marjoram_host_links_pack (MARJORAM_FRAME_HOST_BEAT, &heartbeat);
  return packed->frames[audience];
}

static int64_t
keeper_interval_ms (int64_t hosts, int64_t heartbeats_per_s)
{
  int64_t msec = hosts * MSEC_PER_SEC / heartbeats_per_s;

  return msec > HEARTBEAT_MS ? msec : HEARTBEAT_MS;
}

void
marjoram_host_links_update_interval (marjoram_host_links *links, int64_t now)
{
  const char *region = links->settings->region;
  int64_t hosts;

  links->local_interval_ms = HEARTBEAT_MS;
  links->watcher_interval_ms = HEARTBEAT_MS;
  links->keeper_interval_ms = HEARTBEAT_MS;
  if (links->settings->role != MARJORAM_ROLE_ENTRY)
    return;
  hosts
      = (int64_t)marjoram_host_list_serving_count (links->hosts, now, region);
  if (marjoram_host_links_follows_one (links))
    links->local_interval_ms
        = HEARTBEAT_MS * hosts / FULL_RATE_HOSTS_FOLLOWING;
  else if (hosts > FULL_RATE_HOSTS)
    links->local_interval_ms = HEARTBEAT_MS * hosts / FULL_RATE_HOSTS;
  if (links->local_interval_ms < HEARTBEAT_MS)
    links->local_interval_ms = HEARTBEAT_MS;
  marjoram_host_list_set_heartbeat_interval (links->hosts, region,
                                             links->local_interval_ms);
  links->watcher_interval_ms
      = keeper_interval_ms (hosts, WATCHED_HEARTBEATS_PER_S);
  links->keeper_interval_ms = keeper_interval_ms (
      (int64_t)marjoram_host_list_entry_count (links->hosts),
      OTHER_HEARTBEATS_PER_S);
}

int64_t
marjoram_host_links_heartbeat_interval (const marjoram_host_links *links,
                                        const struct marjoram_host_link *link)
{
  return interval_for (links, audience_of (links, link));
}

static void
send_own_heartbeat (marjoram_host_links *links,
                    struct marjoram_host_link *link, int64_t now,
                    const marjoram_bytes *frame, int64_t interval_ms)
{
  link->sent_at = now;
  link->stated_ms = interval_ms;
  marjoram_link_lag_sent (&link->lag, now);
  marjoram_host_links_write (links, link->host, 0, frame);
}

/* A longer interval holds once a heartbeat has stated it: until then the host
   would be taken for dead.  */
static int64_t
pause_ms (const marjoram_host_links *links,
          const struct marjoram_host_link *link, enum audience audience)
{
  const int64_t interval_ms = interval_for (links, audience);

  return link->stated_ms > 0 && link->stated_ms < interval_ms ? link->stated_ms
                                                              : interval_ms;
}

void
marjoram_host_links_send_heartbeats (marjoram_host_links *links, int64_t now,
                                     bool all)
{
  struct packed_heartbeats packed = { 0 };
  struct marjoram_host_link *link;

  TAILQ_FOREACH (link, &links->links, next)
  {
    enum audience audience;

    if (!link->up || (!all && now < link->sent_at + HEARTBEAT_MS))
      continue;
    audience = audience_of (links, link);
    if (all || now >= link->sent_at + pause_ms (links, link, audience))
      send_own_heartbeat (links, link, now,
                          pack_heartbeat (links, &packed, link, audience),
                          interval_for (links, audience));
  }
  for (int i = 0; i < AUDIENCE_COUNT; i++)
    marjoram_bytes_release (packed.frames[i]);
}

void
marjoram_host_links_heartbeat_now (marjoram_host_links *links, int64_t now)
{
  marjoram_host_links_send_heartbeats (links, now, true);
}

/* Removes what a host states to the receiver of its heartbeat only.  */
static void
clear_direct_terms (struct marjoram_host_beat *relayed)
{
  relayed->offers = (struct marjoram_array){ NULL, 0 };
  relayed->follow = MARJORAM_FOLLOW_ALL;
  relayed->interval_ms = 0;
}

static void
log_host (const struct marjoram_host_beat *heartbeat)
{
  marjoram_event (MARJORAM_EVENT_HOST,
                  "name=%s zone=%s ready=%d leaving=%d keeper=%d "
                  "incarnation=%" PRIu64 " config=%" PRIu64 " age_ms=%" PRIu64,
                  heartbeat->name, heartbeat->zone, heartbeat->ready,
                  heartbeat->leaving, heartbeat->keeper,
                  heartbeat->incarnation, heartbeat->config_number,
                  heartbeat->age_ms);
}

/* Replies with a full heartbeat to entry hosts of other regions: they need
   this host's offers, and this host may have no link to them.  Others get a
   short acknowledgement.  */
static void
reply_to_heartbeat (marjoram_host_links *links,
                    const struct marjoram_host_beat *heartbeat,
                    uint64_t session)
{
  const struct marjoram_heartbeat echo = { .sequence = heartbeat->sequence };
  struct marjoram_host_beat own;

  if (links->settings->role == MARJORAM_ROLE_ENTRY && heartbeat->entry
      && heartbeat->entry[0] && heartbeat->region
      && strcmp (heartbeat->region, links->settings->region) != 0)
    {
      make_heartbeat (links, &own);
      marjoram_host_links_reply (links, heartbeat->name, session,
                                 MARJORAM_FRAME_HOST_BEAT, &own);
      return;
    }
  marjoram_host_links_reply (links, heartbeat->name, session,
                             MARJORAM_FRAME_HEARTBEAT, &echo);
}

/* Keepers hear of a host in its own heartbeats too; those that don't are told
   by a keeper that the host follows.  */
static void
publish_change (marjoram_host_links *links,
                const struct marjoram_host_session *session,
                const struct marjoram_host_beat *heartbeat)
{
  struct marjoram_host_beat copy = *heartbeat;
  const struct marjoram_host_beats list = { { &copy, 1 } };

  if (links->settings->role != MARJORAM_ROLE_KEEPER)
    return;
  clear_direct_terms (&copy);
  marjoram_host_links_multicast (links, MARJORAM_TO_FOLLOWERS, NULL,
                                 MARJORAM_FRAME_HOST_LIST, &list);
  if (marjoram_host_session_follows (session))
    marjoram_host_links_multicast (links, MARJORAM_TO_KEEPERS, NULL,
                                   MARJORAM_FRAME_HOST_LIST, &list);
}

void
marjoram_host_links_process_reply (marjoram_host_links *links,
                                   const char *host,
                                   struct marjoram_host_beat *heartbeat)
{
  if (!heartbeat->name || strcmp (heartbeat->name, host) != 0)
    return;
  heartbeat->age_ms = 0;
  if (marjoram_host_list_update (links->hosts, marjoram_host_links_now (links),
                                 heartbeat, true))
    log_host (heartbeat);
}

static bool
follows (marjoram_host_links *links, const char *host)
{
  const struct marjoram_host_session *session
      = marjoram_host_links_session (links, host);

  return session && marjoram_host_session_follows (session);
}

/* Lists the hosts whose heartbeats this host receives directly, or those of
   them that follow it.  The caller frees ITEMS.  */
static struct marjoram_host_beats
make_list (marjoram_host_links *links, int64_t now, bool only_followers)
{
  struct marjoram_listed_hosts *all = marjoram_host_list_all (links->hosts);
  const struct marjoram_listed_host *host;
  struct marjoram_host_beat *items;
  struct marjoram_host_beats list = { { NULL, 0 } };
  size_t count = 0;

  TAILQ_FOREACH (host, all, link)
  count++;
  list.items.items = items = marjoram_alloc (count * sizeof *items);
  TAILQ_FOREACH (host, all, link)
  if (host->direct && marjoram_host_list_alive (host, now)
      && (!only_followers || follows (links, host->heartbeat.name)))
    {
      items[list.items.count] = host->heartbeat;
      clear_direct_terms (&items[list.items.count]);
      items[list.items.count++].age_ms = (uint64_t)(now - host->received_at);
    }
  return list;
}

/* The part of LIST after the SENT hosts that fits into one frame; returns
   false after the last.  */
static bool
next_page (const struct marjoram_host_beats *list, size_t *sent,
           struct marjoram_host_beats *page)
{
  struct marjoram_host_beat *items = list->items.items;
  size_t count = list->items.count - *sent;

  if (count > MARJORAM_HOST_BEATS_MAX)
    count = MARJORAM_HOST_BEATS_MAX;
  page->items = (struct marjoram_array){ items + *sent, count };
  *sent += count;
  return count > 0;
}

static void
send_list (marjoram_host_links *links, const char *host, uint64_t session)
{
  struct marjoram_host_beats list
      = make_list (links, marjoram_host_links_now (links), false);
  struct marjoram_host_beats page;
  size_t sent = 0;

  while (next_page (&list, &sent, &page))
    marjoram_host_links_reply (links, host, session, MARJORAM_FRAME_HOST_LIST,
                               &page);
  free (list.items.items);
}

/* Sends RECIPIENTS the hosts that this one hears, or those of them that follow
   it.  */
static void
publish_pages (marjoram_host_links *links, int64_t now, bool only_followers,
               enum marjoram_recipients recipients)
{
  struct marjoram_host_beats list = make_list (links, now, only_followers);
  struct marjoram_host_beats page;
  size_t sent = 0;

  while (next_page (&list, &sent, &page))
    marjoram_host_links_multicast (links, recipients, NULL,
                                   MARJORAM_FRAME_HOST_LIST, &page);
  free (list.items.items);
}

void
marjoram_host_links_publish_list (marjoram_host_links *links, int64_t now)
{
  if (now < links->list_sent_at + LIST_INTERVAL_MS)
    return;
  links->list_sent_at = now;
  publish_pages (links, now, true, MARJORAM_TO_KEEPERS);
  if (now < links->list_broadcast_at + LIST_BROADCAST_INTERVAL_MS)
    return;
  links->list_broadcast_at = now;
  publish_pages (links, now, false, MARJORAM_TO_FOLLOWERS);
}

static void
publish_lost (marjoram_host_links *links,
              const struct marjoram_lost_hosts *lost,
              enum marjoram_recipients recipients)
{
  struct marjoram_lost_host *items = lost->items.items;
  struct marjoram_lost_hosts page;

  for (size_t sent = 0; sent < lost->items.count; sent += page.items.count)
    {
      size_t count = lost->items.count - sent;

      if (count > MARJORAM_HOST_BEATS_MAX)
        count = MARJORAM_HOST_BEATS_MAX;
      page.items = (struct marjoram_array){ items + sent, count };
      marjoram_host_links_multicast (links, recipients, NULL,
                                     MARJORAM_FRAME_LOST_HOSTS, &page);
    }
}

static void
publish_found (marjoram_host_links *links,
               const struct marjoram_host_beats *found)
{
  struct marjoram_host_beat *items = found->items.items;
  struct marjoram_host_beats page;
  size_t sent = 0;

  for (size_t i = 0; i < found->items.count; i++)
    clear_direct_terms (&items[i]);
  while (next_page (found, &sent, &page))
    marjoram_host_links_multicast (links, MARJORAM_TO_SOLE_FOLLOWERS,
                                   links->settings->region,
                                   MARJORAM_FRAME_HOST_LIST, &page);
}

void
marjoram_host_links_publish_events (marjoram_host_links *links, int64_t now)
{
  struct marjoram_host_events events;

  if (now < links->events_taken_at + EVENTS_INTERVAL_MS)
    return;
  links->events_taken_at = now;
  marjoram_host_list_take_events (links->hosts, now, links->settings->region,
                                  &events);
  publish_lost (links, &events.lost, MARJORAM_TO_SOLE_FOLLOWERS);
  publish_lost (links, &events.watched, MARJORAM_TO_KEEPERS);
  publish_found (links, &events.found);
  if (events.lost.items.count + events.found.items.count > 0)
    marjoram_event (MARJORAM_EVENT_HOST, "state=judged lost=%zu found=%zu",
                    events.lost.items.count, events.found.items.count);
  free (events.lost.items.items);
  free (events.watched.items.items);
  free (events.found.items.items);
}

static bool
is_watched (const marjoram_host_links *links, const char *name)
{
  const struct marjoram_listed_host *host
      = marjoram_host_list_find (links->hosts, name);

  return host && marjoram_listed_host_is_watched (host);
}

/* A keeper judges the hosts that it watches by itself.  It passes on what it
   is told of other regions; deaths in its own are among its events.  */
static bool
accept_loss (marjoram_host_links *links, const struct marjoram_lost_host *lost)
{
  if (!lost->name || strcmp (lost->name, links->settings->ip) == 0
      || (links->settings->role == MARJORAM_ROLE_KEEPER
          && is_watched (links, lost->name)))
    return false;
  return marjoram_host_list_lost (links->hosts,
                                  marjoram_host_links_now (links), lost->name,
                                  lost->incarnation);
}

void
marjoram_host_links_process_lost (marjoram_host_links *links,
                                  const char *keeper,
                                  const struct marjoram_lost_hosts *lost)
{
  const struct marjoram_lost_host *items = lost->items.items;
  const struct marjoram_listed_host *sender
      = marjoram_host_list_find (links->hosts, keeper);
  marjoram_auto_free struct marjoram_lost_host *accepted
      = marjoram_alloc (lost->items.count * sizeof *accepted);
  struct marjoram_lost_hosts relayed = { { accepted, 0 } };

  for (size_t i = 0; i < lost->items.count; i++)
    if (accept_loss (links, &items[i]))
      accepted[relayed.items.count++] = items[i];
  if (links->settings->role == MARJORAM_ROLE_KEEPER && sender
      && strcmp (sender->heartbeat.region, links->settings->region) != 0
      && relayed.items.count > 0)
    marjoram_host_links_multicast (links, MARJORAM_TO_SOLE_FOLLOWERS, NULL,
                                   MARJORAM_FRAME_LOST_HOSTS, &relayed);
}

/* A host that restarts after its clock was set back has a lower incarnation
   than before, and its heartbeats would be rejected as stale.  Sends it the
   known incarnation, so that it adopts a higher one.  */
static void
report_higher_incarnation (marjoram_host_links *links, const char *host,
                           uint64_t number,
                           const struct marjoram_host_beat *heartbeat)
{
  const struct marjoram_listed_host *known
      = marjoram_host_list_find (links->hosts, host);
  struct marjoram_host_beat copy;
  const struct marjoram_host_beats list = { { &copy, 1 } };

  if (!known || known->heartbeat.incarnation <= heartbeat->incarnation)
    return;
  copy = known->heartbeat;
  clear_direct_terms (&copy);
  marjoram_host_links_reply (links, host, number, MARJORAM_FRAME_HOST_LIST,
                             &list);
}

void
marjoram_host_links_process_heartbeat (marjoram_host_links *links,
                                       const char *host, uint64_t number,
                                       struct marjoram_host_beat *heartbeat)
{
  struct marjoram_host_session *session
      = marjoram_host_links_session (links, host);
  bool first = !session || session->number != number;
  bool joined;
  bool joins;

  if (!heartbeat->name || strcmp (heartbeat->name, host) != 0
      || !heartbeat->zone || !heartbeat->region)
    return;
  if (!session)
    session = marjoram_host_links_add_session (links, host);
  joined = !first && marjoram_host_session_follows (session);
  session->number = number;
  session->follow = heartbeat->follow <= MARJORAM_FOLLOW_WATCHED
                        ? (enum marjoram_follow)heartbeat->follow
                        : MARJORAM_FOLLOW_ANOTHER;
  joins = !joined && marjoram_host_session_follows (session);
  heartbeat->age_ms = 0;
  report_higher_incarnation (links, host, number, heartbeat);
  if (marjoram_host_list_update (links->hosts, marjoram_host_links_now (links),
                                 heartbeat, true))
    {
      log_host (heartbeat);
      publish_change (links, session, heartbeat);
    }
  if (joins && links->settings->role == MARJORAM_ROLE_KEEPER)
    send_list (links, host, number);
  reply_to_heartbeat (links, heartbeat, number);
  links->ops->heartbeat (links->context, host, number, joins, heartbeat);
}

/* Adopts an incarnation above that of a previous run of this host.  It takes
   effect with the next regular heartbeat: two hosts with the same IP address
   by mistake would otherwise outbid each other in a tight loop.  */
static void
supersede (marjoram_host_links *links, const struct marjoram_host_beat *former)
{
  if (former->incarnation <= links->incarnation)
    return;
  marjoram_event (MARJORAM_EVENT_HOST,
                  "host=%s state=outlived former=%" PRIu64
                  " incarnation=%" PRIu64,
                  former->name, former->incarnation, former->incarnation + 1);
  links->incarnation = former->incarnation + 1;
}

void
marjoram_host_links_process_list (marjoram_host_links *links,
                                  const struct marjoram_host_beats *list)
{
  const struct marjoram_host_beat *items = list->items.items;

  if (!links->has_list)
    links->list_received_at = marjoram_host_links_now (links);
  links->has_list = true;
  for (size_t i = 0; i < list->items.count; i++)
    if (items[i].name && strcmp (items[i].name, links->settings->ip) == 0)
      supersede (links, &items[i]);
    else if (marjoram_host_list_update (links->hosts,
                                        marjoram_host_links_now (links),
                                        &items[i], false)
             && !marjoram_host_links_follows_one (links))
      log_host (&items[i]);
}
