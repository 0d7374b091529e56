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
  CHOICE_INTERVAL_MS = 200
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

struct candidate
{
  struct marjoram_host_link *link;
  int nearness;
  uint64_t weight;
};

static bool
is_better (const struct candidate *a, const struct candidate *b)
{
  if (!b->link || a->nearness != b->nearness)
    return !b->link || a->nearness > b->nearness;
  return a->weight > b->weight;
}

static bool
is_keeper (const struct marjoram_host_link *link,
           const struct marjoram_listed_host *host)
{
  return host ? host->heartbeat.keeper && !host->heartbeat.leaving
              : link->seed;
}

void
marjoram_host_links_choose_home (marjoram_host_links *links, int64_t now)
{
  const char *own = links->settings->ip;
  struct candidate best = { 0 };
  struct marjoram_host_link *link;

  if (links->settings->role != MARJORAM_ROLE_ENTRY)
    return;
  links->home_chosen_at = now;
  TAILQ_FOREACH (link, &links->links, next)
  {
    const struct marjoram_listed_host *host
        = marjoram_host_list_find (links->hosts, link->host);
    const struct candidate candidate
        = { link, nearness (links, host),
            XXH3_64bits_withSeed (link->host, strlen (link->host),
                                  XXH3_64bits (own, strlen (own))) };

    if (link->up && is_keeper (link, host) && is_better (&candidate, &best))
      best = candidate;
  }
  if (best.link && best.link->is_home)
    return;
  TAILQ_FOREACH (link, &links->links, next)
  link->is_home = false;
  if (!best.link)
    return;
  best.link->is_home = true;
  best.link->sent_at = 0; /* tells the keeper with the next tick */
  marjoram_event (MARJORAM_EVENT_HOST, "home_keeper=%s", best.link->host);
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
  return link->is_home ? MARJORAM_FOLLOW_ONLY : MARJORAM_FOLLOW_ANOTHER;
}

bool
marjoram_host_session_follows (const struct marjoram_host_session *session)
{
  return session->follow != MARJORAM_FOLLOW_ANOTHER;
}
