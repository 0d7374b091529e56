#include "keeper_private.h"

#include "cleanup.h"
#include "clock.h"

#include <string.h>

/* Calls that the owner makes from its callback only add requests, which the
   call in progress processes.  */
static void
complete (marjoram_keeper *keeper, struct marjoram_keeper_request *request,
          const struct marjoram_apply_answer *response)
{
  const uint64_t number = request->request;

  marjoram_keeper_requests_remove (&keeper->requests, request);
  keeper->answering = true;
  keeper->ops->answered (keeper->context, number, response);
  keeper->answering = false;
}

/* Returns a request that the chosen state decides, with its answer; null if
   there is none.  */
static struct marjoram_keeper_request *
find_decided (marjoram_keeper *keeper, struct marjoram_apply_answer *response,
              char *text)
{
  const struct marjoram_state *state = marjoram_value_state (keeper->chosen);
  struct marjoram_keeper_request *request;

  TAILQ_FOREACH (request, &keeper->requests, link)
  if (marjoram_keeper_request_decided (request, state, response, text))
    return request;
  return NULL;
}

/* Searches from the start each time, as the functions below do, since the
   owner may add requests when it gets an answer.  */
void
marjoram_keeper_answer_decided (marjoram_keeper *keeper)
{
  struct marjoram_keeper_request *request;
  struct marjoram_apply_answer response;
  char text[MARJORAM_ANSWER_TEXT_MAX];

  if (keeper->answering || !keeper->chosen)
    return;
  while ((request = find_decided (keeper, &response, text)) != NULL)
    complete (keeper, request, &response);
}

/* Returns a read that the round of confirmation ROUND confirms or, if ROUND is
   0, one that the attempt does; null if there is none.  */
static struct marjoram_keeper_request *
find_confirmed_read (marjoram_keeper *keeper, uint64_t round)
{
  struct marjoram_keeper_request *request;

  TAILQ_FOREACH (request, &keeper->requests, link)
  if (request->read
      && (round > 0 ? request->after_round < round : request->in_attempt))
    return request;
  return NULL;
}

static void
answer_reads (marjoram_keeper *keeper, uint64_t round)
{
  const struct marjoram_apply_answer response
      = { .outcome = MARJORAM_APPLY_DECIDED, .message = "confirmed" };
  struct marjoram_keeper_request *request;

  while ((request = find_confirmed_read (keeper, round)) != NULL)
    complete (keeper, request, &response);
}

void
marjoram_keeper_answer_attempt_reads (marjoram_keeper *keeper)
{
  answer_reads (keeper, 0);
}

void
marjoram_keeper_answer_confirmed_reads (marjoram_keeper *keeper,
                                        uint64_t round)
{
  answer_reads (keeper, round);
}

static void
dispatch (marjoram_keeper *keeper,
          const struct marjoram_keeper_envelope *envelope)
{
  if (envelope->ballot.round > keeper->round)
    keeper->round = envelope->ballot.round;
  if (envelope->accepted.round > keeper->round)
    keeper->round = envelope->accepted.round;
  switch ((enum marjoram_keeper_kind)envelope->kind)
    {
    case MARJORAM_KEEPER_HEARTBEAT:
    case MARJORAM_KEEPER_HEARTBEAT_REPLY:
      marjoram_keeper_on_heartbeat (keeper, envelope);
      break;
    case MARJORAM_KEEPER_PREPARE:
      marjoram_keeper_on_prepare (keeper, envelope);
      break;
    case MARJORAM_KEEPER_PROMISE:
      marjoram_keeper_on_promise (keeper, envelope);
      break;
    case MARJORAM_KEEPER_REJECT:
      marjoram_keeper_on_reject (keeper, envelope);
      break;
    case MARJORAM_KEEPER_ACCEPT:
      marjoram_keeper_on_accept (keeper, envelope);
      break;
    case MARJORAM_KEEPER_ACCEPTED:
      marjoram_keeper_on_accepted (keeper, envelope);
      break;
    case MARJORAM_KEEPER_CHOSEN:
      marjoram_keeper_on_chosen (keeper, envelope);
      break;
    case MARJORAM_KEEPER_LEARN:
      if (envelope->value)
        marjoram_keeper_learn (keeper, &envelope->ballot, envelope->value);
      break;
    case MARJORAM_KEEPER_CONFIRM:
      marjoram_keeper_on_confirm (keeper, envelope);
      break;
    case MARJORAM_KEEPER_CONFIRMED:
      marjoram_keeper_on_confirmed (keeper, envelope);
      break;
    case MARJORAM_KEEPER_ENDED:
      marjoram_keeper_rival_ended (keeper, &envelope->ballot);
      break;
    }
}

