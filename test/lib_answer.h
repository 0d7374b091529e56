/* Response bodies of fake upstreams, derived from the request alone so that a
   test can detect truncated or misrouted responses.  */
#ifndef MARJORAM_TEST_ANSWER_H
#define MARJORAM_TEST_ANSWER_H

#include <stdbool.h>
#include <stddef.h>

enum
{
  FAKE_DIGEST_SIZE = 33,   /* including the terminating NUL */
  FAKE_DEFAULT_TOKENS = 16 /* default when max_tokens is absent */
};

/* Writes the hex hash of method, path and body to DIGEST.  */
void fake_digest (char *digest, const char *method, const char *path,
                  const void *body, size_t size);

/* Returns the complete response body, allocated with malloc: server-sent
   events if STREAM, otherwise a JSON object.  */
char *fake_answer (const char *digest, int tokens, bool stream);

/* Size in bytes of the first COUNT tokens of a streamed response.  */
size_t fake_stream_size (const char *digest, int count);

#endif
