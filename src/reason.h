/* Why a request was refused, retried or left open.  The word goes to the
   caller in the Marjoram-Reason header and into the counters.  */
#ifndef MARJORAM_REASON_H
#define MARJORAM_REASON_H

#include <stdbool.h>

enum marjoram_reason
{
  MARJORAM_REASON_NONE,
  MARJORAM_REASON_NO_CONFIG,       /* this host has no configuration yet */
  MARJORAM_REASON_BAD_REQUEST,     /* malformed or ambiguous */
  MARJORAM_REASON_TOO_LARGE,       /* body or headers over the limit */
  MARJORAM_REASON_UNKNOWN_CALLER,  /* no such caller's token */
  MARJORAM_REASON_UNKNOWN_MODEL,   /* no such model or service */
  MARJORAM_REASON_RESIDENCY,       /* free capacity only where forbidden */
  MARJORAM_REASON_NO_UPSTREAM,     /* nothing that could run it is known */
  MARJORAM_REASON_OVERLOAD,        /* the wait would pass the deadline */
  MARJORAM_REASON_CALLER_LIMIT,    /* the caller's own rate is used up */
  MARJORAM_REASON_DEADLINE,        /* the deadline passed */
  MARJORAM_REASON_DRAINING,        /* this host is shutting down */
  MARJORAM_REASON_LINK_DOWN,       /* the other availability zone is cut off */
  MARJORAM_REASON_CLAIM_BUSY,      /* the same key is running elsewhere */
  MARJORAM_REASON_CLAIM_MISMATCH,  /* the same key came with another body */
  MARJORAM_REASON_CLAIM_NO_QUORUM, /* too few hosts answered to claim */
  MARJORAM_REASON_KEY_EXPIRED,     /* the key is older than is remembered */
  MARJORAM_REASON_KEY_MISSING,     /* non-idempotent work without a key */
  MARJORAM_REASON_CONVICTED,       /* the request crashes upstreams */
  MARJORAM_REASON_UPSTREAM_FAILED, /* an upstream broke off the answer */
  MARJORAM_REASON_UPSTREAM_REFUSED, /* an upstream refused before running */
  MARJORAM_REASON_UPSTREAM_SILENT,  /* an upstream made no progress */
  MARJORAM_REASON_RETRY_BUDGET,   /* a retry was due but the budget is used */
  MARJORAM_REASON_CONFIG_CHANGED, /* a newer configuration forbids it */
  MARJORAM_REASON_HOP_LIMIT,      /* a forwarded request may not go on */
  MARJORAM_REASON_CANCELLED,      /* the caller went away */
  MARJORAM_REASON_COUNT
};

/* How a request ended, as far as is proved.  */
enum marjoram_outcome
{
  MARJORAM_OUTCOME_DONE,
  MARJORAM_OUTCOME_NOT_RUN,
  MARJORAM_OUTCOME_UNKNOWN
};

/* For example "no-quorum".  */
const char *marjoram_reason_name (enum marjoram_reason reason);
/* What the caller can do about it, one sentence.  */
const char *marjoram_reason_remedy (enum marjoram_reason reason);
/* The HTTP status that goes with it when the request did not run.  */
int marjoram_reason_status (enum marjoram_reason reason);
/* "done", "not-run" or "unknown".  */
const char *marjoram_outcome_name (enum marjoram_outcome outcome);

#endif
