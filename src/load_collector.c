#include "load_collector.h"

#include "cleanup.h"

#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

enum
{
  /* Hosts send a whole report at least once a second.  */
  REPORTER_VALID_MS = 2000,
  /* Interval of whole reports, for hosts that missed some changes.  */
  WHOLE_MS = 1000
};

struct load
{
  uint64_t running;
  uint64_t unread;
  uint64_t urgent;
  uint64_t held;
  uint64_t answer;
};

/* Total load of one upstream.  */
struct sum
{
  char *upstream;
  struct load load;
  size_t tellers; /* hosts with load there */
  bool changed;
  bool lost;
  uint64_t
      report; /* number of the last report that includes it, at index ITEM */
  size_t item;
  UT_hash_handle hh;
};

/* Load of one host at one upstream.  */
struct share
{
  struct sum *sum;
  struct load load;
  UT_hash_handle hh;
};

struct reporter
{
  TAILQ_ENTRY (reporter) link;
  char *host;
  int64_t heard_at;
  struct share *shares; /* keyed by total */
  UT_hash_handle hh;
};

struct placed
{
  STAILQ_ENTRY (placed) link;
  struct sum *sum;
  uint64_t part;
  uint64_t tokens;
};

struct marjoram_load_collector
{
  struct sum *sums;
  struct reporter *reporters;
  TAILQ_HEAD (, reporter) by_age; /* oldest report first */
  STAILQ_HEAD (, placed) placed;  /* placed since the last report */
  size_t placed_count;
  uint64_t reports;
  int64_t whole_at;
};

marjoram_load_collector *
marjoram_load_collector_create (void)
{
  marjoram_load_collector *collector = marjoram_alloc (sizeof *collector);

  TAILQ_INIT (&collector->by_age);
  STAILQ_INIT (&collector->placed);
  return collector;
}

/* ---- Reports from hosts.  ---- */

static void
add_load (struct load *sum, const struct load *load)
{
  sum->running += load->running;
  sum->unread += load->unread;
  sum->urgent += load->urgent;
  sum->held += load->held;
  sum->answer += load->answer;
}

static void
take_off_load (struct load *sum, const struct load *load)
{
  sum->running -= load->running;
  sum->unread -= load->unread;
  sum->urgent -= load->urgent;
  sum->held -= load->held;
  sum->answer -= load->answer;
}

static void
forget_share (struct reporter *reporter, struct share *share)
{
  take_off_load (&share->sum->load, &share->load);
  share->sum->tellers--;
  share->sum->changed = true;
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, reporter->shares, share);
  free (share);
}

static void
forget_shares (struct reporter *reporter)
{
  struct share *share;
  struct share *next;

  HASH_ITER (hh, reporter->shares, share, next)
  {
    forget_share (reporter, share);
  }
}

static void
forget_reporter (marjoram_load_collector *collector, struct reporter *reporter)
{
  forget_shares (reporter);
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, collector->reporters, reporter);
  TAILQ_REMOVE (&collector->by_age, reporter, link);
  free (reporter->host);
  free (reporter);
}

static void
forget_silent (marjoram_load_collector *collector, int64_t now)
{
  struct reporter *oldest;

  while ((oldest = TAILQ_FIRST (&collector->by_age))
         /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
         && now - oldest->heard_at > REPORTER_VALID_MS)
    forget_reporter (collector, oldest);
}

static void
forget_placed (marjoram_load_collector *collector)
{
  struct placed *placed;

  while ((placed = STAILQ_FIRST (&collector->placed)))
    {
      STAILQ_REMOVE_HEAD (&collector->placed, link);
      free (placed);
    }
  collector->placed_count = 0;
}

static void
forget_sum (marjoram_load_collector *collector, struct sum *sum)
{
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, collector->sums, sum);
  free (sum->upstream);
  free (sum);
}

void
marjoram_load_collector_destroy (marjoram_load_collector *collector)
{
  struct sum *sum;
  struct sum *next;

  if (!collector)
    return;
  forget_placed (collector);
  while (!TAILQ_EMPTY (&collector->by_age))
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    forget_reporter (collector, TAILQ_FIRST (&collector->by_age));
  HASH_ITER (hh, collector->sums, sum, next) { forget_sum (collector, sum); }
  free (collector);
}

static struct sum *
find_sum (marjoram_load_collector *collector, const char *upstream)
{
  struct sum *sum;

  HASH_FIND_STR (collector->sums, upstream, sum);
  if (sum)
    return sum;
  sum = marjoram_alloc (sizeof *sum);
  sum->upstream = marjoram_strdup (upstream);
  HASH_ADD_KEYPTR (hh, collector->sums, sum->upstream, strlen (sum->upstream),
                   sum);
  return sum;
}

static struct reporter *
find_reporter (marjoram_load_collector *collector, const char *host)
{
  struct reporter *reporter;

  HASH_FIND_STR (collector->reporters, host, reporter);
  if (reporter)
    {
      TAILQ_REMOVE (&collector->by_age, reporter, link);
      TAILQ_INSERT_TAIL (&collector->by_age, reporter, link);
      return reporter;
    }
  reporter = marjoram_alloc (sizeof *reporter);
  reporter->host = marjoram_strdup (host);
  HASH_ADD_KEYPTR (hh, collector->reporters, reporter->host,
                   strlen (reporter->host), reporter);
  TAILQ_INSERT_TAIL (&collector->by_age, reporter, link);
  return reporter;
}

