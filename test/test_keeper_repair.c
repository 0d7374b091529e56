/* Automatic repair of the keepers' membership after lost disks and
   machines.  */
#include "suite.h"

#include "cleanup.h"
#include "keeper_repair.h"
#include "keeper_message.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

enum
{
  NODES = 6,
  FIRST = 3,
  TICK_MS = 50,
  WITHIN_MS = 4000
};

struct queued_message
{
  STAILQ_ENTRY (queued_message) link;
  int from;
  int to;
  struct marjoram_keeper_message *message;
};

struct node
{
  char slot[16];
  char store[16];
  int stores;
  marjoram_keeper *keeper; /* null while the machine is off */
  marjoram_keeper_repair *repair;
  marjoram_host_list *hosts;
  marjoram_random *random;
  marjoram_bytes *record;
  uint64_t incarnation;
};

static struct node nodes[NODES];
static STAILQ_HEAD (, queued_message)
    message_queue = STAILQ_HEAD_INITIALIZER (message_queue);
static int64_t now;
static int decided;
static const char *regions[NODES];
static size_t losses; /* simultaneous disk losses to tolerate */
static uint64_t tickets[NODES];

static int
index_of (const char *slot)
{
  for (int i = 0; i < NODES; i++)
    if (strcmp (nodes[i].slot, slot) == 0)
      return i;
  return -1;
}

static void
on_send (void *context, const char *slot,
         const struct marjoram_keeper_message *message)
{
  const struct node *node = context;
  marjoram_bytes *packed
      = marjoram_wire_pack (&marjoram_keeper_message_layout, message);
  struct queued_message *queued_message
      = marjoram_alloc (sizeof *queued_message);

  queued_message->from = (int)(node - nodes);
  queued_message->to = index_of (slot);
  queued_message->message = marjoram_wire_unpack (
      &marjoram_keeper_message_layout, marjoram_bytes_data (packed),
      marjoram_bytes_size (packed), NULL);
  marjoram_bytes_release (packed);
  STAILQ_INSERT_TAIL (&message_queue, queued_message, link);
}

