#include "evacuation.h"

#include "cleanup.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The text of the list: names of evacuated zones, and "ZONE=NUMBER" for each
   zone that orders were decided for, separated by commas.  Names of zones have
   no "=", so that releases without numbers read the same zones.  */
#define NUMBER_SIGN '='

static struct marjoram_names
read_items (const struct marjoram_state *state)
{
  const struct marjoram_file *file
      = state ? marjoram_state_file (state, MARJORAM_FILE_EVACUATIONS) : NULL;

  return marjoram_names_parse (file && file->text ? file->text : "");
}

static bool
is_number (const char *item)
{
  return strchr (item, NUMBER_SIGN) != NULL;
}

/* Whether ITEM has the number of ZONE.  */
static bool
is_number_of (const char *item, const char *zone)
{
  const size_t length = strlen (zone);

  return strncmp (item, zone, length) == 0 && item[length] == NUMBER_SIGN;
}

struct marjoram_names
marjoram_evacuation_zones (const struct marjoram_state *state)
{
  struct marjoram_names zones = read_items (state);
  size_t count = 0;

  for (size_t i = 0; i < zones.count; i++)
    if (is_number (zones.items[i]))
      free (zones.items[i]);
    else
      zones.items[count++] = zones.items[i];
  zones.count = count;
  return zones;
}

struct marjoram_names
marjoram_evacuation_ordered_zones (const struct marjoram_state *state)
{
  struct marjoram_names zones = read_items (state);
  size_t count = 0;

  for (size_t i = 0; i < zones.count; i++)
    if (is_number (zones.items[i]))
      {
        *strchr (zones.items[i], NUMBER_SIGN) = '\0';
        zones.items[count++] = zones.items[i];
      }
    else
      free (zones.items[i]);
  zones.count = count;
  return zones;
}

bool
marjoram_evacuation_lists (const struct marjoram_names *zones,
                           const char *zone)
{
  for (size_t i = 0; i < zones->count; i++)
    if (strcmp (zones->items[i], zone) == 0)
      return true;
  return false;
}

bool
marjoram_evacuation_in_force (const struct marjoram_state *state,
                              const char *zone)
{
  struct marjoram_names zones = marjoram_evacuation_zones (state);
  const bool found = marjoram_evacuation_lists (&zones, zone);

  marjoram_names_clear (&zones);
  return found;
}

uint64_t
marjoram_evacuation_number (const struct marjoram_state *state,
                            const char *zone)
{
  struct marjoram_names items = read_items (state);
  uint64_t number = 0;

  for (size_t i = 0; i < items.count; i++)
    if (is_number_of (items.items[i], zone))
      number = strtoull (items.items[i] + strlen (zone) + 1, NULL, 10);
  marjoram_names_clear (&items);
  return number;
}

char *
marjoram_evacuation_join (const struct marjoram_names *zones)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);

  if (!out)
    abort ();
  for (size_t i = 0; i < zones->count; i++)
    fprintf (out, "%s%s", i > 0 ? "," : "", zones->items[i]);
  if (zones->count == 0)
    fputc ('-', out);
  fclose (out);
  return text;
}

/* The text of the list after ORDER, which gets NUMBER.  */
static char *
next_text (const struct marjoram_state *state,
           const struct marjoram_evacuation_order *order, uint64_t number)
{
  struct marjoram_names items = read_items (state);
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);

  if (!out)
    abort ();
  for (size_t i = 0; i < items.count; i++)
    if (strcmp (items.items[i], order->zone) != 0
        && !is_number_of (items.items[i], order->zone))
      fprintf (out, "%s,", items.items[i]);
  if (order->begin)
    fprintf (out, "%s,", order->zone);
  fprintf (out, "%s%c%" PRIu64, order->zone, NUMBER_SIGN, number);
  fclose (out);
  marjoram_names_clear (&items);
  return text;
}

static void
accept_order (struct marjoram_state *state,
              const struct marjoram_evacuation_order *order)
{
  const struct marjoram_file *current
      = marjoram_state_file (state, MARJORAM_FILE_EVACUATIONS);
  const uint64_t version = current ? current->version + 1 : 1;
  marjoram_auto_free char *text = next_text (state, order, version);
  marjoram_auto_free char *digest = marjoram_digest (text, strlen (text));
  const struct marjoram_file file
      = { (char *)MARJORAM_FILE_EVACUATIONS, version, digest, text };

  marjoram_state_set_file (state, &file);
}

enum marjoram_change_result
marjoram_evacuation_decide (struct marjoram_state *state, const char *id,
                            const struct marjoram_evacuation_order *order)
{
  const bool in_force
      = marjoram_evacuation_in_force (state, order->zone) == order->begin;
  const bool builds_on_last
      = marjoram_evacuation_number (state, order->zone) == order->base;
  struct marjoram_change change
      = { .id = (char *)id, .file = (char *)MARJORAM_FILE_EVACUATIONS };

  change.result = in_force || builds_on_last ? MARJORAM_CHANGE_ACCEPTED
                                             : MARJORAM_CHANGE_STALE;
  if (change.result == MARJORAM_CHANGE_ACCEPTED)
    accept_order (state, order);
  change.number = ++state->number;
  change.version = marjoram_evacuation_number (state, order->zone);
  marjoram_state_add_change (state, &change);
  return (enum marjoram_change_result)change.result;
}
