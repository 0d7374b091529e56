#include "crash_list.h"

#include "cleanup.h"
#include "digest.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

enum
{
  /* Crashes after which a request is refused.  Above two, since a power loss
     of a region can hit a harmless request and its retry.  */
  CONVICTING = 3,
  /* Covers retries by the caller within seconds and by hand within
     minutes.  */
  KEEP_MS = 10 * 60 * 1000,
  /* Maximum number of entries; the oldest are evicted.  Covers 100 upstreams
     of 24 slots that crash together, with a margin.  */
  ENTRIES_MAX = 4096,
  /* Slots of the direct-mapped cache of recently answered requests.  */
  ANSWERED = 1024
};

struct entry
{
  char digest[MARJORAM_DIGEST_TEXT + 1];
  char lives[CONVICTING][MARJORAM_LIFE_MAX];
  size_t count;
  int64_t expires;
  UT_hash_handle hh;
  TAILQ_ENTRY (entry) link; /* least recently updated first */
};

/* One item of the next report.  */
struct line
{
  char digest[MARJORAM_DIGEST_TEXT + 1];
  char life[MARJORAM_LIFE_MAX]; /* "" if it was answered */
  STAILQ_ENTRY (line) link;
};

struct marjoram_crash_list
{
  struct entry *table;
  TAILQ_HEAD (, entry) entries;
  STAILQ_HEAD (, line) lines;
  size_t line_count;
  uint64_t answered[ANSWERED];
};

marjoram_crash_list *
marjoram_crash_list_create (void)
{
  marjoram_crash_list *list = marjoram_alloc (sizeof *list);

  TAILQ_INIT (&list->entries);
  STAILQ_INIT (&list->lines);
  return list;
}

/* ---- Entries.  ---- */

static struct entry *
find (const marjoram_crash_list *list, const char *digest)
{
  struct entry *entry;

  HASH_FIND_STR (list->table, digest, entry);
  return entry;
}

static void
drop (marjoram_crash_list *list, struct entry *entry)
{
  HASH_DEL (list->table, entry); /* NOLINT(clang-analyzer-*) */
  TAILQ_REMOVE (&list->entries, entry, link);
  free (entry);
}

static void
drop_line (marjoram_crash_list *list)
{
  struct line *line = STAILQ_FIRST (&list->lines);

  STAILQ_REMOVE_HEAD (&list->lines, link);
  list->line_count--;
  free (line);
}

void
marjoram_crash_list_destroy (marjoram_crash_list *list)
{
  if (!list)
    return;
  while (!TAILQ_EMPTY (&list->entries))
    drop (list, TAILQ_FIRST (&list->entries));
  while (!STAILQ_EMPTY (&list->lines))
    drop_line (list);
  free (list);
}

static struct entry *
make (marjoram_crash_list *list, const char *digest)
{
  struct entry *entry;

  if (HASH_COUNT (list->table) >= ENTRIES_MAX)
    drop (list, TAILQ_FIRST (&list->entries));
  entry = marjoram_alloc (sizeof *entry);
  snprintf (entry->digest, sizeof entry->digest, "%s", digest);
  HASH_ADD_STR (list->table, digest, entry);
  TAILQ_INSERT_TAIL (&list->entries, entry, link);
  return entry;
}

/* Counts a crash once, although several hosts or attempts may report it.  */
static bool
add_death (marjoram_crash_list *list, int64_t now, const char *digest,
           const char *life)
{
  struct entry *entry = find (list, digest);

  if (!entry)
    entry = make (list, digest);
  entry->expires = now + KEEP_MS;
  TAILQ_REMOVE (&list->entries, entry, link);
  TAILQ_INSERT_TAIL (&list->entries, entry, link);
  for (size_t i = 0; i < entry->count; i++)
    if (strcmp (entry->lives[i], life) == 0)
      return false;
  if (entry->count == CONVICTING)
    return false;
  snprintf (entry->lives[entry->count++], MARJORAM_LIFE_MAX, "%s", life);
  return true;
}

/* ---- Answered requests.  ---- */

/* First half of the digest as an integer.  */
static uint64_t
number_of (const char *digest)
{
  char start[MARJORAM_DIGEST_TEXT / 2 + 1] = "";

  memcpy (start, digest, sizeof start - 1);
  return strtoull (start, NULL, 16);
}

static bool
was_answered (const marjoram_crash_list *list, const char *digest)
{
  uint64_t number = number_of (digest);

  return list->answered[number % ANSWERED] == number;
}

