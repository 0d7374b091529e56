#include "host_state.h"

#include "cleanup.h"
#include "log.h"

#include <string.h>

enum
{
  /* Up to this many hosts form a full mesh.  Beyond it, each host links to its
     own zone, to one host of each other zone and to a keeper; keepers also
     link to each other.  */
  FULL_MESH_MAX = 32,
  /* How often links to hosts that are down are replaced.  */
  REPLAN_MS = 3000,
  /* Round trips are smoothed exponentially with a weight of 1 / this.  */
  ROUND_TRIP_DIVISOR = 8
};

struct marjoram_link *
marjoram_link_find (const marjoram_host *host, const char *slot)
{
  struct marjoram_link *link;

  HASH_FIND_STR (host->links, slot, link);
  return link;
}

static const char *
seed_address (const marjoram_host *host, const char *slot)
{
  const struct marjoram_settings *settings = host->settings;

  for (size_t i = 0; i < settings->seed_count; i++)
    if (strcmp (settings->seeds[i].slot, slot) == 0)
      return settings->seeds[i].address;
  return NULL;
}

static struct marjoram_link *
link_create (marjoram_host *host, const char *slot)
{
  struct marjoram_link *link = marjoram_alloc (sizeof *link);

  link->slot = marjoram_strdup (slot);
  link->round_trip_ms = -1;
  HASH_ADD_KEYPTR (hh, host->links, link->slot, strlen (link->slot), link);
  return link;
}

static void
link_destroy (marjoram_host *host, struct marjoram_link *link)
{
  /* False positive in uthash.  NOLINTNEXTLINE(clang-analyzer-unix.*) */
  HASH_DEL (host->links, link);
  free (link->slot);
  free (link->address);
  free (link);
}

void
marjoram_links_destroy (marjoram_host *host)
{
  struct marjoram_link *link;
  struct marjoram_link *next;

  HASH_ITER (hh, host->links, link, next) { link_destroy (host, link); }
}

static void
require_link (marjoram_host *host, const char *slot, const char *address)
{
  const char *seed = seed_address (host, slot);
  struct marjoram_link *link = marjoram_link_find (host, slot);

  if (strcmp (slot, host->settings->slot) == 0)
    return;
  if (seed)
    address = seed;
  if (!address)
    return;
  if (!link)
    link = link_create (host, slot);
  link->wanted = true;
  if (link->address && strcmp (link->address, address) == 0)
    return;
  free (link->address);
  link->address = marjoram_strdup (address);
  host->ops->connect (host->context, slot, address, true);
}

static void
require_slot (marjoram_host *host, int index)
{
  const struct marjoram_slot *slot
      = marjoram_config_slot (host->config, index);

  require_link (host, slot->name, slot->peer_address);
}

/* Whether requests forwarded to SLOT are in progress.  */
static bool
is_in_use (const marjoram_host *host, const char *slot)
{
  const struct marjoram_request *request;

  TAILQ_FOREACH (request, &host->requests->all, all)
  {
    if (request->attempt && request->state == MARJORAM_REQUEST_REMOTE
        && strcmp (request->remote_slot, slot) == 0)
      return true;
  }
  return false;
}

/* Links to one host of ZONE.  The choice depends on this host's ordinal, to
   spread links over the hosts of ZONE, and moves to the next host while a link
   is down.  Other links to ZONE, such as those to seeds, are kept only while
   requests are in progress over them.  */
static void
require_one_in_zone (marjoram_host *host, const struct marjoram_zone *zone)
{
  unsigned first = host->self < 0 ? 0 : (unsigned)host->self;
  bool found = false;

  for (int i = 0; i < zone->slot_count; i++)
    {
      int index = zone->first_slot
                  + (int)((first + (unsigned)i) % (unsigned)zone->slot_count);
      const char *name = marjoram_config_slot (host->config, index)->name;
      const struct marjoram_link *link = marjoram_link_find (host, name);
      bool up = link && link->up;

      if (!found || (up && is_in_use (host, name)))
        require_slot (host, index);
      /* Leaves a new link time to come up.  */
      found = found || up || !link;
    }
}

/* The index of the keeper that this host links to, chosen by its own slot to
   spread hosts over keepers; -1 if none.  */
