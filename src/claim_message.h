/* Messages between the hosts of one zone about claims, and how much a claim
   may carry.  Private to the claim modules and their tests; others see the
   message as opaque, packed by marjoram_claim_layout.  */
#ifndef MARJORAM_CLAIM_MESSAGE_H
#define MARJORAM_CLAIM_MESSAGE_H

#include "claim.h"

enum
{
  MARJORAM_KEPT_BODY_MAX = 64 * 1024, /* larger answers are not kept */
  MARJORAM_KEPT_TYPE_MAX = 256,
  MARJORAM_CLAIM_ENTRIES_MAX = 512 /* of one message */
};

enum marjoram_claim_kind
{
  MARJORAM_CLAIM_ASK,      /* vote for entry 0 */
  MARJORAM_CLAIM_PROBE,    /* tell what is held for entry 0's key */
  MARJORAM_CLAIM_ANSWER,   /* to both; entry 0 as asked, then what is held */
  MARJORAM_CLAIM_CHECK,    /* to the owner: is entry 0 still alive? */
  MARJORAM_CLAIM_WITHDRAW, /* entry 0 never ran and never will */
  MARJORAM_CLAIM_FINISH,   /* entry 0 ran to its end */
  MARJORAM_CLAIM_FINISHED, /* answers FINISH */
  MARJORAM_CLAIM_RECOVER,  /* a restarted host asks for state */
  MARJORAM_CLAIM_STATE     /* answers RECOVER */
};

enum marjoram_claim_vote
{
  MARJORAM_VOTE_NONE,   /* not now, or only a probe */
  MARJORAM_VOTE_YES,    /* entry 0 is the only attempt known for its key */
  MARJORAM_VOTE_HELD,   /* another attempt is */
  MARJORAM_VOTE_BLOCKED /* the key is older than this host's horizon */
};

enum marjoram_claim_state
{
  MARJORAM_CLAIM_PENDING, /* asked for, may be granted */
  MARJORAM_CLAIM_GRANTED, /* known by its owner only */
  MARJORAM_CLAIM_DONE
};

/* A key or digest as 128 bits of a hash.  */
struct marjoram_hash128
{
  uint64_t high;
  uint64_t low;
};

/* One attempt.  OWNER, INCARNATION and NUMBER name it for ever.  */
struct marjoram_claim_entry
{
  struct marjoram_hash128 key;
  struct marjoram_hash128 digest;
  uint64_t owner;
  uint64_t incarnation;
  uint64_t number;
  uint64_t issued; /* key's time of issue, ms since the epoch */
  uint64_t state;
  struct marjoram_kept_answer kept;
};

struct marjoram_claim_incarnation
{
  uint64_t value;
};

struct marjoram_claim_message
{
  uint64_t kind;
  uint64_t incarnation;        /* of the sender */
  struct marjoram_array known; /* incarnations known to it, by slot */
  int64_t horizon;             /* keys issued before it are refused there */
  struct marjoram_array entries;
  uint64_t vote;
  uint64_t since;  /* RECOVER, STATE: records after this one */
  uint64_t cursor; /* STATE: the last record given */
  bool more;       /* further state follows after CURSOR */
  bool recovered;  /* the sender has recovered */
};

/* BLAKE2b, so that callers can't make two keys collide.  */
struct marjoram_hash128 marjoram_hash128_text (const char *text);
bool marjoram_hash128_equal (struct marjoram_hash128 a,
                             struct marjoram_hash128 b);
bool marjoram_claim_same (const struct marjoram_claim_entry *a,
                          const struct marjoram_claim_entry *b);

#endif
