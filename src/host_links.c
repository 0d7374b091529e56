#include "host_links_private.h"

#include "address.h"
#include "cleanup.h"
#include "event_log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>

enum
{
  /* Covers five heartbeats and a round trip between regions.  */
  SILENCE_TIMEOUT_MS = 1500,
  /* The timeout as a percentage of the heartbeat interval, where that is
     longer than SILENCE_TIMEOUT_MS.  Leaves time to retransmit a lost packet.
   */
  SILENT_INTERVALS_PERCENT = 250,
  PLAN_INTERVAL_MS = 500,
  LINKS_PER_REGION = 4,
  /* The same for a host that is told by a keeper which hosts have died.  */
  LINKS_PER_REGION_FOLLOWING = 2,
  TRAFFIC_INTERVAL_MS = 10000, /* between log lines on frames sent */
  REGIONS_MAX = 64             /* other regions to which a host links */
};

/* Disables the incarnation check of the peer module, so that a newer session
   always replaces an older one.  Incarnations are wall-clock times: a host
   that restarts after its clock was set back would otherwise be rejected while
   its previous connection is still open.  */
#define ANY_INCARNATION 0

/* Links run on a closed network and are not authenticated: the settings hold
   no secret, and the peer module requires one.  */
static const char placeholder_secret[] = "links-are-not-authenticated-here";

struct marjoram_host_link *
marjoram_host_links_find (marjoram_host_links *links, const char *host)
{
  struct marjoram_host_link *link;

  HASH_FIND_STR (links->by_host, host, link);
  return link;
}

struct marjoram_host_session *
marjoram_host_links_session (marjoram_host_links *links, const char *host)
{
  struct marjoram_host_session *session;

  HASH_FIND_STR (links->sessions_by_host, host, session);
  return session;
}

struct marjoram_host_session *
marjoram_host_links_add_session (marjoram_host_links *links, const char *host)
{
  struct marjoram_host_session *session = marjoram_alloc (sizeof *session);

  session->host = marjoram_strdup (host);
  TAILQ_INSERT_TAIL (&links->sessions, session, next);
  HASH_ADD_KEYPTR (hh, links->sessions_by_host, session->host,
                   strlen (session->host), session);
  return session;
}

static void
session_destroy (marjoram_host_links *links,
                 struct marjoram_host_session *session)
{
  /* False positive in uthash.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, links->sessions_by_host, session);
  TAILQ_REMOVE (&links->sessions, session, next);
  free (session->host);
  free (session);
}

static void
link_destroy (marjoram_host_links *links, struct marjoram_host_link *link)
{
  /* False positive in uthash.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, links->by_host, link);
  TAILQ_REMOVE (&links->links, link, next);
  free (link->host);
  free (link);
}

int64_t
marjoram_host_links_now (const marjoram_host_links *links)
{
  return marjoram_clock_now (links->clock);
}

/* ---- Peer callbacks.  ---- */

static bool
is_known_keeper (const marjoram_host_links *links, const char *host)
{
  const struct marjoram_listed_host *listed
      = marjoram_host_list_find (links->hosts, host);

  return listed && listed->heartbeat.keeper;
}

static void
on_link_up (void *context, const char *host, uint64_t incarnation)
{
  marjoram_host_links *links = context;
  struct marjoram_host_link *link = marjoram_host_links_find (links, host);
  int64_t now = marjoram_host_links_now (links);

  (void)incarnation;
  if (!link)
    return;
  link->up = true;
  link->received_at = now;
  link->sent_at = 0;
  link->stated_ms = 0;
  marjoram_link_lag_start (&link->lag);
  marjoram_event (MARJORAM_EVENT_LINK, "host=%s state=up", host);
  if (links->settings->role == MARJORAM_ROLE_ENTRY
      && is_known_keeper (links, host))
    marjoram_host_list_heard (links->hosts, now, host);
  marjoram_host_links_choose_home (links, now);
  marjoram_host_links_send_heartbeats (links, now, false);
  links->ops->link_up (links->context, host);
}

/* An entry host hears of keepers from keepers only, so its own link tells it
   sooner whether one is alive.  */
static void
record_link_lost (marjoram_host_links *links, const char *host)
{
  const int64_t now = marjoram_host_links_now (links);

  if (links->settings->role == MARJORAM_ROLE_ENTRY
      && is_known_keeper (links, host))
    marjoram_host_list_lost (links->hosts, now, host, UINT64_MAX);
  else
    marjoram_host_list_connection_lost (links->hosts, now, host);
}

static void
on_link_down (void *context, const char *host)
{
  marjoram_host_links *links = context;
  struct marjoram_host_link *link = marjoram_host_links_find (links, host);

  if (!link || !link->up)
    return;
  link->up = false;
  record_link_lost (links, host);
  marjoram_event (MARJORAM_EVENT_LINK,
                  "host=%s state=lost silent_ms=%" PRId64 " lag_ms=%" PRId64,
                  host, marjoram_host_links_now (links) - link->received_at,
                  marjoram_host_links_lag (links));
  if (link->is_home || link->is_witness)
    marjoram_host_links_choose_home (links, marjoram_host_links_now (links));
  links->ops->link_lost (links->context, host);
}

/* Counts partial frames as activity: on a slow path a large frame may take
   longer than the silence timeout.  Closing the link would abort the requests
   that were forwarded over it and restart the transfer.  */
static void
on_partial_frame (void *context, const char *host)
{
  marjoram_host_links *links = context;
  struct marjoram_host_link *link = marjoram_host_links_find (links, host);

  if (link)
    link->received_at = marjoram_host_links_now (links);
}

/* Hosts that follow all keepers find out by themselves.  */
static void
record_closed (marjoram_host_links *links, const char *host,
               enum marjoram_follow follow)
{
  const struct marjoram_listed_host *listed
      = marjoram_host_list_find (links->hosts, host);

