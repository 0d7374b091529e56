/* Digest of a request's content, identical for retries of the request.  */
#ifndef MARJORAM_DIGEST_H
#define MARJORAM_DIGEST_H

#include "bytes.h"

enum
{
  MARJORAM_DIGEST_BYTES = 16,
  MARJORAM_DIGEST_HEX_LENGTH = 2 * MARJORAM_DIGEST_BYTES /* hex digits */
};

/* Hashes COUNT STRINGS, in order, and BODY, which may be null.  DIGEST
   receives MARJORAM_DIGEST_HEX_LENGTH hex digits and a NUL.  */
void marjoram_digest_request (const char *const *strings, size_t count,
                              const marjoram_bytes *body, char *digest);

#endif
