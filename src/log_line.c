#include "log_line.h"

#include <stdlib.h>
#include <string.h>

static char *
find_line_start (char *text)
{
  char *start = text;

  while ((start = strstr (start, "t=")))
    {
      if (start == text || start[-1] == ' ')
        return start;
      start++;
    }
  return NULL;
}

/* Returns the end of a value, at a space or closing quote.  Moves VALUE past
   an opening quote.  */
static char *
find_value_end (char **value)
{
  char *end;

  if (**value != '"')
    return *value + strcspn (*value, " \r\n");
  (*value)++;
  end = strchr (*value, '"');
  return end ? end : *value + strlen (*value);
}

bool
marjoram_log_line_parse (char *text, struct marjoram_log_line *line)
{
  char *cursor = find_line_start (text);

  line->count = 0;
  while (cursor && *cursor && line->count < MARJORAM_LOG_FIELDS_MAX)
    {
      char *key = cursor + strspn (cursor, " \r\n");
      char *value = key + strcspn (key, "= ");
      char *end;

      if (*value != '=')
        break;
      *value++ = '\0';
      end = find_value_end (&value);
      cursor = *end ? end + 1 : end;
      *end = '\0';
      line->fields[line->count++] = (struct marjoram_log_field){ key, value };
    }
  if (!marjoram_log_line_get (line, "event")
      || !marjoram_log_line_get (line, "host"))
    return false;
  line->at = strtod (line->fields[0].value, NULL);
  return true;
}

const char *
marjoram_log_line_get (const struct marjoram_log_line *line, const char *key)
{
  for (size_t i = 0; i < line->count; i++)
    if (strcmp (line->fields[i].key, key) == 0)
      return line->fields[i].value;
  return NULL;
}

int64_t
marjoram_log_line_number (const struct marjoram_log_line *line,
                          const char *key, int64_t fallback)
{
  const char *text = marjoram_log_line_get (line, key);
  char *end = NULL;
  long long number = text ? strtoll (text, &end, 10) : 0;

  return text && end != text && *end == '\0' ? number : fallback;
}
