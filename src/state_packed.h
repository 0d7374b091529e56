/* The replicated state as serialized for hosts, with a digest that
   distinguishes different states with the same number.  */
#ifndef MARJORAM_STATE_PACKED_H
#define MARJORAM_STATE_PACKED_H

#include "state.h"

struct marjoram_packed_state
{
  uint64_t number;       /* 0: none */
  uint64_t digest;       /* of the bytes */
  marjoram_bytes *bytes; /* marjoram_state_layout, without changes */
};

/* The caller clears the result.  */
struct marjoram_packed_state
marjoram_packed_state_make (const struct marjoram_state *state);
/* Deserializes BYTES, whose reference is consumed, into STATE, which the
   caller destroys.  On failure STATE is null and the result's number 0.  */
struct marjoram_packed_state
marjoram_packed_state_read (marjoram_bytes *bytes,
                            struct marjoram_state **state,
                            struct marjoram_error *err);
void marjoram_packed_state_clear (struct marjoram_packed_state *packed);

#endif
