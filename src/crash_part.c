#include "crash_part.h"

#include "cleanup.h"
#include "dialect.h"
#include "event_log.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <uthash.h>
#include <xxhash.h>

enum
{
  /* Crashes in a row from which a part is convicted although another explains
     the crashes as well; a further crash mostly tells them apart.  */
  RIVAL_ROW_LIMIT = 6,
  /* The request of the next crash in a row was sent this long after the former
     crash.  Covers the time in which reports of crashes at the same moment
     arrive.  */
  CRASH_GAP_MS = 200,
  /* From the last crash until a part is judged.  Covers reports of the same
     crash by other hosts, which may name rivals.  */
  JUDGE_MS = 150,
  /* A crash so soon after an answer is not held against a part.  */
  ANSWERED_MS = 1000,
  /* From the last crash or refused request.  */
  KEEP_MS = 10 * 60 * 1000,
  /* A convicted part that is still sent is reported so often, as hosts that
     are not sent it would forget it.  */
  REFRESH_MS = 60 * 1000,
  /* From a conviction until one request is let through as a trial, and the
     longest time between trials, each being twice the last.  */
  TRIAL_MS = 60 * 1000,
  TRIAL_MAX_MS = 60 * 60 * 1000,
  /* Hosts take a trial at times spread over TRIAL_SPREAD_MS, or over
     TRIAL_HOST_MS for each host, so that mostly one does.  */
  TRIAL_SPREAD_MS = 10 * 1000,
  TRIAL_HOST_MS = 50,
  /* Parts convicted at a time.  Where more seem to crash upstreams, the fault
     is hardly theirs.  */
  CONVICTED_MAX = 16,
  /* Crashes that are remembered; the oldest yields.  */
  CRASHES_MAX = 128,
  WORD_BITS = 64,
  /* Suspects and convicted parts.  */
  SUSPECTS_MAX = 4096,
  /* Slots of the direct-mapped cache of parts answered lately.  */
  ANSWERED_SLOTS = 4096,
  /* Hosts that clear the same part report it spread over this time each.  */
  CLEAR_SPREAD_MS = 2,
  CLEAR_SPREAD_MAX_MS = 2000
};

/* Crashes that convict a part: in a row, and in all.  Where such requests come
   many at once, so do the crashes.  */
static const struct
{
  size_t row;
  uint64_t crashes;
} limits[] = { { 4, 0 }, { 3, 8 }, { 2, 12 } };

struct suspect
{
  uint64_t key;
  uint64_t id;
  char service[MARJORAM_ID_MAX];
  struct marjoram_part_crash row[RIVAL_ROW_LIMIT]; /* of crashes */
  size_t row_length;
  uint64_t present[CRASHES_MAX / WORD_BITS]; /* bits of all its crashes */
  uint64_t requests;   /* that were present, at all hosts */
  uint64_t unreported; /* of these */
  bool convicted;
  int64_t trial_at;
  int64_t trial_pause_ms; /* until the next one */
  int64_t judge_at;
  int64_t expires;
  int64_t reported_at; /* all its crashes, by any host */
  UT_hash_handle hh;
  TAILQ_ENTRY (suspect) link; /* least recently updated first */
};

struct crash
{
  uint64_t instance; /* 0 for an unused slot */
  int64_t at;
  bool explained; /* by a convicted part */
};

struct answered
{
  uint64_t key;
  int64_t at;
};

struct report_item
{
  enum marjoram_part_item_kind kind;
  uint64_t key;
  uint64_t id;
  bool convicted;
  char service[MARJORAM_ID_MAX];
  struct marjoram_part_crash crash; /* or the time of the answer */
  int64_t due;
  STAILQ_ENTRY (report_item) link;
};

STAILQ_HEAD (report_items, report_item);

struct marjoram_crash_parts
{
  struct suspect *table;
  TAILQ_HEAD (suspects, suspect) suspects;
  struct report_items items;
  size_t item_count;
  struct answered answered[ANSWERED_SLOTS];
  struct crash crashes[CRASHES_MAX];
  size_t next_crash;
  size_t convicted_count;
  uint64_t convictions;
  uint64_t host; /* hash of its name; 0: a keeper */
  int64_t clear_spread_ms;
  int64_t trial_spread_ms;
  size_t dropped_items;
  size_t evicted_suspects;
};

