/* Request deduplication within one availability zone: of all attempts with the
   same request key, at most one runs.  Performs no I/O; messages and the
   current time are inputs, messages and verdicts are outputs.  Claims are held
   in memory only, so a restarted host recovers state from its peers before it
   votes on old keys; see docs/DESIGN-claims.md.  */
#ifndef MARJORAM_CLAIM_H
#define MARJORAM_CLAIM_H

#include "reason.h"
#include "wire.h"

typedef struct marjoram_claims marjoram_claims;

enum
{
  MARJORAM_KEY_MAX = 128,
  MARJORAM_ZONE_SLOTS_MAX = 64
};

enum marjoram_claim_verdict
{
  MARJORAM_CLAIM_RUN,       /* this attempt, and no other, may run */
  MARJORAM_CLAIM_REPLAY,    /* already ran; the stored answer is returned */
  MARJORAM_CLAIM_RUNNING,   /* another attempt holds the key and is pending */
  MARJORAM_CLAIM_LOST,      /* may have run; the outcome is unknown */
  MARJORAM_CLAIM_MISMATCH,  /* the key was used with a different body */
  MARJORAM_CLAIM_NO_QUORUM, /* no majority voted for this attempt, so it did
                               not run; an earlier attempt may have */
  MARJORAM_CLAIM_EXPIRED    /* key issued before the retention period, or
                               before the horizon set by a zone restart */
};

/* A response stored for replay.  */
struct marjoram_stored_answer
{
  uint64_t status; /* HTTP status; 0 if no answer is stored */
  char *content_type;
  marjoram_bytes *body;
};

struct marjoram_claim_message; /* opaque; defined in claim_message.h */
extern const struct marjoram_layout marjoram_claim_layout;

struct marjoram_claims_ops
{
  /* Sends MESSAGE, packed with marjoram_claim_layout, to the host in the
     zone's slot ORDINAL.  Delivery is not guaranteed.  */
  void (*send) (void *context, int ordinal,
                const struct marjoram_claim_message *message);
  /* Called at most once for each acquire, possibly before the acquire
     returns.  May call back into this module.  KEPT is null except for
     MARJORAM_CLAIM_REPLAY and valid only during the call.  */
  void (*decided) (void *context, uint64_t attempt,
                   enum marjoram_claim_verdict verdict,
                   const struct marjoram_stored_answer *kept);
};

struct marjoram_claims_options
{
  int slot_count;       /* entry-host slots of the zone */
  int self;             /* this host's ordinal */
  uint64_t incarnation; /* increases with each start of the process */
  int64_t retention_ms; /* lifetime of a claim */
  int64_t replay_ms;    /* lifetime of a stored answer */
  int64_t timeout_ms;   /* time allowed for a majority to answer */
};

marjoram_claims *
marjoram_claims_create (const struct marjoram_claims_options *options,
                        const struct marjoram_claims_ops *ops, void *context);
void marjoram_claims_destroy (marjoram_claims *claims);

/* Returns true once recovery is complete or has timed out.  */
bool marjoram_claims_ready (const marjoram_claims *claims);

/* Starts an attempt to claim KEY.  ATTEMPT must be unique for this host and
   incarnation.  ISSUED_MS is the wall-clock time at which KEY was issued;
   DIGEST is the request digest in hex.  */
void marjoram_claims_acquire (marjoram_claims *claims, int64_t now,
                              int64_t wall, uint64_t attempt, const char *key,
                              int64_t issued_ms, const char *digest);
/* Releases the key of an attempt that has not run and never will.  A pending
   acquire is cancelled without a verdict.  */
void marjoram_claims_withdraw (marjoram_claims *claims, int64_t now,
                               uint64_t attempt);
/* Records that the attempt completed.  KEPT is the answer to store for replay,
   or null if the outcome is unknown.  */
void marjoram_claims_finish (marjoram_claims *claims, int64_t now,
                             uint64_t attempt,
                             const struct marjoram_stored_answer *kept);
void marjoram_claims_receive (marjoram_claims *claims, int64_t now, int from,
                              const struct marjoram_claim_message *message);
/* Handles resends, timeouts and expiry.  Call at least every 100 ms.  */
void marjoram_claims_tick (marjoram_claims *claims, int64_t now, int64_t wall);
/* Returns the timestamp for newly issued keys: WALL, or the zone's horizon if
   that is later, since keys issued before the horizon are refused.  */
int64_t marjoram_claims_issue_time (const marjoram_claims *claims,
                                    int64_t wall);
size_t marjoram_claims_count (const marjoram_claims *claims);
size_t marjoram_claims_memory (const marjoram_claims *claims);

/* Parses a request key "ZONE.TIME.RANDOM", TIME in hex milliseconds since the
   epoch.  Returns false if KEY is malformed.  ZONE must have room for
   MARJORAM_KEY_MAX bytes.  */
bool marjoram_key_parse (const char *key, char *zone, int64_t *issued_ms);
/* Formats the key prefix returned by GET /v1/entries, "ZONE.TIME.".  */
void marjoram_key_format_prefix (char *prefix, size_t size, const char *zone,
                                 int64_t wall);

#endif
