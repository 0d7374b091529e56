/* Unit tests of the register rules, and fixed schedules of three or four
   keepers that random schedules rarely reach.  */
#include "suite.h"

#include "change.h"
#include "cleanup.h"
#include "keeper_message.h"
#include "register.h"

#include <stdio.h>
#include <string.h>

enum
{
  KEEPERS = 4,
  FIRST = 3,
  PREPARES_MAX = 64,
  TICK_MS = 100
};

static struct marjoram_state *
make_state (const char *members, const char *next)
{
  struct marjoram_state *state = marjoram_state_copy (NULL);
  const struct marjoram_change change = { .id = (char *)"earlier" };
  char name[2] = "";

  state->number = 1;
  marjoram_state_add_change (state, &change);
  for (; *members; members++)
    {
      name[0] = *members;
      marjoram_voters_add (&state->members, name, name);
    }
  for (; *next; next++)
    {
      name[0] = *next;
      marjoram_voters_add (&state->next_members, name, name);
    }
  return state;
}

static struct marjoram_array
make_votes (const char *slots)
{
  struct marjoram_array votes = { NULL, 0 };
  char name[2] = "";

  for (; *slots; slots++)
    {
      name[0] = *slots;
      marjoram_voters_add (&votes, name, name);
    }
  return votes;
}