uint64_t
marjoram_crash_instance (const char *upstream, int64_t started_at)
{
  return XXH3_64bits_withSeed (upstream, strlen (upstream),
                               (uint64_t)started_at);
}

static uint64_t
key_of (const char *service, uint64_t id)
{
  return XXH3_64bits_withSeed (service, strlen (service), id);
}

marjoram_crash_parts *
marjoram_crash_parts_create (void)
{
  marjoram_crash_parts *list = marjoram_alloc (sizeof *list);

  TAILQ_INIT (&list->suspects);
  STAILQ_INIT (&list->items);
  for (size_t i = 0; i < ANSWERED_SLOTS; i++)
    list->answered[i].at = INT64_MIN / 2;
  return list;
}

void
marjoram_crash_parts_set_hosts (marjoram_crash_parts *list, const char *host,
                                size_t hosts)
{
  list->host = XXH3_64bits (host, strlen (host));
  list->clear_spread_ms = hosts < CLEAR_SPREAD_MAX_MS / CLEAR_SPREAD_MS
                              ? (int64_t)hosts * CLEAR_SPREAD_MS
                              : CLEAR_SPREAD_MAX_MS;
  list->trial_spread_ms = hosts > TRIAL_SPREAD_MS / TRIAL_HOST_MS
                              ? (int64_t)hosts * TRIAL_HOST_MS
                              : TRIAL_SPREAD_MS;
}

/* A time within SPREAD_MS that differs from host to host.  */
static int64_t
own_delay_ms (const marjoram_crash_parts *list, uint64_t key,
              int64_t spread_ms)
{
  return (int64_t)((list->host ^ key) % (uint64_t)(spread_ms + 1));
}

/* ---- Suspects.  ---- */

static struct suspect *
find_suspect (const marjoram_crash_parts *list, uint64_t key)
{
  struct suspect *suspect;

  HASH_FIND (hh, list->table, &key, sizeof key, suspect);
  return suspect;
}

static void
remove_suspect (marjoram_crash_parts *list, struct suspect *suspect)
{
  list->convicted_count -= suspect->convicted;
  HASH_DEL (list->table, suspect); /* NOLINT(clang-analyzer-*) */
  TAILQ_REMOVE (&list->suspects, suspect, link);
  free (suspect);
}

/* Makes room: of those that one crash counts against the least recently
   updated one yields, as one crash brings many suspects.  */
static void
evict_suspect (marjoram_crash_parts *list)
{
  struct suspect *suspect;

  TAILQ_FOREACH (suspect, &list->suspects, link)
  if (!suspect->convicted && suspect->row_length <= 1)
    break;
  remove_suspect (list, suspect ? suspect : TAILQ_FIRST (&list->suspects));
  list->evicted_suspects++;
}

static struct suspect *
add_suspect (marjoram_crash_parts *list, uint64_t key, uint64_t id,
             const char *service)
{
  struct suspect *suspect;

  if (HASH_COUNT (list->table) >= SUSPECTS_MAX)
    evict_suspect (list);
  suspect = marjoram_alloc (sizeof *suspect);
  suspect->key = key;
  suspect->id = id;
  snprintf (suspect->service, sizeof suspect->service, "%s", service);
  HASH_ADD (hh, list->table, key, sizeof suspect->key, suspect);
  TAILQ_INSERT_TAIL (&list->suspects, suspect, link);
  return suspect;
}

static void
touch_suspect (marjoram_crash_parts *list, int64_t now,
               struct suspect *suspect)
{
  suspect->expires = now + KEEP_MS;
  TAILQ_REMOVE (&list->suspects, suspect, link);
  TAILQ_INSERT_TAIL (&list->suspects, suspect, link);
}

