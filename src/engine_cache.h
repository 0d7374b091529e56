/* Model of one inference engine's prefix cache: the prompt parts sent to it,
   with least-recently-used eviction.  */
#ifndef MARJORAM_ENGINE_CACHE_H
#define MARJORAM_ENGINE_CACHE_H

#include "dialect.h"

typedef struct marjoram_engine_cache marjoram_engine_cache;

marjoram_engine_cache *marjoram_engine_cache_create (void);
void marjoram_engine_cache_destroy (marjoram_engine_cache *cache);
/* Records that the engine prefills a part of TOKENS, and evicts parts beyond
   CAPACITY tokens.  */
void marjoram_engine_cache_use (marjoram_engine_cache *cache, uint64_t part,
                                int64_t tokens, int64_t capacity);
/* Number of cached tokens in the longest cached prefix of the prompt.  */
int64_t
marjoram_engine_cache_hit_tokens (const marjoram_engine_cache *cache,
                                  const struct marjoram_prompt_part *parts,
                                  size_t count);
/* Empties the model after a restart of the engine.  */
void marjoram_engine_cache_clear (marjoram_engine_cache *cache);

#endif
