#include "spread.h"

#include "cleanup.h"
#include "log.h"

#include <string.h>
#include <uthash.h>

enum
{
  /* A host that is cut off at its start serves by the highest state that it
     has found after this time.  */
  START_WAIT_MS = 3000,
  /* It waits longer for a state that it has heard of: whoever told of it may
     be gone, but usually others have it.  */
  HEARD_WAIT_MS = 10000,
  /* One ask at a time, so that a change is not fetched from every neighbour
     at once.  */
  ASK_AGAIN_MS = 500
};

/* A host that was heard since this one's start.  */
struct heard
{
  UT_hash_handle hh;
  char slot[MARJORAM_NAME_MAX + 1];
};

struct marjoram_spread
{
  const struct marjoram_spread_ops *ops;
  void *context;
  struct marjoram_state *state;
  char **keepers; /* of the settings */
  size_t keeper_count;
  struct heard *heard;
  uint64_t highest_heard;
  char teller[MARJORAM_NAME_MAX + 1]; /* who told of it last */
  int64_t started;
  int64_t asked;
  uint64_t asked_for; /* the number that was last asked for */
  bool ready;
};

marjoram_spread *
marjoram_spread_create (const struct marjoram_spread_options *options,
                        const struct marjoram_spread_ops *ops, void *context,
                        int64_t now)
{
  marjoram_spread *spread = marjoram_alloc (sizeof *spread);

  spread->ops = ops;
  spread->context = context;
  spread->started = now;
  spread->asked = now - ASK_AGAIN_MS;
  spread->keeper_count = options->keeper_count;
  spread->keepers = marjoram_alloc (options->keeper_count * sizeof (char *));
  for (size_t i = 0; i < options->keeper_count; i++)
    spread->keepers[i] = marjoram_strdup (options->keepers[i]);
  return spread;
}

void
marjoram_spread_destroy (marjoram_spread *spread)
{
  struct heard *heard;

  if (!spread)
    return;
  heard = spread->heard;
  HASH_CLEAR (hh, spread->heard);
  while (heard)
    {
      struct heard *next = heard->hh.next;

      free (heard);
      heard = next;
    }
  for (size_t i = 0; i < spread->keeper_count; i++)
    free (spread->keepers[i]);
  free (spread->keepers);
  marjoram_state_destroy (spread->state);
  free (spread);
}

static uint64_t
own_number (const marjoram_spread *spread)
{
  return spread->state ? spread->state->number : 0;
}

static bool
was_heard (const marjoram_spread *spread, const char *slot)
{
  struct heard *heard;

  HASH_FIND_STR (spread->heard, slot, heard);
  return heard != NULL;
}

static void
note_heard (marjoram_spread *spread, const char *slot)
{
  struct heard *heard;

  if (was_heard (spread, slot) || strlen (slot) > MARJORAM_NAME_MAX)
    return;
  heard = marjoram_alloc (sizeof *heard);
  memcpy (heard->slot, slot, strlen (slot) + 1);
  HASH_ADD_STR (spread->heard, slot, heard);
}

/* The keepers are those of the state, or, before any, of the settings, which
   may name some that were replaced long ago.  */
static bool
heard_majority (const marjoram_spread *spread)
{
  const struct marjoram_keeper_member *members;
  size_t count = 0;

  if (spread->state && spread->state->members.count > 0)
    {
      members = spread->state->members.items;
      for (size_t i = 0; i < spread->state->members.count; i++)
        count += was_heard (spread, members[i].slot);
      return 2 * count > spread->state->members.count;
    }
  for (size_t i = 0; i < spread->keeper_count; i++)
    count += was_heard (spread, spread->keepers[i]);
  return 2 * count > spread->keeper_count;
}

static void
check_ready (marjoram_spread *spread, int64_t now)
{
  int64_t waited = now - spread->started;

  if (spread->ready || !spread->state)
    return;
  if (own_number (spread) < spread->highest_heard && waited < HEARD_WAIT_MS)
    return;
  spread->ready = waited >= START_WAIT_MS || heard_majority (spread);
}

/* Whether no answer is awaited.  */
static bool
may_ask (const marjoram_spread *spread, int64_t now)
{
  return own_number (spread) >= spread->asked_for
         || now - spread->asked >= ASK_AGAIN_MS;
}

static void
send_ask (marjoram_spread *spread, int64_t now, const char *slot)
{
  struct marjoram_config_ask ask = { 0 };
  struct marjoram_file have[MARJORAM_FILES_MAX];
  const struct marjoram_file *file;

  memset (have, 0, sizeof have);
  if (spread->state)
    {
      file = spread->state->files.items;
      ask.have.items = have;
      ask.have.count = spread->state->files.count;
      for (size_t i = 0; i < ask.have.count; i++)
        {
          have[i] = file[i];
          have[i].text = NULL;
        }
    }
  spread->asked = now;
  spread->asked_for = spread->highest_heard;
  spread->ops->send_ask (spread->context, slot, &ask);
}

