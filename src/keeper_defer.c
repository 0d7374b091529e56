/* Keeps keepers with slow disks from outdating one another's attempts.  An
   attempt needs two writes at a majority.  If a write takes longer than the
   others wait before they start an attempt of their own, each attempt is
   outdated before it is completed, and nothing is ever chosen.  So a keeper
   that has voted for an attempt leaves it the time of some writes; with fast
   disks this is next to nothing.  */
#include "keeper_private.h"

#include <string.h>

int64_t
marjoram_keeper_expected_write_ms (const marjoram_keeper *keeper)
{
  int64_t age_ms = marjoram_keeper_write_age_ms (keeper, keeper->now);

  return age_ms > keeper->write_ms ? age_ms : keeper->write_ms;
}

int64_t
marjoram_keeper_decision_ms (const marjoram_keeper *keeper)
{
  return MARJORAM_KEEPER_ATTEMPT_WRITES
         * marjoram_keeper_expected_write_ms (keeper);
}

void
marjoram_keeper_note_vote (marjoram_keeper *keeper, const char *slot)
{
  if (strcmp (slot, keeper->slot) == 0)
    return;
  keeper->rival_at = keeper->now;
  if (keeper->rival_since == 0)
    keeper->rival_since = keeper->now;
}

void
marjoram_keeper_rival_ended (marjoram_keeper *keeper)
{
  keeper->rival_since = 0;
  keeper->rival_at = 0;
}

/* The limit since the first vote keeps a busy keeper from starving this
   one.  */
bool
marjoram_keeper_must_defer (const marjoram_keeper *keeper)
{
  int64_t write_ms = marjoram_keeper_expected_write_ms (keeper);

  return keeper->rival_since != 0
         && keeper->now
                < keeper->rival_at + MARJORAM_KEEPER_DEFER_WRITES * write_ms
         && keeper->now < keeper->rival_since
                              + MARJORAM_KEEPER_DEFER_WRITES_MAX * write_ms;
}
