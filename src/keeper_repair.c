#include "keeper_repair.h"

#include "cleanup.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  /* A store heard from within this time is present; heartbeats are sent once a
     second.  */
  PRESENT_MS = 1500,
  /* A member silent for longer is replaced, or for half of the time within
     which its successor must be a member.  Longer than a restart takes.  */
  FAILED_MS = 2200,
  FAILED_MIN_MS = 1000,
  /* A replacement takes two decisions.  */
  DECISIONS = 2
};

struct marjoram_keeper_repair
{
  char *slot;
  size_t members;    /* target number */
  int64_t failed_ms; /* a member silent for longer is replaced */
  /* When the change that is due was first needed; 0 if none is.  */
  int64_t due_since;
  bool requested; /* the change that is due, and not answered yet */
  struct marjoram_keeper_change due;
};

marjoram_keeper_repair *
marjoram_keeper_repair_create (const char *slot, size_t losses,
                               int64_t within_ms)
{
  marjoram_keeper_repair *repair = marjoram_alloc (sizeof *repair);

  repair->slot = marjoram_strdup (slot);
  repair->members = 2 * losses + 1;
  repair->failed_ms = within_ms / 2;
  if (repair->failed_ms > FAILED_MS)
    repair->failed_ms = FAILED_MS;
  if (repair->failed_ms < FAILED_MIN_MS)
    repair->failed_ms = FAILED_MIN_MS;
  return repair;
}

void
marjoram_keeper_repair_destroy (marjoram_keeper_repair *repair)
{
  if (!repair)
    return;
  free (repair->slot);
  free (repair);
}

static void
set_change (struct marjoram_keeper_change *change, const char *old,
            const char *new)
{
  memset (change, 0, sizeof *change);
  snprintf (change->old, sizeof change->old, "%s", old);
  snprintf (change->new, sizeof change->new, "%s", new);
}

static size_t
count_live_members (const struct marjoram_keeper_repair *repair,
                    const marjoram_keeper *keeper,
                    const struct marjoram_state *state,
                    marjoram_host_list *hosts, const char *region)
{
  const struct marjoram_keeper_member *members = state->members.items;
  size_t count = 0;

  for (size_t i = 0; i < state->members.count; i++)
    {
      const struct marjoram_listed_host *host
          = marjoram_host_list_find (hosts, members[i].slot);

      count += host && strcmp (host->heartbeat.region, region) == 0
               && marjoram_keeper_store_in_slot (keeper, members[i].slot,
                                                 repair->failed_ms);
    }
  return count;
}

/* A live keeper that is not a member, from the region with the fewest members,
   so that a majority survives the loss of a region.  */
static const char *
find_spare (const struct marjoram_keeper_repair *repair,
            const marjoram_keeper *keeper, const struct marjoram_state *state,
            marjoram_host_list *hosts)
{
  const struct marjoram_listed_host *host;
  const char *best = NULL;
  size_t fewest = SIZE_MAX;

  TAILQ_FOREACH (host, marjoram_host_list_all (hosts), link)
  {
    size_t count;

    if (!host->heartbeat.keeper
        || marjoram_voters_find (&state->members, host->heartbeat.name)
        || !marjoram_keeper_store_in_slot (keeper, host->heartbeat.name,
                                           PRESENT_MS))
      continue;
    count = count_live_members (repair, keeper, state, hosts,
                                host->heartbeat.region);
    if (count >= fewest)
      continue;
    fewest = count;
    best = host->heartbeat.name;
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
      const char *store = marjoram_keeper_store_in_slot (
          keeper, members[i].slot, PRESENT_MS);

      if (!store || strcmp (store, members[i].store_id) == 0)
        continue;
      set_change (change, members[i].slot, members[i].slot);
      return true;
    }
  return false;
}

