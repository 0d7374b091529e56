#include "suspect.h"

#include "cleanup.h"
#include "state.h"

#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

enum
{
  DIGEST_MAX = 64,
  /* Maximum number of suspicions; the oldest are evicted.  */
  ENTRIES_MAX = 10000,
  /* Timeout after which a suspect no longer counts as running at another host
     that did not report its end, since that host may have died.  */
  ELSEWHERE_MS = 10 * 60 * 1000
};

static const struct marjoram_field suspect_fields[] = {
  { MARJORAM_WIRE_STRING (struct marjoram_suspect_message, digest,
                          DIGEST_MAX) },
  { MARJORAM_WIRE_UINT (struct marjoram_suspect_message, suspicion) },
  { MARJORAM_WIRE_UINT (struct marjoram_suspect_message, deaths) },
  { MARJORAM_WIRE_STRING (struct marjoram_suspect_message, upstream,
                          MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_BOOL (struct marjoram_suspect_message, running) },
  { MARJORAM_WIRE_STRING (struct marjoram_suspect_message, died,
                          MARJORAM_NAME_MAX) },
};
const struct marjoram_layout marjoram_suspect_layout
    = { "marjoram_suspect_message", sizeof (struct marjoram_suspect_message),
        suspect_fields, sizeof suspect_fields / sizeof *suspect_fields };

struct entry
{
  char digest[DIGEST_MAX + 1];
  enum marjoram_suspicion suspicion;
  uint64_t deaths;
  int64_t expires;
  char died[MARJORAM_NAME_MAX + 1]; /* upstream whose death made it suspect */
  uint64_t since;                   /* event number at which it became
                                       suspect */
  UT_hash_handle hh;
  TAILQ_ENTRY (entry) link; /* least recently updated first */
};

/* A request at one upstream, started by this host or, if it is a suspect, by
   others.  */
struct run
{
  char digest[DIGEST_MAX + 1];
  unsigned here;      /* starts by this host that have not ended */
  unsigned elsewhere; /* other hosts that run it as a suspect */
  bool reported;      /* reported to the other hosts as running */
  uint64_t since;     /* event number of its start */
  int64_t expires;    /* expiry of ELSEWHERE */
  TAILQ_ENTRY (run) link;
};

struct place
{
  char upstream[MARJORAM_NAME_MAX + 1];
  TAILQ_HEAD (, run) runs;
  UT_hash_handle hh;
};

struct marjoram_suspects
{
  int64_t keep_ms;
  struct entry *table;
  TAILQ_HEAD (, entry) list;
  struct place *places;
  size_t run_count;
  uint64_t events; /* counter of starts and new suspicions */
  marjoram_suspects_report *report;
  void *context;
};

marjoram_suspects *
marjoram_suspects_create (int64_t keep_ms)
{
  marjoram_suspects *suspects = marjoram_alloc (sizeof *suspects);

  suspects->keep_ms = keep_ms;
  TAILQ_INIT (&suspects->list);
  return suspects;
}

void
marjoram_suspects_set_report (marjoram_suspects *suspects,
                              marjoram_suspects_report *report, void *context)
{
  suspects->report = report;
  suspects->context = context;
}

static void
drop_entry (marjoram_suspects *suspects, struct entry *entry)
{
  HASH_DEL (suspects->table, entry); /* NOLINT(clang-analyzer-*) */
  TAILQ_REMOVE (&suspects->list, entry, link);
  free (entry);
}

static void
drop_run (marjoram_suspects *suspects, struct place *place, struct run *run)
{
  TAILQ_REMOVE (&place->runs, run, link);
  suspects->run_count--;
  free (run);
  if (!TAILQ_EMPTY (&place->runs))
    return;
  HASH_DEL (suspects->places, place);
  free (place);
}

/* Frees PLACE, which has been removed from the table.  */
static void
drop_runs (marjoram_suspects *suspects, struct place *place)
{
  struct run *run, *next;

  for (run = TAILQ_FIRST (&place->runs); run; run = next)
    {
      next = TAILQ_NEXT (run, link);
      suspects->run_count--;
      free (run);
    }
  free (place);
}

static void
drop_old_entries (marjoram_suspects *suspects, int64_t now)
{
  struct entry *entry, *next;

  for (entry = TAILQ_FIRST (&suspects->list); entry && entry->expires <= now;
       entry = next)
    {
      next = TAILQ_NEXT (entry, link);
      drop_entry (suspects, entry);
    }
}

void
marjoram_suspects_destroy (marjoram_suspects *suspects)
{
  struct place *place, *next;

  if (!suspects)
    return;
  for (place = suspects->places; place; place = next)
    {
      next = place->hh.next;
      HASH_DEL (suspects->places, place);
      drop_runs (suspects, place);
    }
  drop_old_entries (suspects, INT64_MAX);
  free (suspects);
}

static void
copy_text (char *copy, const char *text, size_t size)
{
  size_t length = strnlen (text, size - 1);

  memcpy (copy, text, length);
  copy[length] = '\0';
}

static struct entry *
find_entry (const marjoram_suspects *suspects, const char *digest)
{
  struct entry *entry;

  HASH_FIND_STR (suspects->table, digest, entry);
  return entry;
}

/* Finds or creates the entry of DIGEST and makes it the most recent one.  */
static struct entry *
touch_entry (marjoram_suspects *suspects, int64_t now, const char *digest)
{
  struct entry *entry = find_entry (suspects, digest);

  if (entry)
    TAILQ_REMOVE (&suspects->list, entry, link);
  else
    {
      if (HASH_COUNT (suspects->table) >= ENTRIES_MAX)
        drop_entry (suspects, TAILQ_FIRST (&suspects->list));
      entry = marjoram_alloc (sizeof *entry);
      copy_text (entry->digest, digest, sizeof entry->digest);
      HASH_ADD_STR (suspects->table, digest, entry);
    }
  entry->expires = now + suspects->keep_ms;
  TAILQ_INSERT_TAIL (&suspects->list, entry, link);
  return entry;
}

enum marjoram_suspicion
marjoram_suspects_get (const marjoram_suspects *suspects, int64_t now,
                       const char *digest)
{
  const struct entry *entry = find_entry (suspects, digest);

  if (!entry || entry->expires <= now)
    return MARJORAM_SUSPICION_NONE;
  return entry->suspicion;
}

static struct place *
find_place (const marjoram_suspects *suspects, const char *upstream)
{
  struct place *place;

  HASH_FIND_STR (suspects->places, upstream, place);
  return place;
}

static struct run *
find_run (const struct place *place, const char *digest)
{
  struct run *run;

  TAILQ_FOREACH (run, &place->runs, link)
  if (strcmp (run->digest, digest) == 0)
    return run;
  return NULL;
}

static struct run *
make_run (marjoram_suspects *suspects, const char *upstream,
          const char *digest)
{
  struct place *place = find_place (suspects, upstream);
  struct run *run;

  if (!place)
    {
      place = marjoram_alloc (sizeof *place);
      copy_text (place->upstream, upstream, sizeof place->upstream);
      TAILQ_INIT (&place->runs);
      HASH_ADD_STR (suspects->places, upstream, place);
    }
  run = find_run (place, digest);
  if (run)
    return run;
  run = marjoram_alloc (sizeof *run);
  copy_text (run->digest, digest, sizeof run->digest);
  run->since = ++suspects->events;
  TAILQ_INSERT_TAIL (&place->runs, run, link);
  suspects->run_count++;
  return run;
}

/* Reports the start and the end of a suspect's run exactly once each, since
   the other hosts count them.  */
static void
report_run (marjoram_suspects *suspects, int64_t now, const char *upstream,
            struct run *run)
{
  const struct entry *entry = find_entry (suspects, run->digest);
  struct marjoram_suspect_message message = { .digest = run->digest,
                                              .upstream = (char *)upstream,
                                              .running = run->here > 0 };

  if (entry && entry->expires > now)
    {
      message.suspicion = entry->suspicion;
      message.deaths = entry->deaths;
      message.died = (char *)entry->died;
    }
  if (run->reported == message.running
      || (message.running && message.suspicion == MARJORAM_SUSPICION_NONE))
    return;
  run->reported = message.running;
  if (suspects->report)
    suspects->report (suspects->context, &message);
}

/* Reports where else a request that just became suspect by the death of DIED
   is running.  */
static void
report_runs (marjoram_suspects *suspects, int64_t now, const char *digest,
             const char *died)
{
  const struct place *place;

  for (place = suspects->places; place; place = place->hh.next)
    {
      struct run *run = find_run (place, digest);

      if (run && run->here > 0 && strcmp (place->upstream, died) != 0)
        report_run (suspects, now, place->upstream, run);
    }
}

void
marjoram_suspects_started (marjoram_suspects *suspects, int64_t now,
                           const char *upstream, const char *digest)
{
  struct run *run = make_run (suspects, upstream, digest);

  run->here++;
  report_run (suspects, now, upstream, run);
}

void
marjoram_suspects_ended (marjoram_suspects *suspects, int64_t now,
                         const char *upstream, const char *digest)
{
  struct place *place = find_place (suspects, upstream);
  struct run *run = place ? find_run (place, digest) : NULL;

  if (!run || run->here == 0)
    return;
  run->here--;
  if (run->here > 0)
    return;
  report_run (suspects, now, upstream, run);
  if (run->elsewhere == 0)
    drop_run (suspects, place, run);
}

/* A conviction is not cleared, since a request need not crash at every
   run.  */
static bool
clear (marjoram_suspects *suspects, int64_t now, const char *digest)
{
  struct entry *entry = find_entry (suspects, digest);

  if (!entry
      || (entry->suspicion == MARJORAM_SUSPICION_CONVICTED
          && entry->expires > now))
    return false;
  drop_entry (suspects, entry);
  return true;
}

/* The other hosts are informed, since otherwise their reports of new runs
   would make the request suspect here again.  */
void
marjoram_suspects_cleared (marjoram_suspects *suspects, int64_t now,
                           const char *digest)
{
  struct marjoram_suspect_message message = { .digest = (char *)digest };

  if (clear (suspects, now, digest) && suspects->report)
    suspects->report (suspects->context, &message);
}

static bool
runs_now (const struct run *run, int64_t now)
{
  return run->here > 0 || (run->elsewhere > 0 && run->expires > now);
}

/* Guards against a third crash: a suspect running at two upstreams at once
   could crash both.  */
static bool
runs_somewhere_else (const marjoram_suspects *suspects, int64_t now,
                     const char *upstream, const char *digest)
{
  const struct place *place;

  for (place = suspects->places; place; place = place->hh.next)
    {
      const struct run *run = find_run (place, digest);

      if (run && runs_now (run, now)
          && strcmp (place->upstream, upstream) != 0)
        return true;
    }
  return false;
}

bool
marjoram_suspects_may_start (const marjoram_suspects *suspects, int64_t now,
                             const char *upstream, const char *digest)
{
  const struct place *place = find_place (suspects, upstream);
  const struct run *run;

  switch (marjoram_suspects_get (suspects, now, digest))
    {
    case MARJORAM_SUSPICION_NONE:
      return true;
    case MARJORAM_SUSPICION_CONVICTED:
      return false;
    case MARJORAM_SUSPICION_SUSPECT:
      break;
    }
  if (runs_somewhere_else (suspects, now, upstream, digest))
    return false;
  if (!place)
    return true;
  TAILQ_FOREACH (run, &place->runs, link)
  if (strcmp (run->digest, digest) != 0 && runs_now (run, now)
      && marjoram_suspects_get (suspects, now, run->digest)
             != MARJORAM_SUSPICION_NONE)
    return false;
  return true;
}

/* Whether RUN was suspect before the death of PLACE.  Hosts detect a death at
   different times, so a suspicion that stems from another host's report of the
   same death does not count.  */
static bool
was_suspect (const marjoram_suspects *suspects, int64_t now,
             const struct place *place, const struct run *run)
{
  const struct entry *entry = find_entry (suspects, run->digest);

  if (!entry || entry->expires <= now || !runs_now (run, now))
    return false;
  return run->since > entry->since
         || strcmp (entry->died, place->upstream) != 0;
}

static int
count_suspects (const marjoram_suspects *suspects, int64_t now,
                const struct place *place)
{
  const struct run *run;
  int count = 0;

  TAILQ_FOREACH (run, &place->runs, link)
  if (was_suspect (suspects, now, place, run))
    count++;
  return count;
}

static void
become_suspect (marjoram_suspects *suspects, struct entry *entry,
                const char *died)
{
  entry->suspicion = MARJORAM_SUSPICION_SUSPECT;
  entry->deaths = 0;
  entry->since = ++suspects->events;
  copy_text (entry->died, died, sizeof entry->died);
}

/* Convicts a request only if it was the only suspect at the upstream before
   its death.  If two hosts started one suspect each at the same time, neither
   is convicted.  */
static void
suspect_run (marjoram_suspects *suspects, int64_t now,
             const struct place *place, const struct run *run, bool alone,
             marjoram_suspects_report *report, void *context)
{
  enum marjoram_suspicion before
      = marjoram_suspects_get (suspects, now, run->digest);
  bool suspect = was_suspect (suspects, now, place, run);
  struct entry *entry = touch_entry (suspects, now, run->digest);
  struct marjoram_suspect_message message
      = { .digest = entry->digest, .died = (char *)place->upstream };

  if (before == MARJORAM_SUSPICION_NONE)
    become_suspect (suspects, entry, place->upstream);
  if (before == MARJORAM_SUSPICION_NONE || suspect)
    entry->deaths++;
  if (suspect && alone)
    entry->suspicion = MARJORAM_SUSPICION_CONVICTED;
  message.suspicion = entry->suspicion;
  message.deaths = entry->deaths;
  if (report && entry->suspicion != before)
    report (context, &message);
  if (before == MARJORAM_SUSPICION_NONE)
    report_runs (suspects, now, entry->digest, entry->died);
}

void
marjoram_suspects_died (marjoram_suspects *suspects, int64_t now,
                        const char *upstream, marjoram_suspects_report *report,
                        void *context)
{
  struct place *place = find_place (suspects, upstream);
  const struct run *run;
  bool alone;

  if (!place)
    return;
  HASH_DEL (suspects->places, place);
  alone = count_suspects (suspects, now, place) == 1;
  TAILQ_FOREACH (run, &place->runs, link)
  if (run->here > 0)
    suspect_run (suspects, now, place, run, alone, report, context);
  drop_runs (suspects, place);
}

static void
learn_run (marjoram_suspects *suspects, int64_t now,
           const struct marjoram_suspect_message *message)
{
  struct place *place = find_place (suspects, message->upstream);
  struct run *run = place ? find_run (place, message->digest) : NULL;

  if (message->running)
    {
      run = make_run (suspects, message->upstream, message->digest);
      run->elsewhere++;
      run->expires = now + ELSEWHERE_MS;
      return;
    }
  if (!run || run->elsewhere == 0)
    return;
  run->elsewhere--;
  if (run->here == 0 && run->elsewhere == 0)
    drop_run (suspects, place, run);
}

static void
learn_suspicion (marjoram_suspects *suspects, int64_t now,
                 const struct marjoram_suspect_message *message)
{
  enum marjoram_suspicion before
      = marjoram_suspects_get (suspects, now, message->digest);
  struct entry *entry = touch_entry (suspects, now, message->digest);

  if (before == MARJORAM_SUSPICION_NONE)
    become_suspect (suspects, entry, message->died ? message->died : "");
  if (entry->suspicion < message->suspicion)
    entry->suspicion = message->suspicion;
  if (entry->deaths < message->deaths)
    entry->deaths = message->deaths;
  if (before == MARJORAM_SUSPICION_NONE)
    report_runs (suspects, now, entry->digest, entry->died);
}

void
marjoram_suspects_learn (marjoram_suspects *suspects, int64_t now,
                         const struct marjoram_suspect_message *message)
{
  if (!message->digest || message->suspicion > MARJORAM_SUSPICION_CONVICTED)
    return;
  if (message->upstream)
    learn_run (suspects, now, message);
  if (message->suspicion != MARJORAM_SUSPICION_NONE)
    learn_suspicion (suspects, now, message);
  else if (!message->upstream)
    clear (suspects, now, message->digest);
}

static void
expire_runs (marjoram_suspects *suspects, struct place *place, int64_t now)
{
  struct run *run = TAILQ_FIRST (&place->runs);

  while (run)
    {
      struct run *next = TAILQ_NEXT (run, link);

      if (!runs_now (run, now))
        drop_run (suspects, place, run);
      run = next;
    }
}

void
marjoram_suspects_tick (marjoram_suspects *suspects, int64_t now)
{
  struct place *place = suspects->places;

  drop_old_entries (suspects, now);
  while (place)
    {
      struct place *next = place->hh.next;

      expire_runs (suspects, place, now);
      place = next;
    }
}

size_t
marjoram_suspects_count (const marjoram_suspects *suspects)
{
  return HASH_COUNT (suspects->table) + suspects->run_count;
}
