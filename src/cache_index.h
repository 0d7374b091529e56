/* Which upstreams are thought to hold a prompt's prefix: a soft hint of fixed
   size, from what this host sent where and from the upstreams' cache events,
   which come late and with gaps.  A wrong hint costs a prefill, never an
   answer.  */
#ifndef MARJORAM_CACHE_INDEX_H
#define MARJORAM_CACHE_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct marjoram_cache_index marjoram_cache_index;

enum
{
  MARJORAM_CACHE_HOLDERS = 2
};

/* HOLDER is any number that names an upstream's incarnation.  */
struct marjoram_cache_holder
{
  uint64_t holder; /* 0 if none */
  int64_t seen;    /* when it was last known to be there */
};

/* ENTRIES is rounded up to a power of two.  */
marjoram_cache_index *marjoram_cache_index_create (size_t entries);
void marjoram_cache_index_destroy (marjoram_cache_index *index);
void marjoram_cache_index_add (marjoram_cache_index *index, int64_t now,
                               uint64_t prefix, uint64_t holder);
void marjoram_cache_index_remove (marjoram_cache_index *index, uint64_t prefix,
                                  uint64_t holder);
/* MARJORAM_CACHE_HOLDERS of them, or null if nothing fresh is known.  */
const struct marjoram_cache_holder *
marjoram_cache_index_find (const marjoram_cache_index *index, int64_t now,
                           uint64_t prefix);
size_t marjoram_cache_index_memory (const marjoram_cache_index *index);

#endif
