#include "keeper_private.h"

#include "cleanup.h"

#include <string.h>

static void
answer (marjoram_keeper *keeper, struct marjoram_keeper_request *request,
        const struct marjoram_apply_answer *what)
{
  keeper->ops->answered (keeper->context, request->request, what);
  marjoram_keeper_requests_remove (&keeper->requests, request);
}

void
marjoram_keeper_answer_decided (marjoram_keeper *keeper)
{
  struct marjoram_keeper_request *request = TAILQ_FIRST (&keeper->requests);

  while (request && keeper->chosen)
    {
      struct marjoram_keeper_request *next = TAILQ_NEXT (request, link);
      struct marjoram_apply_answer what;
      char text[MARJORAM_ANSWER_TEXT_MAX];

      if (marjoram_keeper_request_decided (
              request, marjoram_value_state (keeper->chosen), &what, text))
        answer (keeper, request, &what);
      request = next;
    }
}

void
marjoram_keeper_answer_reads (marjoram_keeper *keeper)
{
  const struct marjoram_apply_answer what
      = { .outcome = MARJORAM_APPLY_DECIDED, .message = "confirmed" };
  struct marjoram_keeper_request *request = TAILQ_FIRST (&keeper->requests);

  while (request)
    {
      struct marjoram_keeper_request *next = TAILQ_NEXT (request, link);

      if (request->read && request->asked)
        answer (keeper, request, &what);
      request = next;
    }
}

static void
handle (marjoram_keeper *keeper,
        const struct marjoram_keeper_envelope *envelope)
{
  if (envelope->ballot.round > keeper->round)
    keeper->round = envelope->ballot.round;
  if (envelope->accepted.round > keeper->round)
    keeper->round = envelope->accepted.round;
  switch ((enum marjoram_keeper_kind)envelope->kind)
    {
    case MARJORAM_KEEPER_GREET:
    case MARJORAM_KEEPER_GREETED:
      marjoram_keeper_on_greet (keeper, envelope);
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
    }
}

static bool
wanted (const marjoram_keeper *keeper)
{
  const struct marjoram_keeper_request *request;

  TAILQ_FOREACH (request, &keeper->requests, link)
  if (request->read || request->file.name
      || marjoram_keeper_ready_store (keeper, request)
      || (keeper->chosen
          && marjoram_value_state (keeper->chosen)->next_members.count > 0))
    return true;
  return false;
}

static void
start_if_wanted (marjoram_keeper *keeper)
{
  if (keeper->attempt.phase == MARJORAM_PHASE_IDLE
      && keeper->now >= keeper->retry_at && wanted (keeper))
    marjoram_keeper_start_attempt (keeper);
}

/* Processes messages to itself, then delivers the chosen state and starts the
   next write.  */
static void
settle (marjoram_keeper *keeper)
{
  start_if_wanted (keeper);
  while (!STAILQ_EMPTY (&keeper->inbox))
    {
      struct marjoram_keeper_envelope *envelope
          = STAILQ_FIRST (&keeper->inbox);

      STAILQ_REMOVE_HEAD (&keeper->inbox, link);
      free (envelope->store_id);
      envelope->store_id = marjoram_strdup (keeper->store_id);
      handle (keeper, envelope);
      marjoram_keeper_envelope_destroy (envelope);
      start_if_wanted (keeper);
    }
  marjoram_keeper_announce (keeper);
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
  keeper->nothing = marjoram_bytes_create (NULL, 0);
  TAILQ_INIT (&keeper->peers);
  TAILQ_INIT (&keeper->requests);
  STAILQ_INIT (&keeper->replies);
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
  marjoram_keeper_requests_clear (&keeper->requests);
  marjoram_keeper_envelopes_clear (&keeper->replies);
  marjoram_keeper_envelopes_clear (&keeper->inbox);
  marjoram_keeper_peers_clear (&keeper->peers);
  marjoram_value_release (keeper->acceptor.value);
  marjoram_value_release (keeper->chosen);
  marjoram_value_release (keeper->former);
  marjoram_value_release (keeper->announced);
  marjoram_bytes_release (keeper->nothing);
  for (size_t i = 0; i < keeper->first_count; i++)
    free (keeper->first[i]);
  free (keeper->first);
  free (keeper->slot);
  free (keeper->store_id);
  free (keeper);
}