void
marjoram_spread_heard (marjoram_spread *spread, int64_t now, const char *slot,
                       uint64_t number)
{
  note_heard (spread, slot);
  if (number >= spread->highest_heard && strlen (slot) <= MARJORAM_NAME_MAX)
    {
      spread->highest_heard = number;
      memcpy (spread->teller, slot, strlen (slot) + 1);
    }
  if (number > own_number (spread) && may_ask (spread, now))
    send_ask (spread, now, slot);
  check_ready (spread, now);
}

static bool
has_file (const struct marjoram_config_ask *ask,
          const struct marjoram_file *file)
{
  const struct marjoram_file *have = ask->have.items;

  for (size_t i = 0; i < ask->have.count; i++)
    if (have[i].name && have[i].digest
        && strcmp (have[i].name, file->name) == 0
        && strcmp (have[i].digest, file->digest) == 0)
      return true;
  return false;
}

void
marjoram_spread_receive_ask (marjoram_spread *spread, int64_t now,
                             const char *slot,
                             const struct marjoram_config_ask *ask)
{
  struct marjoram_state *copy;
  struct marjoram_config_give give;
  struct marjoram_file *file;

  (void)now;
  if (!spread->state)
    return;
  /* The results of changes are the keepers' alone, and larger than most
     files.  */
  copy = marjoram_state_copy (spread->state);
  marjoram_state_forget_changes (copy);
  file = copy->files.items;
  for (size_t i = 0; i < copy->files.count; i++)
    if (has_file (ask, &file[i]))
      {
        free (file[i].text);
        file[i].text = NULL;
      }
  give.state = marjoram_wire_pack (&marjoram_state_layout, copy);
  spread->ops->send_give (spread->context, slot, &give);
  marjoram_bytes_release (give.state);
  marjoram_state_destroy (copy);
}

/* Texts that were left out, as this host has them, are filled in; every text
   is checked against its digest.  */
static bool
complete (const marjoram_spread *spread, struct marjoram_state *state)
{
  struct marjoram_file *file = state->files.items;

  for (size_t i = 0; i < state->files.count; i++)
    {
      const struct marjoram_file *own;
      marjoram_auto_free char *digest = NULL;

      if (!file[i].name || !file[i].digest)
        return false;
      own = spread->state ? marjoram_state_file (spread->state, file[i].name)
                          : NULL;
      if (!file[i].text && own)
        file[i].text = marjoram_strdup (own->text);
      if (!file[i].text)
        return false;
      digest = marjoram_digest (file[i].text, strlen (file[i].text));
      if (strcmp (digest, file[i].digest) != 0)
        return false;
    }
  return true;
}

static void
take (marjoram_spread *spread, int64_t now, struct marjoram_state *state)
{
  marjoram_state_destroy (spread->state);
  spread->state = state;
  spread->ops->adopted (spread->context, state);
  check_ready (spread, now);
}

void
marjoram_spread_receive_give (marjoram_spread *spread, int64_t now,
                              const char *slot,
                              const struct marjoram_config_give *give)
{
  struct marjoram_state *state = marjoram_wire_unpack (
      &marjoram_state_layout, marjoram_bytes_data (give->state),
      marjoram_bytes_size (give->state), NULL);

  /* Never a lower number: a late or doubled message changes nothing.  */
  if (state && state->number > own_number (spread) && complete (spread, state))
    {
      take (spread, now, state);
      return;
    }
  if (state && state->number > own_number (spread))
    marjoram_log (MARJORAM_LOG_WARNING,
                  "state %llu from %s is not whole; asking again",
                  (unsigned long long)state->number, slot);
  marjoram_state_destroy (state);
}

void
marjoram_spread_local (marjoram_spread *spread, int64_t now,
                       const struct marjoram_state *state)
{
  if (state->number > own_number (spread))
    take (spread, now, marjoram_state_copy (state));
}

void
marjoram_spread_tick (marjoram_spread *spread, int64_t now)
{
  /* The ask or its answer was lost.  */
  if (spread->highest_heard > own_number (spread) && may_ask (spread, now))
    send_ask (spread, now, spread->teller);
  check_ready (spread, now);
}

bool
marjoram_spread_ready (const marjoram_spread *spread)
{
  return spread->ready;
}

const struct marjoram_state *
marjoram_spread_state (const marjoram_spread *spread)
{
  return spread->state;
}