static void
acquit (marjoram_crash_parts *list, struct suspect *suspect)
{
  if (!suspect->convicted)
    return;
  suspect->convicted = false;
  list->convicted_count--;
  marjoram_event (MARJORAM_EVENT_ATTEMPT,
                  "acquitted_part=%" PRIx64 " service=%s", suspect->id,
                  suspect->service);
}

/* ---- Crashes at which a suspect was present.  ---- */

static bool
was_at (const struct suspect *suspect, size_t crash)
{
  return suspect->present[crash / WORD_BITS] >> (crash % WORD_BITS) & 1;
}

static void
set_present (struct suspect *suspect, size_t crash, bool present)
{
  const uint64_t bit = UINT64_C (1) << (crash % WORD_BITS);

  if (present)
    suspect->present[crash / WORD_BITS] |= bit;
  else
    suspect->present[crash / WORD_BITS] &= ~bit;
}

static uint64_t
crash_count (const struct suspect *suspect)
{
  uint64_t count = 0;

  for (size_t i = 0; i < CRASHES_MAX / WORD_BITS; i++)
    count += (uint64_t)__builtin_popcountll (suspect->present[i]);
  return count;
}

static void
remove_from_row (struct suspect *suspect, uint64_t instance)
{
  size_t kept = 0;

  for (size_t i = 0; i < suspect->row_length; i++)
    if (suspect->row[i].instance != instance)
      suspect->row[kept++] = suspect->row[i];
  suspect->row_length = kept;
}

static bool
is_enough (const struct suspect *suspect)
{
  for (size_t i = 0; i < sizeof limits / sizeof *limits; i++)
    if (suspect->row_length >= limits[i].row
        && crash_count (suspect) >= limits[i].crashes)
      return true;
  return false;
}

/* To be called after crashes were dropped: acquits or removes SUSPECT if too
   few or none are left.  */
static void
review (marjoram_crash_parts *list, struct suspect *suspect)
{
  if (!is_enough (suspect))
    acquit (list, suspect);
  if (suspect->row_length == 0 && crash_count (suspect) == 0)
    remove_suspect (list, suspect);
}

/* CRASH no longer counts against SUSPECT.  */
static void
drop_crash (marjoram_crash_parts *list, struct suspect *suspect, size_t crash)
{
  if (!was_at (suspect, crash))
    return;
  set_present (suspect, crash, false);
  remove_from_row (suspect, list->crashes[crash].instance);
  review (list, suspect);
}

/* What crashed before TIME no longer counts against SUSPECT.  */
static void
drop_crashes_before (marjoram_crash_parts *list, struct suspect *suspect,
                     int64_t time)
{
  size_t kept = 0;

  for (size_t i = 0; i < CRASHES_MAX; i++)
    if (list->crashes[i].at < time)
      set_present (suspect, i, false);
  for (size_t i = 0; i < suspect->row_length; i++)
    if (suspect->row[i].crashed_at >= time)
      suspect->row[kept++] = suspect->row[i];
  suspect->row_length = kept;
  review (list, suspect);
}

/* CRASH no longer counts against anybody, or against nobody but the
   convicted.  */
static void
drop_for_all (marjoram_crash_parts *list, size_t crash, bool spare_convicted)
{
  struct suspect *suspect;
  struct suspect *next;

  for (suspect = TAILQ_FIRST (&list->suspects); suspect; suspect = next)
    {
      next = TAILQ_NEXT (suspect, link);
      if (!spare_convicted || !suspect->convicted)
        drop_crash (list, suspect, crash);
    }
}

/* Slot of the crash of INSTANCE; CRASHES_MAX if it is not known.  */
static size_t
find_crash (const marjoram_crash_parts *list, uint64_t instance)
{
  size_t crash = 0;

  while (crash < CRASHES_MAX && list->crashes[crash].instance != instance)
    crash++;
  return crash;
}

static size_t
add_crash (marjoram_crash_parts *list, uint64_t instance, int64_t at)
{
  size_t crash = find_crash (list, instance);
  struct suspect *suspect;

  if (crash < CRASHES_MAX)
    return crash;
  crash = list->next_crash++ % CRASHES_MAX;
  drop_for_all (list, crash, true);
  TAILQ_FOREACH (suspect, &list->suspects, link)
  set_present (suspect, crash, false);
  list->crashes[crash] = (struct crash){ .instance = instance, .at = at };
  return crash;
}

