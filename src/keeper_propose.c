#include "keeper_private.h"

#include "cleanup.h"

#include <string.h>
#include <xxhash.h>

enum
{
  /* By how many rounds a membership change is ahead of other attempts.  More
     than the number of times that one is outdated in a row, as a rule.  */
  MEMBERSHIP_ROUNDS = 16,
  /* The same for the first attempt for an order.  */
  ORDER_ROUNDS = 8
};

static void
send_request (marjoram_keeper *keeper, const char *slot)
{
  const struct marjoram_attempt *attempt = &keeper->attempt;
  uint64_t kind = attempt->phase == MARJORAM_PHASE_PREPARE
                      ? MARJORAM_KEEPER_PREPARE
                      : MARJORAM_KEEPER_ACCEPT;

  marjoram_keeper_send_envelope (
      keeper,
      marjoram_keeper_envelope_create (slot, NULL, kind, &attempt->ballot,
                                       NULL, attempt->proposed));
}

void
marjoram_keeper_send_phase (marjoram_keeper *keeper)
{
  const struct marjoram_attempt *attempt = &keeper->attempt;
  const char *targets[MARJORAM_KEEPER_TARGETS_MAX];
  size_t count = marjoram_keeper_targets (keeper, targets);

  keeper->resend_at = keeper->now + MARJORAM_KEEPER_RESEND_MS;
  for (size_t i = 0; i < count; i++)
    if (!marjoram_voters_find (&attempt->votes, targets[i]))
      send_request (keeper, targets[i]);
}

/* Whether a membership change is in progress, or can be proposed.  */
static bool
has_membership_change (const marjoram_keeper *keeper)
{
  const struct marjoram_keeper_request *request;

  if (keeper->chosen
      && marjoram_value_state (keeper->chosen)->next_members.count > 0)
    return true;
  TAILQ_FOREACH (request, &keeper->requests, link)
  if (marjoram_keeper_ready_store (keeper, request))
    return true;
  return false;
}

static bool
has_new_order (const marjoram_keeper *keeper)
{
  const struct marjoram_keeper_request *request;

  TAILQ_FOREACH (request, &keeper->requests, link)
  if (request->order.zone && !request->tried)
    return true;
  return false;
}

/* Of keepers that start at the same moment, one with a membership change gets
   the highest ballot, then one with an order, then the one that was outdated
   most often.  */
static uint64_t
next_round (const marjoram_keeper *keeper)
{
  const bool change = has_membership_change (keeper);

  return marjoram_keeper_mark_round (
      keeper->round + 1 + (uint64_t)keeper->failures
          + (change ? MEMBERSHIP_ROUNDS : 0)
          + (has_new_order (keeper) ? ORDER_ROUNDS : 0),
      change);
}

void
marjoram_keeper_start_attempt (marjoram_keeper *keeper)
{
  const uint64_t round = next_round (keeper);
  const struct marjoram_ballot ballot
      = { round, keeper->incarnation,
          XXH3_64bits (keeper->store_id, strlen (keeper->store_id)) };
  struct marjoram_keeper_request *request;

  keeper->round = round;
  marjoram_attempt_start (&keeper->attempt, &ballot);
  marjoram_keeper_rival_ended (keeper, &ballot);
  keeper->deferred_ms
      = keeper->deferred_since ? keeper->now - keeper->deferred_since : 0;
  keeper->deferred_since = 0;
  keeper->started_at = keeper->now;
  TAILQ_FOREACH (request, &keeper->requests, link)
  {
    request->in_attempt = request->read;
    request->tried = request->tried || request->order.zone
                     || marjoram_keeper_ready_store (keeper, request) != NULL;
  }
  marjoram_keeper_send_phase (keeper);
}

static void
report_attempt (const marjoram_keeper *keeper, enum marjoram_ballot_end end,
                const char *by)
{
  const struct marjoram_ballot_report report = {
    .end = end,
    .round = keeper->attempt.ballot.round,
    .accepting = keeper->attempt.phase == MARJORAM_PHASE_ACCEPT,
    .votes = keeper->attempt.votes.count,
    .by = by,
    .age_ms = keeper->now - keeper->started_at,
    .deferred_ms = keeper->deferred_ms,
  };

  if (keeper->ops->ballot_ended)
    keeper->ops->ballot_ended (keeper->context, &report);
}

/* Ends the current attempt.  */
static void
stop_attempt (marjoram_keeper *keeper, enum marjoram_ballot_end end,
              const char *by)
{
  report_attempt (keeper, end, by);
  marjoram_attempt_stop (&keeper->attempt);
}

