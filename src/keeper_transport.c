#include "keeper_private.h"

#include "cleanup.h"

#include <string.h>

void
marjoram_keeper_envelope_destroy (struct marjoram_keeper_envelope *envelope)
{
  free (envelope->slot);
  free (envelope->store_id);
  marjoram_value_release (envelope->value);
  free (envelope);
}

void
marjoram_keeper_envelopes_clear (struct marjoram_keeper_envelopes *envelopes)
{
  while (!STAILQ_EMPTY (envelopes))
    {
      struct marjoram_keeper_envelope *envelope = STAILQ_FIRST (envelopes);

      STAILQ_REMOVE_HEAD (envelopes, link);
      marjoram_keeper_envelope_destroy (envelope);
    }
}

struct marjoram_keeper_envelope *
marjoram_keeper_envelope_create (const char *slot, const char *store_id,
                                 uint64_t kind,
                                 const struct marjoram_ballot *ballot,
                                 const struct marjoram_ballot *accepted,
                                 marjoram_value *value)
{
  struct marjoram_keeper_envelope *envelope
      = marjoram_alloc (sizeof *envelope);

  envelope->slot = marjoram_strdup (slot);
  envelope->store_id = store_id ? marjoram_strdup (store_id) : NULL;
  envelope->kind = kind;
  if (ballot)
    envelope->ballot = *ballot;
  if (accepted)
    envelope->accepted = *accepted;
  envelope->value = marjoram_value_retain (value);
  return envelope;
}

/* At most one large message is in flight to a peer; a further one is dropped
   as if lost; the usual resends replace it.  Otherwise a connection slower
   than the resend interval queues ever more copies.  Connections preserve
   order, so an answer to a heartbeat sent after the large message shows that
   the message, or the connection that carried it, is gone.  */
static bool
may_send (marjoram_keeper *keeper, struct marjoram_keeper_peer *peer,
          const struct marjoram_keeper_message *message)
{
  if (marjoram_bytes_size (message->value) <= MARJORAM_KEEPER_SMALL_MAX)
    return true;
  if (!peer)
    return false;
  peer->large_dropped = marjoram_keeper_peer_is_busy (peer);
  if (peer->large_dropped)
    return false;
  peer->large_sent_at = keeper->now;
  peer->large_probed = false;
  return true;
}

static void
transmit (marjoram_keeper *keeper,
          const struct marjoram_keeper_envelope *envelope)
{
  struct marjoram_keeper_message message = {
    .kind = envelope->kind,
    .store_id = keeper->store_id,
    .incarnation = keeper->incarnation,
    .base = keeper->base,
    .writes = keeper->durable,
    .number = marjoram_value_number (keeper->delivered),
    .echo = envelope->echo,
    .ballot = envelope->ballot,
    .accepted = envelope->accepted,
    .max_encoding = MARJORAM_KEEPER_REFERENCE,
    .accepted_hash = marjoram_value_hash (keeper->acceptor.value),
    .held_number = envelope->held_number,
  };
  struct marjoram_keeper_peer *peer
      = envelope->store_id
            ? marjoram_keeper_peers_find (&keeper->peers, envelope->store_id)
            : marjoram_keeper_peers_latest_in_slot (&keeper->peers,
                                                    envelope->slot, 0);

  if (peer)
    {
      message.seen_store_id = peer->seen.store_id;
      message.seen_incarnation = peer->seen.incarnation;
      message.seen_writes = peer->seen.writes;
    }
  if (envelope->value)
    marjoram_keeper_encode_value (keeper, peer, envelope->value, &message);
  if (may_send (keeper, peer, &message))
    keeper->ops->send (keeper->context, envelope->slot, &message);
}

void
marjoram_keeper_send_envelope (marjoram_keeper *keeper,
                               struct marjoram_keeper_envelope *envelope)
{
  if (strcmp (envelope->slot, keeper->slot) == 0)
    {
      STAILQ_INSERT_TAIL (&keeper->inbox, envelope, link);
      return;
    }
  transmit (keeper, envelope);
  marjoram_keeper_envelope_destroy (envelope);
}

/* A promise or acceptance is sent only once it is durable; otherwise a crash
   could break a vote that others have relied on.  */
void
marjoram_keeper_send_when_durable (marjoram_keeper *keeper,
                                   struct marjoram_keeper_envelope *envelope)
{
  envelope->after = keeper->sequence;
  if (envelope->after <= keeper->durable)
    marjoram_keeper_send_envelope (keeper, envelope);
  else
    STAILQ_INSERT_TAIL (&keeper->pending_replies, envelope, link);
}

static size_t
add_target (const char **targets, size_t count, const char *slot)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (targets[i], slot) == 0)
      return count;
  if (count < MARJORAM_KEEPER_TARGETS_MAX)
    targets[count++] = slot;
  return count;
}

static size_t
add_targets (const char **targets, size_t count,
             const struct marjoram_array *members)
{
  const struct marjoram_keeper_member *items = members->items;

  for (size_t i = 0; i < members->count; i++)
    count = add_target (targets, count, items[i].slot);
  return count;
}

static size_t
add_value_targets (const char **targets, size_t count,
                   const marjoram_value *value)
{
  const struct marjoram_state *state;

  if (!value)
    return count;
  state = marjoram_value_state (value);
  count = add_targets (targets, count, &state->members);
  return add_targets (targets, count, &state->next_members);
}

