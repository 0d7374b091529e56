#include "placement_private.h"

#include "cleanup.h"

#include <string.h>
#include <xxhash.h>

enum
{
  /* Totals of a collector that is silent for longer are dropped.  */
  SUMS_VALID_MS = 2000,
  /* Time for a report to the collector to be included in its totals.  */
  SETTLE_MS = 200
};

int
marjoram_load_group (const char *upstream)
{
  return (int)(XXH3_64bits (upstream, strlen (upstream))
               % MARJORAM_LOAD_GROUPS);
}

/* ---- Reports to collectors.  ---- */

static bool
is_idle (const struct marjoram_spot_load_sum *load)
{
  return load->running == 0;
}

static bool
has_changed (const struct marjoram_spot *spot)
{
  return spot->tell_lost
         || memcmp (&spot->own, &spot->reported, sizeof spot->own) != 0;
}

static size_t
add_item (marjoram_placement *placement, int64_t now,
          struct marjoram_load_report *report, struct marjoram_spot *spot)
{
  struct marjoram_load_item *items = report->items.items;

  if (spot->report == placement->reports)
    return spot->item;
  items[report->items.count] = marjoram_spot_item (spot);
  spot->report = placement->reports;
  spot->item = report->items.count++;
  spot->reported_before = spot->reported;
  spot->reported = spot->own;
  spot->reported_at = now;
  return spot->item;
}

static void
start_reports (const marjoram_placement *placement,
               const bool whole[MARJORAM_LOAD_GROUPS],
               struct marjoram_load_report reports[MARJORAM_LOAD_GROUPS])
{
  size_t items[MARJORAM_LOAD_GROUPS] = { 0 };
  size_t parts[MARJORAM_LOAD_GROUPS] = { 0 };
  const struct marjoram_placed_item *placed;
  struct marjoram_spot *spot;
  struct marjoram_spot *next;

  HASH_ITER (hh, placement->spots, spot, next) { items[spot->group]++; }
  STAILQ_FOREACH (placed, &placement->placed, link)
  parts[placed->spot->group]++;
  for (int i = 0; i < MARJORAM_LOAD_GROUPS; i++)
    {
      memset (&reports[i], 0, sizeof reports[i]);
      reports[i].whole = whole[i];
      reports[i].items.items
          = marjoram_alloc (items[i] * sizeof (struct marjoram_load_item));
      reports[i].placed.items
          = marjoram_alloc (parts[i] * sizeof (struct marjoram_placed_part));
    }
}

static void
add_placed (marjoram_placement *placement, int64_t now,
            struct marjoram_load_report reports[MARJORAM_LOAD_GROUPS])
{
  const struct marjoram_placed_item *placed;

  STAILQ_FOREACH (placed, &placement->placed, link)
  {
    struct marjoram_load_report *report = &reports[placed->spot->group];
    struct marjoram_placed_part *parts = report->placed.items;

    if (report->placed.count == MARJORAM_PLACED_MAX)
      continue;
    parts[report->placed.count++] = (struct marjoram_placed_part){
      placed->part.id, (uint64_t)placed->part.tokens,
      add_item (placement, now, report, placed->spot)
    };
  }
  marjoram_placement_forget_placed (placement);
}

void
marjoram_placement_report_changes (
    marjoram_placement *placement, int64_t now,
    const bool whole[MARJORAM_LOAD_GROUPS],
    struct marjoram_load_report reports[MARJORAM_LOAD_GROUPS])
{
  struct marjoram_spot *spot;
  struct marjoram_spot *next;

  placement->reports++;
  start_reports (placement, whole, reports);
  HASH_ITER (hh, placement->spots, spot, next)
  {
    struct marjoram_load_report *report = &reports[spot->group];

    if ((has_changed (spot) || (report->whole && !is_idle (&spot->own)))
        && report->items.count < MARJORAM_LOADS_MAX)
      add_item (placement, now, report, spot);
  }
  add_placed (placement, now, reports);
}

/* ---- Totals from collectors.  ---- */

static int64_t
without_own (int64_t sum, int64_t reported, int64_t before, bool settled)
{
  int64_t own = settled || reported < before ? reported : before;

  return sum > own ? sum - own : 0;
}

/* Subtracts this host's own load from the collector's total.  Until the last
   report is known to be included, the lower of the last two reports is
   subtracted, so that a request just sent does not appear as free capacity. */
struct marjoram_spot_load_sum
marjoram_spot_collected (const struct marjoram_spot *spot, int64_t now)
{
  const struct marjoram_spot_load_sum *sum = &spot->collected;
  const struct marjoram_spot_load_sum *told = &spot->reported;
  const struct marjoram_spot_load_sum *before = &spot->reported_before;
  const bool settled = now > spot->reported_at + SETTLE_MS;

  return (struct marjoram_spot_load_sum){
    without_own (sum->running, told->running, before->running, settled),
    without_own (sum->unread, told->unread, before->unread, settled),
    without_own (sum->urgent, told->urgent, before->urgent, settled),
    without_own (sum->held, told->held, before->held, settled),
    without_own (sum->answer, told->answer, before->answer, settled)
  };
}

static void
forget_group (marjoram_placement *placement, int group)
{
  struct marjoram_spot *spot;
  struct marjoram_spot *next;

  HASH_ITER (hh, placement->spots, spot, next)
  {
    if (spot->group == group)
      memset (&spot->collected, 0, sizeof spot->collected);
  }
}

void
marjoram_placement_forget_sums (marjoram_placement *placement, int64_t now)
{
  for (int i = 0; i < MARJORAM_LOAD_GROUPS; i++)
    if (placement->collected_at[i] != 0
        && now - placement->collected_at[i] > SUMS_VALID_MS)
      {
        placement->collected_at[i] = 0;
        forget_group (placement, i);
      }
}

static void
note_groups (marjoram_placement *placement, int64_t now,
             const bool groups[MARJORAM_LOAD_GROUPS], bool whole)
{
  for (int i = 0; i < MARJORAM_LOAD_GROUPS; i++)
    {
      if (!groups[i])
        continue;
      placement->collected_at[i] = now;
      if (whole)
        forget_group (placement, i);
    }
}

void
marjoram_placement_hear_sums (marjoram_placement *placement, int64_t now,
                              const bool groups[MARJORAM_LOAD_GROUPS],
                              const struct marjoram_load_report *report)
{
  const struct marjoram_load_item *items = report->items.items;
  const struct marjoram_placed_part *placed = report->placed.items;

  note_groups (placement, now, groups, report->whole);
  for (size_t i = 0; i < report->items.count; i++)
    {
      struct marjoram_spot *spot
          = items[i].upstream
                ? marjoram_spot_find (placement, items[i].upstream)
                : NULL;

      if (!spot || !groups[spot->group])
        continue;
      spot->collected = marjoram_load_of_item (&items[i]);
      if (items[i].lost)
        spot->lost_at = now;
    }
  for (size_t i = 0; i < report->placed.count; i++)
    if (placed[i].upstream < report->items.count
        && items[placed[i].upstream].upstream)
      marjoram_spot_hear_placed (
          marjoram_spot_find (placement, items[placed[i].upstream].upstream),
          &placed[i]);
}
