/* Reasons why a request was refused or retried or has an unknown outcome.  The
   names are sent in the Marjoram-Reason header and label the counters.  */
#ifndef MARJORAM_REASON_H
#define MARJORAM_REASON_H

#include <stdbool.h>

enum marjoram_reason
{
  MARJORAM_REASON_NONE,
  MARJORAM_REASON_NO_CONFIG,      /* this host has no configuration yet */
  MARJORAM_REASON_BAD_REQUEST,    /* malformed or ambiguous */
  MARJORAM_REASON_TOO_LARGE,      /* body or headers over the limit */
  MARJORAM_REASON_UNKNOWN_CALLER, /* no caller has this token */
  MARJORAM_REASON_UNKNOWN_MODEL,  /* no such model or service */
  MARJORAM_REASON_RESIDENCY,      /* free capacity only in other regions */
  MARJORAM_REASON_NO_UPSTREAM,    /* no suitable upstream is known */
  MARJORAM_REASON_OVERLOAD,       /* the estimated wait exceeds the deadline */
  MARJORAM_REASON_CALLER_LIMIT,   /* the caller's rate limit is exceeded */
  MARJORAM_REASON_DEADLINE,       /* the deadline passed */
  MARJORAM_REASON_DRAINING,       /* this host is shutting down */
  MARJORAM_REASON_LINK_DOWN,      /* no link to the other availability zone */
  MARJORAM_REASON_CLAIM_BUSY,     /* a request with the same key is running */
  MARJORAM_REASON_CLAIM_MISMATCH, /* the key was used with another body */
  MARJORAM_REASON_CLAIM_NO_QUORUM,  /* too few hosts confirmed the claim */
  MARJORAM_REASON_KEY_EXPIRED,      /* older than the retention period */
  MARJORAM_REASON_KEY_MISSING,      /* non-idempotent work without a key */
  MARJORAM_REASON_CONVICTED,        /* the request crashes upstreams */
  MARJORAM_REASON_UPSTREAM_FAILED,  /* an upstream aborted the response */
  MARJORAM_REASON_UPSTREAM_REFUSED, /* an upstream refused before running */
  MARJORAM_REASON_UPSTREAM_SILENT,  /* an upstream made no progress */
  MARJORAM_REASON_RETRY_BUDGET,     /* the retry budget is exhausted */
  MARJORAM_REASON_CONFIG_CHANGED,   /* a newer configuration forbids it */
  MARJORAM_REASON_HOP_LIMIT,        /* forwarded too many times */
  MARJORAM_REASON_CANCELLED,        /* the caller disconnected */
  /* This host cannot tell whether its customers' keys are still valid.  */
  MARJORAM_REASON_CONFIG_UNCONFIRMED,
  MARJORAM_REASON_QUOTA_UNKNOWN,    /* no keeper answers for the quota */
  MARJORAM_REASON_OTHER_BUILD,      /* no upstream of the stream's build */
  MARJORAM_REASON_BUILD_UNKNOWN,    /* which build began the stream */
  MARJORAM_REASON_ANSWER_TOO_LARGE, /* an upstream's answer, or all of them */
  MARJORAM_REASON_COUNT
};

enum marjoram_outcome
{
  MARJORAM_OUTCOME_DONE,
  MARJORAM_OUTCOME_NOT_RUN,
  MARJORAM_OUTCOME_UNKNOWN
};

/* Returns the name of REASON, for example "claim-no-quorum".  */
const char *marjoram_reason_name (enum marjoram_reason reason);
/* Returns a hint for the caller.  */
const char *marjoram_reason_remedy (enum marjoram_reason reason);
/* Returns the HTTP status code of a request that was not run.  */
int marjoram_reason_status (enum marjoram_reason reason);
/* Returns "done", "not-run" or "unknown".  */
const char *marjoram_outcome_name (enum marjoram_outcome outcome);

#endif
