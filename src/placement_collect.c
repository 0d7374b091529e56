#include "placement_private.h"

#include "cleanup.h"

#include <string.h>
#include <xxhash.h>

enum
{
  /* Totals of a collector that is silent for longer are dropped.  */
  TOTALS_VALID_MS = 2000,
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
is_idle (const struct marjoram_endpoint_load *load)
{
  return load->running == 0;
}

static bool
has_changed (const struct marjoram_endpoint *endpoint)
{
  return marjoram_endpoint_has_news (endpoint)
         || memcmp (&endpoint->own, &endpoint->reported, sizeof endpoint->own)
                != 0;
}

static size_t
add_item (marjoram_placement *placement, int64_t now,
          struct marjoram_load_report *report,
          struct marjoram_endpoint *endpoint)
{
  struct marjoram_load_item *items = report->items.items;

  if (endpoint->report_number == placement->report_count)
    return endpoint->item_index;
  items[report->items.count] = marjoram_endpoint_report_item (endpoint, now);
  endpoint->report_number = placement->report_count;
  endpoint->item_index = report->items.count++;
  endpoint->previously_reported = endpoint->reported;
  endpoint->reported = endpoint->own;
  endpoint->reported_at = now;
  return endpoint->item_index;
}

static void
init_reports (const marjoram_placement *placement,
              const bool whole[MARJORAM_LOAD_GROUPS],
              struct marjoram_load_report reports[MARJORAM_LOAD_GROUPS])
{
  size_t items[MARJORAM_LOAD_GROUPS] = { 0 };
  size_t parts[MARJORAM_LOAD_GROUPS] = { 0 };
  const struct marjoram_placed_item *placed;
  const struct marjoram_endpoint *endpoint;

  TAILQ_FOREACH (endpoint, &placement->active, active_link)
  items[endpoint->group]++;
  STAILQ_FOREACH (placed, &placement->placed, link)
  parts[placed->endpoint->group]++;
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
    struct marjoram_load_report *report = &reports[placed->endpoint->group];
    struct marjoram_placed_part *parts = report->placed.items;

    if (report->placed.count == MARJORAM_PLACED_MAX)
      continue;
    parts[report->placed.count++] = (struct marjoram_placed_part){
      placed->part.id, (uint64_t)placed->part.tokens,
      add_item (placement, now, report, placed->endpoint)
    };
  }
  marjoram_placement_clear_placed (placement);
}

void
marjoram_placement_remove_idle (marjoram_placement *placement)
{
  struct marjoram_endpoint *endpoint = TAILQ_FIRST (&placement->active);

  while (endpoint)
    {
      struct marjoram_endpoint *next = TAILQ_NEXT (endpoint, active_link);

      if (is_idle (&endpoint->own) && !has_changed (endpoint))
        marjoram_endpoint_set_idle (placement, endpoint);
      endpoint = next;
    }
}

void
marjoram_placement_report_changes (
    marjoram_placement *placement, int64_t now,
    const bool whole[MARJORAM_LOAD_GROUPS],
    struct marjoram_load_report reports[MARJORAM_LOAD_GROUPS])
{
  struct marjoram_endpoint *endpoint;

  placement->report_count++;
  marjoram_placement_renew_rates (placement, now);
  init_reports (placement, whole, reports);
  TAILQ_FOREACH (endpoint, &placement->active, active_link)
  {
    struct marjoram_load_report *report = &reports[endpoint->group];

    if ((has_changed (endpoint)
         || (report->whole && !is_idle (&endpoint->own)))
        && report->items.count < MARJORAM_LOADS_MAX)
      add_item (placement, now, report, endpoint);
  }
  add_placed (placement, now, reports);
  marjoram_placement_remove_idle (placement);
}

/* ---- Totals from collectors.  ---- */

static int64_t
subtract_own (int64_t sum, int64_t reported, int64_t before, bool settled)
{
  int64_t own = settled || reported < before ? reported : before;

  return sum > own ? sum - own : 0;
}

