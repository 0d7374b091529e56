#include "control_proof.h"

#include "cleanup.h"
#include "state.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

/* Computes the proof of TEXT and frees TEXT.  The first line of each text
   provides domain separation between calls, replies and peer links.  */
static void
compute_proof (const char *secret, char *text,
               char proof[MARJORAM_PROOF_TEXT + 1])
{
  uint8_t hash[MARJORAM_MAC_SIZE];

  marjoram_secret_mac (secret, text, strlen (text), hash);
  sodium_bin2hex (proof, MARJORAM_PROOF_TEXT + 1, hash, sizeof hash);
  free (text);
}

void
marjoram_control_call_sign (const char *secret,
                            const struct marjoram_control_call *call,
                            char proof[MARJORAM_PROOF_TEXT + 1])
{
  marjoram_auto_free char *digest = marjoram_digest (call->body, call->size);
  char *text;

  if (asprintf (&text, "control call\n%s\n%s\n%s\n%" PRId64 "\n%s\n%s",
                call->method, call->target, call->slot, call->sent,
                call->nonce, digest)
      < 0)
    abort ();
  compute_proof (secret, text, proof);
}

void
marjoram_control_reply_sign (const char *secret,
                             const struct marjoram_control_reply *reply,
                             char proof[MARJORAM_PROOF_TEXT + 1])
{
  marjoram_auto_free char *digest = marjoram_digest (reply->body, reply->size);
  char *text;

  if (asprintf (&text, "control reply\n%s\n%s\n%d\n%s", reply->slot,
                reply->nonce, reply->status, digest)
      < 0)
    abort ();
  compute_proof (secret, text, proof);
}

bool
marjoram_control_proof_equal (const char *given, const char *expected)
{
  return given && strlen (given) == MARJORAM_PROOF_TEXT
         && sodium_memcmp (given, expected, MARJORAM_PROOF_TEXT) == 0;
}

bool
marjoram_control_nonce_valid (const char *nonce)
{
  return nonce && strlen (nonce) == MARJORAM_NONCE_TEXT
         && strspn (nonce, "0123456789abcdef") == MARJORAM_NONCE_TEXT;
}

void
marjoram_control_nonce_generate (char nonce[MARJORAM_NONCE_TEXT + 1])
{
  uint8_t bytes[MARJORAM_NONCE_TEXT / 2];

  if (sodium_init () < 0)
    abort ();
  randombytes_buf (bytes, sizeof bytes);
  sodium_bin2hex (nonce, MARJORAM_NONCE_TEXT + 1, bytes, sizeof bytes);
}
