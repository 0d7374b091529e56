#include "engine_cache.h"

#include "cleanup.h"

#include <sys/queue.h>
#include <uthash.h>

struct cached_part
{
  TAILQ_ENTRY (cached_part) link;
  uint64_t part;
  int64_t tokens;
  UT_hash_handle hh;
};

struct marjoram_engine_cache
{
  TAILQ_HEAD (cached_part_list, cached_part)
  by_use; /* most recently used first */
  struct cached_part *by_part;
  int64_t tokens;
};

marjoram_engine_cache *
marjoram_engine_cache_create (void)
{
  marjoram_engine_cache *cache = marjoram_alloc (sizeof *cache);

  TAILQ_INIT (&cache->by_use);
  return cache;
}

static struct cached_part *
find (const marjoram_engine_cache *cache, uint64_t part)
{
  struct cached_part *cached_part;

  HASH_FIND (hh, cache->by_part, &part, sizeof part, cached_part);
  return cached_part;
}

static void
evict (marjoram_engine_cache *cache, struct cached_part *cached_part)
{
  cache->tokens -= cached_part->tokens;
  TAILQ_REMOVE (&cache->by_use, cached_part, link);
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, cache->by_part, cached_part);
  free (cached_part);
}

void
marjoram_engine_cache_clear (marjoram_engine_cache *cache)
{
  while (!TAILQ_EMPTY (&cache->by_use))
    evict (cache, TAILQ_FIRST (&cache->by_use));
}

void
marjoram_engine_cache_destroy (marjoram_engine_cache *cache)
{
  if (!cache)
    return;
  marjoram_engine_cache_clear (cache);
  free (cache);
}

void
marjoram_engine_cache_use (marjoram_engine_cache *cache, uint64_t part,
                           int64_t tokens, int64_t capacity)
{
  struct cached_part *cached_part = find (cache, part);

  if (cached_part)
    TAILQ_REMOVE (&cache->by_use, cached_part, link);
  else
    {
      cached_part = marjoram_alloc (sizeof *cached_part);
      cached_part->part = part;
      HASH_ADD (hh, cache->by_part, part, sizeof cached_part->part,
                cached_part);
    }
  cache->tokens += tokens - cached_part->tokens;
  cached_part->tokens = tokens;
  TAILQ_INSERT_HEAD (&cache->by_use, cached_part, link);
  while (cache->tokens > capacity && !TAILQ_EMPTY (&cache->by_use))
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    evict (cache, TAILQ_LAST (&cache->by_use, cached_part_list));
}

int64_t
marjoram_engine_cache_hit_tokens (const marjoram_engine_cache *cache,
                                  const struct marjoram_prompt_part *parts,
                                  size_t count)
{
  int64_t tokens = 0;

  for (size_t i = 0; i < count; i++)
    {
      const struct cached_part *cached_part = find (cache, parts[i].id);

      if (!cached_part)
        break;
      tokens += parts[i].tokens;
    }
  return tokens;
}