static int
assigned_keeper (const marjoram_host *host)
{
  int slots = marjoram_config_slot_count (host->config);
  int own = marjoram_config_find_slot (host->config, host->settings->slot);
  int keepers = 0;
  int wanted;

  for (int i = 0; i < slots; i++)
    keepers += marjoram_config_slot (host->config, i)->keeper;
  if (keepers == 0 || own < 0)
    return -1;
  wanted = own % keepers;
  for (int i = 0; i < slots; i++)
    if (marjoram_config_slot (host->config, i)->keeper && wanted-- == 0)
      return i;
  return -1;
}

static void
plan_by_config (marjoram_host *host)
{
  int slots = marjoram_config_slot_count (host->config);
  bool full = slots <= FULL_MESH_MAX;
  int keeper = assigned_keeper (host);

  for (int i = 0; i < slots; i++)
    {
      const struct marjoram_slot *slot
          = marjoram_config_slot (host->config, i);

      if (full || slot->zone == host->zone || i == keeper
          || (slot->keeper && host->settings->keeper))
        require_slot (host, i);
    }
  for (int i = 0; !full && i < marjoram_config_zone_count (host->config); i++)
    if (i != host->zone)
      require_one_in_zone (host, marjoram_config_zone (host->config, i));
}

void
marjoram_links_plan (marjoram_host *host)
{
  const struct marjoram_settings *settings = host->settings;
  struct marjoram_link *link;
  struct marjoram_link *next;

  HASH_ITER (hh, host->links, link, next) { link->wanted = false; }
  if (host->config)
    plan_by_config (host);
  else
    for (size_t i = 0; i < settings->seed_count; i++)
      require_link (host, settings->seeds[i].slot, settings->seeds[i].address);
  HASH_ITER (hh, host->links, link, next)
  {
    if (!link->wanted)
      {
        host->ops->connect (host->context, link->slot, link->address, false);
        link_destroy (host, link);
      }
  }
}

void
marjoram_links_replan (marjoram_host *host, int64_t now)
{
  if (now - host->planned_at < REPLAN_MS)
    return;
  host->planned_at = now;
  marjoram_links_plan (host);
}

static void
send_heartbeat (marjoram_host *host, int64_t now, struct marjoram_link *link)
{
  struct marjoram_heartbeat heartbeat = { 0 };

  link->sequence++;
  link->heartbeat_sent_at = now;
  heartbeat.sequence = link->sequence;
  heartbeat.incarnation = host->incarnation;
  heartbeat.config_number
      = host->config ? marjoram_config_number (host->config) : 0;
  heartbeat.draining = host->draining;
  host->ops->send (host->context, link->slot, MARJORAM_FRAME_HEARTBEAT,
                   &heartbeat);
}

/* Reconnects a link on which nothing has been received for a while, not even
   heartbeat echoes: a middlebox may have dropped the state of an established
   connection while new ones work.  Any data counts, as echoes can be queued
   behind large frames.  A loss in the sending direction shows too: the peer's
   data then stays unacknowledged, and soon it can't send any more.  */
static void
check_silence (marjoram_host *host, int64_t now, struct marjoram_link *link)
{
  if (now - link->received_at < MARJORAM_LINK_SILENT_MS)
    return;
  marjoram_log (MARJORAM_LOG_WARNING,
                "link to %s silent for %d ms; reconnecting", link->slot,
                (int)(now - link->received_at));
  marjoram_counters_add (host->counters, MARJORAM_COUNTER_PEER_LOSSES, 1);
  host->ops->reconnect (host->context, link->slot);
  link->up = false;
}

void
marjoram_links_tick (marjoram_host *host, int64_t now)
{
  struct marjoram_link *link;
  struct marjoram_link *next;

  HASH_ITER (hh, host->links, link, next)
  {
    if (!link->up)
      continue;
    if (now - link->heartbeat_sent_at >= MARJORAM_HEARTBEAT_MS)
      send_heartbeat (host, now, link);
    check_silence (host, now, link);
  }
}

