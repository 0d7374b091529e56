#include "run_proof.h"

const char *
marjoram_run_proof_name (enum marjoram_run_proof proof)
{
  static const char *const names[] = { [MARJORAM_PROOF_NONE] = "none",
                                       [MARJORAM_PROOF_UNSENT] = "unsent",
                                       [MARJORAM_PROOF_UPSTREAM] = "upstream",
                                       [MARJORAM_PROOF_HOST] = "host" };

  return names[proof];
}

void
marjoram_run_record_sent (struct marjoram_run_record *record, uint64_t attempt)
{
  record->attempt = attempt;
  record->proof = MARJORAM_PROOF_NONE;
  record->unproven++;
}

bool
marjoram_run_record_prove (struct marjoram_run_record *record,
                           uint64_t attempt, enum marjoram_run_proof proof)
{
  if (attempt == 0 || attempt != record->attempt
      || record->proof != MARJORAM_PROOF_NONE || proof == MARJORAM_PROOF_NONE)
    return false;
  record->proof = proof;
  record->unproven--;
  return true;
}

bool
marjoram_run_record_may_have_run (const struct marjoram_run_record *record)
{
  return record->unproven > 0;
}

enum marjoram_outcome
marjoram_run_record_outcome (const struct marjoram_run_record *record)
{
  return marjoram_run_record_may_have_run (record) ? MARJORAM_OUTCOME_UNKNOWN
                                                   : MARJORAM_OUTCOME_NOT_RUN;
}
