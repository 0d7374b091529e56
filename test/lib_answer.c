#include "lib_answer.h"

#include "cleanup.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum
{
  TOKEN_SIZE = 18, /* 16 hex digits, a space, the terminating NUL */
  EVENT_SIZE = 256,
  STREAM_EPOCH
  = 1000000 /* fixed number of digits, so all events have equal size */
};

static const char stream_end[] = "data: [DONE]\n\n";

void
fake_digest (char *digest, const char *method, const char *path,
             const void *body, size_t size)
{
  XXH3_state_t *state = XXH3_createState ();
  XXH128_hash_t hash;

  XXH3_128bits_reset (state);
  XXH3_128bits_update (state, method, strlen (method) + 1);
  XXH3_128bits_update (state, path, strlen (path) + 1);
  if (size)
    XXH3_128bits_update (state, body, size);
  hash = XXH3_128bits_digest (state);
  XXH3_freeState (state);
  snprintf (digest, FAKE_DIGEST_SIZE, "%016" PRIx64 "%016" PRIx64,
            (uint64_t)hash.high64, (uint64_t)hash.low64);
}

static void
format_token (char *text, const char *digest, int index)
{
  snprintf (text, TOKEN_SIZE, "%016" PRIx64 " ",
            (uint64_t)XXH64 (digest, strlen (digest), (XXH64_hash_t)index));
}

static size_t
format_event (char *text, const char *digest, int index)
{
  char content[TOKEN_SIZE];

  format_token (content, digest, index);
  return (size_t)snprintf (text, EVENT_SIZE,
                           "data: {\"id\":\"%s\",\"created\":%d,\"choices\":"
                           "[{\"index\":0,\"delta\":{\"content\":\"%s\"}}]}"
                           "\n\n",
                           digest, STREAM_EPOCH + index, content);
}

size_t
fake_stream_size (const char *digest, int count)
{
  char text[EVENT_SIZE];

  return (size_t)count * format_event (text, digest, 0);
}

static char *
stream_answer (const char *digest, int tokens)
{
  size_t size = fake_stream_size (digest, tokens);
  char *answer = marjoram_alloc (size + EVENT_SIZE);
  char *end = answer;

  for (int i = 0; i < tokens; i++)
    end += format_event (end, digest, i);
  memcpy (end, stream_end, sizeof stream_end);
  return answer;
}

static char *
whole_answer (const char *digest, int tokens)
{
  size_t size = (size_t)tokens * TOKEN_SIZE + EVENT_SIZE;
  char *answer = marjoram_alloc (size);
  char *end = answer;

  end += snprintf (answer, size,
                   "{\"id\":\"%s\",\"choices\":[{\"index\":0,\"message\":"
                   "{\"role\":\"assistant\",\"content\":\"",
                   digest);
  for (int i = 0; i < tokens; i++)
    {
      format_token (end, digest, i);
      end += TOKEN_SIZE - 1;
    }
  snprintf (end, size - (size_t)(end - answer),
            "\"}}],\"usage\":{\"completion_tokens\":%d}}", tokens);
  return answer;
}

char *
fake_answer (const char *digest, int tokens, bool stream)
{
  return stream ? stream_answer (digest, tokens)
                : whole_answer (digest, tokens);
}
