#include "carried_ids.h"

#include "cleanup.h"

#include <stdint.h>
#include <string.h>
#include <xxhash.h>

enum
{
  INITIAL_CAPACITY = 8
};

struct marjoram_carried_ids
{
  uint64_t *hashes;
  size_t count;
  size_t capacity;
};

marjoram_carried_ids *
marjoram_carried_ids_create (void)
{
  return marjoram_alloc (sizeof (marjoram_carried_ids));
}

void
marjoram_carried_ids_destroy (marjoram_carried_ids *ids)
{
  if (!ids)
    return;
  free (ids->hashes);
  free (ids);
}

static uint64_t
hash (const char *id)
{
  return XXH3_64bits (id, strlen (id));
}

static void
grow (marjoram_carried_ids *ids)
{
  const size_t capacity = ids->capacity ? 2 * ids->capacity : INITIAL_CAPACITY;

  ids->hashes = realloc (ids->hashes, capacity * sizeof *ids->hashes);
  if (!ids->hashes)
    abort ();
  ids->capacity = capacity;
}

void
marjoram_carried_ids_add (marjoram_carried_ids *ids, const char *id)
{
  if (marjoram_carried_ids_is_full (ids))
    return;
  if (ids->count == ids->capacity)
    grow (ids);
  ids->hashes[ids->count++] = hash (id);
}

bool
marjoram_carried_ids_contains (const marjoram_carried_ids *ids, const char *id)
{
  const uint64_t wanted = hash (id);

  for (size_t i = 0; i < ids->count; i++)
    if (ids->hashes[i] == wanted)
      return true;
  return false;
}

bool
marjoram_carried_ids_is_full (const marjoram_carried_ids *ids)
{
  return ids->count == MARJORAM_CARRIED_IDS_MAX;
}
