#include "fault.h"

#include "cleanup.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

enum
{
  FAULTS_LISTED_MAX = 200,
  LINE_MAX_BYTES = 2 * MARJORAM_ERROR_MESSAGE_MAX
};

struct marjoram_faults
{
  FILE *out;
  char *text;
  size_t size;
  size_t count;
  char first[LINE_MAX_BYTES];
};

marjoram_faults *
marjoram_faults_create (void)
{
  marjoram_faults *faults = marjoram_alloc (sizeof *faults);

  faults->out = open_memstream (&faults->text, &faults->size);
  if (!faults->out)
    abort ();
  return faults;
}

void
marjoram_faults_destroy (marjoram_faults *faults)
{
  if (!faults)
    return;
  fclose (faults->out);
  free (faults->text);
  free (faults);
}

void
marjoram_faults_cleanup (marjoram_faults **faults)
{
  marjoram_faults_destroy (*faults);
}

void
marjoram_faults_add (marjoram_faults *faults, const char *file, int line,
                     const char *format, ...)
{
  char message[MARJORAM_ERROR_MESSAGE_MAX];
  char text_line[LINE_MAX_BYTES];
  va_list args;

  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  if (line > 0)
    snprintf (text_line, sizeof text_line, "%.400s:%d: %s", file, line,
              message);
  else
    snprintf (text_line, sizeof text_line, "%.400s: %s", file, message);
  if (faults->count == 0)
    memcpy (faults->first, text_line, sizeof text_line);
  faults->count++;
  if (faults->count <= FAULTS_LISTED_MAX)
    fprintf (faults->out, "%s\n", text_line);
}

size_t
marjoram_faults_count (const marjoram_faults *faults)
{
  return faults->count;
}

char *
marjoram_faults_text (const marjoram_faults *faults)
{
  char *text = NULL;

  fflush (faults->out);
  if (faults->count <= FAULTS_LISTED_MAX)
    return marjoram_strdup (faults->text);
  if (asprintf (&text, "%sand %zu more; correct these first\n", faults->text,
                faults->count - FAULTS_LISTED_MAX)
      < 0)
    abort ();
  return text;
}

bool
marjoram_faults_report (const marjoram_faults *faults, char **text,
                        struct marjoram_error *err)
{
  if (text)
    *text = faults->count ? marjoram_faults_text (faults) : NULL;
  if (faults->count == 0)
    return true;
  return marjoram_error_set (err, MARJORAM_ERROR_INVALID, "%s", faults->first);
}