static bool
is_changing_members (const marjoram_keeper *keeper)
{
  return keeper->chosen
         && marjoram_value_state (keeper->chosen)->next_members.count > 0;
}

/* Whether a membership change can be proposed, or an order, for which no
   attempt was started yet.  The next loss may be near, and an order's caller
   waits for a second only, so its first attempt waits only for another
   membership change.  */
static bool
has_urgent_change (const marjoram_keeper *keeper)
{
  const struct marjoram_keeper_request *request;

  if (is_changing_members (keeper)
      || marjoram_keeper_rival_changes_members (keeper))
    return false;
  TAILQ_FOREACH (request, &keeper->requests, link)
  if (!request->tried
      && (request->order.zone
          || marjoram_keeper_ready_store (keeper, request)))
    return true;
  return false;
}

/* Whether a member of the chosen state is silent, or its slot has another
   store.  */
static bool
misses_member (const marjoram_keeper *keeper)
{
  const struct marjoram_state *state = marjoram_value_state (keeper->chosen);
  const struct marjoram_keeper_member *members = state->members.items;

  for (size_t i = 0; i < state->members.count; i++)
    {
      const char *store = marjoram_keeper_store_in_slot (
          keeper, members[i].slot, MARJORAM_KEEPER_PEER_TIMEOUT_MS);

      if (!store || strcmp (store, members[i].store_id) != 0)
        return true;
    }
  return false;
}

/* Whether this store started empty and the others are to make it a member in
   place of one that was lost.  Its own attempts would be in the way of
   that.  */
static bool
awaits_admission (const marjoram_keeper *keeper)
{
  return keeper->first_learnt_at != 0
         && keeper->now < keeper->first_learnt_at + keeper->admission_ms
         && !marjoram_keeper_is_member (keeper) && misses_member (keeper);
}

/* Whether a membership change was requested and its store has not had the time
   to answer yet.  Changes of files would be in its way.  */
static bool
awaits_new_member (const marjoram_keeper *keeper)
{
  const struct marjoram_keeper_request *request;

  TAILQ_FOREACH (request, &keeper->requests, link)
  if (request->new && !request->tried
      && !marjoram_keeper_ready_store (keeper, request)
      && keeper->now
             < request->received_at + marjoram_keeper_answer_ms (keeper))
    return true;
  return false;
}

static bool
attempt_needed (const marjoram_keeper *keeper)
{
  const struct marjoram_keeper_request *request;

  /* An empty store is sent the state of the others, and has nothing to build
     on before.  */
  if (!marjoram_keeper_current_value (keeper) && keeper->first_count == 0)
    return false;
  if (is_changing_members (keeper) && marjoram_keeper_votes (keeper))
    return true;
  if (awaits_new_member (keeper))
    return false;
  TAILQ_FOREACH (request, &keeper->requests, link)
  if ((request->read && request->needs_ballot) || request->file.name
      || marjoram_keeper_ready_store (keeper, request))
    return true;
  return false;
}

static void
start_attempt_if_needed (marjoram_keeper *keeper)
{
  const bool urgent = has_urgent_change (keeper);

  if (keeper->attempt.phase != MARJORAM_PHASE_IDLE || !attempt_needed (keeper)
      || (awaits_admission (keeper) && !urgent))
    return;
  if (keeper->now >= keeper->retry_at
      && (!marjoram_keeper_must_defer (keeper) || urgent))
    marjoram_keeper_start_attempt (keeper);
  else if (keeper->deferred_since == 0)
    keeper->deferred_since = keeper->now;
}

static void
advance_requests (marjoram_keeper *keeper)
{
  marjoram_keeper_answer_decided (keeper);
  start_attempt_if_needed (keeper);
}

void
marjoram_keeper_process_pending (marjoram_keeper *keeper)
{
  if (keeper->answering)
    return;
  advance_requests (keeper);
  while (!STAILQ_EMPTY (&keeper->inbox))
    {
      struct marjoram_keeper_envelope *envelope
          = STAILQ_FIRST (&keeper->inbox);

      STAILQ_REMOVE_HEAD (&keeper->inbox, link);
      free (envelope->store_id);
      envelope->store_id = marjoram_strdup (keeper->store_id);
      dispatch (keeper, envelope);
      marjoram_keeper_envelope_destroy (envelope);
      advance_requests (keeper);
    }
  marjoram_keeper_deliver_chosen (keeper);
  marjoram_keeper_flush (keeper);
}

