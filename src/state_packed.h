/* The agreed state as bytes, as it goes to hosts, with a digest that tells
   these bytes from any others under the same number.  */
#ifndef MARJORAM_STATE_PACKED_H
#define MARJORAM_STATE_PACKED_H

#include "state.h"

struct marjoram_packed_state
{
  uint64_t number;       /* 0: none */
  uint64_t digest;       /* of the bytes */
  marjoram_bytes *bytes; /* marjoram_state_layout, without kept changes */
};

/* To be cleared.  */
struct marjoram_packed_state
marjoram_packed_state_make (const struct marjoram_state *state);
/* The same from bytes that came; takes them over.  NUMBER 0 if they can't be
   read.  STATE, to be destroyed, is set to what they hold.  */
struct marjoram_packed_state
marjoram_packed_state_read (marjoram_bytes *bytes,
                            struct marjoram_state **state,
                            struct marjoram_error *err);
void marjoram_packed_state_clear (struct marjoram_packed_state *packed);

#endif