/* ---- Items to be reported.  ---- */

static void
remove_item (marjoram_crash_parts *list, struct report_item *item)
{
  STAILQ_REMOVE (&list->items, item, report_item, link);
  list->item_count--;
  free (item);
}

static struct report_item *
add_item (marjoram_crash_parts *list, int64_t now,
          enum marjoram_part_item_kind kind)
{
  struct report_item *item = marjoram_alloc (sizeof *item);

  if (list->item_count == MARJORAM_CRASHES_MAX)
    {
      remove_item (list, STAILQ_FIRST (&list->items));
      list->dropped_items++;
    }
  item->kind = kind;
  item->due = now;
  STAILQ_INSERT_TAIL (&list->items, item, link);
  list->item_count++;
  return item;
}

static void
report_crash (marjoram_crash_parts *list, int64_t now,
              const struct suspect *suspect,
              const struct marjoram_part_crash *crash)
{
  struct report_item *item = add_item (list, now, MARJORAM_PART_CRASHED);

  item->key = suspect->key;
  item->id = suspect->id;
  item->convicted = suspect->convicted;
  item->crash = *crash;
  snprintf (item->service, sizeof item->service, "%s", suspect->service);
}

static struct report_item *
find_answer_item (const marjoram_crash_parts *list, uint64_t key)
{
  struct report_item *item;

  STAILQ_FOREACH (item, &list->items, link)
  if (item->kind == MARJORAM_PART_ANSWERED && item->key == key)
    return item;
  return NULL;
}

/* Other hosts suspect the part, and many hosts may know better: the first
   report spares the others theirs.  */
static void
report_answer (marjoram_crash_parts *list, int64_t now, uint64_t key,
               uint64_t id, const char *service, int64_t answered_at)
{
  struct report_item *item;

  if (!list->host)
    return;
  item = find_answer_item (list, key);
  if (!item)
    {
      item = add_item (list, now, MARJORAM_PART_ANSWERED);
      item->due = now + own_delay_ms (list, key, list->clear_spread_ms);
    }
  item->key = key;
  item->id = id;
  item->crash.crashed_at = answered_at;
  snprintf (item->service, sizeof item->service, "%s", service);
}

void
marjoram_crash_parts_destroy (marjoram_crash_parts *list)
{
  if (!list)
    return;
  while (!TAILQ_EMPTY (&list->suspects))
    remove_suspect (list, TAILQ_FIRST (&list->suspects));
  while (!STAILQ_EMPTY (&list->items))
    remove_item (list, STAILQ_FIRST (&list->items));
  free (list);
}

/* ---- Answers.  ---- */

/* When the part was last answered; a time long ago if that is not known.  */
static int64_t
answered_at (const marjoram_crash_parts *list, uint64_t key)
{
  const struct answered *slot = &list->answered[key % ANSWERED_SLOTS];

  return slot->key == key ? slot->at : INT64_MIN / 2;
}

/* Records an answer at time AT.  Returns whether the part was a suspect.  */
static bool
note_answer (marjoram_crash_parts *list, uint64_t key, int64_t at)
{
  struct answered *slot = &list->answered[key % ANSWERED_SLOTS];
  struct suspect *suspect = find_suspect (list, key);

  if (slot->key != key || slot->at < at)
    *slot = (struct answered){ key, at };
  if (suspect)
    drop_crashes_before (list, suspect, at + ANSWERED_MS);
  return suspect != NULL;
}

void
marjoram_crash_parts_add_answer (marjoram_crash_parts *list, int64_t now,
                                 const struct marjoram_shared_parts *parts)
{
  for (size_t i = 0; i < parts->count; i++)
    {
      const uint64_t key = key_of (parts->service, parts->ids[i]);

      if (note_answer (list, key, now))
        report_answer (list, now, key, parts->ids[i], parts->service, now);
    }
}

/* ---- Crashes.  ---- */

