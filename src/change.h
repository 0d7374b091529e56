/* Validates and applies a change of a configuration file or of the keepers.
   The state records the result of each change, including rejected ones, so
   that a delayed duplicate of a rejected change can't be accepted later.  */
#ifndef MARJORAM_CHANGE_H
#define MARJORAM_CHANGE_H

#include "error.h"
#include "state.h"

enum
{
  /* All files together, since a state has to fit into one message.  */
  MARJORAM_STATE_TEXT_MAX = 16 * 1024 * 1024
};

typedef bool (*marjoram_change_valid) (void *context,
                                       const struct marjoram_state *state,
                                       struct marjoram_error *err);

/* Checks that ID and FILE are well formed, and that the digest of FILE, unless
   null, is that of its text.  */
bool marjoram_change_check (const char *id, const struct marjoram_file *file,
                            struct marjoram_error *err);
/* Returns whether KEPT, a recorded result, is that of changing FILE.  */
bool marjoram_change_matches (const struct marjoram_change *kept,
                              const struct marjoram_file *file);
/* Applies FILE, which passed marjoram_change_check and has a digest, and
   records the result in STATE, whose number is incremented.  */
enum marjoram_change_result
marjoram_change_apply (struct marjoram_state *state, const char *id,
                       const struct marjoram_file *file,
                       marjoram_change_valid valid, void *context);
/* Starts to replace keeper OLD by slot NEW with the store STORE_ID, or to add
   that one if OLD is null, by setting next_members.  Records the result.  */
enum marjoram_change_result
marjoram_change_replace (struct marjoram_state *state, const char *id,
                         const char *old, const char *new,
                         const char *store_id);
/* Completes the replacement.  STATE must be known to be chosen.  */
void marjoram_change_finish_replace (struct marjoram_state *state);

#endif