static bool
find_change (const struct marjoram_keeper_repair *repair,
             const marjoram_keeper *keeper, const struct marjoram_state *state,
             marjoram_host_list *hosts, struct marjoram_keeper_change *change)
{
  const struct marjoram_keeper_member *members = state->members.items;
  const char *spare;

  if (find_lost_disk (keeper, state, change))
    return true;
  spare = find_spare (repair, keeper, state, hosts);
  for (size_t i = 0; spare && i < state->members.count; i++)
    if (!marjoram_keeper_store_in_slot (keeper, members[i].slot,
                                        repair->failed_ms))
      {
        set_change (change, members[i].slot, spare);
        return true;
      }
  if (!spare || state->members.count >= repair->members)
    return false;
  set_change (change, "", spare);
  return true;
}

/* An empty keeper at a new address and the other keepers don't know each
   other, so neither would send the first heartbeat.  */
static void
probe_new_keepers (marjoram_keeper *keeper, int64_t now,
                   marjoram_host_list *hosts)
{
  const struct marjoram_listed_host *host;

  TAILQ_FOREACH (host, marjoram_host_list_all (hosts), link)
  if (host->heartbeat.keeper && marjoram_host_list_alive (host, now)
      && !marjoram_keeper_store_in_slot (keeper, host->heartbeat.name,
                                         PRESENT_MS))
    marjoram_keeper_probe (keeper, now, host->heartbeat.name);
}

/* Members that ask at once compete, so each waits for the time in which the
   present ones before it replace a keeper.  */
static int64_t
rank_delay (const struct marjoram_keeper_repair *repair,
            const marjoram_keeper *keeper, const struct marjoram_state *state)
{
  const struct marjoram_keeper_member *members = state->members.items;
  int64_t rank = 0;

  for (size_t i = 0; i < state->members.count; i++)
    {
      const char *store = marjoram_keeper_store_in_slot (
          keeper, members[i].slot, PRESENT_MS);

      rank += store && strcmp (store, members[i].store_id) == 0
              && strcmp (members[i].slot, repair->slot) < 0;
    }
  return rank * DECISIONS * marjoram_keeper_attempt_ms (keeper);
}

static void
note_due (struct marjoram_keeper_repair *repair, int64_t now,
          const struct marjoram_keeper_change *change)
{
  if (repair->due_since != 0 && strcmp (repair->due.old, change->old) == 0
      && strcmp (repair->due.new, change->new) == 0)
    return;
  repair->due_since = now;
  repair->due = *change;
  repair->requested = false;
}

bool
marjoram_keeper_repair_tick (marjoram_keeper_repair *repair, int64_t now,
                             marjoram_keeper *keeper,
                             marjoram_host_list *hosts,
                             struct marjoram_keeper_change *change)
{
  const struct marjoram_state *state = marjoram_keeper_chosen_state (keeper);

  probe_new_keepers (keeper, now, hosts);
  if (!state || state->next_members.count > 0
      || !marjoram_keeper_votes (keeper)
      || !find_change (repair, keeper, state, hosts, change))
    {
      repair->due_since = 0;
      return false;
    }
  note_due (repair, now, change);
  if (repair->requested)
    {
      /* The keeper waits for an answer to a heartbeat.  */
      marjoram_keeper_probe (keeper, now, change->new);
      return false;
    }
  if (now < repair->due_since + rank_delay (repair, keeper, state))
    return false;
  repair->requested = true;
  /* The state's number makes the id unique: a change id is decided only
     once.  */
  snprintf (change->change_id, sizeof change->change_id,
            "care-%" PRIu64 "-%.32s", state->number, change->new);
  return true;
}

void
marjoram_keeper_repair_answered (marjoram_keeper_repair *repair)
{
  repair->requested = false;
}

void
marjoram_keeper_repair_apply (marjoram_keeper_repair *repair,
                              const struct marjoram_keeper_change *change,
                              marjoram_keeper *keeper, int64_t now,
                              uint64_t request)
{
  if (*change->old)
    marjoram_keeper_replace (keeper, now, request, change->change_id,
                             change->old, change->new);
  else
    marjoram_keeper_add (keeper, now, request, change->change_id, change->new,
                         repair->members);
}
