#include "state_packed.h"

#include <string.h>
#include <xxhash.h>

static struct marjoram_packed_state
make (uint64_t number, marjoram_bytes *bytes)
{
  const struct marjoram_packed_state packed
      = { number,
          XXH3_64bits (marjoram_bytes_data (bytes),
                       marjoram_bytes_size (bytes)),
          bytes };

  return packed;
}

struct marjoram_packed_state
marjoram_packed_state_make (const struct marjoram_state *state)
{
  struct marjoram_state sent = *state;

  /* Only keepers need the results of changes.  */
  sent.changes = (struct marjoram_array){ NULL, 0 };
  return make (state->number,
               marjoram_wire_pack (&marjoram_state_layout, &sent));
}

struct marjoram_packed_state
marjoram_packed_state_read (marjoram_bytes *bytes,
                            struct marjoram_state **state,
                            struct marjoram_error *err)
{
  *state = marjoram_wire_unpack (&marjoram_state_layout,
                                 marjoram_bytes_data (bytes),
                                 marjoram_bytes_size (bytes), err);
  if (*state)
    return make ((*state)->number, bytes);
  marjoram_bytes_release (bytes);
  return (struct marjoram_packed_state){ 0 };
}

void
marjoram_packed_state_clear (struct marjoram_packed_state *packed)
{
  marjoram_bytes_release (packed->bytes);
  memset (packed, 0, sizeof *packed);
}
