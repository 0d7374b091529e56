#include "claim_attempt.h"

#include "cleanup.h"

#include <string.h>

/* A restarted host has lost its votes.  Until its peers gave them back it
   votes only for keys that its former self cannot have voted for: those issued
   later than any key which that self, refusing keys from further ahead than
   LEAD_MS, could accept.  */
static void
set_clock (marjoram_claims *claims, int64_t now, int64_t wall)
{
  claims->now = now;
  claims->wall_offset = wall - now;
  if (wall > claims->wall_max)
    claims->wall_max = wall;
  if (claims->started)
    return;
  claims->started = true;
  claims->started_at = now;
  claims->horizon = wall + LEAD_MS + STEP_BACK_MS;
  claims->own_horizon = claims->horizon;
  claims->issue_floor = claims->horizon;
}

static void
refuse_twin (marjoram_claims *claims, uint64_t number,
             const struct marjoram_attempt *twin,
             struct marjoram_hash128 digest)
{
  marjoram_claims_queue (claims, number,
                         marjoram_hash128_equal (twin->entry.digest, digest)
                             ? MARJORAM_CLAIM_RUNNING
                             : MARJORAM_CLAIM_MISMATCH,
                         NULL);
}

static void
acquire (marjoram_claims *claims, const struct marjoram_claim_entry *entry)
{
  const struct marjoram_attempt *twin
      = marjoram_claims_find_key (claims, entry->key);
  struct marjoram_attempt *attempt;

  if (twin)
    {
      refuse_twin (claims, entry->number, twin, entry->digest);
      return;
    }
  if (marjoram_claims_key_expired (claims, (int64_t)entry->issued))
    {
      marjoram_claims_queue (claims, entry->number, MARJORAM_CLAIM_EXPIRED,
                             NULL);
      return;
    }
  attempt = marjoram_claims_attempt (claims, entry);
  marjoram_claims_consult (claims, attempt);
  if (!attempt->decided)
    marjoram_claims_ask (claims, attempt);
  marjoram_claims_evaluate (claims, attempt);
  marjoram_claims_clean_up (claims, attempt);
}

void
marjoram_claims_acquire (marjoram_claims *claims, int64_t now, int64_t wall,
                         uint64_t attempt, const char *key, int64_t issued_ms,
                         const char *digest)
{
  struct marjoram_claim_entry entry
      = { .key = marjoram_hash128_text (key),
          .digest = marjoram_hash128_text (digest),
          .owner = (uint64_t)claims->options.self,
          .incarnation = claims->options.incarnation,
          .number = attempt,
          .issued = issued_ms > 0 ? (uint64_t)issued_ms : 0,
          .state = MARJORAM_CLAIM_PENDING };

  set_clock (claims, now, wall);
  acquire (claims, &entry);
  marjoram_claims_hand_out (claims);
}

void
marjoram_claims_withdraw (marjoram_claims *claims, int64_t now,
                          uint64_t attempt)
{
  struct marjoram_attempt *found = marjoram_claims_find (claims, attempt);

  claims->now = now;
  marjoram_claims_unqueue (claims, attempt);
  if (found && found->phase != MARJORAM_ATTEMPT_FINISHING)
    marjoram_claims_bar (claims, found);
}

static void
tell_finish (marjoram_claims *claims, struct marjoram_attempt *attempt)
{
  struct marjoram_claim_entry entry = attempt->entry;
  const struct marjoram_claim_record *record
      = marjoram_claim_records_get (claims->records, &entry);

  if (record)
    marjoram_claim_record_entry (record, &entry);
  marjoram_claims_send_all (claims, MARJORAM_CLAIM_FINISH, &entry,
                            attempt->told);
  attempt->resend
      = claims->now + ((int64_t)FINISH_RESEND_MS << attempt->tries);
  attempt->tries++;
}

