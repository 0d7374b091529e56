/* What keepers know of the builds of streams and services.  */
#include "entry_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  /* Keepers that hold a record, in different regions as far as there are any,
     so that it outlives the loss of a region.  */
  OWNERS_MAX = 3,
  ASK_ID_MAX = 24 /* a number */
};

struct owners
{
  const struct marjoram_listed_host *hosts[OWNERS_MAX];
  size_t count;
};

static bool
is_owner (const struct owners *owners, const struct marjoram_listed_host *host)
{
  for (size_t i = 0; i < owners->count; i++)
    if (owners->hosts[i] == host)
      return true;
  return false;
}

static bool
has_region (const struct owners *owners, const char *region)
{
  for (size_t i = 0; i < owners->count; i++)
    if (strcmp (owners->hosts[i]->heartbeat.region, region) == 0)
      return true;
  return false;
}

/* The keeper that owns ID by rendezvous hashing among those that are no owner
   yet and, unless ANY_REGION, whose region has none.  */
static const struct marjoram_listed_host *
next_owner (const struct marjoram_entry *self, const struct owners *owners,
            const char *id, bool any_region)
{
  const struct marjoram_listed_host *best = NULL;
  const struct marjoram_listed_host *host;
  uint64_t best_weight = 0;

  TAILQ_FOREACH (host, marjoram_host_list_all (self->parts->hosts), link)
  {
    uint64_t weight;

    if (!marjoram_entry_is_usable_keeper (self, host)
        || is_owner (owners, host)
        || (!any_region && has_region (owners, host->heartbeat.region)))
      continue;
    weight = marjoram_listed_host_weight (host, id);
    if (!best || weight > best_weight)
      {
        best = host;
        best_weight = weight;
      }
  }
  return best;
}

static void
find_owners (const struct marjoram_entry *self, const char *id,
             struct owners *owners)
{
  owners->count = 0;
  for (int any_region = 0; any_region <= 1; any_region++)
    while (owners->count < OWNERS_MAX)
      {
        const struct marjoram_listed_host *host
            = next_owner (self, owners, id, any_region);

        if (!host)
          break;
        owners->hosts[owners->count++] = host;
      }
}

void
marjoram_entry_tell_origin (void *context, const char *id,
                            const struct marjoram_stream_origin *origin,
                            int64_t keep_ms)
{
  struct marjoram_entry *self = context;
  const struct marjoram_stream_begun begun
      = { (char *)id, (char *)origin->build, keep_ms,
          (char *)origin->service };
  struct owners owners;

  find_owners (self, id, &owners);
  for (size_t i = 0; i < owners.count; i++)
    marjoram_host_links_send (self->parts->links,
                              owners.hosts[i]->heartbeat.name,
                              MARJORAM_FRAME_STREAM_BEGUN, &begun);
}

/* All keepers: an upstream reports to one of them, which may be any.  */
size_t
marjoram_entry_ask_only_build (void *context, uint64_t call,
                               const char *service, int64_t for_ms)
{
  struct marjoram_entry *self = context;
  char id[ASK_ID_MAX];
  const struct marjoram_stream_ask ask = { id, (char *)service, for_ms, call };
  const struct marjoram_listed_host *host;
  size_t asked = 0;

  snprintf (id, sizeof id, "%" PRIu64, call);
  TAILQ_FOREACH (host, marjoram_host_list_all (self->parts->hosts), link)
  if (host->heartbeat.keeper)
    asked
        += marjoram_host_links_send (self->parts->links, host->heartbeat.name,
                                     MARJORAM_FRAME_STREAM_ASK, &ask);
  return asked;
}

size_t
marjoram_entry_ask_origin (void *context, uint64_t call, const char *id)
{
  struct marjoram_entry *self = context;
  const struct marjoram_stream_ask ask = { .id = (char *)id, .call = call };
  struct owners owners;
  size_t asked = 0;

  find_owners (self, id, &owners);
  for (size_t i = 0; i < owners.count; i++)
    asked += marjoram_host_links_send (self->parts->links,
                                       owners.hosts[i]->heartbeat.name,
                                       MARJORAM_FRAME_STREAM_ASK, &ask);
  return asked;
}
