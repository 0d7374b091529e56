/* What stand-ins answer: a text worked out from the request alone, so that
   whoever sent a request can tell its own whole answer from a part of it and
   from another's.  */
#ifndef MARJORAM_TEST_ANSWER_H
#define MARJORAM_TEST_ANSWER_H

#include <stdbool.h>
#include <stddef.h>

enum
{
  STAND_IN_DIGEST_SIZE = 33, /* with the final NUL */
  STAND_IN_TOKENS = 16       /* where the request names no max_tokens */
};

/* DIGEST gets the hex hash of method, path and body.  */
void stand_in_digest (char *digest, const char *method, const char *path,
                      const void *body, size_t size);

/* The whole answer, malloc'd: a JSON object, or, if STREAM, server-sent
   events.  */
char *stand_in_answer (const char *digest, int tokens, bool stream);

/* How many bytes of a streamed answer its first COUNT tokens take.  */
size_t stand_in_stream_size (const char *digest, int count);

#endif
