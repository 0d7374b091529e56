#include "error.h"

#include <stdarg.h>
#include <stdio.h>

bool
marjoram_error_set (struct marjoram_error *err, enum marjoram_error_kind kind,
                    const char *format, ...)
{
  va_list args;

  if (!err)
    return false;
  err->kind = kind;
  va_start (args, format);
  vsnprintf (err->message, sizeof err->message, format, args);
  va_end (args);
  return false;
}

const char *
marjoram_error_kind_name (enum marjoram_error_kind kind)
{
  static const char *const names[]
      = { "none",    "invalid", "conflict", "io",
          "corrupt", "refused", "timeout",  "limit" };

  return names[kind];
}