  if (listed && follow != MARJORAM_FOLLOW_ALL)
    marjoram_host_list_connection_lost (links->hosts,
                                        marjoram_host_links_now (links), host);
}

static void
on_closed (void *context, const char *host, uint64_t number)
{
  marjoram_host_links *links = context;
  struct marjoram_host_session *session
      = marjoram_host_links_session (links, host);

  links->ops->session_closed (links->context, host, number);
  if (!session || session->number != number)
    return;
  if (links->settings->role == MARJORAM_ROLE_KEEPER)
    record_closed (links, host, session->follow);
  session_destroy (links, session);
}

/* Any heartbeat received on a link acknowledges the oldest one sent on it, as
   they are acknowledged in order.  */
static void
record_activity (marjoram_host_links *links, struct marjoram_host_link *link,
                 enum marjoram_frame_type type)
{
  const int64_t now = marjoram_host_links_now (links);

  link->received_at = now;
  if (type == MARJORAM_FRAME_HEARTBEAT || type == MARJORAM_FRAME_HOST_BEAT)
    marjoram_link_lag_answered (&link->lag, now);
}

static void
on_frame (void *context, const char *host, uint64_t session,
          uint64_t incarnation, enum marjoram_frame_type type, void *message)
{
  marjoram_host_links *links = context;
  struct marjoram_host_link *link
      = session == 0 ? marjoram_host_links_find (links, host) : NULL;

  (void)incarnation;
  if (link)
    record_activity (links, link, type);
  if (type == MARJORAM_FRAME_HOST_BEAT && session != 0)
    marjoram_host_links_process_heartbeat (links, host, session, message);
  else if (type == MARJORAM_FRAME_HOST_BEAT)
    marjoram_host_links_process_reply (links, host, message);
  else if (type == MARJORAM_FRAME_HOST_LIST)
    marjoram_host_links_process_list (links, message);
  else if (type == MARJORAM_FRAME_LOST_HOSTS)
    marjoram_host_links_process_lost (links, host, message);
  else if (type != MARJORAM_FRAME_HEARTBEAT)
    {
      links->ops->frame (links->context, host, session, type, message);
      return;
    }
  marjoram_wire_destroy (marjoram_frame_layout (type), message);
}

static const struct marjoram_peer_ops peer_ops = { .link_up = on_link_up,
                                                   .link_down = on_link_down,
                                                   .heard = on_partial_frame,
                                                   .closed = on_closed,
                                                   .frame = on_frame };

/* ---- Link selection.  ---- */

static void
require_link (marjoram_host_links *links, const char *host, bool seed)
{
  struct marjoram_host_link *link = marjoram_host_links_find (links, host);
  char address[MARJORAM_IP_MAX + 8];

  if (strcmp (host, links->settings->ip) == 0)
    return;
  if (!link)
    {
      link = marjoram_alloc (sizeof *link);
      link->host = marjoram_strdup (host);
      TAILQ_INSERT_TAIL (&links->links, link, next);
      HASH_ADD_KEYPTR (hh, links->by_host, link->host, strlen (link->host),
                       link);
      snprintf (address, sizeof address, "%s:%u", host, links->port);
      marjoram_peer_connect (links->peer, host, address, true);
    }
  link->wanted = true;
  link->seed = link->seed || seed;
}

static void
drop_link (marjoram_host_links *links, struct marjoram_host_link *link)
{
  link->up = false; /* not lost */
  marjoram_peer_connect (links->peer, link->host, NULL, false);
  link_destroy (links, link);
}

/* Links to LINKS_PER_REGION entry hosts of another region, chosen by
   rendezvous hashing to spread the links of different hosts.  */
static void
require_links_in_region (marjoram_host_links *links,
                         const struct marjoram_host_slice *remote)
{
  const struct marjoram_listed_host *best[LINKS_PER_REGION];
  uint64_t weights[LINKS_PER_REGION];
  const int most = marjoram_host_links_follows_one (links)
                       ? LINKS_PER_REGION_FOLLOWING
                       : LINKS_PER_REGION;
  int count = 0;

  for (size_t i = 0; i < remote->count; i++)
    {
      uint64_t weight = marjoram_listed_host_weight (remote->hosts[i],
                                                     links->settings->ip);
      int rank = count;

      while (rank > 0 && weights[rank - 1] < weight)
        rank--;
      if (rank == most)
        continue;
      if (count < most)
        count++;
      for (int k = count - 1; k > rank; k--)
        {
          best[k] = best[k - 1];
          weights[k] = weights[k - 1];
        }
      best[rank] = remote->hosts[i];
      weights[rank] = weight;
    }
  for (int i = 0; i < count; i++)
    require_link (links, best[i]->heartbeat.name, false);
}

/* Links that are up are kept.  In a large fleet that starts, all hosts would
   link with the few that are ready first.  */
static const struct marjoram_host_slice *
linkable_hosts (marjoram_host_links *links, int64_t now, const char *region)
{
  return marjoram_host_links_follows_one (links)
             ? marjoram_host_list_live (links->hosts, now, region)
             : marjoram_host_list_of_region (links->hosts, now, region);
}

static void
require_remote_links (marjoram_host_links *links, int64_t now)
{
  const char *regions[REGIONS_MAX];
  size_t count = 0;
  const struct marjoram_listed_host *host;

  TAILQ_FOREACH (host, marjoram_host_list_all (links->hosts), link)
  {
    const char *region = host->heartbeat.region;
    size_t i = 0;

    if (strcmp (region, links->settings->region) == 0)
      continue;
    while (i < count && strcmp (regions[i], region) != 0)
      i++;
    if (i < count || count == REGIONS_MAX)
      continue;
    regions[count++] = region;
    require_links_in_region (links, linkable_hosts (links, now, region));
  }
}

static bool
is_near (const marjoram_host_links *links,
         const struct marjoram_listed_host *host)
{
  return strcmp (host->heartbeat.region, links->settings->region) == 0;
}

static bool
is_required (const marjoram_host_links *links,
             const struct marjoram_listed_host *host)
{
  return host->heartbeat.keeper
         || (links->settings->role == MARJORAM_ROLE_ENTRY
             && is_near (links, host)
             && (!marjoram_host_links_follows_one (links)
                 || links->ops->needs_link (links->context,
                                            host->heartbeat.name)));
}

/* A link with requests in progress is kept.  */
static bool
may_drop (const marjoram_host_links *links,
          const struct marjoram_host_link *link)
{
  const struct marjoram_listed_host *host
      = marjoram_host_list_find (links->hosts, link->host);

  return !link->up
         || (host && !host->heartbeat.keeper
             && marjoram_host_links_follows_one (links)
             && !links->ops->uses_link (links->context, link->host));
}

static void
plan_links (marjoram_host_links *links, int64_t now)
{
  const struct marjoram_listed_host *host;
  struct marjoram_host_link *link;
  struct marjoram_host_link *next;

  links->planned_at = now;
  TAILQ_FOREACH (link, &links->links, next)
  link->wanted = link->seed;
  TAILQ_FOREACH (host, marjoram_host_list_all (links->hosts), link)
  if (is_required (links, host))
    require_link (links, host->heartbeat.name, false);
  if (links->settings->role == MARJORAM_ROLE_ENTRY)
    require_remote_links (links, now);
  for (link = TAILQ_FIRST (&links->links); link; link = next)
    {
      next = TAILQ_NEXT (link, next);
      if (!link->wanted && may_drop (links, link))
        drop_link (links, link);
    }
}

static void
measure_lag (marjoram_host_links *links, int64_t now)
{
  const struct marjoram_host_link *link;

  marjoram_own_lag_begin (&links->own_lag);
  TAILQ_FOREACH (link, &links->links, next)
  if (link->up)
    marjoram_own_lag_add (&links->own_lag, now, &link->lag, link->received_at);
  marjoram_own_lag_end (&links->own_lag, now);
  marjoram_host_list_set_lag (links->hosts, links->own_lag.ms);
}

static int64_t
silence_timeout (const marjoram_host_links *links,
                 const struct marjoram_host_link *link)
{
  const int64_t interval_based_ms
      = marjoram_host_links_heartbeat_interval (links, link)
        * SILENT_INTERVALS_PERCENT / 100;

  return interval_based_ms > SILENCE_TIMEOUT_MS ? interval_based_ms
                                                : SILENCE_TIMEOUT_MS;
}

/* Reconnects silent links: a middlebox may have dropped the state of an
   established connection while new ones work.  The receive lag of this host is
   subtracted, as it makes all links look silent; reconnecting would then abort
   forwarded requests without restoring the links any sooner.  */
static void
reconnect_silent (marjoram_host_links *links, int64_t now)
{
  const int64_t lag = marjoram_host_links_lag (links);
  struct marjoram_host_link *link;

  TAILQ_FOREACH (link, &links->links, next)
  if (link->up
      && now - link->received_at - lag > silence_timeout (links, link))
    marjoram_peer_reconnect (links->peer, link->host);
}

static void
log_traffic (marjoram_host_links *links, int64_t now)
{
  if (now < links->traffic_logged_at + TRAFFIC_INTERVAL_MS)
    return;
  links->traffic_logged_at = now;
  marjoram_link_traffic_log (&links->traffic);
}

void
marjoram_host_links_tick (marjoram_host_links *links, int64_t now)
{
  marjoram_host_links_choose_home_if_due (links, now);
  marjoram_host_links_update_interval (links, now);
  marjoram_host_list_set_told_of_losses (
      links->hosts, links->settings->role == MARJORAM_ROLE_ENTRY
                        && marjoram_host_links_follows_one (links));
  measure_lag (links, now);
  reconnect_silent (links, now);
  marjoram_host_links_send_heartbeats (links, now, false);
  if (now >= links->planned_at + PLAN_INTERVAL_MS)
    plan_links (links, now);
  if (links->settings->role == MARJORAM_ROLE_KEEPER)
    {
      marjoram_host_links_publish_events (links, now);
      marjoram_host_links_publish_list (links, now);
    }
  marjoram_host_list_tick (links->hosts, now);
  log_traffic (links, now);
}

/* ---- Sending.  ---- */

static enum marjoram_locality
locality_of (const marjoram_host_links *links, const char *name)
{
  const struct marjoram_listed_host *host
      = marjoram_host_list_find (links->hosts, name);

  if (!host)
    return MARJORAM_LOCALITY_UNKNOWN;
  if (strcmp (host->heartbeat.zone, links->settings->zone) == 0)
    return MARJORAM_LOCALITY_ZONE;
  return is_near (links, host) ? MARJORAM_LOCALITY_REGION
                               : MARJORAM_LOCALITY_OTHER;
}

marjoram_bytes *
marjoram_host_links_pack (enum marjoram_frame_type type, const void *message)
{
  marjoram_bytes *frame = marjoram_frame_pack (type, message);
  struct marjoram_error err = { .message = "the frame is too large" };

  if (frame)
    return frame;
  marjoram_wire_check (marjoram_frame_layout (type), message, &err);
  marjoram_event (MARJORAM_EVENT_LINK, "frame=dropped type=%d why=\"%s\"",
                  (int)type, err.message);
  return NULL;
}

void
marjoram_host_links_write (marjoram_host_links *links, const char *host,
                           uint64_t number, const marjoram_bytes *frame)
{
  if (!frame)
    return;
  marjoram_link_traffic_add (&links->traffic, marjoram_frame_type_of (frame),
                             locality_of (links, host),
                             marjoram_bytes_size (frame));
  if (number == 0)
    marjoram_peer_send_packed (links->peer, host, frame);
  else
    marjoram_peer_reply_packed (links->peer, host, number, frame);
}

bool
marjoram_host_links_is_up (marjoram_host_links *links, const char *host)
{
  struct marjoram_host_link *link = marjoram_host_links_find (links, host);

  return link && link->up;
}

int64_t
marjoram_host_links_lag (const marjoram_host_links *links)
{
  return links->own_lag.ms;
}

size_t
marjoram_host_links_unsent_bytes (const marjoram_host_links *links)
{
  return marjoram_peer_unsent_bytes (links->peer);
}

bool
marjoram_host_links_send (marjoram_host_links *links, const char *host,
                          enum marjoram_frame_type type, const void *message)
{
  return marjoram_host_links_is_up (links, host)
         && marjoram_host_links_reply (links, host, 0, type, message);
}

bool
marjoram_host_links_send_either (marjoram_host_links *links, const char *host,
                                 enum marjoram_frame_type type,
                                 const void *message)
{
  const struct marjoram_host_session *session;

  if (marjoram_host_links_is_up (links, host))
    return marjoram_host_links_reply (links, host, 0, type, message);
  session = marjoram_host_links_session (links, host);
  return session
         && marjoram_host_links_reply (links, host, session->number, type,
                                       message);
}

bool
marjoram_host_links_reply (marjoram_host_links *links, const char *host,
                           uint64_t session, enum marjoram_frame_type type,
                           const void *message)
{
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *frame
      = marjoram_host_links_pack (type, message);

  if (!frame)
    return false;
  marjoram_host_links_write (links, host, session, frame);
  return true;
}

void
marjoram_host_links_broadcast (marjoram_host_links *links,
                               enum marjoram_frame_type type,
                               const void *message)
{
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *frame
      = marjoram_host_links_pack (type, message);
  struct marjoram_host_session *session;

  TAILQ_FOREACH (session, &links->sessions, next)
  marjoram_host_links_write (links, session->host, session->number, frame);
}

static bool
is_recipient (const struct marjoram_host_session *session,
              const struct marjoram_listed_host *host,
              enum marjoram_recipients recipients)
{
  if (!host || host->heartbeat.keeper != (recipients == MARJORAM_TO_KEEPERS))
    return false;
  switch (recipients)
    {
    case MARJORAM_TO_FOLLOWERS:
      return marjoram_host_session_follows (session);
    case MARJORAM_TO_SOLE_FOLLOWERS:
      return session->follow == MARJORAM_FOLLOW_ONLY;
    case MARJORAM_TO_JOINT_FOLLOWERS:
      return session->follow == MARJORAM_FOLLOW_ALL;
    default:
      return true;
    }
}

size_t
marjoram_host_links_multicast (marjoram_host_links *links,
                               enum marjoram_recipients recipients,
                               const char *region,
                               enum marjoram_frame_type type,
                               const void *message)
{
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *frame
      = marjoram_host_links_pack (type, message);
  struct marjoram_host_session *session;
  size_t count = 0;

  if (!frame)
    return 0;
  TAILQ_FOREACH (session, &links->sessions, next)
  {
    const struct marjoram_listed_host *host
        = marjoram_host_list_find (links->hosts, session->host);

    if (!is_recipient (session, host, recipients)
        || (region && strcmp (host->heartbeat.region, region) != 0))
      continue;
    marjoram_host_links_write (links, session->host, session->number, frame);
    count++;
  }
  return count;
}

bool
marjoram_host_links_has_sole_followers (marjoram_host_links *links)
{
  const struct marjoram_host_session *session;

  TAILQ_FOREACH (session, &links->sessions, next)
  if (session->follow == MARJORAM_FOLLOW_ONLY)
    return true;
  return false;
}

/* Sends to the keepers, or to the entry hosts of this region.  */
static void
send_to_linked (marjoram_host_links *links, bool keepers,
                enum marjoram_frame_type type, const void *message)
{
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *frame
      = marjoram_host_links_pack (type, message);
  const char *region = links->settings->region;
  struct marjoram_host_link *link;