void
marjoram_keeper_fail_attempt (marjoram_keeper *keeper,
                              enum marjoram_ballot_end end, const char *by)
{
  stop_attempt (keeper, end, by);
  keeper->failures++;
  keeper->retry_at
      = keeper->now + 1
        + marjoram_random_below (keeper->random, MARJORAM_KEEPER_BACKOFF_MS);
}

/* The stores that answered become the first members; an earlier initial value
   with exactly these members is proposed again.  */
static marjoram_value *
initial_value (const marjoram_keeper *keeper)
{
  const struct marjoram_attempt *attempt = &keeper->attempt;
  struct marjoram_state *state = marjoram_state_copy (NULL);
  bool unchanged = attempt->best != NULL;

  state->number = marjoram_value_number (attempt->best) + 1;
  for (size_t i = 0; i < keeper->first_count; i++)
    {
      const struct marjoram_keeper_member *vote
          = marjoram_voters_find (&attempt->votes, keeper->first[i]);

      marjoram_voters_add (&state->members, vote->slot, vote->store_id);
      unchanged = unchanged
                  && marjoram_voters_contain (
                      &marjoram_value_state (attempt->best)->members,
                      vote->slot, vote->store_id);
    }
  if (!unchanged)
    return marjoram_value_create (state);
  marjoram_state_destroy (state);
  return marjoram_value_retain (attempt->best);
}

/* Whether STATE has few enough members for REQUEST.  */
static bool
has_room (const struct marjoram_keeper_request *request,
          const struct marjoram_state *state)
{
  return request->most == 0 || state->members.count < request->most;
}

/* The store needs the state of the time of the request only: it is sent what
   is proposed afterwards as the members are, and a majority of the members
   before it accepts the change too.  While changes come quickly, it is rarely
   known to hold the latest one.  */
const char *
marjoram_keeper_ready_store (const marjoram_keeper *keeper,
                             const struct marjoram_keeper_request *request)
{
  const struct marjoram_keeper_peer *peer;

  if (!keeper->chosen || !request->new
      || !has_room (request, marjoram_value_state (keeper->chosen)))
    return NULL;
  if (strcmp (request->new, keeper->slot) == 0)
    return keeper->delivered
                   && marjoram_value_number (keeper->delivered)
                          >= request->floor
               ? keeper->store_id
               : NULL;
  /* A store last heard from before the request may be the one that was
     lost.  */
  peer = marjoram_keeper_peers_latest_answered (&keeper->peers, request->new,
                                                request->received_at);
  if (!peer || peer->number == 0 || peer->number < request->floor)
    return NULL;
  return peer->seen.store_id;
}

static bool
add_change (marjoram_keeper *keeper, struct marjoram_state *state,
            struct marjoram_keeper_request *request, const char *store_id)
{
  if (marjoram_state_change (state, request->change_id))
    return false;
  request->sent = true;
  if (request->order.zone)
    marjoram_evacuation_decide (state, request->change_id, &request->order);
  else if (request->file.name)
    marjoram_change_apply (state, request->change_id, &request->file,
                           keeper->ops->valid, keeper->context);
  else
    marjoram_change_replace (state, request->change_id, request->old,
                             request->new, store_id);
  return true;
}

/* Adds the first pending membership change that is possible now.  */
static bool
add_membership_change (marjoram_keeper *keeper, struct marjoram_state *state)
{
  struct marjoram_keeper_request *request;

  TAILQ_FOREACH (request, &keeper->requests, link)
  {
    const char *store_id = marjoram_keeper_ready_store (keeper, request);

    if (store_id && has_room (request, state)
        && add_change (keeper, state, request, store_id))
      return true;
  }
  return false;
}

/* By now the end of a caller's connection has come that was right behind its
   order.  */
static void
drop_unwanted_orders (marjoram_keeper *keeper)
{
  struct marjoram_keeper_request *request = TAILQ_FIRST (&keeper->requests);

  while (request && keeper->ops->wants)
    {
      struct marjoram_keeper_request *next = TAILQ_NEXT (request, link);

      if (request->order.zone && !request->sent
          && !keeper->ops->wants (keeper->context, request->request))
        marjoram_keeper_requests_remove (&keeper->requests, request);
      request = next;
    }
}

