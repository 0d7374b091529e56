/* One line of the event log, read back.  */
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

/* Borrows the text that it was read from.  */
struct marjoram_log_line
{
  struct marjoram_log_field fields[MARJORAM_LOG_FIELDS_MAX];
  size_t count;
  double at; /* s since the epoch */
};

/* Takes TEXT, which is changed, apart; false if it is no line of the log. What
   stands before "t=" (another program may have put it there) is passed over.
 */
bool marjoram_log_line_read (char *text, struct marjoram_log_line *line);
/* Null if the line has no such field.  */
const char *marjoram_log_line_get (const struct marjoram_log_line *line,
                                   const char *key);
/* FALLBACK if the field is missing or no number.  */
int64_t marjoram_log_line_number (const struct marjoram_log_line *line,
                                  const char *key, int64_t fallback);

#endif