static char **
copy_slots (const char *const *slots, size_t count)
{
  char **copy = marjoram_alloc (count * sizeof (char *));

  for (size_t i = 0; i < count; i++)
    copy[i] = marjoram_strdup (slots[i]);
  return copy;
}

marjoram_keeper *
marjoram_keeper_create (const struct marjoram_keeper_options *options,
                        const struct marjoram_keeper_ops *ops, void *context,
                        marjoram_random *random, struct marjoram_error *err)
{
  marjoram_keeper *keeper = marjoram_alloc (sizeof *keeper);

  keeper->ops = ops;
  keeper->context = context;
  keeper->random = random;
  keeper->slot = marjoram_strdup (options->slot);
  keeper->store_id = marjoram_strdup (options->store_id);
  keeper->first = copy_slots (options->first, options->first_count);
  keeper->first_count = options->first_count;
  keeper->incarnation = options->incarnation;
  keeper->admission_ms = options->admission_ms;
  keeper->empty_bytes = marjoram_bytes_create (NULL, 0);
  TAILQ_INIT (&keeper->peers);
  TAILQ_INIT (&keeper->requests);
  STAILQ_INIT (&keeper->pending_replies);
  STAILQ_INIT (&keeper->inbox);
  if (options->record && !marjoram_keeper_load (keeper, options->record, err))
    {
      marjoram_keeper_destroy (keeper);
      return NULL;
    }
  return keeper;
}

void
marjoram_keeper_destroy (marjoram_keeper *keeper)
{
  if (!keeper)
    return;
  marjoram_attempt_stop (&keeper->attempt);
  marjoram_voters_clear (&keeper->confirm.votes);
  marjoram_keeper_requests_clear (&keeper->requests);
  marjoram_keeper_envelopes_clear (&keeper->pending_replies);
  marjoram_keeper_envelopes_clear (&keeper->inbox);
  marjoram_keeper_peers_clear (&keeper->peers);
  marjoram_value_release (keeper->acceptor.value);
  marjoram_value_release (keeper->chosen);
  marjoram_value_release (keeper->previous_chosen);
  marjoram_value_release (keeper->delivered);
  marjoram_value_release (keeper->written);
  marjoram_bytes_release (keeper->empty_bytes);
  for (size_t i = 0; i < keeper->first_count; i++)
    free (keeper->first[i]);
  free (keeper->first);
  free (keeper->slot);
  free (keeper->store_id);
  free (keeper);
}

static void
reject_request (marjoram_keeper *keeper, uint64_t request,
                const struct marjoram_error *err)
{
  const struct marjoram_apply_answer response
      = { .outcome = MARJORAM_APPLY_NOT_RUN,
          .result = MARJORAM_CHANGE_INVALID,
          .message = err->message };

  keeper->ops->answered (keeper->context, request, &response);
}

void
marjoram_keeper_apply (marjoram_keeper *keeper, int64_t now, uint64_t request,
                       const char *change_id, const struct marjoram_file *file)
{
  struct marjoram_error err = { 0 };

  keeper->now = now;
  if (!marjoram_change_check (change_id, file, &err))
    {
      reject_request (keeper, request, &err);
      return;
    }
  marjoram_keeper_requests_add_file (&keeper->requests, request, change_id,
                                     file, now);
  marjoram_keeper_answer_decided (keeper);
  marjoram_keeper_process_pending (keeper);
}

static bool
check_name (const char *name, struct marjoram_error *err)
{
  if (name && name[0] && strlen (name) <= MARJORAM_NAME_MAX)
    return true;
  return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                             "change ids and slots must have 1 to %d bytes",
                             MARJORAM_NAME_MAX);
}

void
marjoram_keeper_order (marjoram_keeper *keeper, int64_t now, uint64_t request,
                       const char *change_id,
                       const struct marjoram_evacuation_order *order)
{
  struct marjoram_error err = { 0 };

  keeper->now = now;
  if (!check_name (change_id, &err))
    {
      reject_request (keeper, request, &err);
      return;
    }
  marjoram_keeper_requests_add_order (&keeper->requests, request, change_id,
                                      order, now);
  marjoram_keeper_process_pending (keeper);
}

