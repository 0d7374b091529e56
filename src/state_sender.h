/* The sending side of the state transfer, on keepers and on the other hosts of
   a zone.  A host requests the newest state piece by piece, compressed against
   the state that it has.  No data is kept per host, so that a transfer can
   resume with another sender.  Does no I/O.  */
#ifndef MARJORAM_STATE_SENDER_H
#define MARJORAM_STATE_SENDER_H

#include "gateway_message.h"
#include "state_packed.h"

typedef struct marjoram_state_sender marjoram_state_sender;

marjoram_state_sender *marjoram_state_sender_create (void);
void marjoram_state_sender_destroy (marjoram_state_sender *sender);
/* Adds STATE.  Ignored unless its number is higher than the current one.  */
void marjoram_state_sender_set (marjoram_state_sender *sender,
                                const struct marjoram_state *state);
/* Returns the number of the newest state, 0 if there is none.  */
uint64_t marjoram_state_sender_number (const marjoram_state_sender *sender);
/* Fills PIECE with the requested piece or, if the requested state is no longer
   available, with the first piece of the newest one.  The caller clears PIECE
   with marjoram_wire_clear.  Returns false if there is no state.  */
bool marjoram_state_sender_answer (marjoram_state_sender *sender,
                                   const struct marjoram_state_ask *ask,
                                   struct marjoram_state_piece *piece);

#endif
