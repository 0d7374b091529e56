/* Keeps keepers from outdating one another's attempts.  An attempt needs two
   round trips to a majority and two writes there.  If the others wait for less
   before they start attempts of their own, each attempt is outdated before it
   is completed, and nothing is ever chosen.  So a keeper that knows of
   another's attempt leaves it the time that it needs.  Keepers that start at
   the same moment do not delay one another: the highest ballot goes on, and
   the others wait for it.  */
#include "keeper_private.h"

#include <string.h>

enum
{
  /* Bounds the effect of a round trip that was measured in a stall.  */
  ROUND_TRIP_MAX_MS = 500,
  ATTEMPT_ROUND_TRIPS = 2,
  /* Time until the next message of an attempt: the answers of a majority, and
     a lost packet, which TCP repeats after a round trip and its minimum
     timeout.  */
  DEFER_ROUND_TRIPS = 3,
  RETRANSMISSION_MS = 200,
  /* Messages of an attempt.  */
  ATTEMPT_MESSAGES = 3
};

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

int64_t
marjoram_keeper_round_trip_ms (const marjoram_keeper *keeper)
{
  const struct marjoram_keeper_peer *peer;
  int64_t highest = 0;

  TAILQ_FOREACH (peer, &keeper->peers, link)
  if (peer->slot
      && peer->last_seen_at >= keeper->now - MARJORAM_KEEPER_PEER_TIMEOUT_MS
      && marjoram_keeper_peer_round_trip_ms (peer) > highest)
    highest = marjoram_keeper_peer_round_trip_ms (peer);
  return highest < ROUND_TRIP_MAX_MS ? highest : ROUND_TRIP_MAX_MS;
}

int64_t
marjoram_keeper_attempt_ms (const marjoram_keeper *keeper)
{
  return ATTEMPT_ROUND_TRIPS * marjoram_keeper_round_trip_ms (keeper)
         + marjoram_keeper_decision_ms (keeper);
}

/* Rounds of attempts with a membership change are odd, so that others know it
   from the ballot alone.  */
static bool
is_membership_change (const struct marjoram_ballot *ballot)
{
  return ballot->round % 2 == 1;
}

uint64_t
marjoram_keeper_mark_round (uint64_t round, bool membership_change)
{
  return (round % 2 == 1) == membership_change ? round : round + 1;
}

void
marjoram_keeper_note_rival (marjoram_keeper *keeper, const char *slot,
                            const struct marjoram_ballot *ballot)
{
  if ((slot && strcmp (slot, keeper->slot) == 0)
      || marjoram_ballot_compare (ballot, &keeper->rival) < 0)
    return;
  if (keeper->rival_since == 0
      || (is_membership_change (ballot)
          && !is_membership_change (&keeper->rival)))
    keeper->rival_since = keeper->now;
  keeper->rival_at = keeper->now;
  keeper->rival = *ballot;
}

/* A lower ballot may be chosen, or end, while that of the rival goes on.  */
void
marjoram_keeper_rival_ended (marjoram_keeper *keeper,
                             const struct marjoram_ballot *ballot)
{
  if (marjoram_ballot_compare (ballot, &keeper->rival) < 0)
    return;
  keeper->rival_since = 0;
  keeper->rival_at = 0;
  keeper->rival = (struct marjoram_ballot){ 0 };
}

bool
marjoram_keeper_rival_changes_members (const marjoram_keeper *keeper)
{
  return keeper->rival_since != 0 && is_membership_change (&keeper->rival);
}

int64_t
marjoram_keeper_answer_ms (const marjoram_keeper *keeper)
{
  return DEFER_ROUND_TRIPS * marjoram_keeper_round_trip_ms (keeper)
         + RETRANSMISSION_MS;
}

/* The limit since the first message keeps a busy keeper from starving this
   one.  */
bool
marjoram_keeper_must_defer (const marjoram_keeper *keeper)
{
  const int64_t pause_ms = MARJORAM_KEEPER_DEFER_WRITES
                               * marjoram_keeper_expected_write_ms (keeper)
                           + marjoram_keeper_answer_ms (keeper);

  return keeper->rival_since != 0 && keeper->now < keeper->rival_at + pause_ms
         && keeper->now < keeper->rival_since + ATTEMPT_MESSAGES * pause_ms;
}
