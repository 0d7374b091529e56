/* Compares what callers were told of their requests with what upstreams ran,
   by the callers' ids.  */
#ifndef MARJORAM_TEST_RUN_LEDGER_H
#define MARJORAM_TEST_RUN_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

struct run_ledger;

enum
{
  LEDGER_ID_MAX = 40
};

/* What a request's answer said.  */
struct ledger_answer
{
  int status; /* 0: none, the connection ended or the caller left */
  bool whole;
  bool sealed; /* it has an upstream's seal */
  bool own;    /* its body is that of this request */
};

struct ledger_counts
{
  uint64_t asked;
  uint64_t asked_again;    /* after a refusal, not counted in ASKED */
  uint64_t served;         /* whole answers of status 2xx */
  uint64_t refused;        /* statuses that promise: 408, 421, 429, 503 */
  uint64_t failed;         /* other statuses */
  uint64_t unanswered;     /* closed, cut or left */
  uint64_t runs;           /* of all requests */
  uint64_t ran_twice;      /* requests that must run once */
  uint64_t ran_refused;    /* the same, refused */
  uint64_t ran_overlapped; /* goes on elsewhere while the former run lasts */
  uint64_t mixed;          /* answers that are not the request's own */
};

struct run_ledger *run_ledger_create (void);
void run_ledger_destroy (struct run_ledger *ledger);
/* A caller sends request ID, which must run at most ONCE if set.  */
void run_ledger_asked (struct run_ledger *ledger, const char *id, bool once);
/* The caller of ID, which was refused, sends it again under the same id.  What
   it was told before is judged now; what runs from now on counts for the new
   sending.  */
void run_ledger_asked_again (struct run_ledger *ledger, const char *id);
/* An upstream, named WHERE, begins to run ID; HOW names its behaviour.  */
void run_ledger_ran (struct run_ledger *ledger, const char *id,
                     const char *where, const char *how);
/* An upstream did something else about ID.  */
void run_ledger_note (struct run_ledger *ledger, const char *id,
                      const char *how);
/* An upstream answered ID with STATUS and its seal.  */
void run_ledger_sealed (struct run_ledger *ledger, const char *id, int status);
/* ID arrives at an upstream, which would treat it as HOW.  Returns how it was
   to be treated when it came first, and counts its arrivals in ARRIVALS.  */
const void *run_ledger_arrived (struct run_ledger *ledger, const char *id,
                                const void *how, int *arrivals);
void run_ledger_overlapped (struct run_ledger *ledger, const char *id);
void run_ledger_answered (struct run_ledger *ledger, int64_t now,
                          const char *id, const struct ledger_answer *answer);
/* Judges the requests that were answered KEEP_MS before NOW, prints those that
   break a rule, and forgets them.  */
void run_ledger_judge (struct run_ledger *ledger, int64_t now,
                       int64_t keep_ms);
const struct ledger_counts *
run_ledger_counts (const struct run_ledger *ledger);
/* Whether a caller that is told STATUS is promised that its request did not
   run and never will.  */
bool run_ledger_is_promise (int status);
/* Number of broken rules.  */
uint64_t run_ledger_violations (const struct run_ledger *ledger);

#endif
