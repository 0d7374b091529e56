#include "load_collector.h"

#include "cleanup.h"
#include "retry_after.h"

#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

enum
{
  /* Hosts send a whole report at least once a second.  */
  REPORTER_VALID_MS = 2000,
  /* Interval of whole reports, for hosts that missed some changes.  */
  WHOLE_MS = 1000,
  INTERVAL_MS = 100,
  /* Messages per second that a collector sends, one to each host at a time,
     before its interval grows.  */
  MESSAGES_PER_S = 1000,
  /* Well below the time for which totals are valid.  */
  INTERVAL_MAX_MS = 1000,
  MSEC_PER_SEC = 1000,
  /* Hosts of a region above which lightly used engines and cached parts are
     not told: requests that share a part meet at the same engines anyway, and
     each byte is sent to each host.  */
  BRIEF_HOSTS = 100,
  /* Requests that an engine runs beside others without noticeable delay.  */
  LIGHT_RUNNING_MAX = 2
};

struct load
{
  uint64_t running;
  uint64_t prefill_tokens;
  uint64_t urgent;
  uint64_t held;
  uint64_t answer;
};

/* Total load of one upstream.  */
struct total
{
  char *upstream;
  struct load load;
  size_t reporter_count; /* hosts with load there */
  bool changed;
  bool lost;
  /* What hosts told last of its rate limit, until they are told.  */
  uint64_t rate_number;
  int64_t rate_limit;
  /* What answers of the instance that started at STARTED_AT said, likewise. */
  bool leaving;
  int64_t retry_at;
  int64_t started_at;
  bool is_told;           /* hosts were last told of a load */
  uint64_t report_number; /* last report with it, at ITEM_INDEX */
  size_t item_index;
  UT_hash_handle hh;
};

/* Load of one host at one upstream.  */
struct share
{
  struct total *total;
  struct load load;
  UT_hash_handle hh;
};

struct reporter
{
  TAILQ_ENTRY (reporter) link;
  char *host;
  int64_t received_at;
  struct share *shares; /* keyed by total */
  UT_hash_handle hh;
};

struct placed
{
  STAILQ_ENTRY (placed) link;
  struct total *total;
  uint64_t part;
  uint64_t tokens;
};

struct marjoram_load_collector
{
  bool is_brief;
  struct total *totals;
  struct reporter *reporters;
  TAILQ_HEAD (, reporter) by_age; /* oldest report first */
  STAILQ_HEAD (, placed) placed;  /* placed since the last report */
  size_t placed_count;
  uint64_t report_count;
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
add_load (struct load *total, const struct load *load)
{
  total->running += load->running;
  total->prefill_tokens += load->prefill_tokens;
  total->urgent += load->urgent;
  total->held += load->held;
  total->answer += load->answer;
}

static void
subtract_load (struct load *total, const struct load *load)
{
  total->running -= load->running;
  total->prefill_tokens -= load->prefill_tokens;
  total->urgent -= load->urgent;
  total->held -= load->held;
  total->answer -= load->answer;
}

static void
remove_share (struct reporter *reporter, struct share *share)
{
  subtract_load (&share->total->load, &share->load);
  share->total->reporter_count--;
  share->total->changed = true;
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, reporter->shares, share);
  free (share);
}

static void
remove_shares (struct reporter *reporter)
{
  struct share *share;
  struct share *next;

  HASH_ITER (hh, reporter->shares, share, next)
  {
    remove_share (reporter, share);
  }
}

static void
remove_reporter (marjoram_load_collector *collector, struct reporter *reporter)
{
  remove_shares (reporter);
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, collector->reporters, reporter);
  TAILQ_REMOVE (&collector->by_age, reporter, link);
  free (reporter->host);
  free (reporter);
}

static void
expire_reporters (marjoram_load_collector *collector, int64_t now)
{
  struct reporter *oldest;

  while ((oldest = TAILQ_FIRST (&collector->by_age))
         /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
         && now - oldest->received_at > REPORTER_VALID_MS)
    remove_reporter (collector, oldest);
}

static void
clear_placed (marjoram_load_collector *collector)
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
remove_total (marjoram_load_collector *collector, struct total *total)
{
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, collector->totals, total);
  free (total->upstream);
  free (total);
}

void
marjoram_load_collector_destroy (marjoram_load_collector *collector)
{
  struct total *total;
  struct total *next;

  if (!collector)
    return;
  clear_placed (collector);
  while (!TAILQ_EMPTY (&collector->by_age))
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    remove_reporter (collector, TAILQ_FIRST (&collector->by_age));
  HASH_ITER (hh, collector->totals, total, next)
  {
    remove_total (collector, total);
  }
  free (collector);
}