/* Adds pending changes of files in order.  */
static bool
add_file_changes (marjoram_keeper *keeper, struct marjoram_state *state)
{
  struct marjoram_keeper_request *request;
  size_t count = 0;

  drop_unwanted_orders (keeper);
  TAILQ_FOREACH (request, &keeper->requests, link)
  {
    if (request->file.name && add_change (keeper, state, request, NULL))
      count++;
    if (count == MARJORAM_KEEPER_BATCH_MAX)
      break;
  }
  return count > 0;
}

/* A membership change is proposed alone, and before changes of files that came
   earlier: the next loss may be near.  */
static bool
add_changes (marjoram_keeper *keeper, struct marjoram_state *state)
{
  return add_membership_change (keeper, state)
         || add_file_changes (keeper, state);
}

/* Old members are removed only once the joint membership is known to be
   chosen.  If it was merely read, another value may still be chosen that
   counts their votes.  */
static marjoram_value *
next_value (marjoram_keeper *keeper, marjoram_value *best)
{
  struct marjoram_state *state
      = marjoram_state_copy (marjoram_value_state (best));
  bool changed = false;

  if (state->next_members.count > 0)
    {
      if (marjoram_value_equal (best, keeper->chosen))
        {
          marjoram_change_finish_replace (state);
          changed = true;
        }
    }
  else
    changed = add_changes (keeper, state);
  if (changed)
    return marjoram_value_create (state);
  marjoram_state_destroy (state);
  return marjoram_value_retain (best);
}

/* Whether the accept request may be sent to SLOT before the next resend.  A
   large value waits for the promise from SLOT, which names the value held
   there, against which it can be compressed.  The resend waits for none.  */
static bool
can_send_accept (const struct marjoram_attempt *attempt, const char *slot)
{
  marjoram_bytes *packed = marjoram_value_packed (attempt->proposed);

  return marjoram_bytes_size (packed) <= MARJORAM_KEEPER_SMALL_MAX
         || marjoram_voters_find (&attempt->promised, slot);
}

static void
propose (marjoram_keeper *keeper, marjoram_value *value)
{
  const struct marjoram_attempt *attempt = &keeper->attempt;
  const char *targets[MARJORAM_KEEPER_TARGETS_MAX];
  size_t count;

  marjoram_attempt_propose (&keeper->attempt, value);
  marjoram_value_release (value);
  keeper->resend_at = keeper->now + MARJORAM_KEEPER_RESEND_MS;
  count = marjoram_keeper_targets (keeper, targets);
  for (size_t i = 0; i < count; i++)
    if (can_send_accept (attempt, targets[i]))
      send_request (keeper, targets[i]);
}

/* Sends a message of KIND with the ballot of the current attempt to the other
   keepers.  */
static void
broadcast_ballot (marjoram_keeper *keeper, enum marjoram_keeper_kind kind)
{
  const char *targets[MARJORAM_KEEPER_TARGETS_MAX];
  size_t count = marjoram_keeper_targets (keeper, targets);

  for (size_t i = 0; i < count; i++)
    if (strcmp (targets[i], keeper->slot) != 0)
      marjoram_keeper_send_envelope (
          keeper, marjoram_keeper_envelope_create (targets[i], NULL, kind,
                                                   &keeper->attempt.ballot,
                                                   NULL, NULL));
}

static void
finish_prepare (marjoram_keeper *keeper)
{
  struct marjoram_attempt *attempt = &keeper->attempt;
  marjoram_value *value;

  if (!marjoram_attempt_read (attempt, keeper->chosen))
    {
      if (marjoram_keeper_may_bootstrap (keeper)
          && marjoram_attempt_may_propose_initial (attempt, keeper->first,
                                                   keeper->first_count))
        propose (keeper, initial_value (keeper));
      return;
    }
  value = next_value (keeper, attempt->best);
  if (!marjoram_value_equal (value, keeper->chosen))
    {
      propose (keeper, value);
      return;
    }
  marjoram_value_release (value);
  broadcast_ballot (keeper, MARJORAM_KEEPER_ENDED);
  stop_attempt (keeper, MARJORAM_BALLOT_COMPLETED, NULL);
  keeper->retry_at = keeper->now + MARJORAM_KEEPER_BACKOFF_MS;
  marjoram_keeper_answer_attempt_reads (keeper);
}

/* Proposes the value that completes the membership change which VALUE, chosen
   at BALLOT, began.  The ballot was promised with its acceptance.  */
static void
continue_change (marjoram_keeper *keeper, const struct marjoram_ballot *ballot,
                 marjoram_value *value)
{
  if (keeper->attempt.ballot.round > keeper->round)
    keeper->round = keeper->attempt.ballot.round;
  keeper->started_at = keeper->now;
  keeper->deferred_ms = 0;
  marjoram_keeper_learn (keeper, ballot, value);
  finish_prepare (keeper);
}

