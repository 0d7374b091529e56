#include "host_links_private.h"

#include "cleanup.h"
#include "event_log.h"

#include <inttypes.h>
#include <string.h>

enum
{
  BEAT_MS = 300,     /* host_list.c counts on it */
  BEAT_FAR_MS = 600, /* to entry hosts of other regions */
  /* Most hosts of a region that beat to each other every BEAT_MS; more of them
     do so less often, so that what a host sends does not grow.  */
  NEAR_HOSTS = 32,
  /* How often a keeper tells other keepers of all hosts, and how often hosts:
     the latter takes bytes by the square of their number, and they hear of
     what changes at once.  host_list.c and gateway_daemon.c count on
     them.  */
  LIST_MS = 5000,
  LIST_HOSTS_MS = 20000
};

static void
make_beat (marjoram_host_links *links, struct marjoram_host_beat *beat)
{
  const struct marjoram_gateway_settings *settings = links->settings;

  *beat = (struct marjoram_host_beat){
    .name = settings->ip,
    .zone = settings->zone,
    .region = settings->region,
    .entry = settings->role == MARJORAM_ROLE_ENTRY ? settings->entry_address
                                                   : (char *)"",
    .keeper = settings->role == MARJORAM_ROLE_KEEPER,
    .incarnation = links->incarnation,
    .sequence = ++links->sequence,
  };
  links->ops->fill_beat (links->context, beat);
}

/* Who hears a beat: entry hosts of other regions choose by the offers where to
   forward, keepers sum up what was repeated, and hosts of the own region need
   neither.  */
enum audience
{
  AUDIENCE_NEAR,
  AUDIENCE_FAR,
  AUDIENCE_KEEPER,
  AUDIENCE_COUNT
};

static enum audience
audience_of (const marjoram_host_links *links, const char *name)
{
  const struct marjoram_listed_host *host
      = marjoram_host_list_find (links->hosts, name);

  if (!host)
    return AUDIENCE_NEAR;
  if (host->beat.keeper)
    return AUDIENCE_KEEPER;
  return strcmp (host->beat.region, links->settings->region) == 0
             ? AUDIENCE_NEAR
             : AUDIENCE_FAR;
}

/* This host's beat as packed for each audience, as far as one is needed.  */
struct packed_beats
{
  struct marjoram_host_beat beat; /* without a name until it is made */
  marjoram_bytes *frames[AUDIENCE_COUNT];
};

static const marjoram_bytes *
pack_beat (marjoram_host_links *links, struct packed_beats *packed,
           enum audience audience)
{
  struct marjoram_host_beat beat;

  if (packed->frames[audience])
    return packed->frames[audience];
  if (!packed->beat.name)
    make_beat (links, &packed->beat);
  beat = packed->beat;
  if (audience != AUDIENCE_FAR)
    beat.offers = (struct marjoram_array){ NULL, 0 };
  if (audience != AUDIENCE_KEEPER)
    beat.uses = (struct marjoram_array){ NULL, 0 };
  packed->frames[audience]
      = marjoram_frame_pack (MARJORAM_FRAME_HOST_BEAT, &beat);
  return packed->frames[audience];
}

void
marjoram_host_links_pace (marjoram_host_links *links, int64_t now)
{
  const char *region = links->settings->region;
  int64_t hosts;

  links->near_ms = BEAT_MS;
  if (links->settings->role != MARJORAM_ROLE_ENTRY)
    return;
  hosts
      = (int64_t)marjoram_host_list_serving_count (links->hosts, now, region);
  if (hosts > NEAR_HOSTS)
    links->near_ms = BEAT_MS * hosts / NEAR_HOSTS;
  marjoram_host_list_set_heartbeat_interval (links->hosts, region,
                                             links->near_ms);
}

