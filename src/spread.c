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
  /* One ask at a time, so that a change is not fetched from every neighbour
     at once.  */
  ASK_AGAIN_MS = 500
};

/* A keeper, and whether this host has heard of it since its start.  */
struct keeper
{
  char *slot;
  bool heard;
};

struct marjoram_spread
{
  const struct marjoram_spread_ops *ops;
  void *context;
  struct marjoram_state *state;
  struct keeper *keepers;
  size_t keeper_count;
  uint64_t highest_heard;
  int64_t started;
  int64_t asked;
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
  spread->keepers
      = marjoram_alloc (options->keeper_count * sizeof *spread->keepers);
  for (size_t i = 0; i < options->keeper_count; i++)
    spread->keepers[i].slot = marjoram_strdup (options->keepers[i]);
  return spread;
}

void
marjoram_spread_destroy (marjoram_spread *spread)
{
  if (!spread)
    return;
  for (size_t i = 0; i < spread->keeper_count; i++)
    free (spread->keepers[i].slot);
  free (spread->keepers);
  marjoram_state_destroy (spread->state);
  free (spread);
}

static uint64_t
own_number (const marjoram_spread *spread)
{
  return spread->state ? spread->state->number : 0;
}

static size_t
keepers_heard (const marjoram_spread *spread)
{
  size_t heard = 0;

  for (size_t i = 0; i < spread->keeper_count; i++)
    heard += spread->keepers[i].heard;
  return heard;
}

static void
check_ready (marjoram_spread *spread, int64_t now)
{
  bool majority = 2 * keepers_heard (spread) > spread->keeper_count;
  bool waited = now - spread->started >= START_WAIT_MS;

  if (spread->ready || !spread->state
      || own_number (spread) < spread->highest_heard)
    return;
  spread->ready = majority || waited;
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
  spread->ops->send_ask (spread->context, slot, &ask);
}

void
marjoram_spread_heard (marjoram_spread *spread, int64_t now, const char *slot,
                       uint64_t number)
{
  for (size_t i = 0; i < spread->keeper_count; i++)
    if (strcmp (spread->keepers[i].slot, slot) == 0)
      spread->keepers[i].heard = true;
  if (number > spread->highest_heard)
    spread->highest_heard = number;
  if (number > own_number (spread) && now - spread->asked >= ASK_AGAIN_MS)
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
  copy = marjoram_state_copy (spread->state);
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