void
marjoram_claims_finish (marjoram_claims *claims, int64_t now, uint64_t attempt,
                        const struct marjoram_kept_answer *kept)
{
  struct marjoram_attempt *found = marjoram_claims_find (claims, attempt);
  struct marjoram_claim_entry entry;

  claims->now = now;
  if (!found || found->phase != MARJORAM_ATTEMPT_GRANTED)
    return;
  found->phase = MARJORAM_ATTEMPT_FINISHING;
  found->entry.state = MARJORAM_CLAIM_DONE;
  marjoram_claims_release_key (claims, found);
  entry = found->entry;
  if (kept && marjoram_bytes_size (kept->body) <= MARJORAM_KEPT_BODY_MAX
      && (!kept->content_type
          || strlen (kept->content_type) <= MARJORAM_KEPT_TYPE_MAX))
    entry.kept = *kept;
  marjoram_claims_remember (claims, &entry);
  if (claims->options.slot_count == 1)
    marjoram_claims_forget (claims, found);
  else
    tell_finish (claims, found);
}

/* ENTRY is an attempt of this host that another host holds open: tells how it
   ended, if it has.  */
static void
settle (marjoram_claims *claims, int to,
        const struct marjoram_claim_entry *entry)
{
  const struct marjoram_attempt *attempt
      = marjoram_claims_find (claims, entry->number);
  const struct marjoram_claim_record *record;
  struct marjoram_claim_entry done;

  if (!marjoram_claims_owns (claims, entry)
      || (attempt && attempt->phase != MARJORAM_ATTEMPT_FINISHING))
    return;
  record = marjoram_claim_records_get (claims->records, entry);
  if (!record || record->state != MARJORAM_CLAIM_DONE)
    {
      marjoram_claims_send (claims, to, MARJORAM_CLAIM_WITHDRAW, entry);
      return;
    }
  marjoram_claim_record_entry (record, &done);
  marjoram_claims_send (claims, to, MARJORAM_CLAIM_FINISH, &done);
}

/* ASK and PROBE.  */
static void
answer (marjoram_claims *claims, int from,
        const struct marjoram_claim_message *m,
        const struct marjoram_claim_entry *entry)
{
  struct marjoram_claim_entry entries[1 + HELD_MAX] = { *entry };
  struct marjoram_claim_message reply;
  enum marjoram_claim_vote given = MARJORAM_VOTE_NONE;
  size_t count;

  if (entry->owner != (uint64_t)from || entry->incarnation != m->incarnation)
    return;
  if (m->kind == MARJORAM_CLAIM_ASK)
    given = marjoram_claims_vote (claims, entry);
  count = marjoram_claims_list (claims, entry->key, entries + 1);
  marjoram_claims_check_owners (claims, entry, entries + 1, count);
  reply = marjoram_claims_message (claims, MARJORAM_CLAIM_ANSWER, entries,
                                   1 + count);
  reply.vote = given;
  claims->ops.send (claims->context, from, &reply);
}

static void
clear_answers (struct marjoram_claim_answers *answers, uint64_t mask)
{
  answers->yes &= ~mask;
  answers->blocked &= ~mask;
  answers->unsure &= ~mask;
  answers->held &= ~mask;
  answers->rival &= ~mask;
  answers->lost &= ~mask;
  answers->done &= ~mask;
}

static void
hear_answer (marjoram_claims *claims, int from,
             const struct marjoram_claim_message *m)
{
  const struct marjoram_claim_entry *entries = m->entries.items;
  struct marjoram_attempt *attempt
      = marjoram_claims_find (claims, entries[0].number);

  if (!marjoram_claims_owns (claims, &entries[0]))
    return;
  if (!attempt || attempt->decided)
    {
      if (m->vote == MARJORAM_VOTE_YES)
        settle (claims, from, &entries[0]);
      return;
    }
  clear_answers (&attempt->answers, marjoram_claims_bit (from));
  attempt->answers.heard |= marjoram_claims_bit (from);
  attempt->voters[from] = m->incarnation;
  if (m->vote == MARJORAM_VOTE_YES)
    attempt->answers.yes |= marjoram_claims_bit (from);
  else if (m->vote == MARJORAM_VOTE_BLOCKED)
    marjoram_claims_note_blocked (&attempt->answers, from, m->recovered);
  for (size_t i = 1; i < m->entries.count; i++)
    {
      settle (claims, from, &entries[i]);
      marjoram_claims_weigh (claims, attempt, from, m->incarnation,
                             &entries[i]);
    }
  marjoram_claims_evaluate (claims, attempt);
  marjoram_claims_clean_up (claims, attempt);
}

