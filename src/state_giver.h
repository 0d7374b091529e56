/* How the agreed state is given to a host, by a keeper or by another host of
   its zone: the host asks for the newest state piece by piece, compressed
   against the one that it holds.  The giver keeps nothing of a host, so that a
   host may go on with any other.  Pure decisions.  */
#ifndef MARJORAM_STATE_GIVER_H
#define MARJORAM_STATE_GIVER_H

#include "gateway_message.h"
#include "state_packed.h"

typedef struct marjoram_state_giver marjoram_state_giver;

marjoram_state_giver *marjoram_state_giver_create (void);
void marjoram_state_giver_destroy (marjoram_state_giver *giver);
/* STATE is the newest one; a lower or equal number changes nothing.  */
void marjoram_state_giver_set (marjoram_state_giver *giver,
                               const struct marjoram_state *state);
/* 0 before any.  */
uint64_t marjoram_state_giver_number (const marjoram_state_giver *giver);
/* Fills PIECE, to be cleared with its layout, with what ASK wants; or, if the
   state that it names is held no more, with the first piece of the newest.
   False if there is none.  */
bool marjoram_state_giver_answer (marjoram_state_giver *giver,
                                  const struct marjoram_state_ask *ask,
                                  struct marjoram_state_piece *piece);

#endif
