/* What proves that an attempt to run a request did not run it and never
   will.  */
#ifndef MARJORAM_RUN_PROOF_H
#define MARJORAM_RUN_PROOF_H

enum marjoram_run_proof
{
  MARJORAM_PROOF_NONE,     /* it may have run, or may still run */
  MARJORAM_PROOF_UNSENT,   /* no byte of the request left this host */
  MARJORAM_PROOF_UPSTREAM, /* the upstream stated it in its answer */
  MARJORAM_PROOF_HOST      /* the host that it was forwarded to stated it */
};

/* Returns the name of PROOF for logs, for example "upstream".  */
const char *marjoram_run_proof_name (enum marjoram_run_proof proof);

#endif