static int64_t
pause_of (const marjoram_host_links *links, enum audience audience)
{
  switch (audience)
    {
    case AUDIENCE_NEAR:
      return links->near_ms;
    case AUDIENCE_FAR:
      return BEAT_FAR_MS;
    default:
      return BEAT_MS;
    }
}

int64_t
marjoram_host_links_beat_ms (const marjoram_host_links *links,
                             const char *host)
{
  return pause_of (links, audience_of (links, host));
}

static void
send_beat (marjoram_host_links *links, struct marjoram_host_link *link,
           int64_t now, const marjoram_bytes *frame)
{
  link->sent_at = now;
  marjoram_link_lag_sent (&link->lag, now);
  marjoram_peer_send_packed (links->peer, link->host, frame);
}

void
marjoram_host_links_send_beats (marjoram_host_links *links, int64_t now,
                                bool all)
{
  struct packed_beats packed = { 0 };
  struct marjoram_host_link *link;

  TAILQ_FOREACH (link, &links->links, next)
  {
    enum audience audience;

    if (!link->up || (!all && now < link->sent_at + BEAT_MS))
      continue;
    audience = audience_of (links, link->host);
    if (all || now >= link->sent_at + pause_of (links, audience))
      send_beat (links, link, now, pack_beat (links, &packed, audience));
  }
  for (int i = 0; i < AUDIENCE_COUNT; i++)
    marjoram_bytes_release (packed.frames[i]);
}

void
marjoram_host_links_beat (marjoram_host_links *links, int64_t now)
{
  marjoram_host_links_send_beats (links, now, true);
}

static void
log_host (const struct marjoram_host_beat *beat)
{
  marjoram_event (MARJORAM_EVENT_HOST,
                  "name=%s zone=%s ready=%d leaving=%d keeper=%d "
                  "incarnation=%" PRIu64 " config=%" PRIu64 " age_ms=%" PRIu64,
                  beat->name, beat->zone, beat->ready, beat->leaving,
                  beat->keeper, beat->incarnation, beat->config_number,
                  beat->age_ms);
}

/* An entry host of another region needs this one's offers to choose where to
   forward; it may be one that this host does not dial itself.  All others need
   only a sign of life.  */
static void
answer_beat (marjoram_host_links *links, const struct marjoram_host_beat *beat,
             uint64_t session)
{
  const struct marjoram_heartbeat echo = { .sequence = beat->sequence };
  struct marjoram_host_beat own;

  if (links->settings->role == MARJORAM_ROLE_ENTRY && beat->entry
      && beat->entry[0] && beat->region
      && strcmp (beat->region, links->settings->region) != 0)
    {
      make_beat (links, &own);
      own.uses = (struct marjoram_array){ NULL, 0 };
      marjoram_peer_reply (links->peer, beat->name, session,
                           MARJORAM_FRAME_HOST_BEAT, &own);
      return;
    }
  marjoram_peer_reply (links->peer, beat->name, session,
                       MARJORAM_FRAME_HEARTBEAT, &echo);
}

static void
tell_changed (marjoram_host_links *links, struct marjoram_host_beat *beat)
{
  struct marjoram_host_beat told = *beat;
  const struct marjoram_host_beats list = { { &told, 1 } };

  told.offers = (struct marjoram_array){ NULL, 0 };
  told.uses = (struct marjoram_array){ NULL, 0 };
  if (links->settings->role == MARJORAM_ROLE_KEEPER)
    marjoram_host_links_tell (links, MARJORAM_FRAME_HOST_LIST, &list);
}

void
marjoram_host_links_hear_answer (marjoram_host_links *links, const char *host,
                                 struct marjoram_host_beat *beat)
{
  if (!beat->name || strcmp (beat->name, host) != 0)
    return;
  beat->age_ms = 0;
  if (marjoram_host_list_update (links->hosts, marjoram_host_links_now (links),
                                 beat, true))
    log_host (beat);
}