static struct total *
find_or_add_total (marjoram_load_collector *collector, const char *upstream)
{
  struct total *total;

  HASH_FIND_STR (collector->totals, upstream, total);
  if (total)
    return total;
  total = marjoram_alloc (sizeof *total);
  total->upstream = marjoram_strdup (upstream);
  HASH_ADD_KEYPTR (hh, collector->totals, total->upstream,
                   strlen (total->upstream), total);
  return total;
}

static struct reporter *
find_or_add_reporter (marjoram_load_collector *collector, const char *host)
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
add_share (struct reporter *reporter, struct total *total,
           const struct load *load)
{
  struct share *share = marjoram_alloc (sizeof *share);

  share->total = total;
  share->load = *load;
  add_load (&total->load, load);
  total->reporter_count++;
  HASH_ADD_PTR (reporter->shares, total, share);
}

/* Keeps what supersedes the other, as in upstream_rate.h.  */
static void
apply_rate (struct total *total, const struct marjoram_load_item *item)
{
  if (item->rate_number < total->rate_number
      || (item->rate_number == total->rate_number
          && (uint64_t)item->rate_limit >= (uint64_t)total->rate_limit))
    return;
  total->rate_number = item->rate_number;
  total->rate_limit = item->rate_limit;
}

static void
apply_statements (struct total *total, int64_t now,
                  const struct marjoram_load_item *item)
{
  int64_t retry_at;

  if (item->retry_ms > MARJORAM_RETRY_AFTER_MAX_MS
      || (!item->leaving && item->retry_ms == 0))
    return;
  retry_at = now + (int64_t)item->retry_ms;
  if (item->started_at != total->started_at)
    {
      total->leaving = false;
      total->retry_at = 0;
    }
  total->started_at = item->started_at;
  total->leaving = total->leaving || item->leaving;
  if (item->retry_ms > 0 && retry_at > total->retry_at)
    total->retry_at = retry_at;
}

static void
apply_item (struct reporter *reporter, struct total *total, int64_t now,
            const struct marjoram_load_item *item)
{
  const struct load load
      = { item->running, item->prefill_tokens, item->urgent_tokens,
          item->held_tokens, item->answer_tokens };
  struct share *share;

  HASH_FIND_PTR (reporter->shares, &total, share);
  if (share)
    remove_share (reporter, share);
  if (item->running > 0)
    add_share (reporter, total, &load);
  total->changed = true;
  total->lost = total->lost || item->lost;
  apply_rate (total, item);
  apply_statements (total, now, item);
}

static void
record_placed (marjoram_load_collector *collector, struct total *total,
               const struct marjoram_placed_part *part)
{
  struct placed *placed;

  if (collector->is_brief || collector->placed_count == MARJORAM_PLACED_MAX)
    return;
  placed = marjoram_alloc (sizeof *placed);
  placed->total = total;
  placed->part = part->part;
  placed->tokens = part->tokens;
  STAILQ_INSERT_TAIL (&collector->placed, placed, link);
  collector->placed_count++;
}

void
marjoram_load_collector_apply_report (
    marjoram_load_collector *collector, int64_t now, const char *host,
    const struct marjoram_load_report *report)
{
  const struct marjoram_load_item *items = report->items.items;
  const struct marjoram_placed_part *placed = report->placed.items;
  struct reporter *reporter = find_or_add_reporter (collector, host);

  reporter->received_at = now;
  if (report->whole)
    remove_shares (reporter);
  for (size_t i = 0; i < report->items.count; i++)
    if (items[i].upstream)
      apply_item (reporter, find_or_add_total (collector, items[i].upstream),
                  now, &items[i]);
  for (size_t i = 0; i < report->placed.count; i++)
    if (placed[i].upstream < report->items.count
        && items[placed[i].upstream].upstream)
      record_placed (
          collector,
          find_or_add_total (collector, items[placed[i].upstream].upstream),
          &placed[i]);
}

/* ---- Reports to hosts.  ---- */

static size_t
add_item (marjoram_load_collector *collector, int64_t now,
          struct marjoram_load_report *report, struct total *total)
{
  struct marjoram_load_item *items = report->items.items;

