/* What must hold of the agreed state, whatever fails: one chain of states, in
   which an accepted change is never lost and a refused one never appears;
   equal answers to a change sent again; one text under one version.  */
#ifndef MARJORAM_TEST_LIB_KEEPERS_CHECK_H
#define MARJORAM_TEST_LIB_KEEPERS_CHECK_H

#include "keeper.h"
#include "lib_keepers.h"

struct checks;

struct checks *checks_create (void);
void checks_destroy (struct checks *checks);
/* Keeps the first breach only.  */
void checks_breach (struct checks *checks, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
const char *checks_text (const struct checks *checks);
/* A keeper says that STATE is chosen.  */
void checks_chosen (struct checks *checks, const struct marjoram_state *state);
/* A new change by one of several operators who race for versions, or an
   earlier one AGAIN; returns its number as a request.  */
uint64_t checks_pick_change (struct checks *checks, marjoram_random *random,
                             bool again, struct marjoram_file *file,
                             const char **id);
void checks_answered (struct checks *checks, uint64_t request,
                      const struct marjoram_apply_answer *answer,
                      struct sim_counts *counts);
bool checks_is_decided (const struct checks *checks, uint64_t request);
/* Whether a state of at least NUMBER is known, and SLOT is no keeper in it. */
bool checks_is_gone (const struct checks *checks, uint64_t number,
                     const char *slot);
/* Of the latest state.  */
uint64_t checks_number (const struct checks *checks);
/* Of the latest state that any operator was answered about.  */
uint64_t checks_answered_number (const struct checks *checks);
/* By the latest state.  */
bool checks_is_member (const struct checks *checks, const char *slot);
/* All is healed: SLOT must hold the latest state, which must keep all
   accepted changes and none that was told as not run.  */
void checks_end (struct checks *checks, const char *slot,
                 const struct marjoram_state *state);

#endif
