#include "keeper_private.h"

#include "cleanup.h"

#include <string.h>

static marjoram_bytes *
pack_record (const marjoram_keeper *keeper)
{
  const struct marjoram_acceptor *acceptor = &keeper->acceptor;
  bool same = marjoram_value_equal (acceptor->value, keeper->chosen);
  struct marjoram_keeper_record record = {
    .writes = keeper->sequence,
    .rolled_back = keeper->rolled_back,
    .promised = acceptor->promised,
    .accepted = acceptor->accepted,
    .chosen_ballot = keeper->chosen_ballot,
    .value_is_chosen = same && keeper->chosen,
  };
  marjoram_bytes *packed;

  if (acceptor->value)
    record.value
        = marjoram_bytes_retain (marjoram_value_packed (acceptor->value));
  if (keeper->chosen && !same)
    record.chosen
        = marjoram_bytes_retain (marjoram_value_packed (keeper->chosen));
  marjoram_keeper_peers_save (&keeper->peers, &record);
  packed = marjoram_wire_pack (&marjoram_keeper_record_layout, &record);
  marjoram_wire_clear (&marjoram_keeper_record_layout, &record);
  return packed;
}

void
marjoram_keeper_flush (marjoram_keeper *keeper)
{
  if (keeper->writing || keeper->sequence == keeper->durable
      || (keeper->write_failed && keeper->now < keeper->write_retry_at))
    return;
  keeper->writing = true;
  keeper->write_started_at = keeper->now;
  marjoram_value_release (keeper->written);
  keeper->written = marjoram_value_retain (keeper->chosen);
  keeper->ops->persist (keeper->context, keeper->sequence,
                        pack_record (keeper));
}

bool
marjoram_keeper_may_vote (const marjoram_keeper *keeper)
{
  return keeper->confirmed && !keeper->rolled_back && !keeper->write_failed;
}

marjoram_value *
marjoram_keeper_current_value (const marjoram_keeper *keeper)
{
  return keeper->acceptor.value ? keeper->acceptor.value : keeper->chosen;
}

static bool
confirmed_by_first (const marjoram_keeper *keeper,
                    const struct marjoram_array *confirmed)
{
  size_t count = 0;

  for (size_t i = 0; i < keeper->first_count; i++)
    if (marjoram_voters_find (confirmed, keeper->first[i]))
      count++;
  return 2 * count > keeper->first_count;
}

static bool
confirmed_by_majority (const marjoram_keeper *keeper)
{
  struct marjoram_array confirmed = { NULL, 0 };
  const marjoram_value *value = marjoram_keeper_current_value (keeper);
  struct marjoram_keeper_peer *peer;
  bool majority;

  marjoram_voters_add (&confirmed, keeper->slot, keeper->store_id);
  TAILQ_FOREACH (peer, &keeper->peers, link)
  if (peer->knows_incarnation
      && !marjoram_voters_find (&confirmed, peer->slot))
    marjoram_voters_add (&confirmed, peer->slot, peer->seen.store_id);
  majority = value ? marjoram_quorum (&confirmed, marjoram_value_state (value))
                   : confirmed_by_first (keeper, &confirmed);
  marjoram_voters_clear (&confirmed);
  return majority;
}

static bool
confirmed_by_any (const marjoram_keeper *keeper)
{
  const struct marjoram_keeper_peer *peer;

  TAILQ_FOREACH (peer, &keeper->peers, link)
  if (peer->knows_incarnation)
    return true;
  return false;
}

/* After a start, no vote is given before a majority has seen this incarnation
   of the store: if the disk was restored from an older copy, one of them
   remembers writes that it lacks.  The members named on this disk may all have
   been replaced, so after a timeout any one keeper is enough.  */
void
marjoram_keeper_check_confirmed (marjoram_keeper *keeper)
{
  if (keeper->confirmed)
    return;
  if (keeper->confirm_by == 0)
    keeper->confirm_by = keeper->now + MARJORAM_KEEPER_CONFIRM_TIMEOUT_MS;
  keeper->confirmed
      = confirmed_by_majority (keeper)
        || (keeper->now >= keeper->confirm_by && confirmed_by_any (keeper));
}

