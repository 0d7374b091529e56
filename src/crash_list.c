#include "crash_list.h"

#include "cleanup.h"
#include "crash_part.h"
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
  CRASH_LIMIT = 3,
  /* Covers automatic retries within seconds and manual ones within
     minutes.  */
  KEEP_MS = 10 * 60 * 1000,
  /* Maximum number of entries; the oldest are evicted.  Covers 100 upstreams
     of 24 slots that crash together, with a margin.  */
  ENTRIES_MAX = 4096,
  /* Slots of the direct-mapped cache of recently answered requests.  */
  ANSWERED_SLOTS = 1024
};

struct entry
{
  char digest[MARJORAM_DIGEST_HEX_LENGTH + 1];
  char instances[CRASH_LIMIT][MARJORAM_INSTANCE_MAX];
  size_t count;
  int64_t expires;
  UT_hash_handle hh;
  TAILQ_ENTRY (entry) link; /* least recently updated first */
};

struct report_item
{
  char digest[MARJORAM_DIGEST_HEX_LENGTH + 1];
  char instance[MARJORAM_INSTANCE_MAX]; /* "" if it was answered */
  STAILQ_ENTRY (report_item) link;
};

struct marjoram_crash_list
{
  struct entry *table;
  TAILQ_HEAD (, entry) entries;
  STAILQ_HEAD (, report_item) report_items;
  size_t report_item_count;
  uint64_t answered[ANSWERED_SLOTS];
  marjoram_crash_parts *parts;
};

marjoram_crash_list *
marjoram_crash_list_create (void)
{
  marjoram_crash_list *list = marjoram_alloc (sizeof *list);

  TAILQ_INIT (&list->entries);
  STAILQ_INIT (&list->report_items);
  list->parts = marjoram_crash_parts_create ();
  return list;
}

marjoram_crash_parts *
marjoram_crash_list_parts (marjoram_crash_list *list)
{
  return list->parts;
}

/* ---- Entries.  ---- */

static struct entry *
find_entry (const marjoram_crash_list *list, const char *digest)
{
  struct entry *entry;

  HASH_FIND_STR (list->table, digest, entry);
  return entry;
}

static void
remove_entry (marjoram_crash_list *list, struct entry *entry)
{
  HASH_DEL (list->table, entry); /* NOLINT(clang-analyzer-*) */
  TAILQ_REMOVE (&list->entries, entry, link);
  free (entry);
}

static void
remove_report_item (marjoram_crash_list *list)
{
  struct report_item *report_item = STAILQ_FIRST (&list->report_items);

  STAILQ_REMOVE_HEAD (&list->report_items, link);
  list->report_item_count--;
  free (report_item);
}

void
marjoram_crash_list_destroy (marjoram_crash_list *list)
{
  if (!list)
    return;
  while (!TAILQ_EMPTY (&list->entries))
    remove_entry (list, TAILQ_FIRST (&list->entries));
  while (!STAILQ_EMPTY (&list->report_items))
    remove_report_item (list);
  marjoram_crash_parts_destroy (list->parts);
  free (list);
}

static struct entry *
add_entry (marjoram_crash_list *list, const char *digest)
{
  struct entry *entry;

  if (HASH_COUNT (list->table) >= ENTRIES_MAX)
    remove_entry (list, TAILQ_FIRST (&list->entries));
  entry = marjoram_alloc (sizeof *entry);
  snprintf (entry->digest, sizeof entry->digest, "%s", digest);
  HASH_ADD_STR (list->table, digest, entry);
  TAILQ_INSERT_TAIL (&list->entries, entry, link);
  return entry;
}

/* Counts a crash once, although several hosts or attempts may report it.
   Returns whether it was counted.  */
static bool
add_crash (marjoram_crash_list *list, int64_t now, const char *digest,
           const char *instance)
{
  struct entry *entry = find_entry (list, digest);

  if (!entry)
    entry = add_entry (list, digest);
  entry->expires = now + KEEP_MS;
  TAILQ_REMOVE (&list->entries, entry, link);
  TAILQ_INSERT_TAIL (&list->entries, entry, link);
  for (size_t i = 0; i < entry->count; i++)
    if (strcmp (entry->instances[i], instance) == 0)
      return false;
  if (entry->count == CRASH_LIMIT)
    return false;
  snprintf (entry->instances[entry->count++], MARJORAM_INSTANCE_MAX, "%s",
            instance);
  return true;
}

/* ---- Answered requests.  ---- */

/* First half of the digest as an integer.  */
static uint64_t
digest_prefix (const char *digest)
{
  char start[MARJORAM_DIGEST_HEX_LENGTH / 2 + 1] = "";

  memcpy (start, digest, sizeof start - 1);
  return strtoull (start, NULL, 16);
}

static bool
was_answered (const marjoram_crash_list *list, const char *digest)
{
  uint64_t number = digest_prefix (digest);

  return list->answered[number % ANSWERED_SLOTS] == number;
}

/* ---- Local events. ---- */

