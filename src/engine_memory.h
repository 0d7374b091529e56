/* A model of what one model engine keeps of the prompts that were sent to it:
   parts of prompts, the least recently used of which yield to new ones.  */
#ifndef MARJORAM_ENGINE_MEMORY_H
#define MARJORAM_ENGINE_MEMORY_H

#include "dialect.h"

typedef struct marjoram_engine_memory marjoram_engine_memory;

marjoram_engine_memory *marjoram_engine_memory_create (void);
void marjoram_engine_memory_destroy (marjoram_engine_memory *memory);
/* The engine has read, or will read, a part of TOKENS; CAPACITY tokens may be
   kept in all.  */
void marjoram_engine_memory_use (marjoram_engine_memory *memory, uint64_t part,
                                 int64_t tokens, int64_t capacity);
/* Tokens of the prompt that need not be read: of the parts from the first one
   on, up to the first that is not kept.  */
int64_t marjoram_engine_memory_kept (const marjoram_engine_memory *memory,
                                     const struct marjoram_prompt_part *parts,
                                     size_t count);
/* The engine has started anew.  */
void marjoram_engine_memory_clear (marjoram_engine_memory *memory);

#endif