/* Peers are notified first: learning may release the values that name them. */
static void
finish_accept (marjoram_keeper *keeper)
{
  struct marjoram_ballot ballot = keeper->attempt.ballot;
  marjoram_value *value = marjoram_value_retain (keeper->attempt.proposed);

  broadcast_ballot (keeper, MARJORAM_KEEPER_CHOSEN);
  report_attempt (keeper, MARJORAM_BALLOT_COMPLETED, NULL);
  keeper->failures = 0;
  if (marjoram_attempt_continue (&keeper->attempt))
    continue_change (keeper, &ballot, value);
  else
    {
      marjoram_attempt_stop (&keeper->attempt);
      marjoram_keeper_learn (keeper, &ballot, value);
    }
  marjoram_keeper_rival_ended (keeper, &ballot);
  marjoram_value_release (value);
  marjoram_keeper_answer_attempt_reads (keeper);
}

static bool
is_current_phase (const marjoram_keeper *keeper,
                  const struct marjoram_ballot *ballot,
                  enum marjoram_phase phase)
{
  return keeper->attempt.phase == phase
         && marjoram_ballot_compare (ballot, &keeper->attempt.ballot) == 0;
}

void
marjoram_keeper_on_promise (marjoram_keeper *keeper,
                            const struct marjoram_keeper_envelope *envelope)
{
  marjoram_value *best = keeper->attempt.best;

  if (is_current_phase (keeper, &envelope->ballot, MARJORAM_PHASE_ACCEPT)
      && !can_send_accept (&keeper->attempt, envelope->slot)
      && !marjoram_voters_find (&keeper->attempt.votes, envelope->slot))
    send_request (keeper, envelope->slot);
  if (!is_current_phase (keeper, &envelope->ballot, MARJORAM_PHASE_PREPARE))
    return;
  marjoram_attempt_promised (&keeper->attempt, envelope->slot,
                             envelope->store_id, &envelope->accepted,
                             envelope->value);
  if (keeper->attempt.best != best)
    keeper->resend_at = keeper->now; /* it may name more members */
  finish_prepare (keeper);
}

void
marjoram_keeper_on_accepted (marjoram_keeper *keeper,
                             const struct marjoram_keeper_envelope *envelope)
{
  if (!is_current_phase (keeper, &envelope->ballot, MARJORAM_PHASE_ACCEPT))
    return;
  marjoram_attempt_accepted (&keeper->attempt, envelope->slot,
                             envelope->store_id);
  marjoram_attempt_promised_next (&keeper->attempt, envelope->slot,
                                  envelope->store_id, &envelope->accepted);
  if (marjoram_attempt_chosen (&keeper->attempt))
    finish_accept (keeper);
}

static bool
is_voter_in (const marjoram_value *value,
             const struct marjoram_keeper_envelope *envelope)
{
  const struct marjoram_state *state
      = value ? marjoram_value_state (value) : NULL;

  return state
         && (marjoram_voters_contain (&state->members, envelope->slot,
                                      envelope->store_id)
             || marjoram_voters_contain (&state->next_members, envelope->slot,
                                         envelope->store_id));
}

/* Whether the sender's vote may be needed by the current attempt.  */
static bool
may_be_needed (const marjoram_keeper *keeper,
               const struct marjoram_keeper_envelope *envelope)
{
  const marjoram_value *current = marjoram_keeper_current_value (keeper);

  return !current || is_voter_in (current, envelope)
         || is_voter_in (keeper->attempt.best, envelope)
         || is_voter_in (keeper->attempt.proposed, envelope);
}

/* A store that is no member may have promised a ballot that no member knows
   of.  */
void
marjoram_keeper_on_reject (marjoram_keeper *keeper,
                           const struct marjoram_keeper_envelope *envelope)
{
  if ((is_current_phase (keeper, &envelope->ballot, MARJORAM_PHASE_PREPARE)
       || is_current_phase (keeper, &envelope->ballot, MARJORAM_PHASE_ACCEPT))
      && may_be_needed (keeper, envelope))
    {
      /* It has promised the ballot of a third keeper.  */
      marjoram_keeper_note_rival (keeper, envelope->slot, &envelope->accepted);
      marjoram_keeper_fail_attempt (keeper, MARJORAM_BALLOT_OUTDATED,
                                    envelope->slot);
    }
}