/* CRASH was caused by a convicted part, so not by others.  */
static void
explain (marjoram_crash_parts *list, size_t crash)
{
  if (list->crashes[crash].explained)
    return;
  list->crashes[crash].explained = true;
  drop_for_all (list, crash, true);
}

/* Whether the request that was at CRASH was sent after the former crash.  */
static bool
lengthens_row (const struct suspect *suspect,
               const struct marjoram_part_crash *crash)
{
  return suspect->row_length < RIVAL_ROW_LIMIT
         && (suspect->row_length == 0
             || crash->sent_at
                    >= suspect->row[suspect->row_length - 1].crashed_at
                           + CRASH_GAP_MS);
}

/* Adds a crash to the suspicion against a part; stores whether it was not
   known.  Returns the suspect.  */
static struct suspect *
add_presence (marjoram_crash_parts *list, int64_t now, uint64_t id,
              const char *service, const struct marjoram_part_crash *seen,
              bool *is_new)
{
  const uint64_t key = key_of (service, id);
  const size_t crash = add_crash (list, seen->instance, seen->crashed_at);
  struct suspect *suspect = find_suspect (list, key);

  if (!suspect)
    suspect = add_suspect (list, key, id, service);
  touch_suspect (list, now, suspect);
  *is_new = !was_at (suspect, crash);
  if (!*is_new)
    return suspect;
  set_present (suspect, crash, true);
  if (suspect->convicted)
    explain (list, crash);
  if (lengthens_row (suspect, seen))
    {
      suspect->row[suspect->row_length++] = *seen;
      suspect->judge_at = seen->crashed_at + JUDGE_MS;
    }
  return suspect;
}

static bool
is_convicted (const marjoram_crash_parts *list, const char *service,
              uint64_t id)
{
  const struct suspect *suspect = find_suspect (list, key_of (service, id));

  return suspect && suspect->convicted;
}

/* Whether a convicted part is known to have caused the crash.  */
static bool
is_explained (const marjoram_crash_parts *list,
              const struct marjoram_shared_parts *parts, uint64_t instance)
{
  const size_t crash = find_crash (list, instance);

  if (crash < CRASHES_MAX && list->crashes[crash].explained)
    return true;
  for (size_t i = 0; i < parts->count; i++)
    if (is_convicted (list, parts->service, parts->ids[i]))
      return true;
  return false;
}

void
marjoram_crash_parts_add_crash (marjoram_crash_parts *list, int64_t now,
                                const struct marjoram_shared_parts *parts,
                                const struct marjoram_part_crash *seen)
{
  const bool explained = is_explained (list, parts, seen->instance);

  for (size_t i = 0; i < parts->count; i++)
    {
      const uint64_t key = key_of (parts->service, parts->ids[i]);
      struct suspect *suspect;
      bool is_new;

      if ((explained && !is_convicted (list, parts->service, parts->ids[i]))
          || seen->crashed_at < answered_at (list, key) + ANSWERED_MS)
        continue;
      suspect = add_presence (list, now, parts->ids[i], parts->service, seen,
                              &is_new);
      suspect->requests++;
      suspect->unreported++;
      if (is_new)
        report_crash (list, now, suspect, seen);
    }
}

static void
drop_instance (marjoram_crash_parts *list, uint64_t instance)
{
  const size_t crash = find_crash (list, instance);

  if (crash < CRASHES_MAX)
    drop_for_all (list, crash, false);
}

void
marjoram_crash_parts_add_alive (marjoram_crash_parts *list, int64_t now,
                                uint64_t instance)
{
  drop_instance (list, instance);
  add_item (list, now, MARJORAM_PART_ALIVE)->crash.instance = instance;
}

/* ---- Convictions.  ---- */

static bool
is_ripe (const struct suspect *suspect, int64_t now)
{
  return !suspect->convicted && now >= suspect->judge_at
         && is_enough (suspect);
}

/* How much better A explains the crashes than B does: positive, negative, or 0
   if that can't be told.  A part at fault is at most of the crashes, and
   hardly more of its requests are than there are crashes; of a sound part that
   many requests share, many are.  */