static void
process_echo (struct marjoram_link *link, int64_t now,
              const struct marjoram_heartbeat *heartbeat)
{
  int64_t sample = now - link->heartbeat_sent_at - (int64_t)heartbeat->held_ms;

  link->config_number = heartbeat->config_number;
  link->draining = heartbeat->draining;
  if (heartbeat->echo != link->sequence || sample < 0)
    return;
  if (link->round_trip_ms < 0)
    link->round_trip_ms = sample;
  else
    link->round_trip_ms += (sample - link->round_trip_ms) / ROUND_TRIP_DIVISOR;
}

static void
send_echo (marjoram_host *host, const char *slot, uint64_t session,
           const struct marjoram_heartbeat *heartbeat)
{
  struct marjoram_heartbeat echo = { 0 };

  echo.incarnation = host->incarnation;
  echo.config_number
      = host->config ? marjoram_config_number (host->config) : 0;
  echo.draining = host->draining;
  echo.echo = heartbeat->sequence;
  host->ops->reply (host->context, slot, session, MARJORAM_FRAME_HEARTBEAT,
                    &echo);
}

void
marjoram_link_heartbeat (marjoram_host *host, int64_t now, const char *slot,
                         uint64_t session,
                         const struct marjoram_heartbeat *heartbeat)
{
  struct marjoram_link *link = marjoram_link_find (host, slot);

  if (session)
    send_echo (host, slot, session, heartbeat);
  else if (link)
    process_echo (link, now, heartbeat);
}

struct marjoram_link *
marjoram_link_to_zone (marjoram_host *host, int zone)
{
  const struct marjoram_zone *z = marjoram_config_zone (host->config, zone);
  struct marjoram_link *chosen = NULL;
  uint32_t seen = 0;

  for (int i = 0; i < z->slot_count; i++)
    {
      const struct marjoram_slot *slot
          = marjoram_config_slot (host->config, z->first_slot + i);
      struct marjoram_link *link = marjoram_link_find (host, slot->name);

      if (!link || !link->up || link->draining)
        continue;
      seen++;
      if (marjoram_random_below (host->random, seen) == 0)
        chosen = link;
    }
  return chosen;
}

/* ---- Senders.  ---- */

struct marjoram_sender *
marjoram_sender_get (marjoram_host *host, const char *slot,
                     uint64_t incarnation)
{
  struct marjoram_sender *sender;

  HASH_FIND_STR (host->senders, slot, sender);
  if (!sender)
    {
      sender = marjoram_alloc (sizeof *sender);
      sender->slot = marjoram_strdup (slot);
      HASH_ADD_KEYPTR (hh, host->senders, sender->slot, strlen (sender->slot),
                       sender);
    }
  if (incarnation > sender->incarnation)
    {
      sender->incarnation = incarnation;
      sender->highest = 0;
    }
  return sender;
}

void
marjoram_senders_destroy (marjoram_host *host)
{
  struct marjoram_sender *sender;
  struct marjoram_sender *next;

  HASH_ITER (hh, host->senders, sender, next)
  {
    /* False positive in uthash.  NOLINTNEXTLINE(clang-analyzer-unix.*) */
    HASH_DEL (host->senders, sender);
    free (sender->slot);
    free (sender);
  }
}

void
marjoram_link_send_any (marjoram_host *host, const char *slot,
                        enum marjoram_frame_type type, const void *message)
{
  const struct marjoram_link *link = marjoram_link_find (host, slot);
  const struct marjoram_sender *sender;

  if (link && link->up)
    {
      host->ops->send (host->context, slot, type, message);
      return;
    }
  HASH_FIND_STR (host->senders, slot, sender);
  if (sender && sender->session)
    host->ops->reply (host->context, slot, sender->session, type, message);
}

void
marjoram_links_send_heartbeats (marjoram_host *host, int64_t now)
{
  struct marjoram_link *link;
  struct marjoram_link *next;

  HASH_ITER (hh, host->links, link, next)
  {
    if (link->up)
      send_heartbeat (host, now, link);
  }
}

void
marjoram_links_send (marjoram_host *host, enum marjoram_frame_type type,
                     const void *message)
{
  struct marjoram_link *link;
  struct marjoram_link *next;

  HASH_ITER (hh, host->links, link, next)
  {
    if (link->up)
      host->ops->send (host->context, link->slot, type, message);
  }
}
