/* Model of one inference engine's prefix cache: the prompt parts sent to it,
   with least-recently-used eviction.  */
#ifndef MARJORAM_ENGINE_MEMORY_H
#define MARJORAM_ENGINE_MEMORY_H

#include "dialect.h"

typedef struct marjoram_engine_memory marjoram_engine_memory;

marjoram_engine_memory *marjoram_engine_memory_create (void);
void marjoram_engine_memory_destroy (marjoram_engine_memory *cache);
/* Records that the engine prefills a part of TOKENS, and evicts parts beyond
   CAPACITY tokens.  */
void marjoram_engine_memory_use (marjoram_engine_memory *cache, uint64_t part,
                                 int64_t tokens, int64_t capacity);
/* Number of cached tokens in the longest cached prefix of the prompt.  */
int64_t marjoram_engine_memory_kept (const marjoram_engine_memory *cache,
                                     const struct marjoram_prompt_part *parts,
                                     size_t count);
/* Empties the model after a restart of the engine.  */
void marjoram_engine_memory_clear (marjoram_engine_memory *cache);

#endif
