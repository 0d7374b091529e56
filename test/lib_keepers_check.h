/* Invariants of the replicated state: a single chain of states, in which an
   accepted change is never lost and a refused one never appears; equal answers
   to a resent change; one text for each version.  */
#ifndef MARJORAM_TEST_LIB_KEEPERS_CHECK_H
#define MARJORAM_TEST_LIB_KEEPERS_CHECK_H

#include "keeper.h"
#include "lib_keepers.h"

struct checks;

struct checks *checks_create (void);
void checks_destroy (struct checks *checks);
/* Records a violation; only the first is kept.  */
void checks_fail (struct checks *checks, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
const char *checks_violation (const struct checks *checks);
/* A keeper reported STATE as chosen.  */
void checks_chosen (struct checks *checks, const struct marjoram_state *state);
/* Fills FILE and ID with a new change, whose version may compete with others,
   or with an earlier change if AGAIN.  Returns its request number.  */
uint64_t checks_pick_change (struct checks *checks, marjoram_random *random,
                             bool again, struct marjoram_file *file,
                             const char **id);
void checks_answered (struct checks *checks, uint64_t request,
                      const struct marjoram_apply_answer *answer,
                      struct sim_counts *counts);
bool checks_is_decided (const struct checks *checks, uint64_t request);
/* Whether a state of at least NUMBER is known, in which SLOT is not a
   member.  */
bool checks_is_removed (const struct checks *checks, uint64_t number,
                        const char *slot);
/* Number of the latest state.  */
uint64_t checks_number (const struct checks *checks);
/* Number of the latest state reported to any operator.  */
uint64_t checks_answered_number (const struct checks *checks);
/* Whether SLOT is a member in the latest state.  */
bool checks_is_member (const struct checks *checks, const char *slot);
/* Final check after recovery: SLOT must hold the latest state, with all
   accepted changes and none that was reported as not run.  */
void checks_end (struct checks *checks, const char *slot,
                 const struct marjoram_state *state);

#endif