/* OLD is null to add a member while there are fewer than MOST.  */
static void
change_members (marjoram_keeper *keeper, int64_t now, uint64_t request,
                const char *change_id, const char *old, const char *new,
                size_t most)
{
  struct marjoram_keeper_request *added;
  struct marjoram_error err = { 0 };

  keeper->now = now;
  if (!check_name (change_id, &err) || !check_name (new, &err)
      || (old && !check_name (old, &err)))
    {
      reject_request (keeper, request, &err);
      return;
    }
  added = marjoram_keeper_requests_add_replace (&keeper->requests, request,
                                                change_id, old, new, now);
  added->floor = marjoram_value_number (keeper->chosen);
  added->most = most;
  marjoram_keeper_send_heartbeat (keeper, new, NULL);
  marjoram_keeper_answer_decided (keeper);
  marjoram_keeper_process_pending (keeper);
}

void
marjoram_keeper_replace (marjoram_keeper *keeper, int64_t now,
                         uint64_t request, const char *change_id,
                         const char *old, const char *new)
{
  change_members (keeper, now, request, change_id, old ? old : "", new, 0);
}

void
marjoram_keeper_add (marjoram_keeper *keeper, int64_t now, uint64_t request,
                     const char *change_id, const char *new, size_t most)
{
  change_members (keeper, now, request, change_id, NULL, new, most);
}

void
marjoram_keeper_probe (marjoram_keeper *keeper, int64_t now, const char *slot)
{
  keeper->now = now;
  marjoram_keeper_send_heartbeat (keeper, slot, NULL);
}

void
marjoram_keeper_read (marjoram_keeper *keeper, int64_t now, uint64_t request)
{
  keeper->now = now;
  marjoram_keeper_start_read (keeper, marjoram_keeper_requests_add_read (
                                          &keeper->requests, request, now));
  marjoram_keeper_process_pending (keeper);
}

static bool
names_our_store (const marjoram_keeper *keeper,
                 const struct marjoram_keeper_message *message)
{
  return message->seen_store_id
         && strcmp (message->seen_store_id, keeper->store_id) == 0;
}

static void
check_rolled_back (marjoram_keeper *keeper,
                   const struct marjoram_keeper_message *message)
{
  if (keeper->rolled_back
      || !marjoram_keeper_rolled_back (keeper->incarnation, keeper->base,
                                       message->seen_incarnation,
                                       message->seen_writes))
    return;
  keeper->rolled_back = true;
  keeper->sequence++;
}

static bool
update_sender (marjoram_keeper *keeper, const char *from,
               const struct marjoram_keeper_message *message)
{
  struct marjoram_keeper_peer *peer = marjoram_keeper_peers_update (
      &keeper->peers, keeper->now, from, message);

  if (names_our_store (keeper, message))
    check_rolled_back (keeper, message);
  if (!peer)
    {
      /* Reports what was seen of that store, so that it can detect a
         rollback.  */
      marjoram_keeper_send_envelope (
          keeper, marjoram_keeper_envelope_create (
                      from, message->store_id, MARJORAM_KEEPER_HEARTBEAT_REPLY,
                      NULL, NULL, NULL));
      return false;
    }
  if (names_our_store (keeper, message)
      && message->seen_incarnation == keeper->incarnation)
    peer->knows_incarnation = true;
  marjoram_keeper_check_confirmed (keeper);
  return true;
}

void
marjoram_keeper_receive (marjoram_keeper *keeper, int64_t now,
                         const char *from,
                         const struct marjoram_keeper_message *message)
{
  struct marjoram_keeper_envelope *envelope;
  marjoram_value *value = NULL;

  keeper->now = now;
  if (!message->store_id || message->kind > MARJORAM_KEEPER_ENDED)
    return;
  /* Answers the previous incarnation, whose clock may have been another.  */
  if (message->kind == MARJORAM_KEEPER_CONFIRMED
      && (!names_our_store (keeper, message)
          || message->seen_incarnation != keeper->incarnation))
    return;
  if (message->value)
    {
      value = marjoram_keeper_decode_value (keeper, message);
      if (!value)
        {
          /* The heartbeat names the value held here, which the sender can
             encode against.  */
          marjoram_keeper_send_heartbeat (keeper, from, message->store_id);
          return;
        }
    }
  if (update_sender (keeper, from, message))
    {
      envelope = marjoram_keeper_envelope_create (
          from, message->store_id, message->kind, &message->ballot,
          &message->accepted, value);
      envelope->echo = message->echo;
      envelope->held_number = message->held_number;
      dispatch (keeper, envelope);
      marjoram_keeper_envelope_destroy (envelope);
    }
  marjoram_value_release (value);
  marjoram_keeper_process_pending (keeper);
}

