#include "retry_after.h"

#include <string.h>

enum
{
  DECIMAL = 10,
  MSEC_PER_SEC = 1000
};

static bool
is_digit (char c)
{
  return c >= '0' && c <= '9';
}

static int64_t
limit (int64_t ms)
{
  return ms < MARJORAM_RETRY_AFTER_MAX_MS ? ms : MARJORAM_RETRY_AFTER_MAX_MS;
}

/* Parses the whole seconds at TEXT and returns what follows them.  */
static const char *
parse_seconds (const char *text, int64_t *ms)
{
  *ms = 0;
  for (; is_digit (*text); text++)
    *ms = limit (*ms * DECIMAL + (int64_t)(*text - '0') * MSEC_PER_SEC);
  return text;
}

/* Adds the fraction of a second at TEXT and returns what follows it.  */
static const char *
parse_fraction (const char *text, int64_t *ms)
{
  int64_t unit = MSEC_PER_SEC;
  int64_t added = 0;
  bool is_more = false;

  for (; is_digit (*text); text++)
    {
      unit /= DECIMAL;
      added += (*text - '0') * unit;
      is_more = is_more || (unit == 0 && *text != '0');
    }
  *ms = limit (*ms + added + is_more);
  return text;
}

bool
marjoram_retry_after_parse (const char *text, int64_t *ms)
{
  static const char blanks[] = " \t";
  const char *start;
  int64_t value;

  if (!text)
    return false;
  start = text + strspn (text, blanks);
  if (!is_digit (*start))
    return false;
  text = parse_seconds (start, &value);
  if (*text == '.')
    text = parse_fraction (text + 1, &value);
  if (text[strspn (text, blanks)])
    return false;
  *ms = value;
  return true;
}