static void
refuse (marjoram_keeper *keeper, uint64_t request,
        const struct marjoram_error *err)
{
  const struct marjoram_apply_answer what
      = { .outcome = MARJORAM_APPLY_NOT_RUN,
          .result = MARJORAM_CHANGE_INVALID,
          .message = err->message };

  keeper->ops->answered (keeper->context, request, &what);
}

void
marjoram_keeper_apply (marjoram_keeper *keeper, int64_t now, uint64_t request,
                       const char *change_id, const struct marjoram_file *file)
{
  struct marjoram_error err = { 0 };

  keeper->now = now;
  if (!marjoram_change_check (change_id, file, &err))
    {
      refuse (keeper, request, &err);
      return;
    }
  marjoram_keeper_requests_add_file (&keeper->requests, request, change_id,
                                     file, now);
  marjoram_keeper_answer_decided (keeper);
  settle (keeper);
}

static bool
check_slot (const char *name, struct marjoram_error *err)
{
  if (name && name[0] && strlen (name) <= MARJORAM_NAME_MAX)
    return true;
  return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                             "change ids and slots must have 1 to %d bytes",
                             MARJORAM_NAME_MAX);
}

/* OLD is null where a further keeper is admitted.  */
static void
change_members (marjoram_keeper *keeper, int64_t now, uint64_t request,
                const char *change_id, const char *old, const char *new)
{
  struct marjoram_error err = { 0 };

  keeper->now = now;
  if (!check_slot (change_id, &err) || !check_slot (new, &err)
      || (old && !check_slot (old, &err)))
    {
      refuse (keeper, request, &err);
      return;
    }
  marjoram_keeper_requests_add_replace (&keeper->requests, request, change_id,
                                        old, new, now);
  marjoram_keeper_greet (keeper, new, NULL);
  marjoram_keeper_answer_decided (keeper);
  settle (keeper);
}

void
marjoram_keeper_replace (marjoram_keeper *keeper, int64_t now,
                         uint64_t request, const char *change_id,
                         const char *old, const char *new)
{
  change_members (keeper, now, request, change_id, old ? old : "", new);
}

void
marjoram_keeper_admit (marjoram_keeper *keeper, int64_t now, uint64_t request,
                       const char *change_id, const char *new)
{
  change_members (keeper, now, request, change_id, NULL, new);
}

void
marjoram_keeper_meet (marjoram_keeper *keeper, int64_t now, const char *slot)
{
  keeper->now = now;
  marjoram_keeper_greet (keeper, slot, NULL);
}

void
marjoram_keeper_read (marjoram_keeper *keeper, int64_t now, uint64_t request)
{
  keeper->now = now;
  marjoram_keeper_requests_add_read (&keeper->requests, request, now);
  settle (keeper);
}

static bool
is_about_us (const marjoram_keeper *keeper,
             const struct marjoram_keeper_message *message)
{
  return message->seen_store_id
         && strcmp (message->seen_store_id, keeper->store_id) == 0;
}

static void
check_rolled_back (marjoram_keeper *keeper,
                   const struct marjoram_keeper_message *message)
{
  if (keeper->barred
      || !marjoram_keeper_rolled_back (keeper->incarnation, keeper->base,
                                       message->seen_incarnation,
                                       message->seen_writes))
    return;
  keeper->barred = true;
  keeper->sequence++;
}