static void
on_persist (void *context, uint64_t ticket, marjoram_bytes *record)
{
  struct node *node = context;

  marjoram_bytes_release (node->record);
  node->record = record;
  tickets[node - nodes] = ticket;
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
  (void)context;
  (void)request;
  decided += answer->outcome == MARJORAM_APPLY_DECIDED;
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

/* Starts the machine; FIRST_START only if the whole deployment is new.  */
static void
start (int index, bool first_start, bool empty_disk)
{
  static const char *const first[FIRST] = { "k0", "k1", "k2" };
  struct node *node = &nodes[index];
  struct marjoram_keeper_options options = { .slot = node->slot };

  if (empty_disk)
    {
      marjoram_bytes_release (node->record);
      node->record = NULL;
      snprintf (node->store, sizeof node->store, "k%d-%d", index,
                node->stores++);
    }
  options.store_id = node->store;
  options.incarnation = ++node->incarnation;
  options.record = node->record;
  options.first = first;
  options.first_count = first_start ? FIRST : 0;
  tickets[index] = 0;
  node->keeper
      = marjoram_keeper_create (&options, &ops, node, node->random, NULL);
  node->repair = marjoram_keeper_repair_create (node->slot, losses, WITHIN_MS);
}

static void
stop (int index)
{
  marjoram_keeper_destroy (nodes[index].keeper);
  marjoram_keeper_repair_destroy (nodes[index].repair);
  nodes[index].keeper = NULL;
  nodes[index].repair = NULL;
}

static void
setup (void)
{
  now = 1000;
  decided = 0;
  losses = 1;
  for (int i = 0; i < NODES; i++)
    {
      memset (&nodes[i], 0, sizeof nodes[i]);
      regions[i] = "r";
      snprintf (nodes[i].slot, sizeof nodes[i].slot, "k%d", i);
      nodes[i].random = marjoram_random_create ((uint64_t)i + 1);
      nodes[i].hosts = marjoram_host_list_create ();
    }
}

static void
teardown (void)
{
  struct queued_message *queued_message;

  while ((queued_message = STAILQ_FIRST (&message_queue)))
    {
      STAILQ_REMOVE_HEAD (&message_queue, link);
      marjoram_wire_destroy (&marjoram_keeper_message_layout,
                             queued_message->message);
      free (queued_message);
    }
  for (int i = 0; i < NODES; i++)
    {
      stop (i);
      marjoram_host_list_destroy (nodes[i].hosts);
      marjoram_random_destroy (nodes[i].random);
      marjoram_bytes_release (nodes[i].record);
    }
}

static void
write_disks (void)
{
  for (int i = 0; i < NODES; i++)
    if (nodes[i].keeper && tickets[i])
      {
        uint64_t ticket = tickets[i];

        tickets[i] = 0;
        marjoram_keeper_persisted (nodes[i].keeper, now, ticket, true);
      }
}

static void
deliver (void)
{
  struct queued_message *queued_message;

  write_disks ();
  while ((queued_message = STAILQ_FIRST (&message_queue)))
    {
      STAILQ_REMOVE_HEAD (&message_queue, link);
      if (queued_message->to >= 0 && nodes[queued_message->to].keeper)
        marjoram_keeper_receive (nodes[queued_message->to].keeper, now,
                                 nodes[queued_message->from].slot,
                                 queued_message->message);
      marjoram_wire_destroy (&marjoram_keeper_message_layout,
                             queued_message->message);
      free (queued_message);
      write_disks ();
    }
}

static void
announce_hosts (marjoram_host_list *hosts)
{
  for (int i = 0; i < NODES; i++)
    {
      struct marjoram_host_beat heartbeat = { .name = nodes[i].slot,
                                              .zone = (char *)"z",
                                              .region = (char *)regions[i],
                                              .entry = (char *)"",
                                              .keeper = true,
                                              .incarnation = 1,
                                              .sequence = (uint64_t)now };

      if (nodes[i].keeper)
        marjoram_host_list_update (hosts, now, &heartbeat, true);
    }
}

static void
run (int64_t msec)
{
  for (int64_t end = now + msec; now < end; now += TICK_MS)
    for (int i = 0; i < NODES; i++)
      {
        struct marjoram_keeper_change change;

        if (!nodes[i].keeper)
          continue;
        announce_hosts (nodes[i].hosts);
        marjoram_keeper_tick (nodes[i].keeper, now);
        if (marjoram_keeper_repair_tick (nodes[i].repair, now, nodes[i].keeper,
                                         nodes[i].hosts, &change))
          marjoram_keeper_repair_apply (nodes[i].repair, &change,
                                        nodes[i].keeper, now, 1);
        deliver ();
      }
}

static void
apply (int index, uint64_t version)
{
  struct marjoram_file file
      = { .name = (char *)"routes", .version = version, .text = (char *)"x" };
  char id[16];

  snprintf (id, sizeof id, "change-%u", (unsigned int)version);
  decided = 0;
  marjoram_keeper_apply (nodes[index].keeper, now, 2, id, &file);
  run (1000);
}

static bool
is_member (int observer, const char *slot, const char *store)
{
  const struct marjoram_state *state
      = marjoram_keeper_chosen_state (nodes[observer].keeper);

  return state && state->next_members.count == 0
         && marjoram_voters_contain (&state->members, slot, store);
}

static void
bootstrap (void)
{
  for (int i = 0; i < FIRST; i++)
    start (i, true, true);
  run (6000);
  apply (0, 1);
  ck_assert_int_ge (decided, 1);
}

/* Guards against data loss when disks fail one after another, 4 s apart,
   without an operator.  */
START_TEST (two_disks_lost_one_after_the_other)
{
  bootstrap ();
  stop (0);
  start (0, false, true);
  run (4000);
  ck_assert (is_member (1, "k0", "k0-1"));
  stop (1);
  start (1, false, true);
  run (4000);
  ck_assert (is_member (2, "k1", "k1-1"));
  stop (2);
  start (2, false, true);
  run (4000);
  ck_assert (is_member (0, "k2", "k2-1"));
  for (int i = 0; i < FIRST; i++)
    ck_assert_ptr_nonnull (marjoram_state_file (
        marjoram_keeper_chosen_state (nodes[i].keeper), "routes"));
  apply (2, 2);
  ck_assert_int_ge (decided, 1);
}
END_TEST

/* Guards against members that wait for the lost one to ask for its repair.  */
START_TEST (lost_disk_of_the_first_member_is_repaired_at_once)
{
  bootstrap ();
  stop (0);
  start (0, false, true);
  run (500);
  ck_assert (is_member (1, "k0", "k0-1"));
}
END_TEST

/* Guards against a dead member that is not replaced by a keeper at another
   address before the next loss.  */
START_TEST (machine_is_replaced_at_another_address)
{
  bootstrap ();
  stop (0);
  run (1000);
  start (3, false, true);
  run (4000);
  ck_assert (is_member (1, "k3", "k3-0"));
  ck_assert (!is_member (1, "k0", "k0-0"));
  stop (1);
  apply (2, 2);
  ck_assert_int_ge (decided, 1);
}
END_TEST

/* Guards against losing an acknowledged change when two of six keepers lose
   their disks at once, which three members could not survive.  */
START_TEST (two_disks_lost_at_once)
{
  losses = 2;
  for (int i = 0; i < NODES; i++)
    start (i, i < FIRST, true);
  run (12000);
  apply (0, 1);
  ck_assert_int_ge (decided, 1);
  for (int i = 0; i < 2; i++)
    {
      stop (i);
      start (i, false, true);
    }
  run (8000);
  for (int i = 0; i < NODES; i++)
    {
      const struct marjoram_state *state
          = marjoram_keeper_chosen_state (nodes[i].keeper);

      ck_assert_ptr_nonnull (state);
      ck_assert_ptr_nonnull (marjoram_state_file (state, "routes"));
    }
  apply (1, 2);
  ck_assert_int_ge (decided, 1);
}
END_TEST

/* Guards against excess members, which would slow every change.  */
START_TEST (no_more_members_than_needed)
{
  for (int i = 0; i < NODES; i++)
    start (i, i < FIRST, true);
  run (12000);
  ck_assert_uint_eq (
      marjoram_keeper_chosen_state (nodes[0].keeper)->members.count, 3);
}
END_TEST

/* Guards against a majority in one region: members are added from the
   others.  */
START_TEST (added_members_are_of_other_regions)
{
  static const char *const host_regions[NODES]
      = { "r1", "r1", "r2", "r1", "r3", "r2" };

  losses = 2;
  for (int i = 0; i < NODES; i++)
    {
      regions[i] = host_regions[i];
      start (i, i < FIRST, true);
    }
  run (12000);
  ck_assert (is_member (0, "k4", "k4-0"));
  ck_assert (is_member (0, "k5", "k5-0"));
  ck_assert (!is_member (0, "k3", "k3-0"));
}
END_TEST

/* Guards against keepers that seem well although nothing can be decided.  */
START_TEST (lost_majority_is_shown)
{
  bootstrap ();
  ck_assert_ptr_null (marjoram_keeper_trouble (nodes[2].keeper));
  stop (0);
  run (4000);
  ck_assert_ptr_null (marjoram_keeper_trouble (nodes[2].keeper));
  stop (1);
  start (0, false, true);
  run (4000);
  ck_assert_ptr_nonnull (marjoram_keeper_trouble (nodes[2].keeper));
  ck_assert_ptr_nonnull (
      strstr (marjoram_keeper_trouble (nodes[2].keeper), "no majority"));
  start (1, false, false);
  run (4000);
  ck_assert_ptr_null (marjoram_keeper_trouble (nodes[2].keeper));
}
END_TEST

/* Guards against replacing a member that merely restarts.  */
START_TEST (restart_changes_no_member)
{
  bootstrap ();
  stop (0);
  run (1500);
  start (0, false, false);
  run (3000);
  ck_assert (is_member (1, "k0", "k0-0"));
}
END_TEST

/* Guards against no progress after all keepers restart with their disks.  */
START_TEST (all_restart)
{
  bootstrap ();
  for (int i = 0; i < FIRST; i++)
    stop (i);
  for (int i = 0; i < FIRST; i++)
    start (i, false, false);
  run (4000);
  apply (1, 2);
  ck_assert_int_ge (decided, 1);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("keeper_care");
  TCase *c = tcase_create ("keeper_care");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, two_disks_lost_one_after_the_other);
  tcase_add_test (c, lost_disk_of_the_first_member_is_repaired_at_once);
  tcase_add_test (c, machine_is_replaced_at_another_address);
  tcase_add_test (c, two_disks_lost_at_once);
  tcase_add_test (c, no_more_members_than_needed);
  tcase_add_test (c, added_members_are_of_other_regions);
  tcase_add_test (c, lost_majority_is_shown);
  tcase_add_test (c, restart_changes_no_member);
  tcase_add_test (c, all_restart);
  suite_add_tcase (s, c);
  return s;
}
