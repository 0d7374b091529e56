#include "keeper_private.h"

#include "cleanup.h"
#include "compress.h"
#include "frame.h"

#include <string.h>

enum
{
  HELD_VALUES = 6
};

static void
list_held_values (const marjoram_keeper *keeper,
                  marjoram_value *values[HELD_VALUES])
{
  values[0] = keeper->acceptor.value;
  values[1] = keeper->chosen;
  values[2] = keeper->attempt.best;
  values[3] = keeper->attempt.proposed;
  values[4] = keeper->delivered;
  values[5] = keeper->previous_chosen;
}

static marjoram_value *
find_by_hash (const marjoram_keeper *keeper,
              const struct marjoram_value_hash *hash)
{
  marjoram_value *values[HELD_VALUES];

  list_held_values (keeper, values);
  for (size_t i = 0; i < HELD_VALUES; i++)
    if (values[i])
      {
        struct marjoram_value_hash other = marjoram_value_hash (values[i]);

        if (marjoram_value_hash_equal (&other, hash))
          return values[i];
      }
  return NULL;
}

static bool
has_bytes (marjoram_value *value, const marjoram_bytes *packed)
{
  size_t size = marjoram_bytes_size (packed);
  const marjoram_bytes *other = marjoram_value_packed (value);

  return marjoram_bytes_size (other) == size
         && memcmp (marjoram_bytes_data (other), marjoram_bytes_data (packed),
                    size)
                == 0;
}

/* States are large and repeated; one that is already held is not unpacked
   again.  */
static marjoram_value *
decode_packed (const marjoram_keeper *keeper, marjoram_bytes *packed)
{
  marjoram_value *values[HELD_VALUES];

  list_held_values (keeper, values);
  for (size_t i = 0; i < HELD_VALUES; i++)
    if (values[i] && has_bytes (values[i], packed))
      return marjoram_value_retain (values[i]);
  return marjoram_value_unpack (packed, NULL);
}

static marjoram_value *
decode_compressed (const marjoram_keeper *keeper, const marjoram_bytes *data,
                   marjoram_value *base)
{
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *packed
      = marjoram_decompress (data, base ? marjoram_value_packed (base) : NULL,
                             MARJORAM_FRAME_MAX, NULL);

  return packed ? decode_packed (keeper, packed) : NULL;
}

/* Encodes VALUE against the value that the receiver reported as last accepted.
   ACCEPTED_HASH, its hash, identifies that value, as the state number is not
   unique among competing proposals.  A receiver that no longer holds the value
   drops the message and reports what it holds.  The hash and the checksum of
   the compressed data prevent decoding to a different value.  */
static void
encode_against (const marjoram_keeper *keeper,
                const struct marjoram_value_hash *accepted_hash,
                marjoram_value *value, struct marjoram_keeper_message *message)
{
  struct marjoram_value_hash hash = marjoram_value_hash (value);
  marjoram_value *base = find_by_hash (keeper, accepted_hash);

  message->base_hash = *accepted_hash;
  message->encoding = MARJORAM_KEEPER_REFERENCE;
  message->value = keeper->empty_bytes;
  if (marjoram_value_hash_equal (&hash, accepted_hash))
    return;
  message->encoding
      = base ? MARJORAM_KEEPER_DELTA : MARJORAM_KEEPER_COMPRESSED;
  message->value = marjoram_value_compressed (value, base);
}

void
marjoram_keeper_encode_value (const marjoram_keeper *keeper,
                              const struct marjoram_keeper_peer *peer,
                              marjoram_value *value,
                              struct marjoram_keeper_message *message)
{
  message->encoding = MARJORAM_KEEPER_PLAIN;
  message->value = marjoram_value_packed (value);
  if (marjoram_bytes_size (message->value) > MARJORAM_KEEPER_SMALL_MAX && peer
      && peer->max_encoding >= MARJORAM_KEEPER_REFERENCE)
    encode_against (keeper, &peer->accepted_hash, value, message);
}

marjoram_value *
marjoram_keeper_decode_value (const marjoram_keeper *keeper,
                              const struct marjoram_keeper_message *message)
{
  marjoram_value *base = NULL;

  if (message->encoding == MARJORAM_KEEPER_PLAIN)
    return decode_packed (keeper, message->value);
  if (message->encoding == MARJORAM_KEEPER_COMPRESSED)
    return decode_compressed (keeper, message->value, NULL);
  base = find_by_hash (keeper, &message->base_hash);
  if (!base || message->encoding > MARJORAM_KEEPER_REFERENCE)
    return NULL;
  if (message->encoding == MARJORAM_KEEPER_REFERENCE)
    return marjoram_value_retain (base);
  return decode_compressed (keeper, message->value, base);
}
