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
  REMOTE_RUN_MAX_MS = 10 * 60 * 1000
};

static const struct marjoram_field suspect_fields[] = {
  { MARJORAM_WIRE_STRING (struct marjoram_suspect_message, digest,
                          DIGEST_MAX) },
  { MARJORAM_WIRE_UINT (struct marjoram_suspect_message, suspicion) },
  { MARJORAM_WIRE_UINT (struct marjoram_suspect_message, crashes) },
  { MARJORAM_WIRE_STRING (struct marjoram_suspect_message, upstream,
                          MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_BOOL (struct marjoram_suspect_message, running) },
  { MARJORAM_WIRE_STRING (struct marjoram_suspect_message, crashed_upstream,
                          MARJORAM_NAME_MAX) },
};
const struct marjoram_layout marjoram_suspect_layout
    = { "marjoram_suspect_message", sizeof (struct marjoram_suspect_message),
        suspect_fields, sizeof suspect_fields / sizeof *suspect_fields };

struct entry
{
  char digest[DIGEST_MAX + 1];
  enum marjoram_suspicion suspicion;
  uint64_t crashes;
  int64_t expires;
  char crashed_upstream[MARJORAM_NAME_MAX
                        + 1]; /* upstream whose death made it suspect */
  uint64_t since;             /* event number at which it became
                                 suspect */
  UT_hash_handle hh;
  TAILQ_ENTRY (entry) link; /* least recently updated first */
};

/* A request at one upstream, started by this host or, if it is a suspect, by
   others.  */
struct run
{
  char digest[DIGEST_MAX + 1];
  unsigned local_runs;  /* starts by this host that have not ended */
  unsigned remote_runs; /* other hosts that run it as a suspect */
  bool reported;        /* reported to the other hosts as running */
  uint64_t since;       /* event number of its start */
  int64_t expires;      /* expiry of REMOTE_RUNS */
  TAILQ_ENTRY (run) link;
};

struct upstream_entry
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
  struct upstream_entry *upstreams;
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
drop_run (marjoram_suspects *suspects, struct upstream_entry *upstream_entry,
          struct run *run)
{
  TAILQ_REMOVE (&upstream_entry->runs, run, link);
  suspects->run_count--;
  free (run);
  if (!TAILQ_EMPTY (&upstream_entry->runs))
    return;
  HASH_DEL (suspects->upstreams, upstream_entry);
  free (upstream_entry);
}

/* Frees the runs and UPSTREAM_ENTRY, which has been removed from the
   table.  */
static void
free_upstream_entry (marjoram_suspects *suspects,
                     struct upstream_entry *upstream_entry)
{
  struct run *run, *next;

  for (run = TAILQ_FIRST (&upstream_entry->runs); run; run = next)
    {
      next = TAILQ_NEXT (run, link);
      suspects->run_count--;
      free (run);
    }
  free (upstream_entry);
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
  struct upstream_entry *upstream_entry, *next;

  if (!suspects)
    return;
  for (upstream_entry = suspects->upstreams; upstream_entry;
       upstream_entry = next)
    {
      next = upstream_entry->hh.next;
      HASH_DEL (suspects->upstreams, upstream_entry);
      free_upstream_entry (suspects, upstream_entry);
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

static struct upstream_entry *
find_upstream (const marjoram_suspects *suspects, const char *upstream)
{
  struct upstream_entry *upstream_entry;

  HASH_FIND_STR (suspects->upstreams, upstream, upstream_entry);
  return upstream_entry;
}

static struct run *
find_run (const struct upstream_entry *upstream_entry, const char *digest)
{
  struct run *run;

  TAILQ_FOREACH (run, &upstream_entry->runs, link)
  if (strcmp (run->digest, digest) == 0)
    return run;
  return NULL;
}

static struct run *
make_run (marjoram_suspects *suspects, const char *upstream,
          const char *digest)
{
  struct upstream_entry *upstream_entry = find_upstream (suspects, upstream);
  struct run *run;

  if (!upstream_entry)
    {
      upstream_entry = marjoram_alloc (sizeof *upstream_entry);
      copy_text (upstream_entry->upstream, upstream,
                 sizeof upstream_entry->upstream);
      TAILQ_INIT (&upstream_entry->runs);
      HASH_ADD_STR (suspects->upstreams, upstream, upstream_entry);
    }
  run = find_run (upstream_entry, digest);
  if (run)
    return run;
  run = marjoram_alloc (sizeof *run);
  copy_text (run->digest, digest, sizeof run->digest);
  run->since = ++suspects->events;
  TAILQ_INSERT_TAIL (&upstream_entry->runs, run, link);
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
                                              .running = run->local_runs > 0 };

  if (entry && entry->expires > now)
    {
      message.suspicion = entry->suspicion;
      message.crashes = entry->crashes;
      message.crashed_upstream = (char *)entry->crashed_upstream;
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
             const char *crashed_upstream)
{
  const struct upstream_entry *upstream_entry;

  for (upstream_entry = suspects->upstreams; upstream_entry;
       upstream_entry = upstream_entry->hh.next)
    {
      struct run *run = find_run (upstream_entry, digest);

      if (run && run->local_runs > 0
          && strcmp (upstream_entry->upstream, crashed_upstream) != 0)
        report_run (suspects, now, upstream_entry->upstream, run);
    }
}

void
marjoram_suspects_started (marjoram_suspects *suspects, int64_t now,
                           const char *upstream, const char *digest)
{
  struct run *run = make_run (suspects, upstream, digest);

  run->local_runs++;
  report_run (suspects, now, upstream, run);
}

void
marjoram_suspects_ended (marjoram_suspects *suspects, int64_t now,
                         const char *upstream, const char *digest)
{
  struct upstream_entry *upstream_entry = find_upstream (suspects, upstream);
  struct run *run = upstream_entry ? find_run (upstream_entry, digest) : NULL;

  if (!run || run->local_runs == 0)
    return;
  run->local_runs--;
  if (run->local_runs > 0)
    return;
  report_run (suspects, now, upstream, run);
  if (run->remote_runs == 0)
    drop_run (suspects, upstream_entry, run);
}

/* A conviction is not cleared, since a convicted request need not crash in
   every run.  */
static bool
clear_entry (marjoram_suspects *suspects, int64_t now, const char *digest)
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

  if (clear_entry (suspects, now, digest) && suspects->report)
    suspects->report (suspects->context, &message);
}

static bool
is_running (const struct run *run, int64_t now)
{
  return run->local_runs > 0 || (run->remote_runs > 0 && run->expires > now);
}

/* Guards against a third crash: a suspect running at two upstreams at once
   could crash both.  */
static bool
is_running_elsewhere (const marjoram_suspects *suspects, int64_t now,
                      const char *upstream, const char *digest)
{
  const struct upstream_entry *upstream_entry;

  for (upstream_entry = suspects->upstreams; upstream_entry;
       upstream_entry = upstream_entry->hh.next)
    {
      const struct run *run = find_run (upstream_entry, digest);

      if (run && is_running (run, now)
          && strcmp (upstream_entry->upstream, upstream) != 0)
        return true;
    }
  return false;
}

bool
marjoram_suspects_may_start (const marjoram_suspects *suspects, int64_t now,
                             const char *upstream, const char *digest)
{
  const struct upstream_entry *upstream_entry
      = find_upstream (suspects, upstream);
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
  if (is_running_elsewhere (suspects, now, upstream, digest))
    return false;
  if (!upstream_entry)
    return true;
  TAILQ_FOREACH (run, &upstream_entry->runs, link)
  if (strcmp (run->digest, digest) != 0 && is_running (run, now)
      && marjoram_suspects_get (suspects, now, run->digest)
             != MARJORAM_SUSPICION_NONE)
    return false;
  return true;
}

/* Whether RUN was suspect before the death of its upstream.  Hosts detect a
   death at different times, so a suspicion that stems from another host's
   report of the same death does not count.  */
static bool
was_suspect (const marjoram_suspects *suspects, int64_t now,
             const struct upstream_entry *upstream_entry,
             const struct run *run)
{
  const struct entry *entry = find_entry (suspects, run->digest);

  if (!entry || entry->expires <= now || !is_running (run, now))
    return false;
  return run->since > entry->since
         || strcmp (entry->crashed_upstream, upstream_entry->upstream) != 0;
}

static int
count_suspects (const marjoram_suspects *suspects, int64_t now,
                const struct upstream_entry *upstream_entry)
{
  const struct run *run;
  int count = 0;

  TAILQ_FOREACH (run, &upstream_entry->runs, link)
  if (was_suspect (suspects, now, upstream_entry, run))
    count++;
  return count;
}

static void
become_suspect (marjoram_suspects *suspects, struct entry *entry,
                const char *crashed_upstream)
{
  entry->suspicion = MARJORAM_SUSPICION_SUSPECT;
  entry->crashes = 0;
  entry->since = ++suspects->events;
  copy_text (entry->crashed_upstream, crashed_upstream,
             sizeof entry->crashed_upstream);
}

/* Convicts a request only if it was the only suspect at the upstream before
   its death.  If two hosts started one suspect each at the same time, neither
   is convicted.  */
static void
suspect_run (marjoram_suspects *suspects, int64_t now,
             const struct upstream_entry *upstream_entry,
             const struct run *run, bool only_suspect,
             marjoram_suspects_report *report, void *context)
{
  enum marjoram_suspicion before
      = marjoram_suspects_get (suspects, now, run->digest);
  bool suspect = was_suspect (suspects, now, upstream_entry, run);
  struct entry *entry = touch_entry (suspects, now, run->digest);
  struct marjoram_suspect_message message
      = { .digest = entry->digest,
          .crashed_upstream = (char *)upstream_entry->upstream };

  if (before == MARJORAM_SUSPICION_NONE)
    become_suspect (suspects, entry, upstream_entry->upstream);
  if (before == MARJORAM_SUSPICION_NONE || suspect)
    entry->crashes++;
  if (suspect && only_suspect)
    entry->suspicion = MARJORAM_SUSPICION_CONVICTED;
  message.suspicion = entry->suspicion;
  message.crashes = entry->crashes;
  if (report && entry->suspicion != before)
    report (context, &message);
  if (before == MARJORAM_SUSPICION_NONE)
    report_runs (suspects, now, entry->digest, entry->crashed_upstream);
}

void
marjoram_suspects_crashed (marjoram_suspects *suspects, int64_t now,
                           const char *upstream,
                           marjoram_suspects_report *report, void *context)
{
  struct upstream_entry *upstream_entry = find_upstream (suspects, upstream);
  const struct run *run;
  bool only_suspect;

  if (!upstream_entry)
    return;
  HASH_DEL (suspects->upstreams, upstream_entry);
  only_suspect = count_suspects (suspects, now, upstream_entry) == 1;
  TAILQ_FOREACH (run, &upstream_entry->runs, link)
  if (run->local_runs > 0)
    suspect_run (suspects, now, upstream_entry, run, only_suspect, report,
                 context);
  free_upstream_entry (suspects, upstream_entry);
}

static void
apply_run (marjoram_suspects *suspects, int64_t now,
           const struct marjoram_suspect_message *message)
{
  struct upstream_entry *upstream_entry
      = find_upstream (suspects, message->upstream);
  struct run *run
      = upstream_entry ? find_run (upstream_entry, message->digest) : NULL;

  if (message->running)
    {
      run = make_run (suspects, message->upstream, message->digest);
      run->remote_runs++;
      run->expires = now + REMOTE_RUN_MAX_MS;
      return;
    }
  if (!run || run->remote_runs == 0)
    return;
  run->remote_runs--;
  if (run->local_runs == 0 && run->remote_runs == 0)
    drop_run (suspects, upstream_entry, run);
}

static void
apply_suspicion (marjoram_suspects *suspects, int64_t now,
                 const struct marjoram_suspect_message *message)
{
  enum marjoram_suspicion before
      = marjoram_suspects_get (suspects, now, message->digest);
  struct entry *entry = touch_entry (suspects, now, message->digest);

  if (before == MARJORAM_SUSPICION_NONE)
    become_suspect (suspects, entry,
                    message->crashed_upstream ? message->crashed_upstream
                                              : "");
  if (entry->suspicion < message->suspicion)
    entry->suspicion = message->suspicion;
  if (entry->crashes < message->crashes)
    entry->crashes = message->crashes;
  if (before == MARJORAM_SUSPICION_NONE)
    report_runs (suspects, now, entry->digest, entry->crashed_upstream);
}

void
marjoram_suspects_apply (marjoram_suspects *suspects, int64_t now,
                         const struct marjoram_suspect_message *message)
{
  if (!message->digest || message->suspicion > MARJORAM_SUSPICION_CONVICTED)
    return;
  if (message->upstream)
    apply_run (suspects, now, message);
  if (message->suspicion != MARJORAM_SUSPICION_NONE)
    apply_suspicion (suspects, now, message);
  else if (!message->upstream)
    clear_entry (suspects, now, message->digest);
}

static void
expire_runs (marjoram_suspects *suspects,
             struct upstream_entry *upstream_entry, int64_t now)
{
  struct run *run = TAILQ_FIRST (&upstream_entry->runs);

  while (run)
    {
      struct run *next = TAILQ_NEXT (run, link);

      if (!is_running (run, now))
        drop_run (suspects, upstream_entry, run);
      run = next;
    }
}

void
marjoram_suspects_tick (marjoram_suspects *suspects, int64_t now)
{
  struct upstream_entry *upstream_entry = suspects->upstreams;

  drop_old_entries (suspects, now);
  while (upstream_entry)
    {
      struct upstream_entry *next = upstream_entry->hh.next;

      expire_runs (suspects, upstream_entry, now);
      upstream_entry = next;
    }
}

size_t
marjoram_suspects_count (const marjoram_suspects *suspects)
{
  return HASH_COUNT (suspects->table) + suspects->run_count;
}
