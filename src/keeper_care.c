#include "keeper_care.h"

#include "cleanup.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  /* A store heard from within this time is present; heartbeats are sent once a
     second.  */
  HEARD_MS = 1500,
  /* A member silent for longer is replaced.  Longer than a restart takes, and
     short enough to replace a machine within 4 s.  */
  SILENT_MS = 2200,
  /* Delay per rank of the member, so that members don't compete, and minimum
     interval between requests, no shorter than a replacement takes.  */
  TURN_MS = 600,
  AGAIN_MS = 1500
};

struct marjoram_keeper_care
{
  char *slot;
  size_t members; /* target number */
  int64_t
      found_at; /* when the pending change was first needed; 0 if none is */
  int64_t asked_at;
  struct marjoram_keeper_change due;
};

marjoram_keeper_care *
marjoram_keeper_care_create (const char *slot, size_t losses)
{
  marjoram_keeper_care *care = marjoram_alloc (sizeof *care);

  care->slot = marjoram_strdup (slot);
  care->members = 2 * losses + 1;
  return care;
}

void
marjoram_keeper_care_destroy (marjoram_keeper_care *care)
{
  if (!care)
    return;
  free (care->slot);
  free (care);
}

static void
fill (struct marjoram_keeper_change *change, const char *old, const char *new)
{
  memset (change, 0, sizeof *change);
  snprintf (change->old, sizeof change->old, "%s", old);
  snprintf (change->new, sizeof change->new, "%s", new);
}

/* Number of live members in REGION.  */
static size_t
members_in (const marjoram_keeper *keeper, const struct marjoram_state *state,
            marjoram_host_list *hosts, const char *region)
{
  const struct marjoram_keeper_member *members = state->members.items;
  size_t count = 0;

  for (size_t i = 0; i < state->members.count; i++)
    {
      const struct marjoram_listed_host *host
          = marjoram_host_list_find (hosts, members[i].slot);

      count += host && strcmp (host->beat.region, region) == 0
               && marjoram_keeper_heard_store (keeper, members[i].slot,
                                               SILENT_MS);
    }
  return count;
}

/* A live keeper that is not a member, from the region with the fewest members,
   so that a majority survives the loss of a region.  */
static const char *
find_spare (const marjoram_keeper *keeper, const struct marjoram_state *state,
            marjoram_host_list *hosts)
{
  const struct marjoram_listed_host *host;
  const char *best = NULL;
  size_t fewest = SIZE_MAX;

  TAILQ_FOREACH (host, marjoram_host_list_all (hosts), link)
  {
    size_t count;

    if (!host->beat.keeper
        || marjoram_voters_find (&state->members, host->beat.name)
        || !marjoram_keeper_heard_store (keeper, host->beat.name, HEARD_MS))
      continue;
    count = members_in (keeper, state, hosts, host->beat.region);
    if (count >= fewest)
      continue;
    fewest = count;
    best = host->beat.name;
  }
  return best;
}

/* Finds a member whose slot has a different store.  */
static bool
find_lost_disk (const marjoram_keeper *keeper,
                const struct marjoram_state *state,
                struct marjoram_keeper_change *change)
{
  const struct marjoram_keeper_member *members = state->members.items;

  for (size_t i = 0; i < state->members.count; i++)
    {
      const char *store
          = marjoram_keeper_heard_store (keeper, members[i].slot, HEARD_MS);

      if (!store || strcmp (store, members[i].store_id) == 0)
        continue;
      fill (change, members[i].slot, members[i].slot);
      return true;
    }
  return false;
}

static bool
find_change (const struct marjoram_keeper_care *care,
             const marjoram_keeper *keeper, const struct marjoram_state *state,
             marjoram_host_list *hosts, struct marjoram_keeper_change *change)
{
  const struct marjoram_keeper_member *members = state->members.items;
  const char *spare;

  if (find_lost_disk (keeper, state, change))
    return true;
  spare = find_spare (keeper, state, hosts);
  for (size_t i = 0; spare && i < state->members.count; i++)
    if (!marjoram_keeper_heard_store (keeper, members[i].slot, SILENT_MS))
      {
        fill (change, members[i].slot, spare);
        return true;
      }
  if (!spare || state->members.count >= care->members)
    return false;
  fill (change, "", spare);
  return true;
}

/* An empty keeper at a new address and the other keepers don't know each
   other, so neither would send the first heartbeat.  */
static void
meet_new (marjoram_keeper *keeper, int64_t now, marjoram_host_list *hosts)
{
  const struct marjoram_listed_host *host;

  TAILQ_FOREACH (host, marjoram_host_list_all (hosts), link)
  if (host->beat.keeper && marjoram_host_list_alive (host, now)
      && !marjoram_keeper_heard_store (keeper, host->beat.name, HEARD_MS))
    marjoram_keeper_meet (keeper, now, host->beat.name);
}

static int64_t
turn (const struct marjoram_keeper_care *care,
      const struct marjoram_state *state)
{
  const struct marjoram_keeper_member *members = state->members.items;
  int64_t rank = 0;

  for (size_t i = 0; i < state->members.count; i++)
    rank += strcmp (members[i].slot, care->slot) < 0;
  return rank * TURN_MS;
}

bool
marjoram_keeper_care_tick (marjoram_keeper_care *care, int64_t now,
                           marjoram_keeper *keeper, marjoram_host_list *hosts,
                           struct marjoram_keeper_change *change)
{
  const struct marjoram_state *state = marjoram_keeper_chosen (keeper);

  meet_new (keeper, now, hosts);
  if (!state || state->next_members.count > 0
      || !marjoram_keeper_votes (keeper)
      || !find_change (care, keeper, state, hosts, change))
    {
      care->found_at = 0;
      return false;
    }
  if (care->found_at == 0 || strcmp (care->due.old, change->old) != 0
      || strcmp (care->due.new, change->new) != 0)
    {
      care->found_at = now;
      care->due = *change;
    }
  if (now < care->found_at + turn (care, state)
      || (care->asked_at && now < care->asked_at + AGAIN_MS))
    return false;
  care->asked_at = now;
  /* The state's number makes the id unique: a change id is decided only
     once.  */
  snprintf (change->change_id, sizeof change->change_id,
            "care-%" PRIu64 "-%.32s", state->number, change->new);
  return true;
}

void
marjoram_keeper_care_apply (const struct marjoram_keeper_change *change,
                            marjoram_keeper *keeper, int64_t now,
                            uint64_t request)
{
  if (*change->old)
    marjoram_keeper_replace (keeper, now, request, change->change_id,
                             change->old, change->new);
  else
    marjoram_keeper_admit (keeper, now, request, change->change_id,
                           change->new);
}
