#include "keeper_care.h"

#include "cleanup.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  /* A store heard in a slot within this time is there now; greetings come once
     a second.  */
  HEARD_MS = 1500,
  /* A member that is silent for longer gives its place to a spare keeper.  A
     restart takes less, and a replaced machine must count as a member within
     some four seconds.  */
  SILENT_MS = 2200,
  /* The first member acts first, the others later, so that they don't compete;
     and no sooner again than a replacement takes.  */
  TURN_MS = 600,
  AGAIN_MS = 1500
};

struct marjoram_keeper_care
{
  char *slot;
  int64_t found_at; /* since when the same change is due; 0: none is */
  int64_t asked_at;
  struct marjoram_keeper_change due;
};

marjoram_keeper_care *
marjoram_keeper_care_create (const char *slot)
{
  marjoram_keeper_care *care = marjoram_alloc (sizeof *care);

  care->slot = marjoram_strdup (slot);
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

/* A spare: a keeper that is heard and no member.  */
static const char *
find_spare (const marjoram_keeper *keeper, const struct marjoram_state *state,
            marjoram_host_list *hosts)
{
  const struct marjoram_listed_host *host;

  TAILQ_FOREACH (host, marjoram_host_list_all (hosts), link)
  if (host->beat.keeper
      && !marjoram_voters_find (&state->members, host->beat.name)
      && marjoram_keeper_heard_store (keeper, host->beat.name, HEARD_MS))
    return host->beat.name;
  return NULL;
}

static bool
find_change (const marjoram_keeper *keeper, const struct marjoram_state *state,
             marjoram_host_list *hosts, struct marjoram_keeper_change *change)
{
  const struct marjoram_keeper_member *members = state->members.items;
  const char *spare;

  for (size_t i = 0; i < state->members.count; i++)
    {
      const char *store
          = marjoram_keeper_heard_store (keeper, members[i].slot, HEARD_MS);

      if (store && strcmp (store, members[i].store_id) != 0)
        {
          fill (change, members[i].slot, members[i].slot);
          return true;
        }
    }
  spare = find_spare (keeper, state, hosts);
  for (size_t i = 0; spare && i < state->members.count; i++)
    if (!marjoram_keeper_heard_store (keeper, members[i].slot, SILENT_MS))
      {
        fill (change, members[i].slot, spare);
        return true;
      }
  return false;
}

/* A keeper that starts empty at a new address knows of no other one, and none
   of it: each would wait for the other's greeting.  */
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
      || !find_change (keeper, state, hosts, change))
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
  /* A change id is decided once; the state's number makes it a new one.  */
  snprintf (change->change_id, sizeof change->change_id,
            "care-%" PRIu64 "-%.32s", state->number, change->new);
  return true;
}
