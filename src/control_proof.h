/* Authentication of control calls and replies with the shared secret, used
   by the daemon and marjoramctl.  A proof is a keyed hash as hex digits.  */
#ifndef MARJORAM_CONTROL_PROOF_H
#define MARJORAM_CONTROL_PROOF_H

#include "replay.h"
#include "secret.h"

#include <stdbool.h>

#define MARJORAM_CONTROL_TIME "Marjoram-Time"
#define MARJORAM_CONTROL_NONCE "Marjoram-Nonce"
#define MARJORAM_CONTROL_PROOF "Marjoram-Proof"
#define MARJORAM_CONTROL_HELLO "/control/hello"

enum
{
  MARJORAM_PROOF_TEXT = 2 * MARJORAM_MAC_SIZE /* hex digits */
};

struct marjoram_control_call
{
  const char *method;
  const char *target; /* path and query, as sent */
  const char *slot;   /* of the called host; others reject the call */
  int64_t sent;       /* milliseconds, by the called host's wall clock */
  const char *nonce;
  const void *body;
  size_t size;
};

struct marjoram_control_reply
{
  const char *slot;
  const char *nonce; /* of the call */
  int status;        /* HTTP status code */
  const void *body;
  size_t size;
};

/* Store MARJORAM_PROOF_TEXT hex digits and a NUL in PROOF.  */
void marjoram_control_call_sign (const char *secret,
                                 const struct marjoram_control_call *call,
                                 char proof[MARJORAM_PROOF_TEXT + 1]);
void marjoram_control_reply_sign (const char *secret,
                                  const struct marjoram_control_reply *reply,
                                  char proof[MARJORAM_PROOF_TEXT + 1]);
/* Compares in constant time.  GIVEN may be null or malformed.  */
bool marjoram_control_proof_equal (const char *given, const char *expected);
bool marjoram_control_nonce_valid (const char *nonce);
void marjoram_control_nonce_generate (char nonce[MARJORAM_NONCE_TEXT + 1]);

#endif