/* What stood in the way of an attempt of this host has gone.  */
static void
retry_key (marjoram_claims *claims, struct marjoram_hash128 key)
{
  struct marjoram_attempt *attempt = marjoram_claims_find_key (claims, key);

  if (!attempt || attempt->phase != MARJORAM_ATTEMPT_WAITING)
    return;
  marjoram_claims_consult (claims, attempt);
  if (!attempt->decided)
    marjoram_claims_ask (claims, attempt);
  marjoram_claims_evaluate (claims, attempt);
  marjoram_claims_clean_up (claims, attempt);
}

static void
hear_withdraw (marjoram_claims *claims, int from,
               const struct marjoram_claim_entry *entry)
{
  struct marjoram_claim_record *record
      = marjoram_claim_records_get (claims->records, entry);

  if (!record || entry->owner != (uint64_t)from
      || record->state == MARJORAM_CLAIM_DONE)
    return;
  marjoram_claim_records_drop (claims->records, record);
  retry_key (claims, entry->key);
}

static void
hear_finish (marjoram_claims *claims, int from,
             const struct marjoram_claim_entry *entry)
{
  struct marjoram_claim_entry told = *entry;

  if (entry->state != MARJORAM_CLAIM_DONE)
    return;
  if (!marjoram_claims_key_expired (claims, (int64_t)entry->issued))
    marjoram_claims_remember (claims, entry);
  told.kept = (struct marjoram_kept_answer){ 0 };
  marjoram_claims_send (claims, from, MARJORAM_CLAIM_FINISHED, &told);
}

static void
hear_finished (marjoram_claims *claims, int from,
               const struct marjoram_claim_entry *entry)
{
  struct marjoram_attempt *attempt
      = marjoram_claims_find (claims, entry->number);
  uint64_t all = marjoram_claims_bit (claims->options.slot_count - 1) * 2 - 1;

  if (!marjoram_claims_owns (claims, entry) || !attempt
      || attempt->phase != MARJORAM_ATTEMPT_FINISHING)
    return;
  attempt->told |= marjoram_claims_bit (from);
  if ((attempt->told | marjoram_claims_bit (claims->options.self)) == all)
    marjoram_claims_forget (claims, attempt);
}

static void
give_state (marjoram_claims *claims, int to, uint64_t since)
{
  struct marjoram_claim_entry *entries
      = marjoram_alloc (MARJORAM_CLAIM_ENTRIES_MAX * sizeof *entries);
  struct marjoram_claim_message m
      = marjoram_claims_message (claims, MARJORAM_CLAIM_STATE, entries, 0);
  size_t bytes = 0;

  m.since = since;
  m.cursor = since;
  while (m.entries.count < MARJORAM_CLAIM_ENTRIES_MAX && bytes < STATE_BYTES)
    {
      const struct marjoram_claim_record *record
          = marjoram_claim_records_after (claims->records, to, m.cursor);

      if (!record)
        break;
      marjoram_claim_record_entry (record, &entries[m.entries.count]);
      bytes += marjoram_bytes_size (entries[m.entries.count].kept.body);
      m.entries.count++;
      m.cursor = record->serial;
    }
  m.more = marjoram_claim_records_after (claims->records, to, m.cursor);
  claims->ops.send (claims->context, to, &m);
  free (entries);
}

static void
ask_state (marjoram_claims *claims, int peer)
{
  struct marjoram_claim_message m;

  if (!marjoram_claim_recovery_wants (&claims->recovery, peer))
    return;
  m = marjoram_claims_message (claims, MARJORAM_CLAIM_RECOVER, NULL, 0);
  m.since = claims->recovery.peers[peer].cursor;
  claims->ops.send (claims->context, peer, &m);
}