  TAILQ_FOREACH (link, &links->links, next)
  {
    const struct marjoram_listed_host *host
        = marjoram_host_list_find (links->hosts, link->host);

    if (!link->up || !host || host->heartbeat.keeper != keepers
        || (!keepers && strcmp (host->heartbeat.region, region) != 0))
      continue;
    marjoram_host_links_write (links, link->host, 0, frame);
  }
}

void
marjoram_host_links_send_to_region (marjoram_host_links *links,
                                    enum marjoram_frame_type type,
                                    const void *message)
{
  send_to_linked (links, false, type, message);
}

void
marjoram_host_links_send_to_keepers (marjoram_host_links *links,
                                     enum marjoram_frame_type type,
                                     const void *message)
{
  send_to_linked (links, true, type, message);
}

/* ---- Creation.  ---- */

void
marjoram_host_links_set_settings (
    marjoram_host_links *links,
    const struct marjoram_gateway_settings *settings)
{
  struct marjoram_host_link *link;

  links->settings = settings;
  TAILQ_FOREACH (link, &links->links, next)
  link->seed = false;
  for (size_t i = 0; i < settings->seed_count; i++)
    require_link (links, settings->seeds[i], true);
}

/* The peer module uses these throughout its lifetime, whereas links->settings
   may be replaced by a reload.  */
static void
free_peer_settings (marjoram_host_links *links)
{
  free (links->peer_settings.slot);
  free (links->peer_settings.zone);
  free (links->peer_settings.peer_address);
}

marjoram_host_links *
marjoram_host_links_create (struct event_base *base,
                            struct marjoram_clock *clock,
                            const struct marjoram_gateway_settings *settings,
                            uint64_t incarnation, marjoram_host_list *hosts,
                            const struct marjoram_host_links_ops *ops,
                            void *context, struct marjoram_error *err)
{
  marjoram_host_links *links = marjoram_alloc (sizeof *links);
  char ip[MARJORAM_IP_MAX];

  links->settings = settings;
  links->clock = clock;
  links->hosts = hosts;
  links->ops = ops;
  links->context = context;
  links->incarnation = incarnation;
  links->counters = marjoram_counters_create ();
  TAILQ_INIT (&links->links);
  TAILQ_INIT (&links->sessions);
  marjoram_address_split (settings->link_address, ip, &links->port);
  links->peer_settings = (struct marjoram_settings){
    .slot = marjoram_strdup (settings->ip),
    .zone = marjoram_strdup (settings->zone),
    .cluster = (char *)"gateway",
    .secret = (char *)placeholder_secret,
    .peer_address = marjoram_strdup (settings->link_address),
  };
  links->peer
      = marjoram_peer_create (base, &links->peer_settings, ANY_INCARNATION,
                              links->counters, &peer_ops, links, err);
  if (!links->peer)
    {
      free_peer_settings (links);
      marjoram_counters_destroy (links->counters);
      free (links);
      return NULL;
    }
  marjoram_host_links_set_settings (links, settings);
  return links;
}

void
marjoram_host_links_destroy (marjoram_host_links *links)
{
  if (!links)
    return;
  marjoram_peer_destroy (links->peer);
  while (!TAILQ_EMPTY (&links->links))
    /* False positive in uthash.  NOLINTNEXTLINE(clang-analyzer-*) */
    link_destroy (links, TAILQ_FIRST (&links->links));
  while (!TAILQ_EMPTY (&links->sessions))
    /* False positive in uthash.  NOLINTNEXTLINE(clang-analyzer-*) */
    session_destroy (links, TAILQ_FIRST (&links->sessions));
  free_peer_settings (links);
  marjoram_counters_destroy (links->counters);
  free (links);
}