static void
deliver (marjoram_keeper *keeper, marjoram_value *value)
{
  marjoram_value_retain (value);
  marjoram_value_release (keeper->delivered);
  keeper->delivered = value;
  keeper->ops->chosen (keeper->context,
                       marjoram_value_state (keeper->delivered));
  /* The members wait to hear that a store which is to be one holds it.  */
  if (!marjoram_keeper_is_member (keeper))
    marjoram_keeper_broadcast_heartbeat (keeper);
}

/* Delivered once durable, so that a restart can't go back to an older state.
   After a failed write the latest state is delivered anyway.  */
void
marjoram_keeper_deliver_chosen (marjoram_keeper *keeper)
{
  if (keeper->chosen == keeper->delivered
      || (keeper->durable < keeper->deliver_after && !keeper->write_failed))
    return;
  deliver (keeper, keeper->chosen);
}

/* A later state may have been learnt during the write, and may always be while
   states follow each other faster than writes.  */
void
marjoram_keeper_deliver_written (marjoram_keeper *keeper)
{
  if (marjoram_value_number (keeper->written)
      > marjoram_value_number (keeper->delivered))
    deliver (keeper, keeper->written);
}

/* A value may be learned after a later one that includes it; numbers increase
   along the chain of chosen values.  */
void
marjoram_keeper_learn (marjoram_keeper *keeper,
                       const struct marjoram_ballot *ballot,
                       marjoram_value *value)
{
  if (!marjoram_value_is_initial (value))
    keeper->bootstrapped = true;
  /* The majority that chose it accepts no lower ballot.  Those of it that have
     answered the attempt before would not say so.  */
  if (keeper->attempt.phase != MARJORAM_PHASE_IDLE
      && marjoram_ballot_compare (ballot, &keeper->attempt.ballot) > 0)
    marjoram_keeper_fail_attempt (keeper, MARJORAM_BALLOT_OUTDATED, NULL);
  if (marjoram_acceptor_learn (&keeper->acceptor, ballot, value))
    keeper->sequence++;
  if (marjoram_value_number (value) <= marjoram_value_number (keeper->chosen))
    return;
  marjoram_value_retain (value);
  marjoram_value_release (keeper->previous_chosen);
  if (!keeper->chosen)
    marjoram_keeper_first_learnt (keeper);
  keeper->previous_chosen = keeper->chosen;
  marjoram_keeper_rival_ended (keeper, ballot);
  /* Its proposer goes on with an attempt that completes the change.  */
  if (marjoram_value_state (value)->next_members.count > 0)
    marjoram_keeper_note_rival (keeper, NULL, ballot);
  keeper->chosen = value;
  keeper->chosen_ballot = *ballot;
  keeper->deliver_after = ++keeper->sequence;
  marjoram_keeper_answer_decided (keeper);
}

static void
reject (marjoram_keeper *keeper,
        const struct marjoram_keeper_envelope *envelope)
{
  marjoram_keeper_send_envelope (
      keeper, marjoram_keeper_envelope_create (
                  envelope->slot, envelope->store_id, MARJORAM_KEEPER_REJECT,
                  &envelope->ballot, &keeper->acceptor.promised, NULL));
}

/* An attempt with a ballot below one that was promised can't complete, so it
   is left no time.  */
static void
note_attempt (marjoram_keeper *keeper,
              const struct marjoram_keeper_envelope *envelope)
{
  if (marjoram_ballot_compare (&envelope->ballot, &keeper->acceptor.promised)
      >= 0)
    marjoram_keeper_note_rival (keeper, envelope->slot, &envelope->ballot);
}

void
marjoram_keeper_on_prepare (marjoram_keeper *keeper,
                            const struct marjoram_keeper_envelope *envelope)
{
  struct marjoram_acceptor *acceptor = &keeper->acceptor;
  struct marjoram_ballot before = acceptor->promised;

  note_attempt (keeper, envelope);
  /* An empty store among hosts that have a configuration must not help to
     bootstrap a second initial state.  */
  if (!marjoram_keeper_may_vote (keeper)
      || (keeper->bootstrapped && !acceptor->value))
    return;
  if (!marjoram_acceptor_prepare (acceptor, &envelope->ballot))
    {
      reject (keeper, envelope);
      return;
    }
  if (marjoram_ballot_compare (&before, &acceptor->promised) != 0)
    keeper->sequence++;
  marjoram_keeper_send_when_durable (
      keeper, marjoram_keeper_envelope_create (
                  envelope->slot, envelope->store_id, MARJORAM_KEEPER_PROMISE,
                  &envelope->ballot, &acceptor->accepted, acceptor->value));
}