static void
try_recovery (marjoram_claims *claims)
{
  bool patient = claims->now < claims->started_at + claims->options.timeout_ms;

  marjoram_claim_recovery_try (&claims->recovery, claims->known, patient,
                               &claims->horizon);
}

static void
hear_state (marjoram_claims *claims, int from,
            const struct marjoram_claim_message *m)
{
  const struct marjoram_claim_entry *entries = m->entries.items;
  int self = claims->options.self;

  /* Meant for a former incarnation of this host.  */
  if (((struct marjoram_claim_incarnation *)m->known.items)[self].value
      != claims->options.incarnation)
    return;
  if (!marjoram_claim_recovery_hear (&claims->recovery, from, m))
    return;
  for (size_t i = 0; i < m->entries.count; i++)
    if (!marjoram_claims_key_expired (claims, (int64_t)entries[i].issued))
      marjoram_claims_remember (claims, &entries[i]);
  if (m->more)
    ask_state (claims, from);
  else
    try_recovery (claims);
}

static void
learn_incarnations (marjoram_claims *claims, int from,
                    const struct marjoram_claim_message *m)
{
  const struct marjoram_claim_incarnation *known = m->known.items;

  for (size_t i = 0; i < m->known.count; i++)
    if (known[i].value > claims->known[i].value)
      claims->known[i].value = known[i].value;
  if (m->incarnation > claims->known[from].value)
    claims->known[from].value = m->incarnation;
  if (m->horizon > claims->issue_floor)
    claims->issue_floor = m->horizon;
}

static bool
well_formed (const marjoram_claims *claims, int from,
             const struct marjoram_claim_message *m)
{
  const struct marjoram_claim_entry *entries = m->entries.items;
  uint64_t slots = claims->options.slot_count;
  bool bare
      = m->kind == MARJORAM_CLAIM_RECOVER || m->kind == MARJORAM_CLAIM_STATE;

  if (from < 0 || from >= claims->options.slot_count
      || from == claims->options.self || m->known.count != slots)
    return false;
  for (size_t i = 0; i < m->entries.count; i++)
    if (entries[i].owner >= slots || entries[i].state > MARJORAM_CLAIM_DONE)
      return false;
  return bare || m->entries.count > 0;
}

/* What an attempt's owner told before it restarted stays true; all else from
   a former incarnation is void.  */
static bool
outdated (const marjoram_claims *claims, int from,
          const struct marjoram_claim_message *m)
{
  return m->incarnation < claims->known[from].value
         && m->kind != MARJORAM_CLAIM_WITHDRAW
         && m->kind != MARJORAM_CLAIM_FINISH;
}

static void
receive (marjoram_claims *claims, int from,
         const struct marjoram_claim_message *m)
{
  const struct marjoram_claim_entry *entries = m->entries.items;

  switch (m->kind)
    {
    case MARJORAM_CLAIM_ASK:
    case MARJORAM_CLAIM_PROBE:
      answer (claims, from, m, entries);
      break;
    case MARJORAM_CLAIM_ANSWER:
      hear_answer (claims, from, m);
      break;
    case MARJORAM_CLAIM_CHECK:
      settle (claims, from, entries);
      break;
    case MARJORAM_CLAIM_WITHDRAW:
      hear_withdraw (claims, from, entries);
      break;
    case MARJORAM_CLAIM_FINISH:
      hear_finish (claims, from, entries);
      break;
    case MARJORAM_CLAIM_FINISHED:
      hear_finished (claims, from, entries);
      break;
    case MARJORAM_CLAIM_RECOVER:
      give_state (claims, from, m->since);
      break;
    case MARJORAM_CLAIM_STATE:
      hear_state (claims, from, m);
      break;
    default:
      break;
    }
}