/* The hosts that this one hears itself; ITEMS are to be freed.  */
static struct marjoram_host_beats
make_list (marjoram_host_links *links, int64_t now)
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
      && list.items.count < MARJORAM_HOST_BEATS_MAX)
    {
      items[list.items.count] = host->beat;
      /* Offers are told by their host itself.  */
      items[list.items.count].offers = (struct marjoram_array){ NULL, 0 };
      items[list.items.count++].age_ms = (uint64_t)(now - host->heard_at);
    }
  return list;
}

/* To a host that has just come and may know nobody.  */
static void
give_list (marjoram_host_links *links, const char *host, uint64_t session)
{
  struct marjoram_host_beats list
      = make_list (links, marjoram_host_links_now (links));

  marjoram_peer_reply (links->peer, host, session, MARJORAM_FRAME_HOST_LIST,
                       &list);
  free (list.items.items);
}

void
marjoram_host_links_tell_list (marjoram_host_links *links, int64_t now)
{
  struct marjoram_host_beats list;

  if (now < links->listed_at + LIST_MS)
    return;
  list = make_list (links, now);
  links->listed_at = now;
  if (now >= links->listed_hosts_at + LIST_HOSTS_MS)
    {
      links->listed_hosts_at = now;
      marjoram_host_links_tell (links, MARJORAM_FRAME_HOST_LIST, &list);
    }
  else
    marjoram_host_links_tell_in (links, true, NULL, MARJORAM_FRAME_HOST_LIST,
                                 &list);
  free (list.items.items);
}

/* A host whose clock was set back starts with a lower incarnation than its
   former life had, and would be taken for that life's late word: it is told of
   the one that is known, and takes a higher one.  */
static void
answer_older (marjoram_host_links *links, const char *host, uint64_t number,
              const struct marjoram_host_beat *beat)
{
  const struct marjoram_listed_host *known
      = marjoram_host_list_find (links->hosts, host);
  struct marjoram_host_beat told;
  const struct marjoram_host_beats list = { { &told, 1 } };

  if (!known || known->beat.incarnation <= beat->incarnation)
    return;
  told = known->beat;
  told.offers = (struct marjoram_array){ NULL, 0 };
  marjoram_peer_reply (links->peer, host, number, MARJORAM_FRAME_HOST_LIST,
                       &list);
}

void
marjoram_host_links_hear_beat (marjoram_host_links *links, const char *host,
                               uint64_t number,
                               struct marjoram_host_beat *beat)
{
  struct marjoram_host_session *session
      = marjoram_host_links_session (links, host);
  bool first = !session || session->number != number;

  if (!beat->name || strcmp (beat->name, host) != 0 || !beat->zone
      || !beat->region)
    return;
  if (!session)
    session = marjoram_host_links_add_session (links, host);
  session->number = number;
  beat->age_ms = 0;
  answer_older (links, host, number, beat);
  if (marjoram_host_list_update (links->hosts, marjoram_host_links_now (links),
                                 beat, true))
    {
      log_host (beat);
      tell_changed (links, beat);
    }
  if (first && links->settings->role == MARJORAM_ROLE_KEEPER)
    give_list (links, host, number);
  answer_beat (links, beat, number);
  links->ops->beat (links->context, host, number, first, beat);
}

/* The next beat, not one at once: two hosts with one IP number by mistake
   would else outbid each other without a pause.  */
static void
outlive (marjoram_host_links *links, const struct marjoram_host_beat *former)
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
marjoram_host_links_hear_list (marjoram_host_links *links,
                               const struct marjoram_host_beats *list)
{
  const struct marjoram_host_beat *items = list->items.items;

  for (size_t i = 0; i < list->items.count; i++)
    if (items[i].name && strcmp (items[i].name, links->settings->ip) == 0)
      outlive (links, &items[i]);
    else if (marjoram_host_list_update (links->hosts,
                                        marjoram_host_links_now (links),
                                        &items[i], false))
      log_host (&items[i]);
}
