/* The digest of a request as its sender means it: the same when it is sent
   again.  */
#ifndef MARJORAM_DIGEST_H
#define MARJORAM_DIGEST_H

#include "bytes.h"

enum
{
  MARJORAM_DIGEST_BYTES = 16,
  MARJORAM_DIGEST_TEXT = 2 * MARJORAM_DIGEST_BYTES /* hex digits */
};

/* Of COUNT texts in order and BODY, which may be null; DIGEST gets
   MARJORAM_DIGEST_TEXT digits and a NUL.  */
void marjoram_digest_request (const char *const *texts, size_t count,
                              const marjoram_bytes *body, char *digest);

#endif