void
marjoram_keeper_on_accept (marjoram_keeper *keeper,
                           const struct marjoram_keeper_envelope *envelope)
{
  struct marjoram_acceptor *acceptor = &keeper->acceptor;
  struct marjoram_ballot before = acceptor->promised;
  bool repeated
      = acceptor->value
        && marjoram_ballot_compare (&acceptor->accepted, &envelope->ballot)
               == 0;

  note_attempt (keeper, envelope);
  if (!marjoram_keeper_may_vote (keeper) || !envelope->value)
    return;
  if (!marjoram_acceptor_accept (acceptor, &envelope->ballot, envelope->value))
    {
      reject (keeper, envelope);
      return;
    }
  if (!repeated || marjoram_ballot_compare (&before, &acceptor->promised) != 0)
    keeper->sequence++;
  marjoram_keeper_send_when_durable (
      keeper, marjoram_keeper_envelope_create (
                  envelope->slot, envelope->store_id, MARJORAM_KEEPER_ACCEPTED,
                  &envelope->ballot, &acceptor->promised, NULL));
}

void
marjoram_keeper_on_chosen (marjoram_keeper *keeper,
                           const struct marjoram_keeper_envelope *envelope)
{
  const struct marjoram_acceptor *acceptor = &keeper->acceptor;
  marjoram_value *value;

  if (acceptor->value
      && marjoram_ballot_compare (&acceptor->accepted, &envelope->ballot) == 0)
    {
      value = marjoram_value_retain (acceptor->value);
      marjoram_keeper_learn (keeper, &envelope->ballot, value);
      marjoram_value_release (value);
      return;
    }
  /* The value was lost in transit; a heartbeat makes the peer send it.  */
  marjoram_keeper_send_heartbeat (keeper, envelope->slot, envelope->store_id);
}

static bool
unpack_value (marjoram_bytes *packed, marjoram_value **value,
              struct marjoram_error *err)
{
  if (!packed)
    return true;
  *value = marjoram_value_unpack (packed, err);
  return *value != NULL;
}

static bool
restore_record (marjoram_keeper *keeper,
                const struct marjoram_keeper_record *record,
                struct marjoram_error *err)
{
  keeper->rolled_back = record->rolled_back;
  keeper->base = keeper->sequence = keeper->durable = record->writes;
  keeper->acceptor.promised = record->promised;
  keeper->acceptor.accepted = record->accepted;
  keeper->chosen_ballot = record->chosen_ballot;
  marjoram_keeper_peers_load (&keeper->peers, record);
  if (!unpack_value (record->value, &keeper->acceptor.value, err)
      || !unpack_value (record->chosen, &keeper->chosen, err))
    return false;
  if (record->value_is_chosen)
    keeper->chosen = marjoram_value_retain (keeper->acceptor.value);
  keeper->bootstrapped
      = (keeper->acceptor.value
         && !marjoram_value_is_initial (keeper->acceptor.value))
        || (keeper->chosen && !marjoram_value_is_initial (keeper->chosen));
  keeper->round = record->promised.round;
  return true;
}

bool
marjoram_keeper_load (marjoram_keeper *keeper, const marjoram_bytes *packed,
                      struct marjoram_error *err)
{
  struct marjoram_keeper_record *record;
  bool ok;

  record = marjoram_wire_unpack (&marjoram_keeper_record_layout,
                                 marjoram_bytes_data (packed),
                                 marjoram_bytes_size (packed), NULL);
  ok = record && restore_record (keeper, record, NULL);
  marjoram_wire_destroy (&marjoram_keeper_record_layout, record);
  if (ok)
    return true;
  return marjoram_error_set (
      err, MARJORAM_ERROR_CORRUPT,
      "the stored record is intact but can't be decoded; "
      "start the release that wrote it");
}
