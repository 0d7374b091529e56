#include "upstream_check.h"

#include "cleanup.h"

#include <string.h>
#include <uthash.h>

enum
{
  /* Time without data after which an upstream is checked: above the pauses
     that callers of streams tolerate least, so that engines in regular use are
     not checked all the time.  */
  SILENT_MS = 300,
  /* Without an answer in this time, a connection counts as unanswered.  TCP
     repeats its first packet only later.  */
  PROBE_TIMEOUT_MS = 300,
  /* From the first connection of a check to the second, which is there because
     one lost packet is not evidence.  */
  SECOND_PROBE_MS = 200,
  /* Minimum time without data at a verdict.  */
  DARK_MS = 800,
  /* Between checks of one upstream.  */
  CHECK_INTERVAL_MS = 1000,
  /* Time for which reports of other hosts hold, and for which verdicts count
     as evidence that this host is at fault.  */
  RECENT_MS = 1000,
  CHECKS_MAX = 16, /* at once */
  /* If this host did nothing for so long, silence counts from its end only.
     Above the pauses of a host with little processor time.  */
  STALL_MS = 250,
  /* For so long after a heartbeat has cleared an upstream, heartbeats do not
     clear it again: one that sends them but cannot be reached would go on
     getting requests.  */
  HEARTBEAT_TRUST_MS = 10000,
  PROBES = 2
};

enum probe_state
{
  PROBE_NONE,
  PROBE_PENDING,
  PROBE_UNANSWERED
};

struct probe
{
  uint64_t number;
  enum probe_state state;
};

enum check_state
{
  CHECK_NONE,
  CHECK_RUNNING,
  CHECK_DARK
};

struct upstream
{
  char *id;
  char *address; /* null until awaited */
  int64_t started_at;
  int waiting;
  int64_t awaited_at; /* last time */
  int64_t heard_at;   /* data, or an answered connection */
  int64_t silent_since;
  enum check_state state;
  int64_t begun_at;     /* check */
  int64_t dark_at;      /* verdict, CHECK_DARK */
  int64_t withheld_at;  /* verdict; 0: never */
  int64_t next_at;      /* earliest next check */
  int64_t told_until;   /* by another host that it is dark */
  int64_t beat_trusted; /* last time that a heartbeat cleared it; 0: never */
  enum marjoram_silence silence;
  struct probe probes[PROBES];
  bool is_compared; /* with a connection to another one, in this check */
  UT_hash_handle hh;
};

struct marjoram_upstream_checks
{
  const struct marjoram_upstream_checks_ops *ops;
  void *context;
  struct upstream *upstreams;
  uint64_t next_probe;
  struct probe control;        /* a connection to an upstream not in doubt */
  int64_t control_answered_at; /* 0: never */
  int64_t ticked_at;
  int64_t stalled_until; /* 0: never */
  int64_t input_at;      /* time up to which input has been processed */
};

marjoram_upstream_checks *
marjoram_upstream_checks_create (
    const struct marjoram_upstream_checks_ops *ops, void *context)
{
  marjoram_upstream_checks *checks = marjoram_alloc (sizeof *checks);

  checks->ops = ops;
  checks->context = context;
  return checks;
}

static void
destroy (marjoram_upstream_checks *checks, struct upstream *upstream)
{
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, checks->upstreams, upstream);
  free (upstream->id);
  free (upstream->address);
  free (upstream);
}

void
marjoram_upstream_checks_destroy (marjoram_upstream_checks *checks)
{
  struct upstream *upstream;
  struct upstream *next;

  if (!checks)
    return;
  HASH_ITER (hh, checks->upstreams, upstream, next)
  {
    destroy (checks, upstream);
  }
  free (checks);
}

static struct upstream *
find (marjoram_upstream_checks *checks, const char *id)
{
  struct upstream *upstream;

  HASH_FIND_STR (checks->upstreams, id, upstream);
  return upstream;
}

