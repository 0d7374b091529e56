#include "shortage.h"

#include "cleanup.h"

#include <string.h>
#include <uthash.h>

enum
{
  /* A shortage ends after this long without rejections: the time of some
     responses.  */
  SHORTAGE_END_MS = 500,
  /* Upper limit of the part of the delay that follows from the duration of the
     shortage.  Callers wait 3 s or more in total and return within a third of
     the time they have left.  */
  RETRY_MAX_MS = 4000
};

struct shortage
{
  char *service;
  int64_t since;
  int64_t last;
  UT_hash_handle hh;
};

struct marjoram_shortages
{
  struct shortage *by_service;
};

marjoram_shortages *
marjoram_shortages_create (void)
{
  return marjoram_alloc (sizeof (marjoram_shortages));
}

void
marjoram_shortages_destroy (marjoram_shortages *shortages)
{
  struct shortage *shortage;
  struct shortage *next;

  if (!shortages)
    return;
  HASH_ITER (hh, shortages->by_service, shortage, next)
  {
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, shortages->by_service, shortage);
    free (shortage->service);
    free (shortage);
  }
  free (shortages);
}

static struct shortage *
find_or_add (marjoram_shortages *shortages, int64_t now, const char *service)
{
  struct shortage *shortage;

  HASH_FIND_STR (shortages->by_service, service, shortage);
  if (shortage)
    return shortage;
  shortage = marjoram_alloc (sizeof *shortage);
  shortage->service = marjoram_strdup (service);
  shortage->since = shortage->last = now;
  HASH_ADD_KEYPTR (hh, shortages->by_service, shortage->service,
                   strlen (shortage->service), shortage);
  return shortage;
}

/* Assumes that a shortage lasts as long again as it has already.  A shorter
   delay would use up the caller's retry within the same shortage.  */
int64_t
marjoram_shortages_retry_ms (marjoram_shortages *shortages, int64_t now,
                             const char *service, int64_t at_least_ms)
{
  struct shortage *shortage = find_or_add (shortages, now, service);
  int64_t duration_ms;

  if (now > shortage->last + SHORTAGE_END_MS)
    shortage->since = now;
  shortage->last = now;
  duration_ms = now - shortage->since;
  if (duration_ms > RETRY_MAX_MS)
    duration_ms = RETRY_MAX_MS;
  return duration_ms > at_least_ms ? duration_ms : at_least_ms;
}
