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
