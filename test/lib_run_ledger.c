#include "lib_run_ledger.h"

#include "cleanup.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

enum
{
  STORY_MAX = 200,
  SUCCESS = 2 /* status class 2xx */
};

struct entry
{
  char id[LEDGER_ID_MAX];
  bool once;
  int runs;
  int arrivals;
  const void *first_how; /* at its first arrival */
  int sealed_status;     /* 0: none */
  bool overlapped;
  struct ledger_answer answer;
  int64_t answered_at;
  char story[STORY_MAX]; /* what upstreams did, in order */
  STAILQ_ENTRY (entry) next;
  UT_hash_handle hh;
};

struct run_ledger
{
  struct entry *by_id;
  STAILQ_HEAD (entries, entry) answered;
  struct ledger_counts counts;
};

struct run_ledger *
run_ledger_create (void)
{
  struct run_ledger *ledger = marjoram_alloc (sizeof *ledger);

  STAILQ_INIT (&ledger->answered);
  return ledger;
}

static struct entry *
find (struct run_ledger *ledger, const char *id)
{
  struct entry *entry;

  HASH_FIND_STR (ledger->by_id, id, entry);
  return entry;
}

static void
entry_destroy (struct run_ledger *ledger, struct entry *entry)
{
  HASH_DEL (ledger->by_id, entry);
  free (entry);
}

void
run_ledger_destroy (struct run_ledger *ledger)
{
  struct entry *entry;
  struct entry *next;

  if (!ledger)
    return;
  HASH_ITER (hh, ledger->by_id, entry, next) { entry_destroy (ledger, entry); }
  free (ledger);
}

void
run_ledger_asked (struct run_ledger *ledger, const char *id, bool once)
{
  struct entry *entry = marjoram_alloc (sizeof *entry);

  snprintf (entry->id, sizeof entry->id, "%s", id);
  entry->once = once;
  HASH_ADD_STR (ledger->by_id, id, entry);
  ledger->counts.asked++;
}

static void
add_story (struct entry *entry, const char *where, const char *how)
{
  const size_t used = strlen (entry->story);

  snprintf (entry->story + used, sizeof entry->story - used, " %s:%s", where,
            how);
}

void
run_ledger_ran (struct run_ledger *ledger, const char *id, const char *where,
                const char *how)
{
  struct entry *entry = find (ledger, id);

  ledger->counts.runs++;
  if (!entry)
    return;
  entry->runs++;
  add_story (entry, where, how);
}

void
run_ledger_note (struct run_ledger *ledger, const char *id, const char *how)
{
  struct entry *entry = find (ledger, id);

  if (entry)
    add_story (entry, "-", how);
}

void
run_ledger_sealed (struct run_ledger *ledger, const char *id, int status)
{
  struct entry *entry = find (ledger, id);

  if (entry)
    entry->sealed_status = status;
}

const void *
run_ledger_arrived (struct run_ledger *ledger, const char *id, const void *how,
                    int *arrivals)
{
  struct entry *entry = find (ledger, id);

  *arrivals = 1;
  if (!entry)
    return how;
  *arrivals = ++entry->arrivals;
  if (!entry->first_how)
    entry->first_how = how;
  return entry->first_how;
}

void
run_ledger_overlapped (struct run_ledger *ledger, const char *id)
{
  struct entry *entry = find (ledger, id);

  if (entry)
    entry->overlapped = true;
}

void
run_ledger_answered (struct run_ledger *ledger, int64_t now, const char *id,
                     const struct ledger_answer *answer)
{
  struct entry *entry = find (ledger, id);

  if (!entry || entry->answered_at)
    return;
  entry->answer = *answer;
  entry->answered_at = now;
  STAILQ_INSERT_TAIL (&ledger->answered, entry, next);
}

bool
run_ledger_is_promise (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static bool
is_success (const struct ledger_answer *answer)
{
  return answer->whole && answer->status / 100 == SUCCESS;
}

static bool
is_mixed (const struct entry *entry)
{
  const struct ledger_answer *answer = &entry->answer;

  if (is_success (answer))
    return !answer->own || !answer->sealed || entry->runs == 0;
  return answer->whole && answer->sealed
         && answer->status != entry->sealed_status;
}

static void
report (const struct entry *entry, const char *rule)
{
  printf ("BROKEN %s id=%s once=%d status=%d runs=%d story:%s\n", rule,
          entry->id, entry->once, entry->answer.status, entry->runs,
          entry->story);
}

static void
count_answer (struct ledger_counts *counts, const struct ledger_answer *answer)
{
  if (!answer->whole || answer->status == 0)
    counts->unanswered++;
  else if (run_ledger_is_promise (answer->status))
    counts->refused++;
  else if (is_success (answer))
    counts->served++;
  else
    counts->failed++;
}

static void
judge (struct run_ledger *ledger, const struct entry *entry)
{
  struct ledger_counts *counts = &ledger->counts;

  count_answer (counts, &entry->answer);
  if (entry->once && entry->runs > 1)
    {
      counts->ran_twice++;
      report (entry, "TWICE");
    }
  if (entry->once && entry->runs > 0
      && run_ledger_is_promise (entry->answer.status))
    {
      counts->ran_refused++;
      report (entry, "REFUSED");
    }
  if (entry->overlapped)
    {
      counts->ran_overlapped++;
      report (entry, "OVERLAP");
    }
  if (is_mixed (entry))
    {
      counts->mixed++;
      report (entry, "MIXED");
    }
}

void
run_ledger_judge (struct run_ledger *ledger, int64_t now, int64_t keep_ms)
{
  struct entry *entry;

  while ((entry = STAILQ_FIRST (&ledger->answered))
         && now >= entry->answered_at + keep_ms)
    {
      STAILQ_REMOVE_HEAD (&ledger->answered, next);
      judge (ledger, entry);
      entry_destroy (ledger, entry);
    }
}

void
run_ledger_asked_again (struct run_ledger *ledger, const char *id)
{
  struct entry *entry = find (ledger, id);

  if (!entry)
    return;
  STAILQ_REMOVE (&ledger->answered, entry, entry, next);
  judge (ledger, entry);
  ledger->counts.asked_again++;
  entry->runs = 0;
  entry->sealed_status = 0;
  entry->overlapped = false;
  entry->answered_at = 0;
  entry->answer = (struct ledger_answer){ 0 };
  add_story (entry, "-", "asked-again");
}

const struct ledger_counts *
run_ledger_counts (const struct run_ledger *ledger)
{
  return &ledger->counts;
}

uint64_t
run_ledger_violations (const struct run_ledger *ledger)
{
  const struct ledger_counts *counts = &ledger->counts;

  return counts->ran_twice + counts->ran_refused + counts->ran_overlapped
         + counts->mixed;
}
