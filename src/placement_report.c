#include "placement_private.h"

#include "cleanup.h"

#include <string.h>

enum
{
  /* Reports of a host that is silent for longer are dropped.  */
  REPORT_VALID_MS = 2000
};

void
marjoram_load_add (struct marjoram_endpoint_load *sum,
                   const struct marjoram_endpoint_load *load, int64_t sign)
{
  sum->running += sign * load->running;
  sum->prefill_tokens += sign * load->prefill_tokens;
  sum->urgent += sign * load->urgent;
  sum->held += sign * load->held;
  sum->answer += sign * load->answer;
}

struct marjoram_endpoint_load
marjoram_load_from_item (const struct marjoram_load_item *item)
{
  return (struct marjoram_endpoint_load){ (int64_t)item->running,
                                          (int64_t)item->prefill_tokens,
                                          (int64_t)item->urgent_tokens,
                                          (int64_t)item->held_tokens,
                                          (int64_t)item->answer_tokens };
}

struct marjoram_load_item
marjoram_endpoint_report_item (struct marjoram_endpoint *endpoint, int64_t now)
{
  struct marjoram_load_item item = {
    .upstream = marjoram_strdup (endpoint->id),
    .running = (uint64_t)endpoint->own.running,
    .prefill_tokens = (uint64_t)endpoint->own.prefill_tokens,
    .urgent_tokens = (uint64_t)endpoint->own.urgent,
    .held_tokens = (uint64_t)endpoint->own.held,
    .answer_tokens = (uint64_t)endpoint->own.answer,
    .lost = endpoint->report_disconnect,
  };

  endpoint->report_disconnect = false;
  if (endpoint->report_rate)
    marjoram_endpoint_add_rate (endpoint, &item);
  marjoram_endpoint_add_statements (endpoint, now, &item);
  return item;
}

bool
marjoram_endpoint_has_news (const struct marjoram_endpoint *endpoint)
{
  return endpoint->report_disconnect || endpoint->report_rate
         || endpoint->retry.report || endpoint->report_leaving;
}

/* ---- Reports from this host.  ---- */

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
  return endpoint->item_index;
}

size_t
marjoram_placement_active_count (const marjoram_placement *placement)
{
  const struct marjoram_endpoint *endpoint;
  size_t count = 0;

  TAILQ_FOREACH (endpoint, &placement->active, active_link)
  count++;
  return count;
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
marjoram_placement_report (marjoram_placement *placement, int64_t now,
                           struct marjoram_load_report *report)
{
  size_t endpoints;
  size_t parts = count_placed (placement);
  struct marjoram_placed_part *out = marjoram_alloc (parts * sizeof *out);
  struct marjoram_endpoint *endpoint;
  struct marjoram_endpoint *next;
  const struct marjoram_placed_item *placed;

  memset (report, 0, sizeof *report);
  marjoram_placement_renew_rates (placement, now);
  endpoints = marjoram_placement_active_count (placement);
  report->items.items
      = marjoram_alloc (endpoints * sizeof (struct marjoram_load_item));
  report->placed.items = out;
  placement->report_count++;
  for (endpoint = TAILQ_FIRST (&placement->active);
       endpoint && report->items.count < MARJORAM_LOADS_MAX; endpoint = next)
    {
      next = TAILQ_NEXT (endpoint, active_link);
      if (endpoint->own.running > 0 || marjoram_endpoint_has_news (endpoint))
        add_item (placement, now, report, endpoint);
    }
  STAILQ_FOREACH (placed, &placement->placed, link)
  {
    if (report->placed.count == parts)
      break;
    out[report->placed.count++] = (struct marjoram_placed_part){
      placed->part.id, (uint64_t)placed->part.tokens,
      add_item (placement, now, report, placed->endpoint)
    };
  }
  marjoram_placement_clear_placed (placement);
  marjoram_placement_remove_idle (placement);
}

/* ---- Reports from other hosts.  ---- */

static void
subtract_loads (struct marjoram_reporter *reporter)
{
  for (size_t i = 0; i < reporter->count; i++)
    {
      struct marjoram_reported_load *entry = &reporter->loads[i];

      marjoram_load_add (&entry->endpoint->others, &entry->load, -1);
      entry->endpoint->reporter_count--;
    }
  reporter->count = 0;
}

void
marjoram_reporter_destroy (marjoram_placement *placement,
                           struct marjoram_reporter *reporter)
{
  subtract_loads (reporter);
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, placement->reporters, reporter);
  TAILQ_REMOVE (&placement->reporters_by_age, reporter, link);
  free (reporter->loads);
  free (reporter->host);
  free (reporter);
}

