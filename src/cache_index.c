#include "cache_index.h"

#include "cleanup.h"

enum
{
  WAYS = 4,
  ENTRY_VALID_MS = 300000
};

struct entry
{
  uint64_t prefix;
  struct marjoram_cache_holder holders[MARJORAM_CACHE_HOLDERS];
};

struct marjoram_cache_index
{
  struct entry *entries;
  size_t sets; /* number of sets, WAYS entries each */
};

marjoram_cache_index *
marjoram_cache_index_create (size_t entries)
{
  marjoram_cache_index *index = marjoram_alloc (sizeof *index);

  index->sets = 1;
  while (index->sets * WAYS < entries)
    index->sets *= 2;
  index->entries = marjoram_alloc (index->sets * WAYS * sizeof (struct entry));
  return index;
}

void
marjoram_cache_index_destroy (marjoram_cache_index *index)
{
  if (!index)
    return;
  free (index->entries);
  free (index);
}

static struct entry *
set_of (const marjoram_cache_index *index, uint64_t prefix)
{
  uint64_t mixed = prefix * UINT64_C (0x9e3779b97f4a7c15) >> 32;

  return &index->entries[(mixed & (index->sets - 1)) * WAYS];
}

static int64_t
last_seen (const struct entry *entry)
{
  return entry->holders[0].seen > entry->holders[1].seen
             ? entry->holders[0].seen
             : entry->holders[1].seen;
}

static struct entry *
find (const marjoram_cache_index *index, uint64_t prefix)
{
  struct entry *set = set_of (index, prefix);

  for (int i = 0; i < WAYS; i++)
    if (set[i].prefix == prefix)
      return &set[i];
  return NULL;
}

static struct entry *
replace_oldest (const marjoram_cache_index *index, uint64_t prefix)
{
  struct entry *set = set_of (index, prefix);
  struct entry *oldest = &set[0];

  for (int i = 1; i < WAYS; i++)
    if (last_seen (&set[i]) < last_seen (oldest))
      oldest = &set[i];
  *oldest = (struct entry){ .prefix = prefix };
  return oldest;
}

void
marjoram_cache_index_add (marjoram_cache_index *index, int64_t now,
                          uint64_t prefix, uint64_t holder)
{
  struct entry *entry = find (index, prefix);
  struct marjoram_cache_holder *slot;

  if (!entry)
    entry = replace_oldest (index, prefix);
  slot = &entry->holders[0];
  for (int i = 0; i < MARJORAM_CACHE_HOLDERS; i++)
    {
      if (entry->holders[i].holder == holder)
        {
          entry->holders[i].seen = now;
          return;
        }
      if (entry->holders[i].seen < slot->seen)
        slot = &entry->holders[i];
    }
  *slot = (struct marjoram_cache_holder){ holder, now };
}

void
marjoram_cache_index_remove (marjoram_cache_index *index, uint64_t prefix,
                             uint64_t holder)
{
  struct entry *entry = find (index, prefix);

  for (int i = 0; entry && i < MARJORAM_CACHE_HOLDERS; i++)
    if (entry->holders[i].holder == holder)
      entry->holders[i] = (struct marjoram_cache_holder){ 0 };
}

const struct marjoram_cache_holder *
marjoram_cache_index_find (const marjoram_cache_index *index, int64_t now,
                           uint64_t prefix)
{
  const struct entry *entry = find (index, prefix);

  if (!entry || now >= last_seen (entry) + ENTRY_VALID_MS)
    return NULL;
  return entry->holders;
}

size_t
marjoram_cache_index_memory (const marjoram_cache_index *index)
{
  return sizeof *index + index->sets * WAYS * sizeof (struct entry);
}
