#include "repeat_sums.h"

#include "cleanup.h"

#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

enum
{
  /* Window of the repeat budget, after which a report has no effect.  */
  REPORT_VALID_MS = 10000
};

struct sum
{
  char *service;
  uint64_t requests;
  uint64_t repeats;
  UT_hash_handle hh;
};

struct host_use
{
  struct sum *sum;
  uint64_t requests;
  uint64_t repeats;
};

struct reporter
{
  TAILQ_ENTRY (reporter) link;
  char *host;
  int64_t updated_at;
  struct host_use *uses;
  size_t count;
  size_t capacity;
  UT_hash_handle hh;
};

struct marjoram_repeat_sums_list
{
  struct sum *sums;
  struct reporter *by_host;
  TAILQ_HEAD (, reporter) by_age; /* least recently updated first */
};

marjoram_repeat_sums_list *
marjoram_repeat_sums_list_create (void)
{
  marjoram_repeat_sums_list *list = marjoram_alloc (sizeof *list);

  TAILQ_INIT (&list->by_age);
  return list;
}

static void
subtract_report (struct reporter *reporter)
{
  for (size_t i = 0; i < reporter->count; i++)
    {
      struct host_use *use = &reporter->uses[i];

      use->sum->requests -= use->requests;
      use->sum->repeats -= use->repeats;
    }
  reporter->count = 0;
}

static void
remove_reporter (marjoram_repeat_sums_list *list, struct reporter *reporter)
{
  subtract_report (reporter);
  /* False positive in list macros.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, list->by_host, reporter);
  TAILQ_REMOVE (&list->by_age, reporter, link);
  free (reporter->uses);
  free (reporter->host);
  free (reporter);
}

void
marjoram_repeat_sums_list_destroy (marjoram_repeat_sums_list *list)
{
  struct sum *sum;
  struct sum *next;

  if (!list)
    return;
  while (!TAILQ_EMPTY (&list->by_age))
    /* False positive in list macros.  NOLINTNEXTLINE(clang-analyzer-*) */
    remove_reporter (list, TAILQ_FIRST (&list->by_age));
  HASH_ITER (hh, list->sums, sum, next)
  {
    /* False positive in list macros.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, list->sums, sum);
    free (sum->service);
    free (sum);
  }
  free (list);
}

static struct sum *
find_sum (marjoram_repeat_sums_list *list, const char *service)
{
  struct sum *sum;

  HASH_FIND_STR (list->sums, service, sum);
  if (sum)
    return sum;
  sum = marjoram_alloc (sizeof *sum);
  sum->service = marjoram_strdup (service);
  HASH_ADD_KEYPTR (hh, list->sums, sum->service, strlen (sum->service), sum);
  return sum;
}

static struct reporter *
find_reporter (marjoram_repeat_sums_list *list, const char *host)
{
  struct reporter *reporter;

  HASH_FIND_STR (list->by_host, host, reporter);
  if (reporter)
    {
      TAILQ_REMOVE (&list->by_age, reporter, link);
      TAILQ_INSERT_TAIL (&list->by_age, reporter, link);
      return reporter;
    }
  reporter = marjoram_alloc (sizeof *reporter);
  reporter->host = marjoram_strdup (host);
  HASH_ADD_KEYPTR (hh, list->by_host, reporter->host, strlen (reporter->host),
                   reporter);
  TAILQ_INSERT_TAIL (&list->by_age, reporter, link);
  return reporter;
}

static void
reserve_uses (struct reporter *reporter, size_t count)
{
  if (count <= reporter->capacity)
    return;
  free (reporter->uses);
  reporter->uses = marjoram_alloc (count * sizeof *reporter->uses);
  reporter->capacity = count;
}

static void
add_use (struct reporter *reporter, struct sum *sum,
         const struct marjoram_repeat_use *reported)
{
  sum->requests += reported->requests;
  sum->repeats += reported->repeats;
  reporter->uses[reporter->count++]
      = (struct host_use){ sum, reported->requests, reported->repeats };
}

static void
expire_reporters (marjoram_repeat_sums_list *list, int64_t now)
{
  struct reporter *oldest;

  while ((oldest = TAILQ_FIRST (&list->by_age))
         /* False positive in list macros.  NOLINTNEXTLINE(clang-analyzer-*) */
         && now - oldest->updated_at > REPORT_VALID_MS)
    remove_reporter (list, oldest);
}

void
marjoram_repeat_sums_list_update (marjoram_repeat_sums_list *list, int64_t now,
                                  const char *host,
                                  const struct marjoram_array *uses)
{
  const struct marjoram_repeat_use *items = uses->items;
  struct reporter *reporter = find_reporter (list, host);

  reporter->updated_at = now;
  subtract_report (reporter);
  reserve_uses (reporter, uses->count);
  for (size_t i = 0; i < uses->count; i++)
    if (items[i].service)
      add_use (reporter, find_sum (list, items[i].service), &items[i]);
  expire_reporters (list, now);
}

void
marjoram_repeat_sums_list_query (const marjoram_repeat_sums_list *list,
                                 const struct marjoram_array *uses,
                                 struct marjoram_repeat_sums *sums)
{
  const struct marjoram_repeat_use *asked = uses->items;
  struct marjoram_repeat_use *items = sums->items.items;

  sums->hosts = HASH_COUNT (list->by_host);
  sums->items.count = 0;
  for (size_t i = 0;
       i < uses->count && sums->items.count < MARJORAM_REPEAT_USES_MAX; i++)
    {
      const struct sum *sum = NULL;

      if (asked[i].wants_sums && asked[i].service)
        HASH_FIND_STR (list->sums, asked[i].service, sum);
      if (sum)
        items[sums->items.count++]
            = (struct marjoram_repeat_use){ asked[i].service, sum->requests,
                                            sum->repeats, false };
    }
}