void
marjoram_keeper_persisted (marjoram_keeper *keeper, int64_t now,
                           uint64_t ticket, bool ok)
{
  keeper->now = now;
  keeper->write_ms = marjoram_keeper_write_age_ms (keeper, now);
  keeper->writing = false;
  if (ok)
    {
      /* Each record is complete, so this one also covers writes that
         failed.  */
      keeper->durable = ticket;
      keeper->write_failed = false;
      marjoram_keeper_deliver_written (keeper);
    }
  else
    {
      keeper->write_failed = true;
      keeper->write_retry_at = now + MARJORAM_KEEPER_WRITE_RETRY_MS;
      marjoram_keeper_envelopes_clear (&keeper->pending_replies);
    }
  while (!STAILQ_EMPTY (&keeper->pending_replies)
         && STAILQ_FIRST (&keeper->pending_replies)->after <= keeper->durable)
    {
      struct marjoram_keeper_envelope *reply
          = STAILQ_FIRST (&keeper->pending_replies);

      STAILQ_REMOVE_HEAD (&keeper->pending_replies, link);
      marjoram_keeper_send_envelope (keeper, reply);
    }
  marjoram_keeper_process_pending (keeper);
}

static const char *
timeout_reason (const marjoram_keeper *keeper,
                const struct marjoram_keeper_request *request)
{
  if (!keeper->chosen)
    return "the configuration is not bootstrapped yet: all initial keepers "
           "must be up at the same time once";
  if (!request->file.name && !request->read && !request->sent
      && !marjoram_keeper_ready_store (keeper, request))
    return "the new keeper has not answered, or does not hold the state yet";
  return "no majority of the keepers answered in time";
}

static bool
has_expired (const marjoram_keeper *keeper,
             const struct marjoram_keeper_request *request)
{
  const int64_t writes_ms
      = request->read ? marjoram_keeper_decision_ms (keeper) : 0;

  return keeper->now >= request->deadline + writes_ms;
}

static struct marjoram_keeper_request *
find_expired (const marjoram_keeper *keeper)
{
  struct marjoram_keeper_request *request;

  TAILQ_FOREACH (request, &keeper->requests, link)
  if (has_expired (keeper, request))
    return request;
  return NULL;
}

static void
expire_requests (marjoram_keeper *keeper)
{
  struct marjoram_keeper_request *request;
  struct marjoram_apply_answer response;
  char text[MARJORAM_ANSWER_TEXT_MAX];

  while ((request = find_expired (keeper)) != NULL)
    {
      marjoram_keeper_request_expire (
          request, timeout_reason (keeper, request), &response, text);
      complete (keeper, request, &response);
    }
}

static bool
first_keepers_present (const marjoram_keeper *keeper)
{
  bool is_first = false;

  for (size_t i = 0; i < keeper->first_count; i++)
    {
      if (strcmp (keeper->first[i], keeper->slot) == 0)
        is_first = true;
      else if (!marjoram_keeper_peers_latest_in_slot (
                   &keeper->peers, keeper->first[i],
                   keeper->now - MARJORAM_KEEPER_PEER_TIMEOUT_MS))
        return false;
    }
  return is_first;
}

/* Bootstrapping is unsafe while a peer knows a state not learned yet: it may
   be more than an initial one.  */
bool
marjoram_keeper_may_bootstrap (const marjoram_keeper *keeper)
{
  const struct marjoram_keeper_peer *peer;

  TAILQ_FOREACH (peer, &keeper->peers, link)
  if (peer->last_seen_at >= keeper->now - MARJORAM_KEEPER_PEER_TIMEOUT_MS
      && peer->number > marjoram_value_number (keeper->chosen))
    return false;
  return !keeper->bootstrapped;
}

/* Whether there may be unfinished work without a live proposer: bootstrapping,
   a value that a majority may have accepted before a restart of all, or a
   membership change.  */
