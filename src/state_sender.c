#include "state_sender.h"

#include "cleanup.h"
#include "compress.h"

#include <string.h>

enum
{
  /* States kept as bases for deltas; a host with an older one gets a full
     transfer.  */
  STATES_MAX = 4,
  /* Total size of the kept states except the newest, to bound memory.  */
  STATE_BYTES_MAX = 6 * 1024 * 1024,
  /* Cached compressed states, each against one base.  */
  ENCODINGS_MAX = 4
};

struct encoding
{
  uint64_t number;
  uint64_t base;        /* 0: none */
  uint64_t base_digest; /* as requested, also if the base is unknown */
  bool is_delta;
  marjoram_bytes *bytes;
};

struct marjoram_state_sender
{
  struct marjoram_packed_state states[STATES_MAX]; /* newest first */
  struct encoding encodings[ENCODINGS_MAX];        /* newest first */
};

marjoram_state_sender *
marjoram_state_sender_create (void)
{
  return marjoram_alloc (sizeof (marjoram_state_sender));
}

void
marjoram_state_sender_destroy (marjoram_state_sender *sender)
{
  if (!sender)
    return;
  for (int i = 0; i < STATES_MAX; i++)
    marjoram_packed_state_clear (&sender->states[i]);
  for (int i = 0; i < ENCODINGS_MAX; i++)
    marjoram_bytes_release (sender->encodings[i].bytes);
  free (sender);
}

uint64_t
marjoram_state_sender_number (const marjoram_state_sender *sender)
{
  return sender->states[0].number;
}

static void
evict_over_limit (marjoram_state_sender *sender)
{
  size_t size = 0;

  for (int i = 1; i < STATES_MAX; i++)
    {
      size += marjoram_bytes_size (sender->states[i].bytes);
      if (size > STATE_BYTES_MAX)
        marjoram_packed_state_clear (&sender->states[i]);
    }
}

void
marjoram_state_sender_set (marjoram_state_sender *sender,
                           const struct marjoram_state *state)
{
  if (state->number <= marjoram_state_sender_number (sender))
    return;
  marjoram_packed_state_clear (&sender->states[STATES_MAX - 1]);
  memmove (sender->states + 1, sender->states,
           (STATES_MAX - 1) * sizeof *sender->states);
  sender->states[0] = marjoram_packed_state_make (state);
  evict_over_limit (sender);
}

static const struct marjoram_packed_state *
find_state (const marjoram_state_sender *sender, uint64_t number)
{
  for (int i = 0; number > 0 && i < STATES_MAX; i++)
    if (sender->states[i].number == number)
      return &sender->states[i];
  return NULL;
}

/* Different states have the same number only after unrecoverable loss of
   stores; comparing digests avoids a delta against the wrong one.  */
static const struct marjoram_packed_state *
find_base (const marjoram_state_sender *sender,
           const struct marjoram_state_ask *ask)
{
  const struct marjoram_packed_state *base = find_state (sender, ask->base);

  return base && base->digest == ask->base_digest ? base : NULL;
}

static struct encoding *
find_encoding (marjoram_state_sender *sender, uint64_t number,
               const struct marjoram_state_ask *ask)
{
  for (int i = 0; i < ENCODINGS_MAX; i++)
    if (sender->encodings[i].bytes && sender->encodings[i].number == number
        && sender->encodings[i].base == ask->base
        && sender->encodings[i].base_digest == ask->base_digest)
      return &sender->encodings[i];
  return NULL;
}

static struct encoding *
add_encoding (marjoram_state_sender *sender,
              const struct marjoram_packed_state *state,
              const struct marjoram_state_ask *ask)
{
  const struct marjoram_packed_state *base = find_base (sender, ask);
  struct encoding *encoding = &sender->encodings[0];

  marjoram_bytes_release (sender->encodings[ENCODINGS_MAX - 1].bytes);
  memmove (sender->encodings + 1, sender->encodings,
           (ENCODINGS_MAX - 1) * sizeof *encoding);
  encoding->number = state->number;
  encoding->base = ask->base;
  encoding->base_digest = ask->base_digest;
  encoding->is_delta = base != NULL;
  encoding->bytes
      = marjoram_compress (state->bytes, base ? base->bytes : NULL);
  return encoding;
}

static void
make_piece (const struct encoding *encoding, uint64_t offset,
            struct marjoram_state_piece *piece)
{
  uint64_t size = marjoram_bytes_size (encoding->bytes);
  uint64_t remaining = offset < size ? size - offset : 0;

  piece->number = encoding->number;
  piece->base = encoding->is_delta ? encoding->base : 0;
  piece->size = size;
  piece->offset = offset;
  piece->bytes = marjoram_bytes_create (
      marjoram_bytes_data (encoding->bytes) + (remaining > 0 ? offset : 0),
      remaining < MARJORAM_STATE_PIECE_MAX ? remaining
                                           : MARJORAM_STATE_PIECE_MAX);
}

bool
marjoram_state_sender_answer (marjoram_state_sender *sender,
                              const struct marjoram_state_ask *ask,
                              struct marjoram_state_piece *piece)
{
  const struct marjoram_packed_state *state = find_state (sender, ask->number);
  uint64_t offset = state ? ask->offset : 0;
  struct encoding *encoding;

  if (!state)
    state = &sender->states[0];
  if (state->number == 0)
    return false;
  encoding = find_encoding (sender, state->number, ask);
  if (!encoding)
    encoding = add_encoding (sender, state, ask);
  make_piece (encoding, offset, piece);
  return true;
}
