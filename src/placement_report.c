#include "placement_private.h"

#include "cleanup.h"

#include <string.h>

/* ---- Reports between hosts.  ---- */

static size_t
add_item (struct marjoram_load_report *report, struct marjoram_spot *spot)
{
  struct marjoram_load_item *items = report->items.items;

  for (size_t i = 0; i < report->items.count; i++)
    if (strcmp (items[i].upstream, spot->id) == 0)
      return i;
  items[report->items.count] = (struct marjoram_load_item){
    .upstream = marjoram_strdup (spot->id),
    .running = (uint64_t)spot->own.running,
    .unread_tokens = (uint64_t)spot->own.unread,
    .urgent_tokens = (uint64_t)spot->own.urgent,
    .held_tokens = (uint64_t)spot->own.held,
    .answer_tokens = (uint64_t)spot->own.answer,
    .lost = spot->tell_lost,
  };
  spot->tell_lost = false;
  return report->items.count++;
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
  HASH_ITER (hh, placement->spots, spot, next)
  {
    if ((spot->own.running > 0 || spot->tell_lost)
        && report->items.count < MARJORAM_LOADS_MAX)
      add_item (report, spot);
  }
  STAILQ_FOREACH (placed, &placement->placed, link)
  {
    if (report->placed.count == parts)
      break;
    out[report->placed.count++] = (struct marjoram_placed_part){
      placed->part.id, (uint64_t)placed->part.tokens,
      add_item (report, marjoram_spot_find (placement, placed->upstream))
    };
  }
  marjoram_placement_forget_placed (placement);
}

static void
hear_load (struct marjoram_spot *spot, int64_t now, const char *host,
           const struct marjoram_load_item *item)
{
  struct marjoram_told_load *told;

  TAILQ_FOREACH (told, &spot->told, link)
  if (strcmp (told->host, host) == 0)
    break;
  if (!told)
    {
      told = marjoram_alloc (sizeof *told);
      told->host = marjoram_strdup (host);
      TAILQ_INSERT_TAIL (&spot->told, told, link);
    }
  told->at = now;
  told->load = (struct marjoram_spot_load_sum){ (int64_t)item->running,
                                                (int64_t)item->unread_tokens,
                                                (int64_t)item->urgent_tokens,
                                                (int64_t)item->held_tokens,
                                                (int64_t)item->answer_tokens };
  if (item->lost)
    spot->lost_at = now;
}

static void
forget_reports_of (marjoram_placement *placement, const char *host)
{
  struct marjoram_spot *spot;
  struct marjoram_spot *next;

  HASH_ITER (hh, placement->spots, spot, next)
  {
    struct marjoram_told_load *told;

    TAILQ_FOREACH (told, &spot->told, link)
    if (strcmp (told->host, host) == 0)
      {
        marjoram_spot_forget_told (spot, told);
        break;
      }
  }
}

static void
hear_placed (struct marjoram_spot *spot,
             const struct marjoram_placed_part *placed)
{
  /* Until this host has sent there itself, it does not know the size.  */
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

  /* A report names all that runs from its host: what it leaves out is over. */
  forget_reports_of (placement, host);
  for (size_t i = 0; i < report->items.count; i++)
    if (items[i].upstream)
      hear_load (marjoram_spot_find (placement, items[i].upstream), now, host,
                 &items[i]);
  for (size_t i = 0; i < report->placed.count; i++)
    if (placed[i].upstream < report->items.count
        && items[placed[i].upstream].upstream)
      hear_placed (
          marjoram_spot_find (placement, items[placed[i].upstream].upstream),
          &placed[i]);
}