static int
compare_suspects (const struct suspect *a, const struct suspect *b)
{
  const uint64_t count_a = crash_count (a);
  const uint64_t count_b = crash_count (b);
  /* Requests for each crash, times the product of both counts.  */
  const uint64_t rate_a = a->requests * count_b;
  const uint64_t rate_b = b->requests * count_a;
  const bool is_near
      = count_a * 4 >= count_b * 3 && count_b * 4 >= count_a * 3;

  if (is_near && rate_a * 2 <= rate_b)
    return 1;
  if (is_near && rate_b * 2 <= rate_a)
    return -1;
  if (count_a != count_b)
    return count_a > count_b ? 1 : -1;
  if (a->requests != b->requests)
    return a->requests < b->requests ? 1 : -1;
  return 0;
}

/* Whether OTHER was at half of the crashes of SUSPECT, or more.  */
static bool
is_beside (const struct suspect *other, const struct suspect *suspect)
{
  uint64_t count = 0;

  for (size_t i = 0; i < CRASHES_MAX / WORD_BITS; i++)
    count += (uint64_t)__builtin_popcountll (suspect->present[i]
                                             & other->present[i]);
  return count * 2 >= crash_count (suspect);
}

/* Whether another part explains the crashes of SUSPECT as well or better.  */
static bool
has_rival (const marjoram_crash_parts *list, const struct suspect *suspect)
{
  const bool is_last = suspect->row_length == RIVAL_ROW_LIMIT;
  const struct suspect *other;

  TAILQ_FOREACH (other, &list->suspects, link)
  if (other != suspect && !other->convicted && is_beside (other, suspect)
      && compare_suspects (other, suspect) >= is_last)
    return true;
  return false;
}

/* Stores suspects to be convicted, as many as may be.  Returns how many.  */
static size_t
find_culprits (const marjoram_crash_parts *list, int64_t now,
               struct suspect *culprits[CONVICTED_MAX])
{
  struct suspect *suspect;
  size_t count = 0;

  TAILQ_FOREACH (suspect, &list->suspects, link)
  if (list->convicted_count + count < CONVICTED_MAX && is_ripe (suspect, now)
      && !has_rival (list, suspect))
    culprits[count++] = suspect;
  return count;
}

static void
convict (marjoram_crash_parts *list, int64_t now, struct suspect *suspect)
{
  suspect->convicted = true;
  suspect->trial_pause_ms = TRIAL_MS;
  suspect->trial_at = now + TRIAL_MS;
  list->convicted_count++;
  list->convictions++;
  marjoram_event (MARJORAM_EVENT_ATTEMPT,
                  "convicted_part=%" PRIx64 " service=%s crashes=%" PRIu64
                  " requests=%" PRIu64,
                  suspect->id, suspect->service, crash_count (suspect),
                  suspect->requests);
}

static void
explain_crashes_of (marjoram_crash_parts *list, const struct suspect *suspect)
{
  for (size_t i = 0; i < CRASHES_MAX; i++)
    if (was_at (suspect, i))
      explain (list, i);
}

/* Parts that can't be told apart are convicted together, before they explain
   one another's crashes.  */
static void
judge (marjoram_crash_parts *list, int64_t now)
{
  struct suspect *culprits[CONVICTED_MAX];
  const size_t count = find_culprits (list, now, culprits);

  for (size_t i = 0; i < count; i++)
    convict (list, now, culprits[i]);
  for (size_t i = 0; i < count; i++)
    explain_crashes_of (list, culprits[i]);
}

void
marjoram_crash_parts_tick (marjoram_crash_parts *list, int64_t now)
{
  struct suspect *suspect;
  struct suspect *next;

  judge (list, now);
  for (suspect = TAILQ_FIRST (&list->suspects);
       suspect && suspect->expires <= now; suspect = next)
    {
      next = TAILQ_NEXT (suspect, link);
      remove_suspect (list, suspect);
    }
}

static void
refresh (marjoram_crash_parts *list, int64_t now, struct suspect *suspect)
{
  touch_suspect (list, now, suspect);
  if (now - suspect->reported_at < REFRESH_MS)
    return;
  suspect->reported_at = now;
  for (size_t i = 0; i < suspect->row_length; i++)
    report_crash (list, now, suspect, &suspect->row[i]);
}

