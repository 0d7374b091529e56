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
  if (!keeper->chosen)
    return;
  marjoram_voters_clear (&confirm->votes);
  confirm->active = true;
  confirm->round++;
  confirm->started_at = now;
  confirm->number = 0;
  count = marjoram_keeper_targets (keeper, targets);
  for (size_t i = 0; i < count; i++)
    {
      struct marjoram_keeper_envelope *envelope
          = marjoram_keeper_envelope_create (
              targets[i], NULL, MARJORAM_KEEPER_CONFIRM, NULL, NULL, NULL);

      envelope->echo = (int64_t)confirm->round;
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

/* Whether there are reads received after round ROUND had started.  */
static bool
has_reads_after (const marjoram_keeper *keeper, uint64_t round)
{
  const struct marjoram_keeper_request *request;

  TAILQ_FOREACH (request, &keeper->requests, link)
  if (request->read && request->after_round >= round)
    return true;
  return false;
}

/* A newer value was accepted, which may or may not be chosen.  */
static void
require_ballots (marjoram_keeper *keeper, uint64_t round)
{
  struct marjoram_keeper_request *request;

  TAILQ_FOREACH (request, &keeper->requests, link)
  if (request->read && request->after_round < round)
    request->needs_ballot = true;
}

/* The reads that arrived during the round need another one at once; those that
   it left unanswered get theirs with the next tick.  */
static void
complete_reads (marjoram_keeper *keeper)
{
  const struct marjoram_keeper_confirm *confirm = &keeper->confirm;

  if (confirm->number <= marjoram_value_number (keeper->chosen))
    marjoram_keeper_answer_confirmed_reads (keeper, confirm->round);
  else
    require_ballots (keeper, confirm->round);
  if (has_reads_after (keeper, confirm->round))
    marjoram_keeper_confirm (keeper, keeper->now);
}

void
marjoram_keeper_on_confirmed (marjoram_keeper *keeper,
                              const struct marjoram_keeper_envelope *envelope)
{
  struct marjoram_keeper_confirm *confirm = &keeper->confirm;

  if (!confirm->active || envelope->echo != (int64_t)confirm->round
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
  if (keeper->ops->confirmed)
    keeper->ops->confirmed (keeper->context, confirm->started_at,
                            confirm->number);
  complete_reads (keeper);
}

/* ---- Reads.  ---- */

void
marjoram_keeper_start_read (marjoram_keeper *keeper,
                            struct marjoram_keeper_request *request)
{
  request->after_round = keeper->confirm.round;
  request->needs_ballot = !keeper->chosen;
  if (!keeper->confirm.active)
    marjoram_keeper_confirm (keeper, keeper->now);
}

/* Reads that were received before need no ballot any more.  */
void
marjoram_keeper_first_learnt (marjoram_keeper *keeper)
{
  struct marjoram_keeper_request *request;

  keeper->first_learnt_at = keeper->now;
  TAILQ_FOREACH (request, &keeper->requests, link)
  if (request->read)
    {
      request->received_at = keeper->now;
      request->needs_ballot = false;
    }
}

static int64_t
round_limit_ms (const marjoram_keeper *keeper)
{
  const int64_t answer_ms = marjoram_keeper_answer_ms (keeper);

  return answer_ms > MARJORAM_KEEPER_CONFIRM_ROUND_MS
             ? answer_ms
             : MARJORAM_KEEPER_CONFIRM_ROUND_MS;
}

/* Repeats a round whose messages were lost.  An attempt also succeeds where a
   value was accepted that nobody completes, and among keepers of an earlier
   release, which do not answer a round.  */
void
marjoram_keeper_tick_reads (marjoram_keeper *keeper)
{
  const int64_t limit_ms = round_limit_ms (keeper);
  const struct marjoram_keeper_confirm *confirm = &keeper->confirm;
  struct marjoram_keeper_request *request;

  TAILQ_FOREACH (request, &keeper->requests, link)
  if (request->read && keeper->now >= request->received_at + limit_ms)
    request->needs_ballot = true;
  if (has_reads_after (keeper, 0)
      && (!confirm->active || keeper->now >= confirm->started_at + limit_ms))
    marjoram_keeper_confirm (keeper, keeper->now);
}