static void
add_share (struct reporter *reporter, struct sum *sum, const struct load *load)
{
  struct share *share = marjoram_alloc (sizeof *share);

  share->sum = sum;
  share->load = *load;
  add_load (&sum->load, load);
  sum->tellers++;
  HASH_ADD_PTR (reporter->shares, sum, share);
}

static void
hear_item (struct reporter *reporter, struct sum *sum,
           const struct marjoram_load_item *item)
{
  const struct load load
      = { item->running, item->unread_tokens, item->urgent_tokens,
          item->held_tokens, item->answer_tokens };
  struct share *share;

  HASH_FIND_PTR (reporter->shares, &sum, share);
  if (share)
    forget_share (reporter, share);
  if (item->running > 0)
    add_share (reporter, sum, &load);
  sum->changed = true;
  sum->lost = sum->lost || item->lost;
}

static void
hear_placed (marjoram_load_collector *collector, struct sum *sum,
             const struct marjoram_placed_part *part)
{
  struct placed *placed;

  if (collector->placed_count == MARJORAM_PLACED_MAX)
    return;
  placed = marjoram_alloc (sizeof *placed);
  placed->sum = sum;
  placed->part = part->part;
  placed->tokens = part->tokens;
  STAILQ_INSERT_TAIL (&collector->placed, placed, link);
  collector->placed_count++;
}

void
marjoram_load_collector_hear (marjoram_load_collector *collector, int64_t now,
                              const char *host,
                              const struct marjoram_load_report *report)
{
  const struct marjoram_load_item *items = report->items.items;
  const struct marjoram_placed_part *placed = report->placed.items;
  struct reporter *reporter = find_reporter (collector, host);

  reporter->heard_at = now;
  if (report->whole)
    forget_shares (reporter);
  for (size_t i = 0; i < report->items.count; i++)
    if (items[i].upstream)
      hear_item (reporter, find_sum (collector, items[i].upstream), &items[i]);
  for (size_t i = 0; i < report->placed.count; i++)
    if (placed[i].upstream < report->items.count
        && items[placed[i].upstream].upstream)
      hear_placed (collector,
                   find_sum (collector, items[placed[i].upstream].upstream),
                   &placed[i]);
}

/* ---- Reports to hosts.  ---- */

static size_t
add_item (marjoram_load_collector *collector,
          struct marjoram_load_report *report, struct sum *sum)
{
  struct marjoram_load_item *items = report->items.items;

  if (sum->report == collector->reports)
    return sum->item;
  items[report->items.count] = (struct marjoram_load_item){
    .upstream = marjoram_strdup (sum->upstream),
    .running = sum->load.running,
    .unread_tokens = sum->load.unread,
    .urgent_tokens = sum->load.urgent,
    .held_tokens = sum->load.held,
    .answer_tokens = sum->load.answer,
    .lost = sum->lost,
  };
  sum->lost = false;
  sum->changed = false;
  sum->report = collector->reports;
  sum->item = report->items.count++;
  return sum->item;
}

static void
add_sums (marjoram_load_collector *collector,
          struct marjoram_load_report *report)
{
  struct sum *sum;
  struct sum *next;

  HASH_ITER (hh, collector->sums, sum, next)
  {
    if ((sum->changed || (report->whole && sum->tellers > 0))
        && report->items.count < MARJORAM_LOADS_MAX)
      add_item (collector, report, sum);
  }
}

static void
add_placed (marjoram_load_collector *collector,
            struct marjoram_load_report *report)
{
  struct marjoram_placed_part *parts = report->placed.items;
  const struct placed *placed;

  STAILQ_FOREACH (placed, &collector->placed, link)
  {
    if (report->items.count == MARJORAM_LOADS_MAX
        && placed->sum->report != collector->reports)
      continue;
    parts[report->placed.count++] = (struct marjoram_placed_part){
      placed->part, placed->tokens, add_item (collector, report, placed->sum)
    };
  }
  forget_placed (collector);
}

/* Drops idle upstreams whose last change has been reported.  */
static void
forget_idle (marjoram_load_collector *collector)
{
  struct sum *sum;
  struct sum *next;

  HASH_ITER (hh, collector->sums, sum, next)
  {
    if (sum->tellers == 0 && !sum->changed)
      forget_sum (collector, sum);
  }
}

bool
marjoram_load_collector_take (marjoram_load_collector *collector, int64_t now,
                              struct marjoram_load_report *report)
{
  memset (report, 0, sizeof *report);
  forget_silent (collector, now);
  if (HASH_COUNT (collector->sums) == 0
      && HASH_COUNT (collector->reporters) == 0)
    return false;
  collector->reports++;
  report->whole = now >= collector->whole_at + WHOLE_MS;
  if (report->whole)
    collector->whole_at = now;
  report->items.items = marjoram_alloc (HASH_COUNT (collector->sums)
                                        * sizeof (struct marjoram_load_item));
  report->placed.items = marjoram_alloc (
      collector->placed_count * sizeof (struct marjoram_placed_part));
  add_sums (collector, report);
  add_placed (collector, report);
  forget_idle (collector);
  return report->whole || report->items.count > 0;
}