static struct suspect *
find_convicted (const marjoram_crash_parts *list,
                const struct marjoram_shared_parts *parts, int64_t now)
{
  for (size_t i = 0; i < parts->count && list->convicted_count > 0; i++)
    {
      struct suspect *suspect
          = find_suspect (list, key_of (parts->service, parts->ids[i]));

      if (suspect && suspect->convicted && now < suspect->expires)
        return suspect;
    }
  return NULL;
}

bool
marjoram_crash_parts_is_blocked (marjoram_crash_parts *list, int64_t now,
                                 const struct marjoram_shared_parts *parts,
                                 uint64_t *id)
{
  struct suspect *suspect = find_convicted (list, parts, now);

  if (!suspect)
    return false;
  refresh (list, now, suspect);
  *id = suspect->id;
  return now < suspect->trial_at;
}

static void
begin_trial (struct suspect *suspect, int64_t now)
{
  if (suspect->trial_pause_ms < TRIAL_MAX_MS)
    suspect->trial_pause_ms *= 2;
  suspect->trial_at = now + suspect->trial_pause_ms;
}

bool
marjoram_crash_parts_take_trial (marjoram_crash_parts *list, int64_t now,
                                 const struct marjoram_shared_parts *parts)
{
  struct suspect *suspect = find_convicted (list, parts, now);
  struct report_item *item;

  if (!suspect)
    return true;
  if (now < suspect->trial_at
                + own_delay_ms (list, suspect->key, list->trial_spread_ms))
    return false;
  begin_trial (suspect, now);
  item = add_item (list, now, MARJORAM_PART_TRIED);
  item->id = suspect->id;
  snprintf (item->service, sizeof item->service, "%s", suspect->service);
  marjoram_event (MARJORAM_EVENT_ATTEMPT,
                  "tried_part=%" PRIx64 " service=%s next_ms=%" PRId64,
                  suspect->id, suspect->service, suspect->trial_pause_ms);
  return true;
}

uint64_t
marjoram_crash_parts_convictions (const marjoram_crash_parts *list)
{
  return list->convictions;
}

/* ---- Reports between hosts.  ---- */

static void
apply_crash (marjoram_crash_parts *list, int64_t now,
             const struct marjoram_part_item *item)
{
  const struct marjoram_part_crash seen
      = { item->instance, now - item->sent_ago_ms, now - item->ago_ms };
  const uint64_t key = key_of (item->service, item->id);
  const struct marjoram_shared_parts part = { item->service, &item->id, 1 };
  const int64_t answer = answered_at (list, key);
  struct suspect *suspect;
  bool is_new;

  if (seen.crashed_at < answer + ANSWERED_MS)
    {
      report_answer (list, now, key, item->id, item->service, answer);
      return;
    }
  if (is_explained (list, &part, item->instance)
      && !is_convicted (list, item->service, item->id))
    return;
  suspect = add_presence (list, now, item->id, item->service, &seen, &is_new);
  suspect->reported_at = now;
  suspect->requests += item->requests;
  if (item->convicted && !suspect->convicted
      && list->convicted_count < CONVICTED_MAX)
    {
      convict (list, now, suspect);
      explain_crashes_of (list, suspect);
    }
}

static void
apply_trial (marjoram_crash_parts *list, int64_t now,
             const struct marjoram_part_item *item)
{
  struct suspect *suspect
      = find_suspect (list, key_of (item->service, item->id));

  if (suspect && suspect->convicted
      && suspect->trial_at < now + suspect->trial_pause_ms)
    begin_trial (suspect, now);
}

static void
apply_answer (marjoram_crash_parts *list, int64_t now,
              const struct marjoram_part_item *item)
{
  const uint64_t key = key_of (item->service, item->id);
  struct report_item *own = find_answer_item (list, key);

  note_answer (list, key, now - item->ago_ms);
  if (own)
    remove_item (list, own);
}

