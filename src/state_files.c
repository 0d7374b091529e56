#include "state_files.h"

#include "cleanup.h"

#include <stdio.h>
#include <string.h>

#define NO_ZONES ""

struct marjoram_names
marjoram_state_files_evacuations (const struct marjoram_state *state)
{
  const struct marjoram_file *file
      = state ? marjoram_state_file (state, MARJORAM_FILE_EVACUATIONS) : NULL;

  return marjoram_names_parse (file && file->text ? file->text : NO_ZONES);
}

bool
marjoram_state_files_is_evacuated (const struct marjoram_names *zones,
                                   const char *zone)
{
  for (size_t i = 0; i < zones->count; i++)
    if (strcmp (zones->items[i], zone) == 0)
      return true;
  return false;
}

char *
marjoram_state_files_join (const struct marjoram_names *zones)
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

void
marjoram_state_files_evacuate (const struct marjoram_state *state,
                               const char *zone, bool evacuated,
                               struct marjoram_file *file)
{
  const struct marjoram_file *current
      = state ? marjoram_state_file (state, MARJORAM_FILE_EVACUATIONS) : NULL;
  struct marjoram_names zones = marjoram_state_files_evacuations (state);
  size_t size = 0;
  FILE *out;
  const char *comma = "";

  memset (file, 0, sizeof *file);
  file->name = marjoram_strdup (MARJORAM_FILE_EVACUATIONS);
  file->version = current ? current->version + 1 : 1;
  out = open_memstream (&file->text, &size);
  if (!out)
    abort ();
  for (size_t i = 0; i < zones.count; i++)
    if (strcmp (zones.items[i], zone) != 0)
      {
        fprintf (out, "%s%s", comma, zones.items[i]);
        comma = ",";
      }
  if (evacuated)
    fprintf (out, "%s%s", comma, zone);
  fclose (out);
  marjoram_names_clear (&zones);
}

struct marjoram_route_table *
marjoram_state_files_routes (const struct marjoram_state *state,
                             const struct marjoram_dialect *dialect,
                             struct marjoram_error *err)
{
  const struct marjoram_file *file
      = state ? marjoram_state_file (state, MARJORAM_FILE_ROUTES) : NULL;

  if (!file || !file->text)
    return NULL;
  return dialect->ops->read_config (file->text, strlen (file->text), err);
}