START_TEST (quorum_needs_majorities_of_old_and_new)
{
  static const struct
  {
    const char *members, *next, *votes;
    bool quorum;
  } cases[] = {
    { "abc", "", "ab", true },     { "abc", "", "c", false },
    { "abc", "", "dea", false },   { "abcd", "", "ab", false },
    { "abc", "abd", "ad", false }, { "abc", "abd", "ac", false },
    { "abc", "abd", "ab", true },  { "abc", "ade", "bcde", true },
    { "abc", "ade", "bc", false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct marjoram_state *state
          = make_state (cases[i].members, cases[i].next);
      struct marjoram_array votes = make_votes (cases[i].votes);

      ck_assert_msg (marjoram_quorum (&votes, state) == cases[i].quorum,
                     "case %zu", i);
      marjoram_voters_clear (&votes);
      marjoram_state_destroy (state);
    }
}
END_TEST

/* A keeper that restarts with an empty disk must not count as the member it
   replaces: it has lost the promises and values that it had accepted.  */
START_TEST (emptied_disk_does_not_count)
{
  struct marjoram_state *state = make_state ("abc", "");
  struct marjoram_array votes = make_votes ("a");

  marjoram_voters_add (&votes, "b", "another store");
  ck_assert (!marjoram_quorum (&votes, state));
  marjoram_voters_clear (&votes);
  marjoram_state_destroy (state);
}
END_TEST

/* Removing old members needs a majority of the old set as well as of the new
   one.  Otherwise an old majority that missed the change could choose a
   different value.  */
START_TEST (dropping_old_members_needs_them_too)
{
  struct marjoram_attempt attempt = { .phase = MARJORAM_PHASE_IDLE };
  const struct marjoram_ballot ballot = { 2, 1, 1 };
  const struct marjoram_ballot before = { 1, 1, 1 };
  marjoram_value *joint = marjoram_value_create (make_state ("abc", "ade"));
  marjoram_value *dropped = marjoram_value_create (make_state ("ade", ""));

  marjoram_attempt_start (&attempt, &ballot);
  marjoram_attempt_promised (&attempt, "b", "b", &before, joint);
  marjoram_attempt_propose (&attempt, dropped);
  marjoram_attempt_accepted (&attempt, "d", "d");
  marjoram_attempt_accepted (&attempt, "e", "e");
  ck_assert (!marjoram_attempt_chosen (&attempt));
  marjoram_attempt_accepted (&attempt, "a", "a");
  ck_assert (!marjoram_attempt_chosen (&attempt));
  marjoram_attempt_accepted (&attempt, "c", "c");
  ck_assert (marjoram_attempt_chosen (&attempt));
  marjoram_attempt_stop (&attempt);
  marjoram_value_release (joint);
  marjoram_value_release (dropped);
}
END_TEST

/* Guards against a ballot between the two of a membership change, after which
   the second would overwrite a value that was chosen meanwhile.  */
START_TEST (accepting_a_membership_change_promises_the_next_ballot)
{
  struct marjoram_acceptor acceptor = { .value = NULL };
  const struct marjoram_ballot ballot = { 3, 1, 1 };
  const struct marjoram_ballot between = { 3, 1, 2 };
  const struct marjoram_ballot next = marjoram_ballot_next (&ballot);
  marjoram_value *joint = marjoram_value_create (make_state ("abc", "ade"));
  marjoram_value *other = marjoram_value_create (make_state ("abc", ""));

  ck_assert_int_lt (marjoram_ballot_compare (&between, &next), 0);
  ck_assert (marjoram_acceptor_accept (&acceptor, &ballot, joint));
  ck_assert_int_eq (marjoram_ballot_compare (&acceptor.promised, &next), 0);
  ck_assert (!marjoram_acceptor_prepare (&acceptor, &between));
  ck_assert (!marjoram_acceptor_accept (&acceptor, &between, other));
  /* A repeated request is answered again and changes nothing.  */
  ck_assert (marjoram_acceptor_accept (&acceptor, &ballot, joint));
  ck_assert_int_eq (marjoram_ballot_compare (&acceptor.accepted, &ballot), 0);
  ck_assert_int_eq (marjoram_ballot_compare (&acceptor.promised, &next), 0);
  ck_assert (marjoram_acceptor_accept (&acceptor, &next, other));
  ck_assert (!marjoram_acceptor_accept (&acceptor, &ballot, joint));
  ck_assert_int_eq (marjoram_ballot_compare (&acceptor.promised, &next), 0);
  marjoram_value_release (acceptor.value);
  marjoram_value_release (joint);
  marjoram_value_release (other);
}
END_TEST

/* Guards against a second value that is proposed though too few members
   promised its ballot, as those of an earlier release do not.  */
START_TEST (the_next_ballot_needs_the_promises_of_a_quorum)
{
  static const struct marjoram_ballot ballot = { 3, 1, 1 };
  static const struct marjoram_ballot before = { 1, 1, 1 };
  static const struct marjoram_ballot none = { 0, 0, 0 };
  const struct marjoram_ballot next = marjoram_ballot_next (&ballot);
  struct marjoram_attempt attempt = { .phase = MARJORAM_PHASE_IDLE };
  marjoram_value *old = marjoram_value_create (make_state ("abc", ""));
  marjoram_value *joint = marjoram_value_create (make_state ("abc", "abd"));

  marjoram_attempt_start (&attempt, &ballot);
  marjoram_attempt_promised (&attempt, "a", "a", &before, old);
  marjoram_attempt_promised (&attempt, "b", "b", &before, old);
  marjoram_attempt_propose (&attempt, joint);
  marjoram_attempt_accepted (&attempt, "a", "a");
  marjoram_attempt_promised_next (&attempt, "a", "a", &next);
  marjoram_attempt_accepted (&attempt, "b", "b");
  marjoram_attempt_promised_next (&attempt, "b", "b", &none);
  marjoram_attempt_promised_next (&attempt, "d", "d", &ballot);
  ck_assert (marjoram_attempt_chosen (&attempt));
  ck_assert (!marjoram_attempt_continue (&attempt));
  ck_assert_ptr_eq (attempt.proposed, joint);
  marjoram_attempt_promised_next (&attempt, "b", "b", &next);
  ck_assert (marjoram_attempt_continue (&attempt));
  ck_assert_int_eq (marjoram_ballot_compare (&attempt.ballot, &next), 0);
  ck_assert (marjoram_attempt_read (&attempt, NULL));
  ck_assert_ptr_eq (attempt.best, joint);
  marjoram_attempt_stop (&attempt);
  marjoram_value_release (old);
  marjoram_value_release (joint);
}
END_TEST

/* An initial value must be accepted by all keepers and must not be built upon
   until it is known to be chosen.  With majorities, a keeper that lost its
   disk could help a second initial value to be chosen.  */
START_TEST (initial_value_needs_all)
{
  static char *const first[] = { (char *)"a", (char *)"b", (char *)"c" };
  struct marjoram_attempt attempt = { .phase = MARJORAM_PHASE_IDLE };
  const struct marjoram_ballot ballot = { 2, 1, 1 };
  const struct marjoram_ballot before = { 1, 1, 1 };
  struct marjoram_state *state = marjoram_state_copy (NULL);
  marjoram_value *initial;

  for (int i = 0; i < FIRST; i++)
    marjoram_voters_add (&state->members, first[i], first[i]);
  initial = marjoram_value_create (state);
  marjoram_attempt_start (&attempt, &ballot);
  marjoram_attempt_promised (&attempt, "a", "a", &before, initial);
  marjoram_attempt_promised (&attempt, "b", "b", &before, initial);
  ck_assert (!marjoram_attempt_read (&attempt, NULL));
  ck_assert (marjoram_attempt_read (&attempt, initial));
  ck_assert (!marjoram_attempt_may_propose_initial (&attempt, first, FIRST));
  marjoram_attempt_promised (&attempt, "c", "c", &before, NULL);
  ck_assert (marjoram_attempt_may_propose_initial (&attempt, first, FIRST));
  marjoram_attempt_propose (&attempt, initial);
  marjoram_attempt_accepted (&attempt, "a", "a");
  marjoram_attempt_accepted (&attempt, "b", "b");
  ck_assert (!marjoram_attempt_chosen (&attempt));
  marjoram_attempt_accepted (&attempt, "c", "c");
  ck_assert (marjoram_attempt_chosen (&attempt));
  marjoram_attempt_stop (&attempt);
  marjoram_value_release (initial);
}
END_TEST

START_TEST (replacement_keeps_old_members_beside_new_ones)
{
  struct marjoram_state *state = make_state ("abc", "");
  struct marjoram_array votes = make_votes ("bd");

  ck_assert_int_eq (marjoram_change_replace (state, "id", "c", "d", "d"),
                    MARJORAM_CHANGE_ACCEPTED);
  ck_assert (!marjoram_quorum (&votes, state));
  ck_assert (marjoram_voters_find (&state->members, "c"));
  marjoram_change_finish_replace (state);
  ck_assert (marjoram_quorum (&votes, state));
  ck_assert_uint_eq (state->number, 3);
  marjoram_voters_clear (&votes);
  marjoram_state_destroy (state);
}
END_TEST

/* Keepers connected by a network that delivers messages immediately, unless
   the test's filter drops them.  */
struct net;

struct peer
{
  struct net *net;
  int index;
  char slot[16];
  char store_id[32];
  uint64_t incarnation;
  marjoram_keeper *keeper;
  marjoram_bytes *record;
};

struct packet
{
  int from, to;
  struct marjoram_keeper_message *message;
};

struct net
{
  struct peer peers[KEEPERS];
  marjoram_random *random;
  int64_t now;
  struct packet packets[256];
  size_t packet_count;
  bool (*filter) (struct net *net, const struct packet *packet);
  bool disks_stall;
  struct marjoram_ballot prepares[PREPARES_MAX];
  size_t prepare_count;
  int accepts;
  bool first_accept_has_next; /* whether it lists next members */
  int answers;
  enum marjoram_apply_outcome outcome;
  enum marjoram_change_result result;
  uint64_t number;
};

static void
record_message (struct net *net, const struct marjoram_keeper_message *message)
{
  marjoram_value *value;

  if (message->kind == MARJORAM_KEEPER_PREPARE
      && net->prepare_count < PREPARES_MAX)
    net->prepares[net->prepare_count++] = message->ballot;
  if (message->kind != MARJORAM_KEEPER_ACCEPT)
    return;
  value = marjoram_value_unpack (message->value, NULL);
  if (net->accepts++ == 0)
    net->first_accept_has_next
        = marjoram_value_state (value)->next_members.count > 0;
  marjoram_value_release (value);
}

static void
on_send (void *context, const char *slot,
         const struct marjoram_keeper_message *message)
{
  struct peer *peer = context;
  struct net *net = peer->net;
  struct packet packet = { peer->index, slot[1] - '0', NULL };
  marjoram_bytes *packed
      = marjoram_wire_pack (&marjoram_keeper_message_layout, message);

  record_message (net, message);
  packet.message = marjoram_wire_unpack (&marjoram_keeper_message_layout,
                                         marjoram_bytes_data (packed),
                                         marjoram_bytes_size (packed), NULL);
  marjoram_bytes_release (packed);
  ck_assert_uint_lt (net->packet_count, 256);
  net->packets[net->packet_count++] = packet;
}

static void
on_persist (void *context, uint64_t ticket, marjoram_bytes *record)
{
  struct peer *peer = context;

  if (peer->net->disks_stall)
    {
      marjoram_bytes_release (record);
      return;
    }
  marjoram_bytes_release (peer->record);
  peer->record = record;
  marjoram_keeper_persisted (peer->keeper, peer->net->now, ticket, true);
}

static void
on_chosen (void *context, const struct marjoram_state *state)
{
  (void)context;
  (void)state;
}

static void
on_answered (void *context, uint64_t request,
             const struct marjoram_apply_answer *answer)
{
  struct peer *peer = context;

  (void)request;
  peer->net->answers++;
  peer->net->outcome = answer->outcome;
  peer->net->result = answer->result;
  peer->net->number = answer->number;
}

static bool
on_valid (void *context, const struct marjoram_state *state,
          struct marjoram_error *err)
{
  (void)context;
  (void)state;
  (void)err;
  return true;
}

static const struct marjoram_keeper_ops ops = { .send = on_send,
                                                .persist = on_persist,
                                                .chosen = on_chosen,
                                                .answered = on_answered,
                                                .valid = on_valid };

static void
start (struct net *net, int index)
{
  static const char *const first[FIRST] = { "k0", "k1", "k2" };
  struct peer *peer = &net->peers[index];
  const struct marjoram_keeper_options options
      = { .slot = peer->slot,
          .store_id = peer->store_id,
          .first = first,
          .first_count = FIRST,
          .incarnation = ++peer->incarnation,
          .record = peer->record };

  peer->keeper
      = marjoram_keeper_create (&options, &ops, peer, net->random, NULL);
  ck_assert_ptr_nonnull (peer->keeper);
}

static void
stop (struct net *net, int index)
{
  marjoram_keeper_destroy (net->peers[index].keeper);
  net->peers[index].keeper = NULL;
}

static void
lose_disk (struct net *net, int index)
{
  struct peer *peer = &net->peers[index];

  stop (net, index);
  marjoram_bytes_release (peer->record);
  peer->record = NULL;
  peer->incarnation = 0;
  snprintf (peer->store_id, sizeof peer->store_id, "new-%d", index);
}

static void
deliver_packets (struct net *net)
{
  for (size_t i = 0; i < net->packet_count; i++)
    {
      struct packet packet = net->packets[i];
      marjoram_keeper *keeper = net->peers[packet.to].keeper;

      if (keeper && (!net->filter || net->filter (net, &packet)))
        marjoram_keeper_receive (keeper, net->now,
                                 net->peers[packet.from].slot, packet.message);
      marjoram_wire_destroy (&marjoram_keeper_message_layout, packet.message);
    }
  net->packet_count = 0;
}

static void
run (struct net *net, int64_t ms)
{
  for (int64_t end = net->now + ms; net->now < end; net->now += TICK_MS)
    for (int i = 0; i < KEEPERS; i++)
      {
        if (net->peers[i].keeper)
          marjoram_keeper_tick (net->peers[i].keeper, net->now);
        deliver_packets (net);
      }
}

static struct net *
create_net (void)
{
  struct net *net = marjoram_alloc (sizeof *net);

  net->random = marjoram_random_create (1);
  for (int i = 0; i < KEEPERS; i++)
    {
      struct peer *peer = &net->peers[i];

      peer->net = net;
      peer->index = i;
      snprintf (peer->slot, sizeof peer->slot, "k%d", i);
      snprintf (peer->store_id, sizeof peer->store_id, "store-%d", i);
      start (net, i);
    }
  run (net, 5000);
  ck_assert_ptr_nonnull (marjoram_keeper_durable_state (net->peers[3].keeper));
  return net;
}

static void
destroy_net (struct net *net)
{
  net->filter = NULL;
  deliver_packets (net);
  for (int i = 0; i < KEEPERS; i++)
    {
      stop (net, i);
      marjoram_bytes_release (net->peers[i].record);
    }
  marjoram_random_destroy (net->random);
  free (net);
}

static void
apply (struct net *net, int index, const char *id, uint64_t version)
{
  const struct marjoram_file file
      = { (char *)"a.ini", version, NULL, (char *)"text" };

  marjoram_keeper_apply (net->peers[index].keeper, net->now, 1, id, &file);
}

static bool
has_change (struct net *net, int index, const char *id)
{
  return marjoram_state_change (
      marjoram_keeper_durable_state (net->peers[index].keeper), id);
}

static bool
accepts_reach_only_k1 (struct net *net, const struct packet *packet)
{
  (void)net;
  if (packet->message->kind == MARJORAM_KEEPER_ACCEPT)
    return packet->to == 1;
  return packet->message->kind != MARJORAM_KEEPER_ACCEPTED;
}

/* k0 fails during a membership change, when only k1 has accepted the joint
   value.  k1 must get that value chosen before it removes the old members, as
   an old majority could still choose another value in its place.  */
START_TEST (old_members_stay_until_the_step_is_known_chosen)
{
  struct net *net = create_net ();

  net->filter = accepts_reach_only_k1;
  marjoram_keeper_replace (net->peers[0].keeper, net->now, 1, "id", "k2",
                           "k3");
  run (net, 300);
  stop (net, 0);
  net->filter = NULL;
  net->accepts = 0;
  run (net, 10000);
  ck_assert_int_gt (net->accepts, 1);
  ck_assert (net->first_accept_has_next);
  ck_assert (marjoram_voters_find (
      &marjoram_keeper_durable_state (net->peers[1].keeper)->members, "k3"));
  ck_assert_uint_eq (
      marjoram_keeper_durable_state (net->peers[1].keeper)->next_members.count,
      0);
  destroy_net (net);
}
END_TEST

static bool
drop_all (struct net *net, const struct packet *packet)
{
  (void)net;
  (void)packet;
  return false;
}

/* Ballots must stay unique when proposers restart before their promise is
   durable.  Two values proposed with one ballot could both appear chosen.  */
START_TEST (ballots_are_used_once)
{
  struct net *net = create_net ();

  net->filter = drop_all;
  net->disks_stall = true;
  net->prepare_count = 0;
  for (int restart = 0; restart < 3; restart++)
    {
      for (int i = 0; i < 2; i++)
        {
          size_t before = net->prepare_count;

          apply (net, i, "id", 1);
          deliver_packets (net);
          ck_assert_uint_gt (net->prepare_count, before);
          /* The PREPARE is sent to every keeper; record it once.  */
          net->prepare_count = before + 1;
        }
      stop (net, 0);
      start (net, 0);
      stop (net, 1);
      start (net, 1);
    }
  for (size_t i = 0; i < net->prepare_count; i++)
    for (size_t j = 0; j < i; j++)
      ck_assert_int_ne (
          marjoram_ballot_compare (&net->prepares[i], &net->prepares[j]), 0);
  destroy_net (net);
}
END_TEST

/* A repair requested before the new store has announced itself must wait for
   it.  Comparing with the lost store would report the repair as done, and the
   next disk failure would leave the keepers without a majority.  */
START_TEST (repair_waits_for_the_new_store)
{
  struct net *net = create_net ();

  lose_disk (net, 2);
  marjoram_keeper_replace (net->peers[0].keeper, net->now, 1, "id", "k2",
                           "k2");
  run (net, 1000);
  ck_assert_int_eq (net->answers, 0);
  start (net, 2);
  run (net, 4000);
  ck_assert_int_eq (net->answers, 1);
  ck_assert_int_eq (net->outcome, MARJORAM_APPLY_DECIDED);
  ck_assert_int_eq (net->result, MARJORAM_CHANGE_ACCEPTED);
  lose_disk (net, 1);
  apply (net, 0, "after", 1);
  run (net, 2000);
  ck_assert_int_eq (net->answers, 2);
  ck_assert_int_eq (net->result, MARJORAM_CHANGE_ACCEPTED);
  destroy_net (net);
}
END_TEST

/* Empty disks under the names of all first keepers must not create a new
   initial value while other hosts still have the state: the number would
   restart at 1.  */
START_TEST (empty_disks_create_no_second_state)
{
  struct net *net = create_net ();

  for (int i = 0; i < FIRST; i++)
    lose_disk (net, i);
  stop (net, 3);
  for (int i = 0; i < FIRST; i++)
    start (net, i);
  marjoram_keeper_observe_number (net->peers[1].keeper, 7);
  run (net, 20000);
  for (int i = 0; i < FIRST; i++)
    ck_assert_ptr_null (marjoram_keeper_durable_state (net->peers[i].keeper));
  ck_assert_ptr_nonnull (
      marjoram_keeper_no_vote_reason (net->peers[1].keeper));
  destroy_net (net);
}
END_TEST

/* A change that reached no other keeper times out as NOT_RUN and must not be
   applied later.  If its proposal was sent, the outcome must be UNKNOWN.  */
START_TEST (says_not_run_only_when_proven)
{
  struct net *net = create_net ();

  net->filter = drop_all;
  apply (net, 0, "cut-off", 1);
  run (net, 11000);
  ck_assert_int_eq (net->outcome, MARJORAM_APPLY_NOT_RUN);
  net->filter = NULL;
  run (net, 5000);
  ck_assert (!has_change (net, 1, "cut-off"));

  net->filter = accepts_reach_only_k1;
  apply (net, 0, "half-way", 2);
  run (net, 11000);
  ck_assert_int_eq (net->outcome, MARJORAM_APPLY_UNKNOWN);
  net->filter = NULL;
  run (net, 5000);
  ck_assert (has_change (net, 2, "half-way"));
  destroy_net (net);
}
END_TEST

/* A change that is sent again with the same id, to another keeper, must not be
   applied twice and gets the original answer.  The same id with different
   content is rejected.  */
START_TEST (answers_a_change_sent_again_as_before)
{
  struct net *net = create_net ();
  uint64_t number;

  apply (net, 0, "id", 1);
  run (net, 1000);
  number = net->number;
  apply (net, 1, "later", 2);
  run (net, 1000);
  apply (net, 2, "id", 1);
  run (net, 1000);
  ck_assert_int_eq (net->answers, 3);
  ck_assert_int_eq (net->result, MARJORAM_CHANGE_ACCEPTED);
  ck_assert_uint_eq (net->number, number);
  apply (net, 2, "id", 5);
  run (net, 1000);
  ck_assert_int_eq (net->outcome, MARJORAM_APPLY_NOT_RUN);
  ck_assert_int_eq (net->result, MARJORAM_CHANGE_INVALID);
  destroy_net (net);
}
END_TEST

static struct
{
  uint64_t ticket; /* of the write in progress; 0 if none */
  size_t acceptances;
  struct marjoram_ballot promised; /* named by the last one */
} lone;

static void
lone_send (void *context, const char *slot,
           const struct marjoram_keeper_message *message)
{
  (void)context;
  (void)slot;
  if (message->kind != MARJORAM_KEEPER_ACCEPTED)
    return;
  lone.acceptances++;
  lone.promised = message->accepted;
}

static void
lone_persist (void *context, uint64_t ticket, marjoram_bytes *record)
{
  (void)context;
  lone.ticket = ticket;
  marjoram_bytes_release (record);
}

static void
finish_lone_write (marjoram_keeper *keeper, int64_t now)
{
  const uint64_t ticket = lone.ticket;

  ck_assert_uint_gt (ticket, 0);
  lone.ticket = 0;
  marjoram_keeper_persisted (keeper, now, ticket, true);
}

/* Guards against an acceptance that names a ballot which is not yet promised
   on disk, as the value itself was learnt and written before.  */
START_TEST (the_next_ballot_is_promised_on_disk)
{
  static const struct marjoram_keeper_ops lone_ops = { .send = lone_send,
                                                       .persist = lone_persist,
                                                       .chosen = on_chosen,
                                                       .answered = on_answered,
                                                       .valid = on_valid };
  static const struct marjoram_keeper_options options
      = { .slot = "b", .store_id = "b", .incarnation = 1 };
  marjoram_random *random = marjoram_random_create (1);
  marjoram_keeper *keeper
      = marjoram_keeper_create (&options, &lone_ops, NULL, random, NULL);
  marjoram_value *joint = marjoram_value_create (make_state ("abc", "abd"));
  struct marjoram_keeper_message message
      = { .kind = MARJORAM_KEEPER_LEARN,
          .store_id = (char *)"a",
          .incarnation = 1,
          .seen_store_id = (char *)"b",
          .seen_incarnation = 1,
          .ballot = { 3, 1, 1 },
          .value = marjoram_value_packed (joint) };
  const struct marjoram_ballot next = marjoram_ballot_next (&message.ballot);

  lone.acceptances = 0;
  marjoram_keeper_receive (keeper, 1, "a", &message);
  while (lone.ticket)
    finish_lone_write (keeper, 2);
  message.kind = MARJORAM_KEEPER_ACCEPT;
  marjoram_keeper_receive (keeper, 3, "a", &message);
  ck_assert_uint_eq (lone.acceptances, 0);
  finish_lone_write (keeper, 4);
  ck_assert_uint_eq (lone.acceptances, 1);
  ck_assert_int_eq (marjoram_ballot_compare (&lone.promised, &next), 0);
  marjoram_keeper_destroy (keeper);
  marjoram_random_destroy (random);
  marjoram_value_release (joint);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("register");
  TCase *c = tcase_create ("register");

  tcase_add_test (c, quorum_needs_majorities_of_old_and_new);
  tcase_add_test (c, emptied_disk_does_not_count);
  tcase_add_test (c, dropping_old_members_needs_them_too);
  tcase_add_test (c, accepting_a_membership_change_promises_the_next_ballot);
  tcase_add_test (c, the_next_ballot_needs_the_promises_of_a_quorum);
  tcase_add_test (c, the_next_ballot_is_promised_on_disk);
  tcase_add_test (c, initial_value_needs_all);
  tcase_add_test (c, replacement_keeps_old_members_beside_new_ones);
  tcase_add_test (c, old_members_stay_until_the_step_is_known_chosen);
  tcase_add_test (c, ballots_are_used_once);
  tcase_add_test (c, repair_waits_for_the_new_store);
  tcase_add_test (c, empty_disks_create_no_second_state);
  tcase_add_test (c, says_not_run_only_when_proven);
  tcase_add_test (c, answers_a_change_sent_again_as_before);
  suite_add_tcase (s, c);
  return s;
}
