#include "digest.h"

#include <sodium.h>
#include <string.h>

void
marjoram_digest_request (const char *const *strings, size_t count,
                         const marjoram_bytes *body, char *digest)
{
  crypto_generichash_state hash;
  uint8_t digest_bytes[MARJORAM_DIGEST_BYTES];

  crypto_generichash_init (&hash, NULL, 0, sizeof digest_bytes);
  for (size_t i = 0; i < count; i++)
    crypto_generichash_update (&hash, (const uint8_t *)strings[i],
                               strlen (strings[i]) + 1);
  if (body)
    crypto_generichash_update (&hash, marjoram_bytes_data (body),
                               marjoram_bytes_size (body));
  crypto_generichash_final (&hash, digest_bytes, sizeof digest_bytes);
  sodium_bin2hex (digest, MARJORAM_DIGEST_HEX_LENGTH + 1, digest_bytes,
                  sizeof digest_bytes);
}