/* Subtracts this host's own load from the collector's total.  Until the last
   report is known to be included, the lower of the last two reports is
   subtracted, so that a request just sent does not appear as free capacity. */
struct marjoram_endpoint_load
marjoram_endpoint_collected_load (const struct marjoram_endpoint *endpoint,
                                  int64_t now)
{
  const struct marjoram_endpoint_load *sum = &endpoint->collected;
  const struct marjoram_endpoint_load *reported = &endpoint->reported;
  const struct marjoram_endpoint_load *before = &endpoint->previously_reported;
  const bool settled = now > endpoint->reported_at + SETTLE_MS;

  return (struct marjoram_endpoint_load){
    subtract_own (sum->running, reported->running, before->running, settled),
    subtract_own (sum->prefill_tokens, reported->prefill_tokens,
                  before->prefill_tokens, settled),
    subtract_own (sum->urgent, reported->urgent, before->urgent, settled),
    subtract_own (sum->held, reported->held, before->held, settled),
    subtract_own (sum->answer, reported->answer, before->answer, settled)
  };
}

void
marjoram_endpoint_clear_collected (marjoram_placement *placement,
                                   struct marjoram_endpoint *endpoint)
{
  if (!endpoint->is_collected)
    return;
  endpoint->is_collected = false;
  TAILQ_REMOVE (&placement->collected[endpoint->group], endpoint,
                collected_link);
  memset (&endpoint->collected, 0, sizeof endpoint->collected);
}

static void
set_collected (marjoram_placement *placement,
               struct marjoram_endpoint *endpoint,
               const struct marjoram_load_item *item)
{
  endpoint->collected = marjoram_load_from_item (item);
  if (endpoint->is_collected)
    return;
  endpoint->is_collected = true;
  TAILQ_INSERT_TAIL (&placement->collected[endpoint->group], endpoint,
                     collected_link);
}

static void
clear_group (marjoram_placement *placement, int group)
{
  while (!TAILQ_EMPTY (&placement->collected[group]))
    marjoram_endpoint_clear_collected (
        placement, TAILQ_FIRST (&placement->collected[group]));
}

void
marjoram_placement_expire_totals (marjoram_placement *placement, int64_t now)
{
  for (int i = 0; i < MARJORAM_LOAD_GROUPS; i++)
    if (placement->collected_at[i] != 0
        && now - placement->collected_at[i] > TOTALS_VALID_MS)
      {
        placement->collected_at[i] = 0;
        clear_group (placement, i);
      }
}

static void
refresh_groups (marjoram_placement *placement, int64_t now,
                const bool groups[MARJORAM_LOAD_GROUPS], bool whole)
{
  for (int i = 0; i < MARJORAM_LOAD_GROUPS; i++)
    {
      if (!groups[i])
        continue;
      placement->collected_at[i] = now;
      if (whole)
        clear_group (placement, i);
    }
}

void
marjoram_placement_apply_totals (marjoram_placement *placement, int64_t now,
                                 const bool groups[MARJORAM_LOAD_GROUPS],
                                 const struct marjoram_load_report *report)
{
  const struct marjoram_load_item *items = report->items.items;
  const struct marjoram_placed_part *placed = report->placed.items;

  refresh_groups (placement, now, groups, report->whole);
  for (size_t i = 0; i < report->items.count; i++)
    {
      struct marjoram_endpoint *endpoint
          = items[i].upstream
                ? marjoram_endpoint_find_or_add (placement, items[i].upstream)
                : NULL;

      if (!endpoint || !groups[endpoint->group])
        continue;
      set_collected (placement, endpoint, &items[i]);
      marjoram_endpoint_apply_news (placement, endpoint, now, &items[i]);
    }
  for (size_t i = 0; i < report->placed.count; i++)
    if (placed[i].upstream < report->items.count
        && items[placed[i].upstream].upstream)
      marjoram_endpoint_apply_placed (
          marjoram_endpoint_find_or_add (placement,
                                         items[placed[i].upstream].upstream),
          &placed[i]);
}