static bool
takes_part (marjoram_keeper *keeper, const char *from,
            const struct marjoram_keeper_message *message)
{
  struct marjoram_keeper_peer *peer = marjoram_keeper_peers_hear (
      &keeper->peers, keeper->now, from, message);

  if (is_about_us (keeper, message))
    check_rolled_back (keeper, message);
  if (!peer)
    {
      /* Reports what was seen of that store, so that it can detect a
         rollback.  */
      marjoram_keeper_post (
          keeper, marjoram_keeper_envelope_create (from, message->store_id,
                                                   MARJORAM_KEEPER_GREETED,
                                                   NULL, NULL, NULL));
      return false;
    }
  if (is_about_us (keeper, message)
      && message->seen_incarnation == keeper->incarnation)
    peer->knows_us = true;
  marjoram_keeper_check_met (keeper);
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
  if (!message->store_id || message->kind > MARJORAM_KEEPER_LEARN)
    return;
  if (message->value)
    {
      value = marjoram_keeper_unwrap (keeper, message);
      if (!value)
        {
          /* The heartbeat names the value held here, which the sender can
             encode against.  */
          marjoram_keeper_greet (keeper, from, message->store_id);
          return;
        }
    }
  if (takes_part (keeper, from, message))
    {
      envelope = marjoram_keeper_envelope_create (
          from, message->store_id, message->kind, &message->ballot,
          &message->accepted, value);
      envelope->echo = message->echo;
      handle (keeper, envelope);
      marjoram_keeper_envelope_destroy (envelope);
    }
  marjoram_value_release (value);
  settle (keeper);
}

void
marjoram_keeper_persisted (marjoram_keeper *keeper, int64_t now,
                           uint64_t ticket, bool ok)
{
  keeper->now = now;
  keeper->writing = false;
  if (ok)
    {
      /* Each record is complete, so this one also covers writes that
         failed.  */
      keeper->durable = ticket;
      keeper->broken = false;
    }
  else
    {
      keeper->broken = true;
      keeper->rewrite_at = now + MARJORAM_KEEPER_REWRITE_MS;
      marjoram_keeper_envelopes_clear (&keeper->replies);
    }
  while (!STAILQ_EMPTY (&keeper->replies)
         && STAILQ_FIRST (&keeper->replies)->after <= keeper->durable)
    {
      struct marjoram_keeper_envelope *reply = STAILQ_FIRST (&keeper->replies);

      STAILQ_REMOVE_HEAD (&keeper->replies, link);
      marjoram_keeper_post (keeper, reply);
    }
  settle (keeper);
}