static void
add_report_item (marjoram_crash_list *list, const char *digest,
                 const char *instance)
{
  struct report_item *report_item = marjoram_alloc (sizeof *report_item);

  if (list->report_item_count == MARJORAM_CRASHES_MAX)
    remove_report_item (list);
  snprintf (report_item->digest, sizeof report_item->digest, "%s", digest);
  snprintf (report_item->instance, sizeof report_item->instance, "%s",
            instance);
  STAILQ_INSERT_TAIL (&list->report_items, report_item, link);
  list->report_item_count++;
}

void
marjoram_crash_list_add_crash (marjoram_crash_list *list, int64_t now,
                               const char *digest, const char *upstream,
                               int64_t started_at)
{
  char instance[MARJORAM_INSTANCE_MAX];

  /* Identical requests often run at several upstreams at once.  A recently
     answered one is not recorded, or a power loss of a region would block
     it.  */
  if (was_answered (list, digest))
    return;
  snprintf (instance, sizeof instance, "%s/%" PRId64, upstream, started_at);
  if (add_crash (list, now, digest, instance))
    add_report_item (list, digest, instance);
}

void
marjoram_crash_list_add_answer (marjoram_crash_list *list, const char *digest)
{
  struct entry *entry = find_entry (list, digest);
  uint64_t number = digest_prefix (digest);

  list->answered[number % ANSWERED_SLOTS] = number;
  if (!entry)
    return;
  remove_entry (list, entry);
  add_report_item (list, digest, "");
}

bool
marjoram_crash_list_is_blocked (const marjoram_crash_list *list, int64_t now,
                                const char *digest)
{
  const struct entry *entry = find_entry (list, digest);

  return entry && entry->count == CRASH_LIMIT && now < entry->expires;
}

/* ---- Reports between hosts. ---- */

static void
apply_item (marjoram_crash_list *list, int64_t now,
            const struct marjoram_crash_item *item)
{
  struct entry *entry = find_entry (list, item->digest);

  if (!item->instance || !*item->instance)
    {
      if (entry)
        remove_entry (list, entry);
    }
  else if (was_answered (list, item->digest))
    add_report_item (list, item->digest, "");
  else
    add_crash (list, now, item->digest, item->instance);
}

void
marjoram_crash_list_apply (marjoram_crash_list *list, int64_t now,
                           const struct marjoram_crash_report *received)
{
  const struct marjoram_crash_item *items = received->items.items;

  for (size_t i = 0; i < received->items.count; i++)
    if (items[i].digest
        && strlen (items[i].digest) == MARJORAM_DIGEST_HEX_LENGTH)
      apply_item (list, now, &items[i]);
  marjoram_crash_parts_apply (list->parts, now, &received->parts);
}

static void
add_item (struct marjoram_crash_report *out, const char *digest,
          const char *instance)
{
  struct marjoram_crash_item *items = out->items.items;

  if (out->items.count == MARJORAM_CRASHES_MAX)
    return;
  items[out->items.count].digest = marjoram_strdup (digest);
  items[out->items.count].instance = marjoram_strdup (instance);
  out->items.count++;
}

bool
marjoram_crash_list_take_report (marjoram_crash_list *list, int64_t now,
                                 struct marjoram_crash_report *out)
{
  const struct report_item *report_item;
  const bool has_parts
      = marjoram_crash_parts_take_report (list->parts, now, &out->parts);

  out->items.count = 0;
  out->items.items = NULL;
  if (list->report_item_count == 0)
    return has_parts;
  out->items.items = marjoram_alloc (list->report_item_count
                                     * sizeof (struct marjoram_crash_item));
  STAILQ_FOREACH (report_item, &list->report_items, link)
  add_item (out, report_item->digest, report_item->instance);
  while (!STAILQ_EMPTY (&list->report_items))
    remove_report_item (list);
  return true;
}

void
marjoram_crash_list_export (const marjoram_crash_list *list, int64_t now,
                            struct marjoram_crash_report *out)
{
  const struct entry *entry;
  size_t capacity = HASH_COUNT (list->table) * CRASH_LIMIT;

  if (capacity > MARJORAM_CRASHES_MAX)
    capacity = MARJORAM_CRASHES_MAX;
  out->items.count = 0;
  out->items.items
      = marjoram_alloc (capacity * sizeof (struct marjoram_crash_item));
  TAILQ_FOREACH (entry, &list->entries, link)
  for (size_t i = 0; i < entry->count; i++)
    add_item (out, entry->digest, entry->instances[i]);
  marjoram_crash_parts_export (list->parts, now, &out->parts);
}

void
marjoram_crash_list_expire (marjoram_crash_list *list, int64_t now)
{
  struct entry *entry;
  struct entry *next;

  for (entry = TAILQ_FIRST (&list->entries); entry && entry->expires <= now;
       entry = next)
    {
      next = TAILQ_NEXT (entry, link);
      remove_entry (list, entry);
    }
  marjoram_crash_parts_tick (list->parts, now);
}

size_t
marjoram_crash_list_count (const marjoram_crash_list *list)
{
  return HASH_COUNT (list->table) + marjoram_crash_parts_count (list->parts);
}