void
marjoram_claims_receive (marjoram_claims *claims, int64_t now, int from,
                         const struct marjoram_claim_message *m)
{
  if (!claims->started || !well_formed (claims, from, m))
    return;
  claims->now = now;
  if (outdated (claims, from, m))
    return;
  learn_incarnations (claims, from, m);
  receive (claims, from, m);
  marjoram_claims_hand_out (claims);
}

static void
tick_attempt (marjoram_claims *claims, struct marjoram_attempt *attempt)
{
  if (attempt->phase == MARJORAM_ATTEMPT_FINISHING)
    {
      if (claims->now < attempt->resend)
        return;
      if (attempt->tries >= FINISH_TRIES)
        marjoram_claims_forget (claims, attempt);
      else
        tell_finish (claims, attempt);
      return;
    }
  if (attempt->phase == MARJORAM_ATTEMPT_GRANTED)
    return;
  marjoram_claims_consult (claims, attempt);
  marjoram_claims_evaluate (claims, attempt);
  if (!attempt->decided && claims->now >= attempt->deadline)
    marjoram_claims_give_up (claims, attempt);
  if (!attempt->decided)
    marjoram_claims_ask (claims, attempt);
  marjoram_claims_clean_up (claims, attempt);
}

void
marjoram_claims_tick (marjoram_claims *claims, int64_t now, int64_t wall)
{
  struct marjoram_attempt *attempt, *next;
  int64_t kept_for = claims->options.retention_ms;

  set_clock (claims, now, wall);
  for (int i = 0; i < claims->options.slot_count; i++)
    ask_state (claims, i);
  try_recovery (claims);
  for (attempt = TAILQ_FIRST (&claims->attempts); attempt; attempt = next)
    {
      next = TAILQ_NEXT (attempt, link);
      tick_attempt (claims, attempt);
    }
  /* A record outlives its key: that may be issued LEAD_MS after the vote.  */
  marjoram_claim_records_expire (
      claims->records, claims->wall_max - kept_for - LEAD_MS - STEP_BACK_MS,
      now);
  marjoram_claims_hand_out (claims);
}

marjoram_claims *
marjoram_claims_create (const struct marjoram_claims_options *options,
                        const struct marjoram_claims_ops *ops, void *context)
{
  marjoram_claims *claims = marjoram_alloc (sizeof *claims);

  claims->options = *options;
  claims->ops = *ops;
  claims->context = context;
  claims->records = marjoram_claim_records_create ();
  claims->known[options->self].value = options->incarnation;
  marjoram_claim_recovery_init (&claims->recovery, options->slot_count,
                                options->self);
  TAILQ_INIT (&claims->attempts);
  STAILQ_INIT (&claims->decisions);
  return claims;
}

void
marjoram_claims_destroy (marjoram_claims *claims)
{
  struct marjoram_attempt *attempt, *next;

  if (!claims)
    return;
  for (attempt = TAILQ_FIRST (&claims->attempts); attempt; attempt = next)
    {
      next = TAILQ_NEXT (attempt, link);
      marjoram_claims_unqueue (claims, attempt->entry.number);
      marjoram_claims_forget (claims, attempt);
    }
  marjoram_claim_records_destroy (claims->records);
  free (claims);
}

bool
marjoram_claims_ready (const marjoram_claims *claims)
{
  return claims->started
         && (claims->recovery.done
             || claims->now
                    >= claims->started_at + claims->options.timeout_ms);
}

int64_t
marjoram_claims_issue_time (const marjoram_claims *claims, int64_t wall)
{
  int64_t floor = claims->issue_floor;

  return wall > floor ? wall : floor;
}

size_t
marjoram_claims_count (const marjoram_claims *claims)
{
  return marjoram_claim_records_count (claims->records);
}

size_t
marjoram_claims_memory (const marjoram_claims *claims)
{
  size_t each = sizeof (struct marjoram_attempt)
                + claims->options.slot_count * sizeof (uint64_t);

  return sizeof *claims + marjoram_claim_records_memory (claims->records)
         + HASH_COUNT (claims->by_number) * each;
}
