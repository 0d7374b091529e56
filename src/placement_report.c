#include "placement_private.h"

#include "cleanup.h"

#include <string.h>

enum
{
  /* Reports of a host that is silent for longer are dropped.  */
  REPORT_VALID_MS = 2000
};

void
marjoram_load_add (struct marjoram_spot_load_sum *sum,
                   const struct marjoram_spot_load_sum *load, int64_t sign)
{
  sum->running += sign * load->running;
  sum->unread += sign * load->unread;
  sum->urgent += sign * load->urgent;
  sum->held += sign * load->held;
  sum->answer += sign * load->answer;
}

struct marjoram_spot_load_sum
marjoram_load_of_item (const struct marjoram_load_item *item)
{
  return (struct marjoram_spot_load_sum){ (int64_t)item->running,
                                          (int64_t)item->unread_tokens,
                                          (int64_t)item->urgent_tokens,
                                          (int64_t)item->held_tokens,
                                          (int64_t)item->answer_tokens };
}

struct marjoram_load_item
marjoram_spot_item (struct marjoram_spot *spot)
{
  const struct marjoram_load_item item = {
    .upstream = marjoram_strdup (spot->id),
    .running = (uint64_t)spot->own.running,
    .unread_tokens = (uint64_t)spot->own.unread,
    .urgent_tokens = (uint64_t)spot->own.urgent,
    .held_tokens = (uint64_t)spot->own.held,
    .answer_tokens = (uint64_t)spot->own.answer,
    .lost = spot->tell_lost,
  };

  spot->tell_lost = false;
  return item;
}

/* ---- Reports from this host.  ---- */

static size_t
add_item (marjoram_placement *placement, struct marjoram_load_report *report,
          struct marjoram_spot *spot)
{
  struct marjoram_load_item *items = report->items.items;

  if (spot->report == placement->reports)
    return spot->item;
  items[report->items.count] = marjoram_spot_item (spot);
  spot->report = placement->reports;
  spot->item = report->items.count++;
  return spot->item;
}

static size_t
count_placed (const marjoram_placement *placement)
{
  const struct marjoram_placed_item *placed;
  size_t count = 0;

  STAILQ_FOREACH (placed, &placement->placed, link)
  count++;
  return count < MARJORAM_PLACED_MAX ? count : MARJORAM_PLACED_MAX;
}

void
marjoram_placement_report (marjoram_placement *placement,
                           struct marjoram_load_report *report)
{
  size_t spots = HASH_COUNT (placement->spots);
  size_t parts = count_placed (placement);
  struct marjoram_placed_part *out = marjoram_alloc (parts * sizeof *out);
  struct marjoram_spot *spot;
  struct marjoram_spot *next;
  const struct marjoram_placed_item *placed;

  memset (report, 0, sizeof *report);
  report->items.items
      = marjoram_alloc (spots * sizeof (struct marjoram_load_item));
  report->placed.items = out;
  placement->reports++;
  HASH_ITER (hh, placement->spots, spot, next)
  {
    if ((spot->own.running > 0 || spot->tell_lost)
        && report->items.count < MARJORAM_LOADS_MAX)
      add_item (placement, report, spot);
  }
  STAILQ_FOREACH (placed, &placement->placed, link)
  {
    if (report->placed.count == parts)
      break;
    out[report->placed.count++] = (struct marjoram_placed_part){
      placed->part.id, (uint64_t)placed->part.tokens,
      add_item (placement, report, placed->spot)
    };
  }
  marjoram_placement_forget_placed (placement);
}

/* ---- Reports from other hosts.  ---- */

static void
take_off_loads (struct marjoram_reporter *reporter)
{
  for (size_t i = 0; i < reporter->count; i++)
    {
      struct marjoram_told_load *told = &reporter->loads[i];

      marjoram_load_add (&told->spot->told, &told->load, -1);
      told->spot->tellers--;
    }
  reporter->count = 0;
}

void
marjoram_reporter_destroy (marjoram_placement *placement,
                           struct marjoram_reporter *reporter)
{
  take_off_loads (reporter);
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, placement->reporters, reporter);
  TAILQ_REMOVE (&placement->reporters_by_age, reporter, link);
  free (reporter->loads);
  free (reporter->host);
  free (reporter);
}

void
marjoram_placement_forget_reports (marjoram_placement *placement, int64_t now)
{
  struct marjoram_reporter *oldest;

  while ((oldest = TAILQ_FIRST (&placement->reporters_by_age))
         /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
         && now - oldest->at > REPORT_VALID_MS)
    marjoram_reporter_destroy (placement, oldest);
  marjoram_placement_forget_sums (placement, now);
}

static struct marjoram_reporter *
find_reporter (marjoram_placement *placement, const char *host)
{
  struct marjoram_reporter *reporter;

  HASH_FIND_STR (placement->reporters, host, reporter);
  if (reporter)
    {
      TAILQ_REMOVE (&placement->reporters_by_age, reporter, link);
      TAILQ_INSERT_TAIL (&placement->reporters_by_age, reporter, link);
      return reporter;
    }
  reporter = marjoram_alloc (sizeof *reporter);
  reporter->host = marjoram_strdup (host);
  HASH_ADD_KEYPTR (hh, placement->reporters, reporter->host,
                   strlen (reporter->host), reporter);
  TAILQ_INSERT_TAIL (&placement->reporters_by_age, reporter, link);
  return reporter;
}

static void
make_room (struct marjoram_reporter *reporter, size_t count)
{
  if (count <= reporter->room)
    return;
  free (reporter->loads);
  reporter->loads = marjoram_alloc (count * sizeof *reporter->loads);
  reporter->room = count;
}

static void
hear_load (struct marjoram_reporter *reporter, struct marjoram_spot *spot,
           int64_t now, const struct marjoram_load_item *item)
{
  struct marjoram_told_load *told = &reporter->loads[reporter->count++];

  told->spot = spot;
  told->load = marjoram_load_of_item (item);
  marjoram_load_add (&spot->told, &told->load, 1);
  spot->tellers++;
  if (item->lost)
    spot->lost_at = now;
}

void
marjoram_spot_hear_placed (struct marjoram_spot *spot,
                           const struct marjoram_placed_part *placed)
{
  /* The capacity is unknown until this host has sent a request there.  */
  int64_t capacity = spot->capacity > 0 ? spot->capacity : INT64_MAX;

  marjoram_engine_memory_use (spot->memory, placed->part,
                              (int64_t)placed->tokens, capacity);
}

void
marjoram_placement_hear (marjoram_placement *placement, int64_t now,
                         const char *host,
                         const struct marjoram_load_report *report)
{
  const struct marjoram_load_item *items = report->items.items;
  const struct marjoram_placed_part *placed = report->placed.items;
  struct marjoram_reporter *reporter = find_reporter (placement, host);
  marjoram_auto_free size_t *named
      = marjoram_alloc ((report->items.count + 1) * sizeof *named);

  /* A report is complete: requests that it omits have ended.  */
  reporter->at = now;
  take_off_loads (reporter);
  make_room (reporter, report->items.count);
  for (size_t i = 0; i < report->items.count; i++)
    {
      named[i] = reporter->count;
      if (items[i].upstream)
        hear_load (reporter, marjoram_spot_find (placement, items[i].upstream),
                   now, &items[i]);
    }
  for (size_t i = 0; i < report->placed.count; i++)
    if (placed[i].upstream < report->items.count
        && items[placed[i].upstream].upstream)
      marjoram_spot_hear_placed (
          reporter->loads[named[placed[i].upstream]].spot, &placed[i]);
}
