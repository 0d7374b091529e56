#include "reason.h"

struct reason_text
{
  const char *name;
  int status;
  const char *remedy;
};

static const struct reason_text texts[MARJORAM_REASON_COUNT] = {
  [MARJORAM_REASON_NONE] = { "none", 200, "nothing to do" },
  [MARJORAM_REASON_NO_CONFIG]
  = { "no-config", 503,
      "use another entry host; this one has no configuration yet" },
  [MARJORAM_REASON_BAD_REQUEST]
  = { "bad-request", 400, "mend the request as the message says" },
  [MARJORAM_REASON_TOO_LARGE]
  = { "too-large", 413, "send a smaller request, or have max_body raised" },
  [MARJORAM_REASON_UNKNOWN_CALLER]
  = { "unknown-caller", 401, "send a token of a configured caller" },
  [MARJORAM_REASON_UNKNOWN_MODEL]
  = { "unknown-model", 404, "name a configured model or service" },
  [MARJORAM_REASON_RESIDENCY]
  = { "residency", 503,
      "try later; only regions that residency forbids "
      "have room" },
  [MARJORAM_REASON_NO_UPSTREAM]
  = { "no-upstream", 503, "try later; no upstream for it is known" },
  [MARJORAM_REASON_OVERLOAD]
  = { "overload", 503,
      "come back after Retry-After, or allow a later "
      "deadline" },
  [MARJORAM_REASON_CALLER_LIMIT]
  = { "caller-limit", 429, "come back after Retry-After" },
  [MARJORAM_REASON_DEADLINE] = { "deadline", 504, "allow a later deadline" },
  [MARJORAM_REASON_DRAINING]
  = { "draining", 503, "use another entry host from GET /v1/entries" },
  [MARJORAM_REASON_LINK_DOWN]
  = { "link-down", 503, "try later, or ask an entry host of that zone" },
  [MARJORAM_REASON_CLAIM_BUSY]
  = { "claim-busy", 409,
      "the key is in use; ask again after Retry-After "
      "with the same key" },
  [MARJORAM_REASON_CLAIM_MISMATCH]
  = { "claim-mismatch", 422, "use a new key for a different request" },
  [MARJORAM_REASON_CLAIM_NO_QUORUM]
  = { "claim-no-quorum", 503,
      "come back after Retry-After with the same "
      "key" },
  [MARJORAM_REASON_KEY_EXPIRED]
  = { "key-expired", 410, "check whether it ran, then use a new key" },
  [MARJORAM_REASON_KEY_MISSING]
  = { "key-missing", 400,
      "send an Idempotency-Key whose prefix comes from "
      "GET /v1/entries" },
  [MARJORAM_REASON_CONVICTED]
  = { "convicted", 422, "do not send it again; it crashes the upstream" },
  [MARJORAM_REASON_UPSTREAM_FAILED]
  = { "upstream-failed", 502, "send it again if it is idempotent" },
  [MARJORAM_REASON_UPSTREAM_REFUSED]
  = { "upstream-refused", 503, "come back after Retry-After" },
  [MARJORAM_REASON_UPSTREAM_SILENT]
  = { "upstream-silent", 504, "send it again if it is idempotent" },
  [MARJORAM_REASON_RETRY_BUDGET]
  = { "retry-budget", 503, "come back after Retry-After" },
  [MARJORAM_REASON_CONFIG_CHANGED]
  = { "config-changed", 503, "send it again under the new configuration" },
  [MARJORAM_REASON_HOP_LIMIT]
  = { "hop-limit", 503, "ask an entry host of that zone directly" },
  [MARJORAM_REASON_CANCELLED]
  = { "cancelled", 499, "nothing to do; the caller went away" },
  [MARJORAM_REASON_CONFIG_UNCONFIRMED]
  = { "config-unconfirmed", 503,
      "use another entry host; the keepers have not confirmed this one's "
      "configuration" },
  [MARJORAM_REASON_QUOTA_UNKNOWN]
  = { "quota-unknown", 503,
      "come back after Retry-After; no keeper has answered for the quota" },
  [MARJORAM_REASON_OTHER_BUILD]
  = { "other-build", 503,
      "start the stream anew; no upstream of the build that began it is "
      "known" },
  [MARJORAM_REASON_BUILD_UNKNOWN]
  = { "build-unknown", 503,
      "start the stream anew; which build began it is not known" },
  [MARJORAM_REASON_ANSWER_TOO_LARGE]
  = { "answer-too-large", 502,
      "ask for less, or have answer_bytes or memory_mb raised" },
};

const char *
marjoram_reason_name (enum marjoram_reason reason)
{
  return texts[reason].name;
}

const char *
marjoram_reason_remedy (enum marjoram_reason reason)
{
  return texts[reason].remedy;
}

int
marjoram_reason_status (enum marjoram_reason reason)
{
  return texts[reason].status;
}

const char *
marjoram_outcome_name (enum marjoram_outcome outcome)
{
  static const char *const names[] = { "done", "not-run", "unknown" };

  return names[outcome];
}