static int64_t
later (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* Time without data, by this host's input.  */
static int64_t
silent_ms (const marjoram_upstream_checks *checks,
           const struct upstream *upstream)
{
  const int64_t ms = checks->input_at
                     - later (upstream->silent_since, checks->stalled_until);

  return ms > 0 ? ms : 0;
}

static void
report (marjoram_upstream_checks *checks, const struct upstream *upstream,
        enum marjoram_check_event event)
{
  const struct marjoram_checked_upstream what
      = { .id = upstream->id,
          .started_at = upstream->started_at,
          .silent_ms = silent_ms (checks, upstream),
          .waiting = upstream->waiting,
          .is_told = upstream->told_until > checks->ticked_at };

  checks->ops->event (checks->context, event, &what);
}

/* ---- Connections.  ---- */

static bool
has_pending_probe (const struct upstream *upstream)
{
  for (int i = 0; i < PROBES; i++)
    if (upstream->probes[i].state == PROBE_PENDING)
      return true;
  return false;
}

static int
count_checks (const marjoram_upstream_checks *checks)
{
  const struct upstream *upstream;
  const struct upstream *next;
  int count = checks->control.state == PROBE_PENDING;

  HASH_ITER (hh, checks->upstreams, upstream, next)
  {
    count += upstream->state == CHECK_RUNNING || has_pending_probe (upstream);
  }
  return count;
}

static bool
may_begin (const marjoram_upstream_checks *checks,
           const struct upstream *upstream, int64_t now)
{
  return now >= upstream->next_at && upstream->address
         && !has_pending_probe (upstream)
         && count_checks (checks) < CHECKS_MAX;
}

static void
open_probe (marjoram_upstream_checks *checks, const char *address,
            struct probe *probe)
{
  probe->number = ++checks->next_probe;
  probe->state = PROBE_PENDING;
  checks->ops->open (checks->context, probe->number, address,
                     PROBE_TIMEOUT_MS);
}

/* ---- Checks.  ---- */

static bool
is_told (const struct upstream *upstream, int64_t now)
{
  return now < upstream->told_until;
}

static void
end_check (struct upstream *upstream, int64_t next_at)
{
  upstream->state = CHECK_NONE;
  upstream->next_at = next_at;
}

static void
begin_check (marjoram_upstream_checks *checks, struct upstream *upstream,
             int64_t now)
{
  upstream->state = CHECK_RUNNING;
  upstream->begun_at = now;
  upstream->probes[1].state = PROBE_NONE;
  upstream->is_compared = false;
  report (checks, upstream, MARJORAM_CHECK_BEGUN);
  open_probe (checks, upstream->address, &upstream->probes[0]);
}

/* Whether UPSTREAM is silent and not known to be alive, or got its verdict
   only recently.  */
static bool
seems_dark (const marjoram_upstream_checks *checks,
            const struct upstream *upstream, int64_t now)
{
  if (upstream->state == CHECK_DARK)
    return now < upstream->dark_at + RECENT_MS;
  return upstream->waiting > 0 && silent_ms (checks, upstream) >= SILENT_MS;
}

/* Upstreams in use: those that seem dark, and those that were heard since a
   check began.  */
struct in_use
{
  int dark;
  int alive;
};

static struct in_use
count_in_use (const marjoram_upstream_checks *checks,
              const struct upstream *upstream, int64_t now)
{
  const struct upstream *other;
  const struct upstream *next;
  struct in_use count
      = { .alive = checks->control_answered_at >= upstream->begun_at };

  HASH_ITER (hh, checks->upstreams, other, next)
  {
    if (other->heard_at >= upstream->begun_at)
      count.alive++;
    else if (seems_dark (checks, other, now) && !is_told (other, now))
      count.dark++;
  }
  return count;
}

/* Opens a connection to another upstream if none in use was heard since the
   check of UPSTREAM began.  */
static void
compare (marjoram_upstream_checks *checks, struct upstream *upstream,
         int64_t now)
{
  const char *address;

  if (count_in_use (checks, upstream, now).alive > 0
      || count_checks (checks) >= CHECKS_MAX)
    return;
  upstream->is_compared = checks->control.state == PROBE_PENDING;
  if (upstream->is_compared)
    return;
  address = checks->ops->other (checks->context, upstream->id);
  if (!address)
    return;
  upstream->is_compared = true;
  open_probe (checks, address, &checks->control);
}

/* Whether more than half of the upstreams in use seem dark at once.  If
   UPSTREAM is the only one that there is, nothing can be compared with it; a
   host without any network is then known by its receive lag.  */
static bool
is_own_fault (const marjoram_upstream_checks *checks,
              const struct upstream *upstream, int64_t now)
{
  const struct in_use count = count_in_use (checks, upstream, now);

  return !is_told (upstream, now) && count.dark > count.alive
         && (count.dark > 1 || upstream->is_compared);
}

static void
judge (marjoram_upstream_checks *checks, struct upstream *upstream,
       int64_t now)
{
  if (is_own_fault (checks, upstream, now))
    {
      end_check (upstream, now + CHECK_INTERVAL_MS);
      upstream->withheld_at = now;
      report (checks, upstream, MARJORAM_CHECK_WITHHELD);
      return;
    }
  upstream->state = CHECK_DARK;
  upstream->dark_at = now;
  upstream->next_at = now + CHECK_INTERVAL_MS;
  report (checks, upstream, MARJORAM_CHECK_DARK);
}

static bool
is_unanswered (const struct upstream *upstream)
{
  return upstream->probes[0].state == PROBE_UNANSWERED
         && upstream->probes[1].state == PROBE_UNANSWERED;
}

/* Whether the check of UPSTREAM is no longer wanted, or has taken so long that
   its connections say nothing about now.  */
static bool
is_over (const struct upstream *upstream, int64_t now)
{
  return (upstream->waiting == 0 && !is_told (upstream, now))
         || (!has_pending_probe (upstream)
             && now >= upstream->begun_at + CHECK_INTERVAL_MS);
}

static void
continue_check (marjoram_upstream_checks *checks, struct upstream *upstream,
                int64_t now)
{
  if (upstream->heard_at >= upstream->begun_at)
    {
      end_check (upstream, now);
      report (checks, upstream, MARJORAM_CHECK_ALIVE);
    }
  else if (is_over (upstream, now))
    end_check (upstream, now);
  else if (upstream->probes[1].state == PROBE_NONE)
    {
      if (now < upstream->begun_at + SECOND_PROBE_MS)
        return;
      open_probe (checks, upstream->address, &upstream->probes[1]);
      compare (checks, upstream, now);
    }
  else if (is_unanswered (upstream)
           && (upstream->waiting == 0
               || silent_ms (checks, upstream) >= DARK_MS))
    judge (checks, upstream, now);
}

/* Whether another host confirms the verdict that was withheld a moment ago. */
static bool
is_confirmed (const marjoram_upstream_checks *checks,
              const struct upstream *upstream, int64_t now)
{
  return is_told (upstream, now) && upstream->waiting > 0
         && upstream->withheld_at != 0
         && now < upstream->withheld_at + RECENT_MS
         && upstream->heard_at < upstream->begun_at
         && silent_ms (checks, upstream) >= DARK_MS;
}

/* Whether a check is wanted, if it may begin.  */
static bool
is_doubtful (const marjoram_upstream_checks *checks,
             const struct upstream *upstream, int64_t now)
{
  return is_told (upstream, now)
         || (upstream->waiting > 0
             && silent_ms (checks, upstream) >= SILENT_MS);
}

static enum marjoram_silence
silence_of (const marjoram_upstream_checks *checks,
            const struct upstream *upstream, int64_t now)
{
  if (upstream->state == CHECK_DARK)
    return MARJORAM_SILENCE_DARK;
  return upstream->state == CHECK_RUNNING || is_told (upstream, now)
                 || (is_doubtful (checks, upstream, now)
                     && now >= upstream->next_at)
             ? MARJORAM_SILENCE_SUSPECTED
             : MARJORAM_SILENCE_NONE;
}

static void
update_silence (marjoram_upstream_checks *checks, struct upstream *upstream,
                int64_t now)
{
  const enum marjoram_silence silence = silence_of (checks, upstream, now);

  if (silence == upstream->silence)
    return;
  upstream->silence = silence;
  checks->ops->silence (checks->context, upstream->id, silence);
}

static void
clear (marjoram_upstream_checks *checks, struct upstream *upstream,
       int64_t now)
{
  upstream->told_until = 0;
  upstream->silent_since = now;
  end_check (upstream, now);
  report (checks, upstream, MARJORAM_CHECK_CLEARED);
  update_silence (checks, upstream, now);
}

static void
forget (marjoram_upstream_checks *checks, struct upstream *upstream,
        int64_t now)
{
  if (upstream->state == CHECK_DARK)
    clear (checks, upstream, now);
  if (upstream->silence != MARJORAM_SILENCE_NONE)
    checks->ops->silence (checks->context, upstream->id,
                          MARJORAM_SILENCE_NONE);
  destroy (checks, upstream);
}

/* ---- Events.  ---- */

static struct upstream *
find_or_add (marjoram_upstream_checks *checks, int64_t now, const char *id,
             int64_t started_at)
{
  struct upstream *upstream = find (checks, id);

  if (upstream && upstream->started_at != started_at)
    {
      forget (checks, upstream, now);
      upstream = NULL;
    }
  if (upstream)
    return upstream;
  upstream = marjoram_alloc (sizeof *upstream);
  upstream->id = marjoram_strdup (id);
  upstream->started_at = started_at;
  HASH_ADD_KEYPTR (hh, checks->upstreams, upstream->id, strlen (upstream->id),
                   upstream);
  return upstream;
}

static void
set_address (struct upstream *upstream, const char *address)
{
  if (upstream->address && strcmp (upstream->address, address) == 0)
    return;
  free (upstream->address);
  upstream->address = marjoram_strdup (address);
}

static void
await (marjoram_upstream_checks *checks, int64_t now,
       const struct marjoram_awaited_upstream *awaited)
{
  struct upstream *upstream
      = find_or_add (checks, now, awaited->id, awaited->started_at);

  set_address (upstream, awaited->address);
  upstream->waiting = awaited->waiting;
  upstream->awaited_at = now;
  upstream->heard_at = later (upstream->heard_at, awaited->heard_at);
  upstream->silent_since = later (awaited->heard_at, awaited->due_at);
  if (awaited->heard_at > upstream->told_until - RECENT_MS)
    upstream->told_until = 0;
  if (upstream->state == CHECK_DARK && awaited->heard_at > upstream->dark_at)
    clear (checks, upstream, now);
}

static void
advance (marjoram_upstream_checks *checks, struct upstream *upstream,
         int64_t now)
{
  if (upstream->state == CHECK_DARK)
    {
      if (may_begin (checks, upstream, now))
        {
          upstream->next_at = now + CHECK_INTERVAL_MS;
          open_probe (checks, upstream->address, &upstream->probes[0]);
        }
    }
  else if (upstream->state == CHECK_RUNNING)
    continue_check (checks, upstream, now);
  else if (is_confirmed (checks, upstream, now))
    judge (checks, upstream, now);
  else if (is_doubtful (checks, upstream, now)
           && may_begin (checks, upstream, now))
    begin_check (checks, upstream, now);
  update_silence (checks, upstream, now);
}

/* Whether nothing that is known of UPSTREAM matters any longer.  */
static bool
is_outdated (const struct upstream *upstream, int64_t now)
{
  return upstream->state == CHECK_NONE
         && upstream->silence == MARJORAM_SILENCE_NONE
         && !has_pending_probe (upstream)
         && now > upstream->awaited_at + RECENT_MS && now >= upstream->next_at
         && (upstream->beat_trusted == 0
             || now > upstream->beat_trusted + HEARTBEAT_TRUST_MS);
}

static void
note_time (marjoram_upstream_checks *checks, int64_t now, int64_t lag_ms)
{
  if (checks->ticked_at != 0 && now > checks->ticked_at + STALL_MS)
    checks->stalled_until = now;
  checks->ticked_at = now;
  checks->input_at = now - lag_ms;
}

void
marjoram_upstream_checks_tick (marjoram_upstream_checks *checks, int64_t now,
                               int64_t lag_ms,
                               const struct marjoram_awaited_upstream *awaited,
                               size_t count)
{
  struct upstream *upstream;
  struct upstream *next;

  note_time (checks, now, lag_ms);
  HASH_ITER (hh, checks->upstreams, upstream, next) { upstream->waiting = 0; }
  for (size_t i = 0; i < count; i++)
    await (checks, now, &awaited[i]);
  HASH_ITER (hh, checks->upstreams, upstream, next)
  {
    advance (checks, upstream, now);
    if (is_outdated (upstream, now))
      destroy (checks, upstream);
  }
}

static void
apply_result (marjoram_upstream_checks *checks, struct upstream *upstream,
              int64_t now, enum marjoram_probe_result result)
{
  if (result == MARJORAM_PROBE_NO_ANSWER)
    return;
  if (result != MARJORAM_PROBE_FAILED)
    upstream->heard_at = later (upstream->heard_at, now);
  if (upstream->state == CHECK_RUNNING)
    {
      end_check (upstream, now + CHECK_INTERVAL_MS);
      upstream->told_until = 0;
      report (checks, upstream,
              result == MARJORAM_PROBE_FAILED ? MARJORAM_CHECK_WITHHELD
                                              : MARJORAM_CHECK_ALIVE);
    }
  else if (upstream->state == CHECK_DARK && result != MARJORAM_PROBE_FAILED)
    clear (checks, upstream, now);
  update_silence (checks, upstream, now);
}

void
marjoram_upstream_checks_probed (marjoram_upstream_checks *checks, int64_t now,
                                 uint64_t number,
                                 enum marjoram_probe_result result)
{
  struct upstream *upstream;
  struct upstream *next;

  if (checks->control.state == PROBE_PENDING
      && checks->control.number == number)
    {
      checks->control.state = PROBE_NONE;
      if (result == MARJORAM_PROBE_OPEN || result == MARJORAM_PROBE_REFUSED)
        checks->control_answered_at = now;
      return;
    }
  HASH_ITER (hh, checks->upstreams, upstream, next)
  {
    for (int i = 0; i < PROBES; i++)
      if (upstream->probes[i].state == PROBE_PENDING
          && upstream->probes[i].number == number)
        {
          upstream->probes[i].state = result == MARJORAM_PROBE_NO_ANSWER
                                          ? PROBE_UNANSWERED
                                          : PROBE_NONE;
          apply_result (checks, upstream, now, result);
          return;
        }
  }
}

void
marjoram_upstream_checks_told (marjoram_upstream_checks *checks, int64_t now,
                               const char *id, int64_t started_at,
                               const char *address)
{
  struct upstream *upstream = find_or_add (checks, now, id, started_at);

  if (upstream->state == CHECK_DARK)
    return;
  set_address (upstream, address);
  upstream->told_until = now + RECENT_MS;
  update_silence (checks, upstream, now);
}

void
marjoram_upstream_checks_heard (marjoram_upstream_checks *checks, int64_t now,
                                const char *id, int64_t heard_at)
{
  struct upstream *upstream = find (checks, id);

  if (!upstream || upstream->state != CHECK_DARK
      || heard_at <= upstream->dark_at
      || (upstream->beat_trusted != 0
          && now <= upstream->beat_trusted + HEARTBEAT_TRUST_MS))
    return;
  upstream->beat_trusted = now;
  clear (checks, upstream, now);
}

void
marjoram_upstream_checks_forget (marjoram_upstream_checks *checks, int64_t now,
                                 const char *id)
{
  struct upstream *upstream = find (checks, id);

  if (upstream)
    forget (checks, upstream, now);
}

void
marjoram_upstream_checks_clear (marjoram_upstream_checks *checks, int64_t now)
{
  struct upstream *upstream;
  struct upstream *next;

  HASH_ITER (hh, checks->upstreams, upstream, next)
  {
    forget (checks, upstream, now);
  }
  checks->ticked_at = 0;
}

void
marjoram_upstream_checks_visit_dark (
    marjoram_upstream_checks *checks, int64_t now,
    void (*visit) (void *context,
                   const struct marjoram_checked_upstream *upstream),
    void *context)
{
  struct upstream *upstream;
  struct upstream *next;

  HASH_ITER (hh, checks->upstreams, upstream, next)
  {
    const struct marjoram_checked_upstream what
        = { .id = upstream->id,
            .started_at = upstream->started_at,
            .silent_ms = now - upstream->dark_at };

    if (upstream->state == CHECK_DARK)
      visit (context, &what);
  }
}
