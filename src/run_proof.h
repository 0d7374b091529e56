/* Which attempts of a request may have run.  A caller may be told that its
   request did not run only with a proof for each attempt that was sent.  */
#ifndef MARJORAM_RUN_PROOF_H
#define MARJORAM_RUN_PROOF_H

#include "reason.h"

#include <stdint.h>

/* What shows that an attempt did not run and never will.  */
enum marjoram_run_proof
{
  MARJORAM_PROOF_NONE,     /* it may have run, or may still run */
  MARJORAM_PROOF_UNSENT,   /* no byte of the request left this host */
  MARJORAM_PROOF_UPSTREAM, /* its upstream stated it in an answer to it */
  MARJORAM_PROOF_HOST      /* the host that it was forwarded to has a proof */
};

/* The attempts of one request.  To be changed only by the functions below.  */
struct marjoram_run_record
{
  uint64_t attempt;              /* sent last; 0: none */
  enum marjoram_run_proof proof; /* that ATTEMPT did not run */
  int unproven;                  /* attempts without a proof */
};

/* Returns the name of PROOF for logs, for example "upstream".  */
const char *marjoram_run_proof_name (enum marjoram_run_proof proof);

/* ATTEMPT, which is not 0, is sent.  */
void marjoram_run_record_sent (struct marjoram_run_record *record,
                               uint64_t attempt);
/* PROOF was received for ATTEMPT.  Returns false, and changes nothing, unless
   ATTEMPT is the last one and has no proof yet.  */
bool marjoram_run_record_prove (struct marjoram_run_record *record,
                                uint64_t attempt,
                                enum marjoram_run_proof proof);
/* Whether an attempt has no proof.  */
bool
marjoram_run_record_may_have_run (const struct marjoram_run_record *record);
/* The outcome of a request that gets no answer of an upstream.  */
enum marjoram_outcome
marjoram_run_record_outcome (const struct marjoram_run_record *record);

#endif
