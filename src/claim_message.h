/* Claim messages exchanged by the hosts of one zone.  Private to the claim
   modules and their tests; other modules treat the message as opaque and pack
   it with marjoram_claim_layout.  */
#ifndef MARJORAM_CLAIM_MESSAGE_H
#define MARJORAM_CLAIM_MESSAGE_H

#include "claim.h"

enum
{
  MARJORAM_KEPT_BODY_MAX = 64 * 1024, /* larger answers are not stored */
  MARJORAM_KEPT_TYPE_MAX = 256,
  MARJORAM_CLAIM_ENTRIES_MAX = 512 /* per message */
};

enum marjoram_claim_kind
{
  MARJORAM_CLAIM_ASK,      /* request a vote for entry 0 */
  MARJORAM_CLAIM_PROBE,    /* list the attempts known for entry 0's key */
  MARJORAM_CLAIM_ANSWER,   /* reply to ASK or PROBE: entry 0 of the request,
                              then the attempts known for its key */
  MARJORAM_CLAIM_CHECK,    /* ask the owner for the outcome of entry 0 */
  MARJORAM_CLAIM_WITHDRAW, /* entry 0 did not run and never will */
  MARJORAM_CLAIM_FINISH,   /* entry 0 completed */
  MARJORAM_CLAIM_FINISHED, /* acknowledges FINISH */
  MARJORAM_CLAIM_RECOVER,  /* a restarted host requests state */
  MARJORAM_CLAIM_STATE     /* reply to RECOVER */
};

enum marjoram_claim_vote
{
  MARJORAM_VOTE_NONE,   /* no vote: PROBE, or the key is too far ahead */
  MARJORAM_VOTE_YES,    /* entry 0 is the only attempt known for its key */
  MARJORAM_VOTE_HELD,   /* another attempt holds the key */
  MARJORAM_VOTE_BLOCKED /* the key is before the voter's horizon or expired */
};

enum marjoram_claim_state
{
  MARJORAM_CLAIM_PENDING, /* requested, may have been granted */
  MARJORAM_CLAIM_GRANTED, /* reported by the owner only */
  MARJORAM_CLAIM_DONE
};

/* 128-bit hash of a request key or digest.  */
struct marjoram_hash128
{
  uint64_t high;
  uint64_t low;
};

/* One attempt, identified by OWNER, INCARNATION and NUMBER.  */
struct marjoram_claim_entry
{
  struct marjoram_hash128 key;
  struct marjoram_hash128 digest;
  uint64_t owner;
  uint64_t incarnation;
  uint64_t number;
  uint64_t issued; /* issue time of the key, ms since the epoch */
  uint64_t state;
  struct marjoram_stored_answer kept;
};

struct marjoram_claim_incarnation
{
  uint64_t value;
};

struct marjoram_claim_message
{
  uint64_t kind;
  uint64_t incarnation; /* of the sender */
  struct marjoram_array
      known_incarnations; /* latest incarnations, indexed by slot */
  int64_t horizon;        /* the sender refuses keys issued earlier */
  struct marjoram_array entries;
  uint64_t vote;
  uint64_t since;  /* RECOVER, STATE: serial after which to read */
  uint64_t cursor; /* STATE: serial of the last record included */
  bool more;       /* STATE: more records follow CURSOR */
  bool recovered;
};

/* BLAKE2b, because keys are chosen by callers and must not collide.  */
struct marjoram_hash128 marjoram_hash128_from_text (const char *text);
bool marjoram_hash128_equal (struct marjoram_hash128 a,
                             struct marjoram_hash128 b);
bool marjoram_claim_same_attempt (const struct marjoram_claim_entry *a,
                                  const struct marjoram_claim_entry *b);

#endif