  if (total->report_number == collector->report_count)
    return total->item_index;
  items[report->items.count] = (struct marjoram_load_item){
    .upstream = marjoram_strdup (total->upstream),
    .running = total->load.running,
    .prefill_tokens = total->load.prefill_tokens,
    .urgent_tokens = total->load.urgent,
    .held_tokens = total->load.held,
    .answer_tokens = total->load.answer,
    .lost = total->lost,
    .rate_number = total->rate_number,
    .rate_limit = total->rate_limit,
    .leaving = total->leaving,
    .retry_ms = total->retry_at > now ? (uint64_t)(total->retry_at - now) : 0,
    .started_at = total->started_at,
  };
  total->lost = false;
  total->rate_number = 0;
  total->leaving = false;
  total->retry_at = 0;
  total->changed = false;
  total->report_number = collector->report_count;
  total->item_index = report->items.count++;
  return total->item_index;
}

/* Loads of plain upstreams, which hold no tokens, are always told.  */
static bool
is_light (const struct total *total)
{
  return total->load.running == 0
         || (total->load.held > 0 && total->load.running <= LIGHT_RUNNING_MAX);
}

/* Whether hosts have to be told something else than a load.  */
static bool
has_news (const struct total *total)
{
  return total->lost || total->rate_number != 0 || total->leaving
         || total->retry_at != 0;
}

/* In a brief report an engine that is no longer told of gets an item without
   load.  */
static void
add_brief_item (marjoram_load_collector *collector, int64_t now,
                struct marjoram_load_report *report, struct total *total)
{
  const struct load load = total->load;
  const bool is_told = !is_light (total);

  total->changed = false;
  if (!is_told && !total->is_told && !has_news (total))
    return;
  if (!is_told)
    memset (&total->load, 0, sizeof total->load);
  add_item (collector, now, report, total);
  total->load = load;
  total->is_told = is_told;
}

static void
add_totals (marjoram_load_collector *collector, int64_t now,
            struct marjoram_load_report *report)
{
  struct total *total;
  struct total *next;

  HASH_ITER (hh, collector->totals, total, next)
  {
    if ((total->changed || (report->whole && total->reporter_count > 0))
        && report->items.count < MARJORAM_LOADS_MAX)
      {
        if (collector->is_brief)
          add_brief_item (collector, now, report, total);
        else
          add_item (collector, now, report, total);
      }
  }
}

static void
add_placed (marjoram_load_collector *collector, int64_t now,
            struct marjoram_load_report *report)
{
  struct marjoram_placed_part *parts = report->placed.items;
  const struct placed *placed;

  STAILQ_FOREACH (placed, &collector->placed, link)
  {
    if (report->items.count == MARJORAM_LOADS_MAX
        && placed->total->report_number != collector->report_count)
      continue;
    parts[report->placed.count++]
        = (struct marjoram_placed_part){ placed->part, placed->tokens,
                                         add_item (collector, now, report,
                                                   placed->total) };
  }
  clear_placed (collector);
}

/* Drops idle upstreams whose last change has been reported.  */
static void
remove_idle (marjoram_load_collector *collector)
{
  struct total *total;
  struct total *next;

  HASH_ITER (hh, collector->totals, total, next)
  {
    if (total->reporter_count == 0 && !total->changed)
      remove_total (collector, total);
  }
}

bool
marjoram_load_collector_take_report (marjoram_load_collector *collector,
                                     int64_t now,
                                     struct marjoram_load_report *report)
{
  memset (report, 0, sizeof *report);
  expire_reporters (collector, now);
  if (HASH_COUNT (collector->totals) == 0
      && HASH_COUNT (collector->reporters) == 0)
    return false;
  collector->report_count++;
  report->whole = now >= collector->whole_at + WHOLE_MS;
  if (report->whole)
    collector->whole_at = now;
  report->items.items = marjoram_alloc (HASH_COUNT (collector->totals)
                                        * sizeof (struct marjoram_load_item));
  report->placed.items = marjoram_alloc (
      collector->placed_count * sizeof (struct marjoram_placed_part));
  add_totals (collector, now, report);
  add_placed (collector, now, report);
  remove_idle (collector);
  return report->whole || report->items.count > 0;
}

void
marjoram_load_collector_set_hosts (marjoram_load_collector *collector,
                                   size_t hosts)
{
  collector->is_brief = hosts > BRIEF_HOSTS;
}

int64_t
marjoram_load_collector_interval_ms (size_t hosts)
{
  const int64_t msec = (int64_t)hosts * MSEC_PER_SEC / MESSAGES_PER_S;

  if (msec > INTERVAL_MAX_MS)
    return INTERVAL_MAX_MS;
  return msec > INTERVAL_MS ? msec : INTERVAL_MS;
}