/* ---- Local events. ---- */

static void
report (marjoram_crash_list *list, const char *digest, const char *life)
{
  struct line *line = marjoram_alloc (sizeof *line);

  if (list->line_count == MARJORAM_CRASHES_MAX)
    drop_line (list);
  snprintf (line->digest, sizeof line->digest, "%s", digest);
  snprintf (line->life, sizeof line->life, "%s", life);
  STAILQ_INSERT_TAIL (&list->lines, line, link);
  list->line_count++;
}

void
marjoram_crash_list_died (marjoram_crash_list *list, int64_t now,
                          const char *digest, const char *upstream,
                          int64_t born)
{
  char life[MARJORAM_LIFE_MAX];

  /* Identical requests often run at several upstreams at once.  A recently
     answered one is not recorded, or a power loss of a region would block
     it.  */
  if (was_answered (list, digest))
    return;
  snprintf (life, sizeof life, "%s/%" PRId64, upstream, born);
  if (add_death (list, now, digest, life))
    report (list, digest, life);
}

void
marjoram_crash_list_answered (marjoram_crash_list *list, const char *digest)
{
  struct entry *entry = find (list, digest);
  uint64_t number = number_of (digest);

  list->answered[number % ANSWERED] = number;
  if (!entry)
    return;
  drop (list, entry);
  report (list, digest, "");
}

bool
marjoram_crash_list_convicts (const marjoram_crash_list *list, int64_t now,
                              const char *digest)
{
  const struct entry *entry = find (list, digest);

  return entry && entry->count == CONVICTING && now < entry->expires;
}

/* ---- Reports between hosts. ---- */

static void
hear (marjoram_crash_list *list, int64_t now,
      const struct marjoram_crash_item *item)
{
  struct entry *entry = find (list, item->digest);

  if (!item->life || !*item->life)
    {
      if (entry)
        drop (list, entry);
    }
  else if (was_answered (list, item->digest))
    report (list, item->digest, "");
  else
    add_death (list, now, item->digest, item->life);
}

void
marjoram_crash_list_hear (marjoram_crash_list *list, int64_t now,
                          const struct marjoram_crash_report *heard)
{
  const struct marjoram_crash_item *items = heard->items.items;

  for (size_t i = 0; i < heard->items.count; i++)
    if (items[i].digest && strlen (items[i].digest) == MARJORAM_DIGEST_TEXT)
      hear (list, now, &items[i]);
}

static void
add_item (struct marjoram_crash_report *told, const char *digest,
          const char *life)
{
  struct marjoram_crash_item *items = told->items.items;

  if (told->items.count == MARJORAM_CRASHES_MAX)
    return;
  items[told->items.count].digest = marjoram_strdup (digest);
  items[told->items.count].life = marjoram_strdup (life);
  told->items.count++;
}

bool
marjoram_crash_list_take_report (marjoram_crash_list *list,
                                 struct marjoram_crash_report *told)
{
  const struct line *line;

  told->items.count = 0;
  told->items.items = NULL;
  if (list->line_count == 0)
    return false;
  told->items.items = marjoram_alloc (list->line_count
                                      * sizeof (struct marjoram_crash_item));
  STAILQ_FOREACH (line, &list->lines, link)
  add_item (told, line->digest, line->life);
  while (!STAILQ_EMPTY (&list->lines))
    drop_line (list);
  return true;
}

void
marjoram_crash_list_all (const marjoram_crash_list *list,
                         struct marjoram_crash_report *told)
{
  const struct entry *entry;
  size_t room = HASH_COUNT (list->table) * CONVICTING;

  if (room > MARJORAM_CRASHES_MAX)
    room = MARJORAM_CRASHES_MAX;
  told->items.count = 0;
  told->items.items
      = marjoram_alloc (room * sizeof (struct marjoram_crash_item));
  TAILQ_FOREACH (entry, &list->entries, link)
  for (size_t i = 0; i < entry->count; i++)
    add_item (told, entry->digest, entry->lives[i]);
}

void
marjoram_crash_list_tick (marjoram_crash_list *list, int64_t now)
{
  struct entry *entry;
  struct entry *next;

  for (entry = TAILQ_FIRST (&list->entries); entry && entry->expires <= now;
       entry = next)
    {
      next = TAILQ_NEXT (entry, link);
      drop (list, entry);
    }
}

size_t
marjoram_crash_list_count (const marjoram_crash_list *list)
{
  return HASH_COUNT (list->table);
}
