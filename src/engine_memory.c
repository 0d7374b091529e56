#include "engine_memory.h"

#include "cleanup.h"

#include <sys/queue.h>
#include <uthash.h>

struct kept
{
  TAILQ_ENTRY (kept) link;
  uint64_t part;
  int64_t tokens;
  UT_hash_handle hh;
};

struct marjoram_engine_memory
{
  TAILQ_HEAD (kept_list, kept) by_use; /* most recently used first */
  struct kept *by_part;
  int64_t tokens;
};

marjoram_engine_memory *
marjoram_engine_memory_create (void)
{
  marjoram_engine_memory *memory = marjoram_alloc (sizeof *memory);

  TAILQ_INIT (&memory->by_use);
  return memory;
}

static struct kept *
find (const marjoram_engine_memory *memory, uint64_t part)
{
  struct kept *kept;

  HASH_FIND (hh, memory->by_part, &part, sizeof part, kept);
  return kept;
}

static void
drop (marjoram_engine_memory *memory, struct kept *kept)
{
  memory->tokens -= kept->tokens;
  TAILQ_REMOVE (&memory->by_use, kept, link);
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, memory->by_part, kept);
  free (kept);
}

void
marjoram_engine_memory_clear (marjoram_engine_memory *memory)
{
  while (!TAILQ_EMPTY (&memory->by_use))
    drop (memory, TAILQ_FIRST (&memory->by_use));
}

void
marjoram_engine_memory_destroy (marjoram_engine_memory *memory)
{
  if (!memory)
    return;
  marjoram_engine_memory_clear (memory);
  free (memory);
}

void
marjoram_engine_memory_use (marjoram_engine_memory *memory, uint64_t part,
                            int64_t tokens, int64_t capacity)
{
  struct kept *kept = find (memory, part);

  if (kept)
    TAILQ_REMOVE (&memory->by_use, kept, link);
  else
    {
      kept = marjoram_alloc (sizeof *kept);
      kept->part = part;
      HASH_ADD (hh, memory->by_part, part, sizeof kept->part, kept);
    }
  memory->tokens += tokens - kept->tokens;
  kept->tokens = tokens;
  TAILQ_INSERT_HEAD (&memory->by_use, kept, link);
  while (memory->tokens > capacity && !TAILQ_EMPTY (&memory->by_use))
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    drop (memory, TAILQ_LAST (&memory->by_use, kept_list));
}

int64_t
marjoram_engine_memory_kept (const marjoram_engine_memory *memory,
                             const struct marjoram_prompt_part *parts,
                             size_t count)
{
  int64_t tokens = 0;

  for (size_t i = 0; i < count; i++)
    {
      const struct kept *kept = find (memory, parts[i].id);

      if (!kept)
        break;
      tokens += parts[i].tokens;
    }
  return tokens;
}