void
marjoram_placement_expire_reports (marjoram_placement *placement, int64_t now)
{
  struct marjoram_reporter *oldest;

  while ((oldest = TAILQ_FIRST (&placement->reporters_by_age))
         /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
         && now - oldest->received_at > REPORT_VALID_MS)
    marjoram_reporter_destroy (placement, oldest);
  marjoram_placement_expire_totals (placement, now);
}

static struct marjoram_reporter *
find_or_add_reporter (marjoram_placement *placement, const char *host)
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
reserve_loads (struct marjoram_reporter *reporter, size_t count)
{
  if (count <= reporter->allocated)
    return;
  free (reporter->loads);
  reporter->loads = marjoram_alloc (count * sizeof *reporter->loads);
  reporter->allocated = count;
}

void
marjoram_endpoint_apply_news (marjoram_placement *placement,
                              struct marjoram_endpoint *endpoint, int64_t now,
                              const struct marjoram_load_item *item)
{
  if (item->lost)
    endpoint->reported_lost_at = now;
  marjoram_endpoint_learn_rate (placement, endpoint, now, item);
  marjoram_endpoint_learn_statements (placement, endpoint, now, item);
}

static void
add_reported_load (marjoram_placement *placement,
                   struct marjoram_reporter *reporter,
                   struct marjoram_endpoint *endpoint, int64_t now,
                   const struct marjoram_load_item *item)
{
  struct marjoram_reported_load *entry = &reporter->loads[reporter->count++];

  entry->endpoint = endpoint;
  entry->load = marjoram_load_from_item (item);
  marjoram_load_add (&endpoint->others, &entry->load, 1);
  endpoint->reporter_count++;
  marjoram_endpoint_apply_news (placement, endpoint, now, item);
}

void
marjoram_endpoint_apply_placed (struct marjoram_endpoint *endpoint,
                                const struct marjoram_placed_part *placed)
{
  /* The capacity is unknown until this host has estimated a request there.  */
  int64_t capacity = endpoint->capacity > 0 ? endpoint->capacity : INT64_MAX;

  marjoram_engine_cache_use (endpoint->cache, placed->part,
                             (int64_t)placed->tokens, capacity);
}

void
marjoram_placement_apply_report (marjoram_placement *placement, int64_t now,
                                 const char *host,
                                 const struct marjoram_load_report *report)
{
  const struct marjoram_load_item *items = report->items.items;
  const struct marjoram_placed_part *placed = report->placed.items;
  struct marjoram_reporter *reporter = find_or_add_reporter (placement, host);
  marjoram_auto_free size_t *load_index
      = marjoram_alloc ((report->items.count + 1) * sizeof *load_index);

  /* A report is complete: requests that it omits have ended.  */
  reporter->received_at = now;
  subtract_loads (reporter);
  reserve_loads (reporter, report->items.count);
  for (size_t i = 0; i < report->items.count; i++)
    {
      load_index[i] = reporter->count;
      if (items[i].upstream)
        add_reported_load (
            placement, reporter,
            marjoram_endpoint_find_or_add (placement, items[i].upstream), now,
            &items[i]);
    }
  for (size_t i = 0; i < report->placed.count; i++)
    if (placed[i].upstream < report->items.count
        && items[placed[i].upstream].upstream)
      marjoram_endpoint_apply_placed (
          reporter->loads[load_index[placed[i].upstream]].endpoint,
          &placed[i]);
}
