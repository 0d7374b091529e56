/* Confirms that no newer state was chosen, without a ballot: asks all keepers
   for the highest number that they hold, accepted or chosen.  A chosen value
   was accepted by a majority of its predecessor's members, and what an
   acceptor holds only grows, so a majority that holds nothing newer proves it.
 */
#include "keeper_private.h"

#include <string.h>

static uint64_t
highest_number (const marjoram_keeper *keeper)
{
  uint64_t accepted = marjoram_value_number (keeper->acceptor.value);
  uint64_t chosen = marjoram_value_number (keeper->chosen);

  return accepted > chosen ? accepted : chosen;
}

void
marjoram_keeper_confirm (marjoram_keeper *keeper, int64_t now)
{
  struct marjoram_keeper_confirm *confirm = &keeper->confirm;
  const char *targets[MARJORAM_KEEPER_TARGETS_MAX];
  size_t count;

  keeper->now = now;
  /* The time identifies the round.  */
  if (!keeper->chosen || now == confirm->started_at)
    return;
  marjoram_voters_clear (&confirm->votes);
  confirm->active = true;
  confirm->started_at = now;
  confirm->number = 0;
  count = marjoram_keeper_targets (keeper, targets);
  for (size_t i = 0; i < count; i++)
    {
      struct marjoram_keeper_envelope *envelope
          = marjoram_keeper_envelope_create (
              targets[i], NULL, MARJORAM_KEEPER_CONFIRM, NULL, NULL, NULL);

      envelope->echo = now;
      marjoram_keeper_send_envelope (keeper, envelope);
    }
  marjoram_keeper_process_pending (keeper);
}

void
marjoram_keeper_on_confirm (marjoram_keeper *keeper,
                            const struct marjoram_keeper_envelope *envelope)
{
  struct marjoram_keeper_envelope *reply;

  if (!marjoram_keeper_may_vote (keeper)
      || !marjoram_keeper_current_value (keeper))
    return;
  reply = marjoram_keeper_envelope_create (envelope->slot, envelope->store_id,
                                           MARJORAM_KEEPER_CONFIRMED, NULL,
                                           NULL, NULL);
  reply->echo = envelope->echo;
  reply->held_number = highest_number (keeper);
  marjoram_keeper_send_envelope (keeper, reply);
}

void
marjoram_keeper_on_confirmed (marjoram_keeper *keeper,
                              const struct marjoram_keeper_envelope *envelope)
{
  struct marjoram_keeper_confirm *confirm = &keeper->confirm;

  if (!confirm->active || envelope->echo != confirm->started_at
      || !keeper->chosen)
    return;
  if (!marjoram_voters_find (&confirm->votes, envelope->slot))
    marjoram_voters_add (&confirm->votes, envelope->slot, envelope->store_id);
  if (envelope->held_number > confirm->number)
    confirm->number = envelope->held_number;
  if (!marjoram_quorum (&confirm->votes,
                        marjoram_value_state (keeper->chosen)))
    return;
  confirm->active = false;
  keeper->ops->confirmed (keeper->context, confirm->started_at,
                          confirm->number);
}