static const char *
missing (const marjoram_keeper *keeper,
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

static void
expire_requests (marjoram_keeper *keeper)
{
  struct marjoram_keeper_request *request = TAILQ_FIRST (&keeper->requests);

  while (request)
    {
      struct marjoram_keeper_request *next = TAILQ_NEXT (request, link);
      struct marjoram_apply_answer what;
      char text[MARJORAM_ANSWER_TEXT_MAX];

      if (keeper->now >= request->deadline)
        {
          marjoram_keeper_request_give_up (request, missing (keeper, request),
                                           &what, text);
          answer (keeper, request, &what);
        }
      request = next;
    }
}

static bool
hears_first (const marjoram_keeper *keeper)
{
  bool ours = false;

  for (size_t i = 0; i < keeper->first_count; i++)
    {
      if (strcmp (keeper->first[i], keeper->slot) == 0)
        ours = true;
      else if (!marjoram_keeper_peers_slot (&keeper->peers, keeper->first[i],
                                            keeper->now
                                                - MARJORAM_KEEPER_ALIVE_MS))
        return false;
    }
  return ours;
}

/* Bootstrapping is unsafe while a peer knows a state not learned yet: it may
   be more than a founding one.  */
bool
marjoram_keeper_may_form (const marjoram_keeper *keeper)
{
  const struct marjoram_keeper_peer *peer;

  TAILQ_FOREACH (peer, &keeper->peers, link)
  if (peer->heard_at >= keeper->now - MARJORAM_KEEPER_ALIVE_MS
      && peer->number > marjoram_value_number (keeper->chosen))
    return false;
  return !keeper->formed;
}

/* Whether there may be unfinished work without a live proposer: bootstrapping,
   a value that a majority may have accepted before a restart of all, or a
   membership change.  */
static bool
unsettled (const marjoram_keeper *keeper)
{
  const marjoram_value *current;

  if (!marjoram_keeper_may_vote (keeper))
    return false;
  current = marjoram_keeper_current (keeper);
  if (current && marjoram_value_equal (keeper->acceptor.value, keeper->chosen))
    return marjoram_value_state (current)->next_members.count > 0;
  if (!current || marjoram_value_is_founding (current))
    return hears_first (keeper) && marjoram_keeper_may_form (keeper);
  return true;
}

/* Randomized delay, so that keepers don't start competing attempts.  */
static bool
should_settle (marjoram_keeper *keeper)
{
  if (!unsettled (keeper))
    {
      keeper->settle_at = 0;
      return false;
    }
  if (keeper->settle_at == 0)
    keeper->settle_at = keeper->now + MARJORAM_KEEPER_SETTLE_MS
                        + marjoram_random_below (
                            keeper->random, MARJORAM_KEEPER_SETTLE_SPREAD_MS);
  if (keeper->now < keeper->settle_at)
    return false;
  keeper->settle_at = 0;
  return true;
}

static void
advance_attempt (marjoram_keeper *keeper)
{
  if (keeper->attempt.phase == MARJORAM_PHASE_IDLE)
    {
      if (should_settle (keeper))
        marjoram_keeper_start_attempt (keeper);
    }
  else if (keeper->now >= keeper->started_at + MARJORAM_KEEPER_ATTEMPT_MS)
    marjoram_keeper_fail_attempt (keeper);
  else if (keeper->now >= keeper->resend_at)
    marjoram_keeper_ask_phase (keeper);
}

void
marjoram_keeper_tick (marjoram_keeper *keeper, int64_t now)
{
  keeper->now = now;
  marjoram_keeper_check_met (keeper);
  if (now >= keeper->greet_at)
    marjoram_keeper_greet_all (keeper);
  marjoram_keeper_greet_busy (keeper);
  expire_requests (keeper);
  advance_attempt (keeper);
  settle (keeper);
}

void
marjoram_keeper_heard (marjoram_keeper *keeper, uint64_t number)
{
  if (number > 0)
    keeper->formed = true;
}

const struct marjoram_state *
marjoram_keeper_state (const marjoram_keeper *keeper)
{
  if (keeper->announced)
    return marjoram_value_state (keeper->announced);
  if (keeper->chosen && keeper->durable >= keeper->announce_after)
    return marjoram_value_state (keeper->chosen);
  return NULL;
}

const struct marjoram_state *
marjoram_keeper_chosen (const marjoram_keeper *keeper)
{
  return keeper->chosen ? marjoram_value_state (keeper->chosen) : NULL;
}

const char *
marjoram_keeper_heard_store (const marjoram_keeper *keeper, const char *slot,
                             int64_t age_ms)
{
  const struct marjoram_keeper_peer *peer;

  if (strcmp (slot, keeper->slot) == 0)
    return keeper->store_id;
  peer = marjoram_keeper_peers_slot (&keeper->peers, slot,
                                     keeper->now - age_ms);
  return peer ? peer->seen.store_id : NULL;
}

static bool
is_member (const marjoram_keeper *keeper)
{
  const marjoram_value *value = marjoram_keeper_current (keeper);
  const struct marjoram_state *state;

  if (!value)
    return false;
  state = marjoram_value_state (value);
  return marjoram_voters_hold (&state->members, keeper->slot, keeper->store_id)
         || marjoram_voters_hold (&state->next_members, keeper->slot,
                                  keeper->store_id);
}

bool
marjoram_keeper_votes (const marjoram_keeper *keeper)
{
  return marjoram_keeper_may_vote (keeper) && is_member (keeper);
}

const char *
marjoram_keeper_trouble (const marjoram_keeper *keeper)
{
  if (keeper->broken)
    return "a write to the data folder failed: no vote; repair the disk and "
           "restart this host";
  if (keeper->barred)
    return "the data folder was restored from an older copy: no vote; empty "
           "it, restart this host and run \"marjoramctl replace-keeper SLOT "
           "SLOT\"";
  if (!marjoram_keeper_current (keeper))
    return keeper->formed
               ? "this store is empty while other keepers have a state: no "
                 "vote; run "
                 "\"marjoramctl replace-keeper SLOT SLOT\""
               : "not bootstrapped yet: all initial keepers must be up";
  if (!is_member (keeper))
    return "this store is not a member: no vote; run \"marjoramctl "
           "replace-keeper OLD SLOT\" if it should be one";
  if (!keeper->met)
    return "no majority of the keepers has answered since the start: no vote "
           "yet";
  return NULL;
}
