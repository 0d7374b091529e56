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
    .barred = keeper->barred,
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
      || (keeper->broken && keeper->now < keeper->rewrite_at))
    return;
  keeper->writing = true;
  keeper->ops->persist (keeper->context, keeper->sequence,
                        pack_record (keeper));
}

bool
marjoram_keeper_may_vote (const marjoram_keeper *keeper)
{
  return keeper->met && !keeper->barred && !keeper->broken;
}

marjoram_value *
marjoram_keeper_current (const marjoram_keeper *keeper)
{
  return keeper->acceptor.value ? keeper->acceptor.value : keeper->chosen;
}

static bool
met_first (const marjoram_keeper *keeper, const struct marjoram_array *met)
{
  size_t count = 0;

  for (size_t i = 0; i < keeper->first_count; i++)
    if (marjoram_voters_find (met, keeper->first[i]))
      count++;
  return 2 * count > keeper->first_count;
}

static bool
met_majority (const marjoram_keeper *keeper)
{
  struct marjoram_array met = { NULL, 0 };
  const marjoram_value *value = marjoram_keeper_current (keeper);
  struct marjoram_keeper_peer *peer;
  bool majority;

  marjoram_voters_add (&met, keeper->slot, keeper->store_id);
  TAILQ_FOREACH (peer, &keeper->peers, link)
  if (peer->knows_us && !marjoram_voters_find (&met, peer->slot))
    marjoram_voters_add (&met, peer->slot, peer->seen.store_id);
  majority = value ? marjoram_quorum (&met, marjoram_value_state (value))
                   : met_first (keeper, &met);
  marjoram_voters_clear (&met);
  return majority;
}

static bool
met_any (const marjoram_keeper *keeper)
{
  const struct marjoram_keeper_peer *peer;

  TAILQ_FOREACH (peer, &keeper->peers, link)
  if (peer->knows_us)
    return true;
  return false;
}

/* After a start, no vote is given before a majority has seen this incarnation
   of the store: if the disk was restored from an older copy, one of them
   remembers writes that it lacks.  The members named on this disk may all have
   been replaced, so after a timeout any one keeper is enough.  */
void
marjoram_keeper_check_met (marjoram_keeper *keeper)
{
  if (keeper->met)
    return;
  if (keeper->met_by == 0)
    keeper->met_by = keeper->now + MARJORAM_KEEPER_MEET_MS;
  keeper->met = met_majority (keeper)
                || (keeper->now >= keeper->met_by && met_any (keeper));
}

/* Delivered once durable, so that a restart can't go back to an older state.
   After a failed write the latest state is delivered anyway.  */
void
marjoram_keeper_announce (marjoram_keeper *keeper)
{
  if (keeper->chosen == keeper->announced
      || (keeper->durable < keeper->announce_after && !keeper->broken))
    return;
  marjoram_value_release (keeper->announced);
  keeper->announced = marjoram_value_retain (keeper->chosen);
  keeper->ops->chosen (keeper->context,
                       marjoram_value_state (keeper->announced));
}

/* A value may be learned after a later one that includes it; numbers increase
   along the chain of chosen values.  */
void
marjoram_keeper_learn (marjoram_keeper *keeper,
                       const struct marjoram_ballot *ballot,
                       marjoram_value *value)
{
  if (!marjoram_value_is_founding (value))
    keeper->formed = true;
  if (marjoram_acceptor_learn (&keeper->acceptor, ballot, value))
    keeper->sequence++;
  if (marjoram_value_number (value) <= marjoram_value_number (keeper->chosen))
    return;
  marjoram_value_retain (value);
  marjoram_value_release (keeper->former);
  keeper->former = keeper->chosen;
  keeper->chosen = value;
  keeper->chosen_ballot = *ballot;
  keeper->announce_after = ++keeper->sequence;
  marjoram_keeper_answer_decided (keeper);
}

static void
reject (marjoram_keeper *keeper,
        const struct marjoram_keeper_envelope *envelope)
{
  marjoram_keeper_post (keeper, marjoram_keeper_envelope_create (
                                    envelope->slot, envelope->store_id,
                                    MARJORAM_KEEPER_REJECT, &envelope->ballot,
                                    &keeper->acceptor.promised, NULL));
}

void
marjoram_keeper_on_prepare (marjoram_keeper *keeper,
                            const struct marjoram_keeper_envelope *envelope)
{
  struct marjoram_acceptor *acceptor = &keeper->acceptor;
  struct marjoram_ballot before = acceptor->promised;

  /* An empty store among hosts that have a configuration must not help to
     bootstrap a second initial state.  */
  if (!marjoram_keeper_may_vote (keeper)
      || (keeper->formed && !acceptor->value))
    return;
  if (!marjoram_acceptor_prepare (acceptor, &envelope->ballot))
    {
      reject (keeper, envelope);
      return;
    }
  if (marjoram_ballot_compare (&before, &acceptor->promised) != 0)
    keeper->sequence++;
  marjoram_keeper_post_when_durable (
      keeper, marjoram_keeper_envelope_create (
                  envelope->slot, envelope->store_id, MARJORAM_KEEPER_PROMISE,
                  &envelope->ballot, &acceptor->accepted, acceptor->value));
}

void
marjoram_keeper_on_accept (marjoram_keeper *keeper,
                           const struct marjoram_keeper_envelope *envelope)
{
  struct marjoram_acceptor *acceptor = &keeper->acceptor;
  bool again
      = acceptor->value
        && marjoram_ballot_compare (&acceptor->accepted, &envelope->ballot)
               == 0;

  if (!marjoram_keeper_may_vote (keeper) || !envelope->value)
    return;
  if (!marjoram_acceptor_accept (acceptor, &envelope->ballot, envelope->value))
    {
      reject (keeper, envelope);
      return;
    }
  if (!again)
    keeper->sequence++;
  marjoram_keeper_post_when_durable (
      keeper, marjoram_keeper_envelope_create (
                  envelope->slot, envelope->store_id, MARJORAM_KEEPER_ACCEPTED,
                  &envelope->ballot, NULL, NULL));
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
  marjoram_keeper_greet (keeper, envelope->slot, envelope->store_id);
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
take_record (marjoram_keeper *keeper,
             const struct marjoram_keeper_record *record,
             struct marjoram_error *err)
{
  keeper->barred = record->barred;
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
  keeper->formed
      = (keeper->acceptor.value
         && !marjoram_value_is_founding (keeper->acceptor.value))
        || (keeper->chosen && !marjoram_value_is_founding (keeper->chosen));
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
  ok = record && take_record (keeper, record, NULL);
  marjoram_wire_destroy (&marjoram_keeper_record_layout, record);
  if (ok)
    return true;
  return marjoram_error_set (
      err, MARJORAM_ERROR_CORRUPT,
      "the stored record is intact but can't be decoded; "
      "start the release that wrote it");
}
