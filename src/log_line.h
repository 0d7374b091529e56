/* Parser for event log lines.  */
#ifndef MARJORAM_LOG_LINE_H
#define MARJORAM_LOG_LINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  MARJORAM_LOG_FIELDS_MAX = 48
};

struct marjoram_log_field
{
  const char *key;
  const char *value;
};

/* Keys and values point into the parsed text.  */
struct marjoram_log_line
{
  struct marjoram_log_field fields[MARJORAM_LOG_FIELDS_MAX];
  size_t count;
  double at; /* seconds since the epoch */
};

/* Parses TEXT in place.  Returns false if it is not an event log line.  A
   prefix before "t=", as log collectors add, is skipped.  */
bool marjoram_log_line_parse (char *text, struct marjoram_log_line *line);
/* Returns null if the line has no such field.  */
const char *marjoram_log_line_get (const struct marjoram_log_line *line,
                                   const char *key);
/* Returns FALLBACK if the field is missing or not a number.  */
int64_t marjoram_log_line_number (const struct marjoram_log_line *line,
                                  const char *key, int64_t fallback);

#endif