static bool
needs_recovery (const marjoram_keeper *keeper)
{
  const marjoram_value *current;

  if (!marjoram_keeper_may_vote (keeper))
    return false;
  current = marjoram_keeper_current_value (keeper);
  if (current && marjoram_value_equal (keeper->acceptor.value, keeper->chosen))
    return marjoram_value_state (current)->next_members.count > 0;
  if (!current || marjoram_value_is_initial (current))
    return first_keepers_present (keeper)
           && marjoram_keeper_may_bootstrap (keeper);
  return true;
}

/* Randomized delay, so that keepers don't start competing attempts.  */
static bool
recovery_due (marjoram_keeper *keeper)
{
  if (!needs_recovery (keeper))
    {
      keeper->recover_at = 0;
      return false;
    }
  if (keeper->recover_at == 0)
    keeper->recover_at
        = keeper->now + MARJORAM_KEEPER_RECOVERY_DELAY_MS
          + marjoram_random_below (keeper->random,
                                   MARJORAM_KEEPER_RECOVERY_JITTER_MS);
  if (keeper->now < keeper->recover_at)
    return false;
  keeper->recover_at = 0;
  return true;
}

static int64_t
attempt_timeout_ms (const marjoram_keeper *keeper)
{
  int64_t writes_ms = marjoram_keeper_decision_ms (keeper);

  return writes_ms > MARJORAM_KEEPER_ATTEMPT_TIMEOUT_MS
             ? writes_ms
             : MARJORAM_KEEPER_ATTEMPT_TIMEOUT_MS;
}

static void
advance_attempt (marjoram_keeper *keeper)
{
  if (keeper->attempt.phase == MARJORAM_PHASE_IDLE)
    {
      if (!awaits_admission (keeper) && !marjoram_keeper_must_defer (keeper)
          && recovery_due (keeper))
        marjoram_keeper_start_attempt (keeper);
    }
  else if (keeper->now >= keeper->started_at + attempt_timeout_ms (keeper))
    marjoram_keeper_fail_attempt (keeper, MARJORAM_BALLOT_TIMED_OUT, NULL);
  else if (keeper->now >= keeper->resend_at)
    marjoram_keeper_send_phase (keeper);
}

/* Deadlines don't count the time for which this host stood still: messages
   that arrived meanwhile have not been read yet.  */
static void
postpone_deadlines (marjoram_keeper *keeper)
{
  int64_t stall_ms = keeper->ticked_at ? keeper->now - keeper->ticked_at : 0;
  struct marjoram_keeper_request *request;

  keeper->ticked_at = keeper->now;
  if (stall_ms < MARJORAM_STALL_MIN_MS)
    return;
  TAILQ_FOREACH (request, &keeper->requests, link)
  request->deadline += stall_ms;
}

void
marjoram_keeper_tick (marjoram_keeper *keeper, int64_t now)
{
  keeper->now = now;
  postpone_deadlines (keeper);
  marjoram_keeper_check_confirmed (keeper);
  if (now >= keeper->heartbeat_at)
    marjoram_keeper_broadcast_heartbeat (keeper);
  marjoram_keeper_probe_busy_peers (keeper);
  marjoram_keeper_tick_reads (keeper);
  expire_requests (keeper);
  advance_attempt (keeper);
  marjoram_keeper_process_pending (keeper);
}

int64_t
marjoram_keeper_write_age_ms (const marjoram_keeper *keeper, int64_t now)
{
  return keeper->writing ? now - keeper->write_started_at : 0;
}

void
marjoram_keeper_observe_number (marjoram_keeper *keeper, uint64_t number)
{
  if (number > 0)
    keeper->bootstrapped = true;
}

const struct marjoram_state *
marjoram_keeper_durable_state (const marjoram_keeper *keeper)
{
  if (keeper->delivered)
    return marjoram_value_state (keeper->delivered);
  if (keeper->chosen && keeper->durable >= keeper->deliver_after)
    return marjoram_value_state (keeper->chosen);
  return NULL;
}

const struct marjoram_state *
marjoram_keeper_chosen_state (const marjoram_keeper *keeper)
{
  return keeper->chosen ? marjoram_value_state (keeper->chosen) : NULL;
}

const char *
marjoram_keeper_store_in_slot (const marjoram_keeper *keeper, const char *slot,
                               int64_t age_ms)
{
  const struct marjoram_keeper_peer *peer;

  if (strcmp (slot, keeper->slot) == 0)
    return keeper->store_id;
  peer = marjoram_keeper_peers_latest_in_slot (&keeper->peers, slot,
                                               keeper->now - age_ms);
  return peer ? peer->seen.store_id : NULL;
}

