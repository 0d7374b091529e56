/* The rules of one change: what becomes of a file, or of a keeper, that an
   operator wants replaced.  Each decided change is kept in the state with its
   result, refused ones too: a late copy of a refused change, met under later
   files, would otherwise take effect after its sender was told that it did
   not.  */
#ifndef MARJORAM_CHANGE_H
#define MARJORAM_CHANGE_H

#include "error.h"
#include "state.h"

enum
{
  /* All texts together: a state has to fit into one message.  */
  MARJORAM_STATE_TEXT_MAX = 16 * 1024 * 1024
};

/* Whether STATE would be a valid configuration.  */
typedef bool (*marjoram_change_valid) (void *context,
                                       const struct marjoram_state *state,
                                       struct marjoram_error *err);

/* Whether FILE and ID can be decided upon at all; its digest, unless null, has
   to be that of its text.  */
bool marjoram_change_check (const char *id, const struct marjoram_file *file,
                            struct marjoram_error *err);
/* Whether KEPT, the result under the same id, was for this very file.  */
bool marjoram_change_matches (const struct marjoram_change *kept,
                              const struct marjoram_file *file);
/* Decides on FILE, which passed the check and has its digest, and records the
   result in STATE as its next number.  */
enum marjoram_change_result
marjoram_change_apply (struct marjoram_state *state, const char *id,
                       const struct marjoram_file *file,
                       marjoram_change_valid valid, void *context);
/* Starts the replacement of keeper OLD, or, if OLD is null, the admission of a
   further one, by the store STORE_ID of slot NEW, through next members, or
   records why that can't be.  */
enum marjoram_change_result
marjoram_change_replace (struct marjoram_state *state, const char *id,
                         const char *old, const char *new,
                         const char *store_id);
/* Ends it: drops the old members.  STATE as it was must be known chosen.  */
void marjoram_change_finish_replace (struct marjoram_state *state);

#endif
