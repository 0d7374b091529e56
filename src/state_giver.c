#include "state_giver.h"

#include "cleanup.h"
#include "compress.h"

#include <string.h>

enum
{
  /* States held as bases: a host that missed more gets the newest whole.  */
  STATES_MAX = 4,
  /* Of these together, beside the newest: a keeper's memory is small.  */
  STATE_BYTES_MAX = 6 * 1024 * 1024,
  /* Compressed ones, each for the hosts that hold one base.  */
  PACKS_MAX = 4
};

struct pack
{
  uint64_t number;
  uint64_t base;        /* 0: none */
  uint64_t base_digest; /* as asked, of a base that is not held too */
  bool against_base;
  marjoram_bytes *bytes;
};

struct marjoram_state_giver
{
  struct marjoram_packed_state states[STATES_MAX]; /* newest first */
  struct pack packs[PACKS_MAX];                    /* the last made first */
};

marjoram_state_giver *
marjoram_state_giver_create (void)
{
  return marjoram_alloc (sizeof (marjoram_state_giver));
}

void
marjoram_state_giver_destroy (marjoram_state_giver *giver)
{
  if (!giver)
    return;
  for (int i = 0; i < STATES_MAX; i++)
    marjoram_packed_state_clear (&giver->states[i]);
  for (int i = 0; i < PACKS_MAX; i++)
    marjoram_bytes_release (giver->packs[i].bytes);
  free (giver);
}

uint64_t
marjoram_state_giver_number (const marjoram_state_giver *giver)
{
  return giver->states[0].number;
}

static void
drop_over_limit (marjoram_state_giver *giver)
{
  size_t size = 0;

  for (int i = 1; i < STATES_MAX; i++)
    {
      size += marjoram_bytes_size (giver->states[i].bytes);
      if (size > STATE_BYTES_MAX)
        marjoram_packed_state_clear (&giver->states[i]);
    }
}

void
marjoram_state_giver_set (marjoram_state_giver *giver,
                          const struct marjoram_state *state)
{
  if (state->number <= marjoram_state_giver_number (giver))
    return;
  marjoram_packed_state_clear (&giver->states[STATES_MAX - 1]);
  memmove (giver->states + 1, giver->states,
           (STATES_MAX - 1) * sizeof *giver->states);
  giver->states[0] = marjoram_packed_state_make (state);
  drop_over_limit (giver);
}

/* Null if it is not held.  */
static const struct marjoram_packed_state *
find_state (const marjoram_state_giver *giver, uint64_t number)
{
  for (int i = 0; number > 0 && i < STATES_MAX; i++)
    if (giver->states[i].number == number)
      return &giver->states[i];
  return NULL;
}

/* Two states can have one number only where a store was lost beyond repair;
   the digest keeps a host of one from taking the other's difference.  */
static const struct marjoram_packed_state *
find_base (const marjoram_state_giver *giver,
           const struct marjoram_state_ask *ask)
{
  const struct marjoram_packed_state *base = find_state (giver, ask->base);

  return base && base->digest == ask->base_digest ? base : NULL;
}

static struct pack *
find_pack (marjoram_state_giver *giver, uint64_t number,
           const struct marjoram_state_ask *ask)
{
  for (int i = 0; i < PACKS_MAX; i++)
    if (giver->packs[i].bytes && giver->packs[i].number == number
        && giver->packs[i].base == ask->base
        && giver->packs[i].base_digest == ask->base_digest)
      return &giver->packs[i];
  return NULL;
}

static struct pack *
make_pack (marjoram_state_giver *giver,
           const struct marjoram_packed_state *state,
           const struct marjoram_state_ask *ask)
{
  const struct marjoram_packed_state *base = find_base (giver, ask);
  struct pack *pack = &giver->packs[0];

  marjoram_bytes_release (giver->packs[PACKS_MAX - 1].bytes);
  memmove (giver->packs + 1, giver->packs, (PACKS_MAX - 1) * sizeof *pack);
  pack->number = state->number;
  pack->base = ask->base;
  pack->base_digest = ask->base_digest;
  pack->against_base = base != NULL;
  pack->bytes = marjoram_compress (state->bytes, base ? base->bytes : NULL);
  return pack;
}

static void
cut_piece (const struct pack *pack, uint64_t offset,
           struct marjoram_state_piece *piece)
{
  uint64_t size = marjoram_bytes_size (pack->bytes);
  uint64_t left = offset < size ? size - offset : 0;

  piece->number = pack->number;
  piece->base = pack->against_base ? pack->base : 0;
  piece->size = size;
  piece->offset = offset;
  piece->bytes = marjoram_bytes_create (
      marjoram_bytes_data (pack->bytes) + (left > 0 ? offset : 0),
      left < MARJORAM_STATE_PIECE_MAX ? left : MARJORAM_STATE_PIECE_MAX);
}

bool
marjoram_state_giver_answer (marjoram_state_giver *giver,
                             const struct marjoram_state_ask *ask,
                             struct marjoram_state_piece *piece)
{
  const struct marjoram_packed_state *state = find_state (giver, ask->number);
  uint64_t offset = state ? ask->offset : 0;
  struct pack *pack;

  if (!state)
    state = &giver->states[0];
  if (state->number == 0)
    return false;
  pack = find_pack (giver, state->number, ask);
  if (!pack)
    pack = make_pack (giver, state, ask);
  cut_piece (pack, offset, piece);
  return true;
}
