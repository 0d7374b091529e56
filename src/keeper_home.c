/* In a large fleet each host takes lists of hosts and changes of upstreams
   from one keeper, the nearest that it is linked with: sent by every keeper,
   they would grow with the product of hosts and keepers.  */
#include "event_log.h"
#include "host_links_private.h"

#include <string.h>
#include <xxhash.h>

enum
{
  /* Known entry hosts above which a host follows one keeper only.  */
  FOLLOW_ALL_HOSTS_MAX = 128,
  CHOICE_INTERVAL_MS = 200,
  /* Time after the first list in which links with the keepers come up.  */
  SETTLE_MS = 500
};

/* Higher is nearer; 0 if HOST is not known yet.  */
static int
nearness (const marjoram_host_links *links,
          const struct marjoram_listed_host *host)
{
  if (!host)
    return 0;
  if (strcmp (host->heartbeat.zone, links->settings->zone) == 0)
    return 3;
  return strcmp (host->heartbeat.region, links->settings->region) == 0 ? 2 : 1;
}

static bool
is_keeper (const struct marjoram_host_link *link,
           const struct marjoram_listed_host *host)
{
  return host ? host->heartbeat.keeper && !host->heartbeat.leaving
              : link->seed;
}

static uint64_t
weight_of (const struct marjoram_host_link *link, const char *own)
{
  return XXH3_64bits_withSeed (link->host, strlen (link->host),
                               XXH3_64bits (own, strlen (own)));
}

static const char *
zone_of (const marjoram_host_links *links,
         const struct marjoram_host_link *link)
{
  const struct marjoram_listed_host *host
      = marjoram_host_list_find (links->hosts, link->host);

  return host ? host->heartbeat.zone : "";
}

/* The nearest keeper with a link that is up, by rendezvous hashing among those
   as near; not in zone EXCEPT unless that is NULL.  */
static struct marjoram_host_link *
find_nearest (marjoram_host_links *links, const char *except)
{
  struct marjoram_host_link *best = NULL;
  struct marjoram_host_link *link;
  int best_nearness = 0;

  TAILQ_FOREACH (link, &links->links, next)
  {
    const struct marjoram_listed_host *host
        = marjoram_host_list_find (links->hosts, link->host);
    const int near = nearness (links, host);

    if (!link->up || !is_keeper (link, host)
        || (except && strcmp (zone_of (links, link), except) == 0)
        || (best && near < best_nearness)
        || (best && near == best_nearness
            && weight_of (link, links->settings->ip)
                   <= weight_of (best, links->settings->ip)))
      continue;
    best = link;
    best_nearness = near;
  }
  return best;
}

/* The keeper learns of it with the next tick.  */
static void
set_role (struct marjoram_host_link *link, bool is_home, bool is_witness)
{
  if (link->is_home == is_home && link->is_witness == is_witness)
    return;
  link->is_home = is_home;
  link->is_witness = is_witness;
  if (is_home || is_witness)
    link->sent_at = 0;
  if (is_home)
    marjoram_event (MARJORAM_EVENT_HOST, "home_keeper=%s", link->host);
}

static struct marjoram_host_link *
current_home (marjoram_host_links *links)
{
  struct marjoram_host_link *link;

  TAILQ_FOREACH (link, &links->links, next)
  if (link->is_home)
    return link->up ? link : NULL;
  return NULL;
}

/* Each new home sends all lists, so the first one, any seed, is kept until
   links with all keepers had time to come up, and the next one until it is
   lost or a nearer one is there.  */
static struct marjoram_host_link *
find_home (marjoram_host_links *links, int64_t now)
{
  struct marjoram_host_link *nearest = find_nearest (links, NULL);
  struct marjoram_host_link *current = current_home (links);
  const bool is_settling
      = !links->has_list || now < links->list_received_at + SETTLE_MS;

  if (!current || !nearest)
    return nearest;
  if (is_settling)
    return current;
  if (!links->is_settled)
    {
      links->is_settled = true;
      return nearest;
    }
  return nearness (links,
                   marjoram_host_list_find (links->hosts, nearest->host))
                 > nearness (links, marjoram_host_list_find (links->hosts,
                                                             current->host))
             ? nearest
             : current;
}

/* The witness is in another zone, as a zone's hosts and keepers may die at
   once.  */
void
marjoram_host_links_choose_home (marjoram_host_links *links, int64_t now)
{
  struct marjoram_host_link *home;
  struct marjoram_host_link *witness;
  struct marjoram_host_link *link;

  if (links->settings->role != MARJORAM_ROLE_ENTRY)
    return;
  links->home_chosen_at = now;
  home = find_home (links, now);
  witness = home ? find_nearest (links, zone_of (links, home)) : NULL;
  TAILQ_FOREACH (link, &links->links, next)
  set_role (link, link == home, link == witness);
}

void
marjoram_host_links_choose_home_if_due (marjoram_host_links *links,
                                        int64_t now)
{
  if (now >= links->home_chosen_at + CHOICE_INTERVAL_MS)
    marjoram_host_links_choose_home (links, now);
}

/* A host that has no list yet takes the first from one keeper only.  */
bool
marjoram_host_links_follows_one (const marjoram_host_links *links)
{
  return !links->has_list
         || marjoram_host_list_entry_count (links->hosts)
                > FOLLOW_ALL_HOSTS_MAX;
}

enum marjoram_follow
marjoram_host_links_follow (const marjoram_host_links *links,
                            const struct marjoram_host_link *link)
{
  if (links->settings->role != MARJORAM_ROLE_ENTRY
      || !marjoram_host_links_follows_one (links))
    return MARJORAM_FOLLOW_ALL;
  if (link->is_home)
    return MARJORAM_FOLLOW_ONLY;
  return link->is_witness ? MARJORAM_FOLLOW_WATCHED : MARJORAM_FOLLOW_ANOTHER;
}

bool
marjoram_host_session_follows (const struct marjoram_host_session *session)
{
  return session->follow == MARJORAM_FOLLOW_ALL
         || session->follow == MARJORAM_FOLLOW_ONLY;
}