static void
apply_item (marjoram_crash_parts *list, int64_t now,
            const struct marjoram_part_item *item)
{
  if (item->kind == MARJORAM_PART_ALIVE)
    drop_instance (list, item->instance);
  else if (item->service && item->kind == MARJORAM_PART_ANSWERED)
    apply_answer (list, now, item);
  else if (item->service && item->kind == MARJORAM_PART_CRASHED)
    apply_crash (list, now, item);
  else if (item->service && item->kind == MARJORAM_PART_TRIED)
    apply_trial (list, now, item);
}

void
marjoram_crash_parts_apply (marjoram_crash_parts *list, int64_t now,
                            const struct marjoram_array *received)
{
  const struct marjoram_part_item *items = received->items;

  for (size_t i = 0; i < received->count; i++)
    if (items[i].ago_ms >= 0 && items[i].sent_ago_ms >= 0)
      apply_item (list, now, &items[i]);
  judge (list, now);
}

static void
log_losses (marjoram_crash_parts *list)
{
  if (list->dropped_items == 0 && list->evicted_suspects == 0)
    return;
  marjoram_event (MARJORAM_EVENT_ATTEMPT,
                  "part_reports_dropped=%zu suspect_parts_evicted=%zu",
                  list->dropped_items, list->evicted_suspects);
  list->dropped_items = 0;
  list->evicted_suspects = 0;
}

static uint64_t
take_unreported (const marjoram_crash_parts *list, uint64_t key)
{
  struct suspect *suspect = find_suspect (list, key);
  const uint64_t count = suspect ? suspect->unreported : 0;

  if (suspect)
    suspect->unreported = 0;
  return count;
}

bool
marjoram_crash_parts_take_report (marjoram_crash_parts *list, int64_t now,
                                  struct marjoram_array *out)
{
  struct marjoram_part_item *items;
  struct report_item *item;
  struct report_item *next;

  log_losses (list);
  out->count = 0;
  out->items = NULL;
  if (list->item_count == 0)
    return false;
  items = marjoram_alloc (list->item_count * sizeof *items);
  for (item = STAILQ_FIRST (&list->items); item; item = next)
    {
      next = STAILQ_NEXT (item, link);
      if (now < item->due)
        continue;
      items[out->count++] = (struct marjoram_part_item){
        .kind = item->kind,
        .id = item->id,
        .service = marjoram_strdup (item->service),
        .instance = item->crash.instance,
        .requests = take_unreported (list, item->key),
        .convicted = item->convicted,
        .sent_ago_ms = now - item->crash.sent_at,
        .ago_ms = now - item->crash.crashed_at
      };
      remove_item (list, item);
    }
  if (out->count == 0)
    {
      free (items);
      return false;
    }
  out->items = items;
  return true;
}

void
marjoram_crash_parts_export (const marjoram_crash_parts *list, int64_t now,
                             struct marjoram_array *out)
{
  struct marjoram_part_item *items;
  const struct suspect *suspect;
  size_t capacity = HASH_COUNT (list->table) * RIVAL_ROW_LIMIT;

  if (capacity > MARJORAM_CRASHES_MAX)
    capacity = MARJORAM_CRASHES_MAX;
  items = marjoram_alloc (capacity * sizeof *items);
  out->count = 0;
  /* What was updated last is worth most if not all fits.  */
  TAILQ_FOREACH_REVERSE (suspect, &list->suspects, suspects, link)
  for (size_t i = 0; i < suspect->row_length && out->count < capacity; i++)
    items[out->count++] = (struct marjoram_part_item){
      .kind = MARJORAM_PART_CRASHED,
      .id = suspect->id,
      .service = marjoram_strdup (suspect->service),
      .instance = suspect->row[i].instance,
      .requests = i == 0 ? suspect->requests : 0,
      .convicted = suspect->convicted,
      .sent_ago_ms = now - suspect->row[i].sent_at,
      .ago_ms = now - suspect->row[i].crashed_at
    };
  out->items = items;
}

size_t
marjoram_crash_parts_count (const marjoram_crash_parts *list)
{
  return HASH_COUNT (list->table);
}