/* Whether VALUE, which may be null, names this keeper's store as a member.  */
static bool
is_member_in (const marjoram_keeper *keeper, const marjoram_value *value)
{
  const struct marjoram_state *state;

  if (!value)
    return false;
  state = marjoram_value_state (value);
  return marjoram_voters_contain (&state->members, keeper->slot,
                                  keeper->store_id)
         || marjoram_voters_contain (&state->next_members, keeper->slot,
                                     keeper->store_id);
}

bool
marjoram_keeper_is_member (const marjoram_keeper *keeper)
{
  return is_member_in (keeper, marjoram_keeper_current_value (keeper));
}

static bool
was_reached (const marjoram_keeper *keeper)
{
  const struct marjoram_keeper_peer *peer;

  TAILQ_FOREACH (peer, &keeper->peers, link)
  if (peer->slot)
    return true;
  return false;
}

/* A member needs no majority of the members before it, so a change that is
   not completed does not count.  */
enum marjoram_store_step
marjoram_keeper_store_step (const marjoram_keeper *keeper)
{
  if (keeper->chosen
      && marjoram_voters_contain (
          &marjoram_value_state (keeper->chosen)->members, keeper->slot,
          keeper->store_id))
    return MARJORAM_STORE_MEMBER;
  if (marjoram_keeper_is_member (keeper)
      || is_member_in (keeper, keeper->chosen))
    return MARJORAM_STORE_ASKED;
  if (keeper->chosen)
    return MARJORAM_STORE_LEARNT;
  return was_reached (keeper) ? MARJORAM_STORE_REACHED
                              : MARJORAM_STORE_STARTED;
}

bool
marjoram_keeper_votes (const marjoram_keeper *keeper)
{
  return marjoram_keeper_may_vote (keeper)
         && marjoram_keeper_is_member (keeper);
}

const char *
marjoram_keeper_no_vote_reason (const marjoram_keeper *keeper)
{
  if (keeper->write_failed)
    return "a write to the data folder failed: no vote; repair the disk and "
           "restart this host";
  if (keeper->rolled_back)
    return "the data folder was restored from an older copy: no vote; empty "
           "it, restart this host and run \"marjoramctl replace-keeper SLOT "
           "SLOT\"";
  if (!marjoram_keeper_current_value (keeper))
    return keeper->bootstrapped
               ? "this store is empty while other keepers have a state: no "
                 "vote; run "
                 "\"marjoramctl replace-keeper SLOT SLOT\""
               : "not bootstrapped yet: all initial keepers must be up";
  if (!marjoram_keeper_is_member (keeper))
    return "this store is not a member: no vote; run \"marjoramctl "
           "replace-keeper OLD SLOT\" if it should be one";
  if (!keeper->confirmed)
    return "no majority of the keepers has answered since the start: no vote "
           "yet";
  return NULL;
}

bool
marjoram_keeper_hears_majority (const marjoram_keeper *keeper, int64_t age_ms)
{
  const marjoram_value *value = marjoram_keeper_current_value (keeper);
  const struct marjoram_keeper_peer *peer;
  struct marjoram_array heard = { NULL, 0 };
  bool majority;

  if (!value)
    return false;
  marjoram_voters_add (&heard, keeper->slot, keeper->store_id);
  TAILQ_FOREACH (peer, &keeper->peers, link)
  if (peer->slot && peer->last_seen_at >= keeper->now - age_ms
      && marjoram_keeper_peers_latest_in_slot (&keeper->peers, peer->slot, 0)
             == peer)
    marjoram_voters_add (&heard, peer->slot, peer->seen.store_id);
  majority = marjoram_quorum (&heard, marjoram_value_state (value));
  marjoram_voters_clear (&heard);
  return majority;
}

const char *
marjoram_keeper_trouble (const marjoram_keeper *keeper)
{
  const char *reason = marjoram_keeper_no_vote_reason (keeper);

  if (reason
      || marjoram_keeper_hears_majority (keeper,
                                         MARJORAM_KEEPER_PEER_TIMEOUT_MS))
    return reason;
  return "no majority of the members is heard: nothing can be changed or "
         "confirmed; start the missing ones with their data folders, or see "
         "\"A majority of the keepers is lost\" in docs/OPERATORS.md";
}
