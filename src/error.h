/* Errors: a struct passed down by the caller, with a kind for programs and a
   message for people that names the remedy.  */
#ifndef MARJORAM_ERROR_H
#define MARJORAM_ERROR_H

#include <stdbool.h>

enum marjoram_error_kind
{
  MARJORAM_ERROR_NONE,
  MARJORAM_ERROR_INVALID,  /* bad input: mend it and try again */
  MARJORAM_ERROR_CONFLICT, /* a newer or different value holds */
  MARJORAM_ERROR_IO,       /* a file or socket operation failed */
  MARJORAM_ERROR_CORRUPT,  /* stored data is damaged: repair needed */
  MARJORAM_ERROR_REFUSED,  /* not allowed */
  MARJORAM_ERROR_TIMEOUT,  /* no answer in time; the outcome may be open */
  MARJORAM_ERROR_LIMIT     /* a size or count limit was passed */
};

#define MARJORAM_ERROR_MESSAGE_MAX 512

struct marjoram_error
{
  enum marjoram_error_kind kind;
  char message[MARJORAM_ERROR_MESSAGE_MAX];
};

/* Fill ERR (which may be null) and return false, so that a failing function
   can end with "return marjoram_error_set (...)".  */
bool marjoram_error_set (struct marjoram_error *err,
                         enum marjoram_error_kind kind, const char *format,
                         ...) __attribute__ ((format (printf, 3, 4)));

const char *marjoram_error_kind_name (enum marjoram_error_kind kind);

#endif
