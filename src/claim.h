/* Claims of one availability zone: of all attempts that carry one request key,
   at most one runs.  Pure decisions: messages and the time go in, messages and
   verdicts come out.  The hosts of a zone keep claims in memory only; see
   docs/DESIGN-claims.md for why a restarted host may not answer at once.  */
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
  MARJORAM_CLAIM_REPLAY,    /* it has run; the kept answer is given */
  MARJORAM_CLAIM_RUNNING,   /* another attempt holds it; outcome still open */
  MARJORAM_CLAIM_LOST,      /* it may have run; its outcome is not known */
  MARJORAM_CLAIM_MISMATCH,  /* the key came before with another body */
  MARJORAM_CLAIM_NO_QUORUM, /* this attempt is proven not run: too few hosts
                               answered.  Says nothing of an earlier attempt
                               with the key, so a resend is not proven.  */
  MARJORAM_CLAIM_EXPIRED    /* key older than claims are kept, or than the
                               zone's horizon after a restart of all hosts */
};

/* The answer kept for replay.  */
struct marjoram_kept_answer
{
  uint64_t status; /* HTTP status; 0 if no answer is kept */
  char *content_type;
  marjoram_bytes *body;
};

struct marjoram_claim_message; /* defined in claim.c, packed by its layout */
extern const struct marjoram_layout marjoram_claim_layout;

struct marjoram_claims_ops
{
  /* Send MESSAGE (to be packed with marjoram_claim_layout) to the host in
     the zone's slot ORDINAL; it may be lost.  */
  void (*send) (void *context, int ordinal,
                const struct marjoram_claim_message *message);
  /* Answers one acquire, once; may be called before the acquire returns, and
     may call back.  KEPT is null but for a replay, and valid until the
     return.  */
  void (*decided) (void *context, uint64_t attempt,
                   enum marjoram_claim_verdict verdict,
                   const struct marjoram_kept_answer *kept);
};

struct marjoram_claims_options
{
  int slot_count;       /* entry-host slots of the zone */
  int self;             /* this host's ordinal */
  uint64_t incarnation; /* of this process, growing with each start */
  int64_t retention_ms; /* claims are kept this long */
  int64_t replay_ms;    /* answers are kept this long */
  int64_t timeout_ms;   /* for a majority to answer */
};

marjoram_claims *
marjoram_claims_create (const struct marjoram_claims_options *options,
                        const struct marjoram_claims_ops *ops, void *context);
void marjoram_claims_destroy (marjoram_claims *claims);

/* Whether this host has recovered and takes part.  */
bool marjoram_claims_ready (const marjoram_claims *claims);

/* ATTEMPT is unique for this host and incarnation.  KEY's time of issue is
   ISSUED_MS, wall clock, as WALL is; DIGEST is the request's, in hex.  */
void marjoram_claims_acquire (marjoram_claims *claims, int64_t now,
                              int64_t wall, uint64_t attempt, const char *key,
                              int64_t issued_ms, const char *digest);
/* The attempt was granted RUN but has not run and never will: frees the key
   for another attempt.  Also ends an acquire that is not yet decided, which
   then is never decided.  */
void marjoram_claims_withdraw (marjoram_claims *claims, int64_t now,
                               uint64_t attempt);
/* The attempt ran to its end; KEPT may be null if its outcome is unknown.  */
void marjoram_claims_finish (marjoram_claims *claims, int64_t now,
                             uint64_t attempt,
                             const struct marjoram_kept_answer *kept);
void marjoram_claims_receive (marjoram_claims *claims, int64_t now, int from,
                              const struct marjoram_claim_message *message);
/* At least every 100 ms: resends, timeouts, expiry.  */
void marjoram_claims_tick (marjoram_claims *claims, int64_t now, int64_t wall);
/* The time to put into key prefixes handed out now: WALL, or later after a
   restart of all hosts, as older keys are refused then.  */
int64_t marjoram_claims_issue_time (const marjoram_claims *claims,
                                    int64_t wall);
size_t marjoram_claims_count (const marjoram_claims *claims);
size_t marjoram_claims_memory (const marjoram_claims *claims);

/* Request keys are "ZONE.TIME.RANDOM", TIME in hex milliseconds.  Returns
   false if KEY has another form.  ZONE gets at least MARJORAM_KEY_MAX.  */
bool marjoram_key_parse (const char *key, char *zone, int64_t *issued_ms);
/* The prefix handed out by GET /v1/entries, "ZONE.TIME.".  */
void marjoram_key_prefix (char *prefix, size_t size, const char *zone,
                          int64_t wall);

#endif
