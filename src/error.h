/* Errors, reported in a struct that the caller provides: a kind, and a message
   that names the remedy.  */
#ifndef MARJORAM_ERROR_H
#define MARJORAM_ERROR_H

#include <stdbool.h>

enum marjoram_error_kind
{
  MARJORAM_ERROR_NONE,
  MARJORAM_ERROR_INVALID,
  MARJORAM_ERROR_CONFLICT, /* a newer or different value is in force */
  MARJORAM_ERROR_IO,       /* a file or socket operation failed */
  MARJORAM_ERROR_CORRUPT,  /* stored data is damaged */
  MARJORAM_ERROR_REFUSED,
  MARJORAM_ERROR_TIMEOUT, /* no response in time; outcome may be unknown */
  MARJORAM_ERROR_LIMIT    /* a size or count limit was exceeded */
};

#define MARJORAM_ERROR_MESSAGE_MAX 512

struct marjoram_error
{
  enum marjoram_error_kind kind;
  char message[MARJORAM_ERROR_MESSAGE_MAX];
};

/* Sets ERR, which may be null, and returns false, so that a failing function
   can end with "return marjoram_error_set (...)".  */
bool marjoram_error_set (struct marjoram_error *err,
                         enum marjoram_error_kind kind, const char *format,
                         ...) __attribute__ ((format (printf, 3, 4)));

const char *marjoram_error_kind_name (enum marjoram_error_kind kind);

#endif
