#include "only_build.h"

#include <string.h>

enum
{
  /* Time in which the upstreams of a lost keeper turn to another one.  */
  TURN_MS = 6000
};

static bool
has_upstreams_of (marjoram_registry *registry, const char *keeper)
{
  const struct marjoram_registered *upstream;

  TAILQ_FOREACH (upstream, marjoram_registry_all (registry), link)
  if (upstream->heartbeat.state != MARJORAM_UPSTREAM_GONE
      && strcmp (upstream->via, keeper) == 0)
    return true;
  return false;
}

/* Whether all that KEEPER, which is lost, has heard is known from others.  */
static bool
is_replaced (marjoram_registry *registry,
             const struct marjoram_listed_host *keeper, int64_t now)
{
  return now >= keeper->received_at + TURN_MS
         && !has_upstreams_of (registry, keeper->heartbeat.name);
}

struct marjoram_only_build
marjoram_only_build_find (marjoram_registry *registry,
                          marjoram_host_list *hosts, int64_t now,
                          const char *service, int64_t since)
{
  struct marjoram_only_build found
      = { marjoram_registry_only_build (registry, service, since), 1 };
  const struct marjoram_listed_host *host;

  TAILQ_FOREACH (host, marjoram_host_list_all (hosts), link)
  {
    if (!host->heartbeat.keeper)
      continue;
    if (marjoram_host_list_alive (host, now))
      found.keepers++;
    else if (!is_replaced (registry, host, now))
      found.build = NULL;
  }
  return found;
}
