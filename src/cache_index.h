/* Fixed-size, approximate index of upstreams that cache a prompt prefix, built
   from routed requests and from the upstreams' cache events.  Wrong entries
   cost an extra prefill but do not affect correctness.  */
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

/* HOLDER is an arbitrary non-zero id of an upstream instance.  */
struct marjoram_cache_holder
{
  uint64_t holder; /* 0 if none */
  int64_t seen;    /* time of the last confirmation */
};

/* ENTRIES is rounded up to a power of two.  */
marjoram_cache_index *marjoram_cache_index_create (size_t entries);
void marjoram_cache_index_destroy (marjoram_cache_index *index);
void marjoram_cache_index_add (marjoram_cache_index *index, int64_t now,
                               uint64_t prefix, uint64_t holder);
void marjoram_cache_index_remove (marjoram_cache_index *index, uint64_t prefix,
                                  uint64_t holder);
/* Returns an array of MARJORAM_CACHE_HOLDERS entries, or NULL if there is no
   recent entry.  */
const struct marjoram_cache_holder *
marjoram_cache_index_find (const marjoram_cache_index *index, int64_t now,
                           uint64_t prefix);
size_t marjoram_cache_index_memory (const marjoram_cache_index *index);

#endif
