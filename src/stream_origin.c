#include "stream_origin.h"

#include "cleanup.h"

#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

struct origin
{
  TAILQ_ENTRY (origin) link;
  struct marjoram_stream_origin began; /* owns its strings */
  int64_t ends_at;
  bool is_ambiguous; /* two origins were recorded */
  UT_hash_handle hh;
  char id[];
};

TAILQ_HEAD (origin_list, origin);

struct marjoram_stream_origins
{
  struct origin *by_id;
  struct origin_list list; /* the one that ends first is first */
};

marjoram_stream_origins *
marjoram_stream_origins_create (void)
{
  marjoram_stream_origins *origins = marjoram_alloc (sizeof *origins);

  TAILQ_INIT (&origins->list);
  return origins;
}

static void
remove_origin (marjoram_stream_origins *origins, struct origin *origin)
{
  TAILQ_REMOVE (&origins->list, origin, link);
  /* False positive in uthash macros.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, origins->by_id, origin);
  free ((char *)origin->began.service);
  free ((char *)origin->began.build);
  free (origin);
}

void
marjoram_stream_origins_destroy (marjoram_stream_origins *origins)
{
  struct origin *origin;

  if (!origins)
    return;
  while ((origin = TAILQ_FIRST (&origins->list)))
    /* False positive on TAILQ.  NOLINTNEXTLINE(clang-analyzer-*) */
    remove_origin (origins, origin);
  free (origins);
}

static struct origin *
find (const marjoram_stream_origins *origins, const char *id)
{
  struct origin *origin;

  HASH_FIND_STR (origins->by_id, id, origin);
  return origin;
}

/* Most records are kept for about as long, so that the place is near the
   end.  */
static void
insert_by_end (struct origin_list *list, struct origin *origin)
{
  struct origin *before = TAILQ_LAST (list, origin_list);

  while (before && before->ends_at > origin->ends_at)
    before = TAILQ_PREV (before, origin_list, link);
  if (before)
    TAILQ_INSERT_AFTER (list, before, origin, link);
  else
    TAILQ_INSERT_HEAD (list, origin, link);
}

static struct origin *
create_origin (marjoram_stream_origins *origins, const char *id,
               const struct marjoram_stream_origin *began)
{
  const size_t size = strlen (id) + 1;
  struct origin *origin = marjoram_alloc (sizeof *origin + size);

  memcpy (origin->id, id, size);
  origin->began.service
      = began->service ? marjoram_strdup (began->service) : NULL;
  origin->began.build = marjoram_strdup (began->build);
  HASH_ADD_KEYPTR (hh, origins->by_id, origin->id, size - 1, origin);
  return origin;
}

/* A service that is not known, as told by a host of a former release, may be
   any.  */
static bool
differs (const struct marjoram_stream_origin *one,
         const struct marjoram_stream_origin *other)
{
  return strcmp (one->build, other->build) != 0
         || (one->service && other->service
             && strcmp (one->service, other->service) != 0);
}

bool
marjoram_stream_origins_add (marjoram_stream_origins *origins, int64_t now,
                             const char *id,
                             const struct marjoram_stream_origin *began,
                             int64_t keep_ms)
{
  struct origin *origin = find (origins, id);
  const bool is_full
      = !origin && HASH_COUNT (origins->by_id) >= MARJORAM_STREAM_ORIGINS_MAX;

  if (keep_ms > MARJORAM_STREAM_ORIGIN_KEEP_MAX_MS)
    keep_ms = MARJORAM_STREAM_ORIGIN_KEEP_MAX_MS;
  if (is_full)
    remove_origin (origins, TAILQ_FIRST (&origins->list));
  if (!origin)
    origin = create_origin (origins, id, began);
  else
    {
      origin->is_ambiguous
          = origin->is_ambiguous || differs (&origin->began, began);
      TAILQ_REMOVE (&origins->list, origin, link);
    }
  if (now + keep_ms > origin->ends_at)
    origin->ends_at = now + keep_ms;
  insert_by_end (&origins->list, origin);
  return !is_full;
}

const struct marjoram_stream_origin *
marjoram_stream_origins_find (marjoram_stream_origins *origins, int64_t now,
                              const char *id)
{
  const struct origin *origin = find (origins, id);

  return origin && now < origin->ends_at && !origin->is_ambiguous
             ? &origin->began
             : NULL;
}

size_t
marjoram_stream_origins_count (const marjoram_stream_origins *origins)
{
  return HASH_COUNT (origins->by_id);
}

void
marjoram_stream_origins_expire (marjoram_stream_origins *origins, int64_t now)
{
  struct origin *origin;

  /* False positive on TAILQ.  NOLINTNEXTLINE(clang-analyzer-*) */
  while ((origin = TAILQ_FIRST (&origins->list)) && now >= origin->ends_at)
    remove_origin (origins, origin);
}
