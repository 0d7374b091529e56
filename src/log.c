#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

static char log_name[64] = "marjoram";
static enum marjoram_log_level log_level = MARJORAM_LOG_INFO;

void
marjoram_log_open (const char *name, enum marjoram_log_level level)
{
  snprintf (log_name, sizeof log_name, "%s", name);
  log_level = level;
}

void
marjoram_log_set_level (enum marjoram_log_level level)
{
  log_level = level;
}

int
marjoram_log_level_parse (const char *word)
{
  static const char *const names[]
      = { "error", "warning", "notice", "info", "debug" };

  for (int i = 0; i < 5; i++)
    if (strcmp (word, names[i]) == 0)
      return MARJORAM_LOG_ERROR + i;
  return -1;
}

void
marjoram_log (enum marjoram_log_level level, const char *format, ...)
{
  char text[1024];
  char timestamp[32];
  struct timespec ts;
  struct tm tm;
  va_list args;

  if (level > log_level)
    return;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  clock_gettime (CLOCK_REALTIME, &ts);
  gmtime_r (&ts.tv_sec, &tm);
  strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%S", &tm);
  fprintf (stderr, "<%d>%s.%03ldZ %s: %s\n", (int)level, timestamp,
           ts.tv_nsec / 1000000, log_name, text);
}