size_t
marjoram_keeper_targets (const marjoram_keeper *keeper, const char **targets)
{
  const struct marjoram_keeper_peer *peer;
  size_t count = add_target (targets, 0, keeper->slot);

  count = add_value_targets (targets, count,
                             marjoram_keeper_current_value (keeper));
  count = add_value_targets (targets, count, keeper->chosen);
  count = add_value_targets (targets, count, keeper->attempt.best);
  count = add_value_targets (targets, count, keeper->attempt.proposed);
  for (size_t i = 0; i < keeper->first_count; i++)
    count = add_target (targets, count, keeper->first[i]);
  TAILQ_FOREACH (peer, &keeper->peers, link)
  if (peer->slot
      && peer->last_seen_at >= keeper->now - MARJORAM_KEEPER_PEER_TIMEOUT_MS)
    count = add_target (targets, count, peer->slot);
  return count;
}

static void
send_heartbeat (marjoram_keeper *keeper, const char *slot,
                const char *store_id, uint64_t kind, int64_t echo)
{
  struct marjoram_keeper_envelope *envelope = marjoram_keeper_envelope_create (
      slot, store_id, kind, NULL, NULL, NULL);

  envelope->echo = echo;
  marjoram_keeper_send_envelope (keeper, envelope);
}

void
marjoram_keeper_send_heartbeat (marjoram_keeper *keeper, const char *slot,
                                const char *store_id)
{
  if (strcmp (slot, keeper->slot) != 0)
    send_heartbeat (keeper, slot, store_id, MARJORAM_KEEPER_HEARTBEAT,
                    keeper->now);
}

void
marjoram_keeper_broadcast_heartbeat (marjoram_keeper *keeper)
{
  const char *targets[MARJORAM_KEEPER_TARGETS_MAX];
  size_t count = marjoram_keeper_targets (keeper, targets);

  keeper->heartbeat_at = keeper->now + MARJORAM_KEEPER_HEARTBEAT_MS;
  for (size_t i = 0; i < count; i++)
    marjoram_keeper_send_heartbeat (keeper, targets[i], NULL);
}

/* The heartbeat needs a later time than the large message: an earlier one sent
   at the same time has the same echo, and its answer confirms nothing.  */
void
marjoram_keeper_probe_busy_peers (marjoram_keeper *keeper)
{
  struct marjoram_keeper_peer *peer;

  TAILQ_FOREACH (peer, &keeper->peers, link)
  {
    if (!peer->slot || peer->large_probed || keeper->now <= peer->large_sent_at
        || !marjoram_keeper_peer_is_busy (peer))
      continue;
    peer->large_probed = true;
    marjoram_keeper_send_heartbeat (keeper, peer->slot, peer->seen.store_id);
  }
}

/* Whether the state last sent to PEER may still be on its way or wait for its
   disk.  Connections preserve order, so an answer to the heartbeat that
   followed the state shows that the state has arrived or is lost.  A peer that
   has accepted the value need not know that it is chosen.  */
static bool
may_hold_state (const marjoram_keeper *keeper,
                const struct marjoram_keeper_peer *peer)
{
  struct marjoram_value_hash hash;

  if (peer->state_sent_at == INT64_MIN)
    return false;
  if (peer->echo < peer->state_sent_at)
    return keeper->now < peer->state_sent_at + MARJORAM_KEEPER_STATE_RESEND_MS;
  hash = marjoram_value_hash (keeper->chosen);
  return marjoram_value_hash_equal (&peer->accepted_hash, &hash)
         && keeper->now < peer->state_sent_at + MARJORAM_KEEPER_RESEND_MS;
}

static void
send_newer_state (marjoram_keeper *keeper, struct marjoram_keeper_peer *peer)
{
  if (peer->number >= marjoram_value_number (keeper->chosen)
      || marjoram_keeper_peer_is_busy (peer) || may_hold_state (keeper, peer))
    return;
  peer->state_sent_at = keeper->now;
  marjoram_keeper_send_envelope (
      keeper, marjoram_keeper_envelope_create (
                  peer->slot, peer->seen.store_id, MARJORAM_KEEPER_LEARN,
                  &keeper->chosen_ballot, NULL, keeper->chosen));
  marjoram_keeper_send_heartbeat (keeper, peer->slot, peer->seen.store_id);
}

/* PEER answered our heartbeat sent at time ECHO.  */
static void
handle_heartbeat_reply (marjoram_keeper *keeper,
                        struct marjoram_keeper_peer *peer, int64_t echo)
{
  if (!peer->knows_incarnation || echo <= peer->echo)
    return;
  peer->echo = echo;
  marjoram_keeper_peer_add_round_trip (peer, keeper->now - echo);
  if (!peer->large_dropped || marjoram_keeper_peer_is_busy (peer))
    return;
  peer->large_dropped = false;
  keeper->resend_at = keeper->now;
}

void
marjoram_keeper_on_heartbeat (marjoram_keeper *keeper,
                              const struct marjoram_keeper_envelope *envelope)
{
  struct marjoram_keeper_peer *peer
      = marjoram_keeper_peers_find (&keeper->peers, envelope->store_id);

  if (envelope->kind == MARJORAM_KEEPER_HEARTBEAT)
    send_heartbeat (keeper, envelope->slot, envelope->store_id,
                    MARJORAM_KEEPER_HEARTBEAT_REPLY, envelope->echo);
  else if (peer)
    handle_heartbeat_reply (keeper, peer, envelope->echo);
  if (peer)
    send_newer_state (keeper, peer);
}
