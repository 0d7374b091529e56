#include "lib_keepers.h"

#include "cleanup.h"
#include "keeper_message.h"
#include "lib_keepers_check.h"
#include "random.h"

#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <xxhash.h>

enum
{
  TICK_MS = 100,
  FAULTS_MS = 9000,
  HEALED_MS = 60000,
  SETTLE_MS = 2500,
  FAULT_EVERY_MS = 450,
  CHANGE_EVERY_MS = 330,
  REPAIR_EVERY_MS = 900,
  READ_EVERY_MS = 150,
  READS_KEPT = 4096, /* maximum concurrent reads */
  TEXT_MAX = 64,
  LARGE_TEXT = 12000,
  COUNTER_SHIFT = 32,
  DETECT_MS = 12000,
  REPAIR_REQUEST = 1 << 20,
  READ_REQUEST = 1 << 24
};

enum event_kind
{
  EVENT_TICK,
  EVENT_MESSAGE,
  EVENT_WRITTEN,
  EVENT_RESTART,
  EVENT_HEAL_PARTITION,
  EVENT_FAULT,
  EVENT_CHANGE,
  EVENT_REPAIR,
  EVENT_READ
};

struct event
{
  TAILQ_ENTRY (event) link;
  int64_t at;
  enum event_kind kind;
  int node;
  int from;
  int generation;
  uint64_t ticket;
  struct marjoram_keeper_message *message;
};

TAILQ_HEAD (event_list, event);

struct node
{
  struct sim *sim;
  int index;
  char slot[16];
  char store_id[32];
  uint64_t counter;
  marjoram_keeper *keeper;
  marjoram_random *random;
  marjoram_bytes *record;
  marjoram_bytes *writing;
  marjoram_bytes *older_record;
  int generation;
  int64_t frozen_until;
  uint64_t highest_read; /* highest state number read from this store */
};

struct sim
{
  struct event_list events;
  struct event_list spare;
  int64_t now;
  marjoram_random *random;
  struct node nodes[SIM_KEEPERS];
  bool partitioned[SIM_KEEPERS][SIM_KEEPERS];
  int loss; /* percent */
  int stores;
  bool healed;
  int lost; /* node whose store is to be replaced, or -1 */
  const char *lost_slot;
  char repair_id[24];
  const char *repair_slot; /* the new keeper's; null until picked */
  int repairs;
  uint64_t refused_number; /* state number of the last refused repair, or 0 */
  int rolled_back;         /* node that must not vote, or -1 */
  int64_t rolled_back_at;
  struct checks *checks;
  uint64_t reads;                  /* requested */
  uint64_t read_floor[READS_KEPT]; /* minimum state number of each read */
  bool large;
  char text[LARGE_TEXT + TEXT_MAX];
  struct sim_counts counts;
};

static int
below (struct sim *sim, int limit)
{
  return (int)marjoram_random_below (sim->random, (uint32_t)limit);
}

static bool
chance (struct sim *sim, int percent)
{
  return below (sim, 100) < percent;
}

static struct event *
schedule (struct sim *sim, int64_t delay, enum event_kind kind, int node)
{
  struct event *event = TAILQ_FIRST (&sim->spare);
  struct event *place;

  if (event)
    TAILQ_REMOVE (&sim->spare, event, link);
  else
    event = marjoram_alloc (sizeof *event);
  event->at = sim->now + delay;
  event->kind = kind;
  event->node = node;
  if (node >= 0)
    event->generation = sim->nodes[node].generation;
  TAILQ_FOREACH_REVERSE (place, &sim->events, event_list, link)
  if (place->at <= event->at)
    break;
  if (place)
    TAILQ_INSERT_AFTER (&sim->events, place, event, link);
  else
    TAILQ_INSERT_HEAD (&sim->events, event, link);
  return event;
}

static void
recycle_event (struct sim *sim, struct event *event)
{
  marjoram_wire_destroy (&marjoram_keeper_message_layout, event->message);
  event->message = NULL;
  TAILQ_INSERT_HEAD (&sim->spare, event, link);
}

static void
free_events (struct event_list *events)
{
  struct event *event = TAILQ_FIRST (events);

  while (event)
    {
      struct event *next = TAILQ_NEXT (event, link);

      marjoram_wire_destroy (&marjoram_keeper_message_layout, event->message);
      free (event);
      event = next;
    }
}

static int
find_node (const struct sim *sim, const char *slot)
{
  for (int i = 0; i < SIM_KEEPERS; i++)
    if (strcmp (sim->nodes[i].slot, slot) == 0)
      return i;
  return -1;
}

static int64_t
delivery_delay_ms (struct sim *sim)
{
  if (!sim->healed && chance (sim, 3))
    return 1 + below (sim, 4000);
  return 1 + below (sim, 60);
}

static struct marjoram_keeper_message *
copy_message (const struct marjoram_keeper_message *message)
{
  struct marjoram_keeper_message *copy = marjoram_alloc (sizeof *copy);

  *copy = *message;
  copy->store_id = marjoram_strdup (message->store_id);
  if (message->seen_store_id)
    copy->seen_store_id = marjoram_strdup (message->seen_store_id);
  marjoram_bytes_retain (copy->value);
  return copy;
}

static void
on_send (void *context, const char *slot,
         const struct marjoram_keeper_message *message)
{
  struct node *node = context;
  struct sim *sim = node->sim;
  int to = find_node (sim, slot);
  int copies = chance (sim, sim->loss) ? 0 : chance (sim, sim->loss) ? 2 : 1;

  if (message->value && message->encoding < SIM_ENCODINGS)
    sim->counts.encodings[message->encoding]++;
  if (to < 0 || sim->partitioned[node->index][to])
    return;
  for (int i = 0; i < copies; i++)
    {
      struct event *event
          = schedule (sim, delivery_delay_ms (sim), EVENT_MESSAGE, to);

      event->from = node->index;
      event->message = copy_message (message);
    }
}

static void
on_persist (void *context, uint64_t ticket, marjoram_bytes *record)
{
  struct node *node = context;
  struct sim *sim = node->sim;
  int64_t delay = !sim->healed && chance (sim, 2) ? 2500 : below (sim, 20);
  struct event *event = schedule (sim, delay, EVENT_WRITTEN, node->index);

  event->ticket = ticket;
  marjoram_bytes_release (node->writing);
  node->writing = record;
}

static void
on_chosen (void *context, const struct marjoram_state *state)
{
  struct node *node = context;

  checks_chosen (node->sim->checks, state);
}

static uint64_t
repair_request (const struct sim *sim)
{
  return REPAIR_REQUEST + (uint64_t)sim->repairs;
}

/* A confirmed read must not be older than the latest state reported to any
   operator before the read was requested.  */
static void
on_read (struct node *node, uint64_t request,
         const struct marjoram_apply_answer *answer)
{
  struct sim *sim = node->sim;
  const struct marjoram_state *state
      = marjoram_keeper_chosen_state (node->keeper);
  uint64_t floor = sim->read_floor[request % READS_KEPT];

  if (answer->outcome != MARJORAM_APPLY_DECIDED)
    {
      sim->counts.unconfirmed_reads++;
      return;
    }
  sim->counts.reads++;
  if ((state ? state->number : 0) < floor)
    checks_fail (sim->checks, "%s read a state older than %llu", node->slot,
                 (unsigned long long)floor);
}

static void
on_answered (void *context, uint64_t request,
             const struct marjoram_apply_answer *answer)
{
  struct node *node = context;
  struct sim *sim = node->sim;

  if (request >= READ_REQUEST)
    {
      on_read (node, request, answer);
      return;
    }
  if (request < REPAIR_REQUEST)
    {
      checks_answered (sim->checks, request, answer, &sim->counts);
      return;
    }
  if (sim->lost < 0 || answer->outcome != MARJORAM_APPLY_DECIDED
      || request != repair_request (sim))
    return;
  if (answer->result == MARJORAM_CHANGE_INVALID)
    {
      sim->refused_number = answer->number;
      sim->repair_slot = NULL;
      sim->repairs++; /* the next attempt needs a new id */
    }
  else
    {
      sim->counts.repairs++;
      sim->lost = -1;
    }
}

static bool
on_valid (void *context, const struct marjoram_state *state,
          struct marjoram_error *err)
{
  const struct marjoram_file *files = state->files.items;

  (void)context;
  (void)err;
  for (size_t i = 0; i < state->files.count; i++)
    if (strstr (files[i].text, "bad"))
      return false;
  return true;
}

static const struct marjoram_keeper_ops ops = { .send = on_send,
                                                .persist = on_persist,
                                                .chosen = on_chosen,
                                                .answered = on_answered,
                                                .valid = on_valid };

static void
start_node (struct sim *sim, struct node *node)
{
  static const char *const first[SIM_FIRST] = { "k0", "k1", "k2" };
  struct marjoram_keeper_options options = {
    .slot = node->slot,
    .store_id = node->store_id,
    .first = first,
    .first_count = SIM_FIRST,
    .record = node->record,
  };

  node->counter++;
  node->generation++;
  options.incarnation
      = node->counter << COUNTER_SHIFT | (uint64_t)below (sim, 1 << 30);
  node->keeper
      = marjoram_keeper_create (&options, &ops, node, node->random, NULL);
  node->frozen_until = 0;
  schedule (sim, below (sim, TICK_MS), EVENT_TICK, node->index);
}

static void
stop_node (struct sim *sim, struct node *node)
{
  if (!node->keeper)
    return;
  sim->counts.crashes++;
  if (node->writing)
    sim->counts.torn++;
  /* An interrupted write is either complete or has no effect.  */
  if (node->writing && chance (sim, 50))
    {
      marjoram_bytes_release (node->record);
      node->record = marjoram_bytes_retain (node->writing);
    }
  marjoram_bytes_release (node->writing);
  node->writing = NULL;
  marjoram_keeper_destroy (node->keeper);
  node->keeper = NULL;
  node->generation++;
}

static void
restart_later (struct sim *sim, struct node *node)
{
  schedule (sim, 50 + below (sim, 2500), EVENT_RESTART, node->index);
}

static void
new_store (struct sim *sim, struct node *node)
{
  marjoram_bytes_release (node->record);
  marjoram_bytes_release (node->older_record);
  node->record = NULL;
  node->older_record = NULL;
  node->counter = 0;
  node->highest_read = 0;
  snprintf (node->store_id, sizeof node->store_id, "store-%d-%d", node->index,
            sim->stores++);
}

static void
lose_disk (struct sim *sim, struct node *node)
{
  stop_node (sim, node);
  new_store (sim, node);
  restart_later (sim, node);
  sim->lost = node->index;
  sim->refused_number = 0;
  sim->repair_slot = NULL;
  sim->repairs++;
  sim->lost_slot = node->slot;
}

static uint64_t
record_writes (const marjoram_bytes *packed, const char *store_id)
{
  struct marjoram_keeper_record *record = marjoram_wire_unpack (
      &marjoram_keeper_record_layout, marjoram_bytes_data (packed),
      marjoram_bytes_size (packed), NULL);
  uint64_t writes = 0;

  if (!record)
    return 0;
  if (!store_id)
    writes = record->writes;
  for (size_t i = 0; store_id && i < record->seen.count; i++)
    {
      const struct marjoram_keeper_seen *seen = record->seen.items;

      if (strcmp (seen[i].store_id, store_id) == 0)
        writes = seen[i].writes;
    }
  marjoram_wire_destroy (&marjoram_keeper_record_layout, record);
  return writes;
}

/* Only keepers that remember a later write detect a rollback.  All others
   must do so, as otherwise the fault would exceed the one lost disk that is
   tolerated.  */
static bool
rollback_is_detectable (const struct sim *sim, const struct node *node)
{
  uint64_t writes = record_writes (node->older_record, NULL);

  for (int i = 0; i < SIM_KEEPERS; i++)
    if (i != node->index
        && record_writes (sim->nodes[i].record, node->store_id) <= writes)
      return false;
  return true;
}

static void
restore_older_disk (struct sim *sim, struct node *node)
{
  if (!node->older_record || !rollback_is_detectable (sim, node))
    return;
  stop_node (sim, node);
  marjoram_bytes_release (node->record);
  node->record = node->older_record;
  node->older_record = NULL;
  node->highest_read = 0;
  sim->counts.older_disks++;
  sim->rolled_back = node->index;
  sim->rolled_back_at = sim->now;
  schedule (sim, 10, EVENT_RESTART, node->index);
}

static void
partition_nodes (struct sim *sim)
{
  int side = 1 + below (sim, (1 << SIM_KEEPERS) - 2);
  bool one_way = chance (sim, 25);

  sim->counts.partitions++;
  for (int i = 0; i < SIM_KEEPERS; i++)
    for (int j = 0; j < SIM_KEEPERS; j++)
      sim->partitioned[i][j]
          = (side >> i & 1) > (side >> j & 1)
            || (!one_way && (side >> i & 1) != (side >> j & 1));
  schedule (sim, 500 + below (sim, 4000), EVENT_HEAL_PARTITION, -1);
}

static void
freeze (struct sim *sim, struct node *node)
{
  sim->counts.freezes++;
  node->frozen_until = sim->now + 300 + below (sim, 6000);
}

static void
crash_all (struct sim *sim)
{
  for (int i = 0; i < SIM_KEEPERS; i++)
    if (sim->nodes[i].keeper)
      {
        stop_node (sim, &sim->nodes[i]);
        restart_later (sim, &sim->nodes[i]);
      }
}

static void
inject_fault (struct sim *sim)
{
  struct node *node = &sim->nodes[below (sim, SIM_KEEPERS)];
  int kind = below (sim, 100);

  if (sim->rolled_back >= 0 || !node->keeper)
    return;
  if (kind < 35)
    {
      stop_node (sim, node);
      restart_later (sim, node);
    }
  else if (kind < 55)
    freeze (sim, node);
  else if (kind < 70)
    partition_nodes (sim);
  else if (kind < 75)
    crash_all (sim);
  else if (sim->lost >= 0)
    return;
  else if (kind < 86)
    {
      sim->counts.lost_disks++;
      lose_disk (sim, node);
    }
  else
    restore_older_disk (sim, node);
}

/* A rolled-back store must never vote, and must report the reason once others
   were heard from, which partitions, freezes and lost messages may delay.  */
static void
check_rolled_back (struct sim *sim)
{
  struct node *node = &sim->nodes[sim->rolled_back];
  const char *reason = marjoram_keeper_no_vote_reason (node->keeper);

  if (marjoram_keeper_votes (node->keeper))
    checks_fail (sim->checks, "%s votes with a rolled-back store", node->slot);
  if (reason && strstr (reason, "older copy"))
    {
      sim->rolled_back = -1;
      lose_disk (sim, node);
    }
  else if (sim->now > sim->rolled_back_at + DETECT_MS)
    checks_fail (sim->checks, "%s does not report the rollback", node->slot);
}

static struct node *
running_node (struct sim *sim)
{
  for (int tries = 0; tries < 20; tries++)
    {
      struct node *node = &sim->nodes[below (sim, SIM_KEEPERS)];

      if (node->keeper && node->frozen_until <= sim->now)
        return node;
    }
  return NULL;
}

/* The same text is extended in the same way, since a resend must not change
   it.  */
static void
enlarge (struct sim *sim, struct marjoram_file *file)
{
  uint64_t seed = XXH3_64bits (file->text, strlen (file->text));
  marjoram_random *random;
  size_t size;

  if (!sim->large)
    return;
  random = marjoram_random_create (seed);
  size = (size_t)snprintf (sim->text, sizeof sim->text, "%s ", file->text);
  while (size < LARGE_TEXT)
    sim->text[size++] = (char)('A' + marjoram_random_below (random, 26));
  sim->text[size] = '\0';
  file->text = sim->text;
  marjoram_random_destroy (random);
}

static void
make_change (struct sim *sim)
{
  struct node *node = running_node (sim);
  bool resend = chance (sim, 35);
  struct marjoram_file file;
  uint64_t request;
  const char *id;

  if (!node)
    return;
  request = checks_pick_change (sim->checks, sim->random, resend, &file, &id);
  sim->counts.resent += resend;
  enlarge (sim, &file);
  marjoram_keeper_apply (node->keeper, sim->now, request, id, &file);
}

static void
make_read (struct sim *sim)
{
  struct node *node = running_node (sim);
  uint64_t request = READ_REQUEST + ++sim->reads;

  if (!node)
    return;
  sim->read_floor[request % READS_KEPT] = checks_answered_number (sim->checks);
  marjoram_keeper_read (node->keeper, sim->now, request);
}

/* The new slot is picked once for each change id.  */
static void
pick_repair (struct sim *sim)
{
  snprintf (sim->repair_id, sizeof sim->repair_id, "repair-%d", sim->repairs);
  sim->repair_slot = sim->nodes[sim->lost].slot;
  if (sim->repairs % 2 == 0)
    return;
  for (int i = 0; i < SIM_KEEPERS; i++)
    if (!checks_is_member (sim->checks, sim->nodes[i].slot))
      sim->repair_slot = sim->nodes[i].slot;
}

static void
request_repair (struct sim *sim)
{
  struct node *node = running_node (sim);

  if (sim->refused_number
      && checks_is_removed (sim->checks, sim->refused_number, sim->lost_slot))
    sim->lost = -1; /* it was not a member */
  if (!node || sim->lost < 0)
    return;
  if (!sim->repair_slot)
    pick_repair (sim);
  marjoram_keeper_replace (node->keeper, sim->now, repair_request (sim),
                           sim->repair_id, sim->lost_slot, sim->repair_slot);
}

static void
tick (struct sim *sim, struct node *node)
{
  const struct marjoram_state *state;

  marjoram_keeper_tick (node->keeper, sim->now);
  schedule (sim, TICK_MS, EVENT_TICK, node->index);
  state = marjoram_keeper_durable_state (node->keeper);
  if (!state)
    return;
  if (state->number < node->highest_read)
    checks_fail (sim->checks, "%s went back from state %llu to state %llu",
                 node->slot, (unsigned long long)node->highest_read,
                 (unsigned long long)state->number);
  node->highest_read = state->number;
}

static void
finish_write (struct sim *sim, struct node *node, const struct event *event)
{
  if (node->record && chance (sim, 20))
    {
      marjoram_bytes_release (node->older_record);
      node->older_record = marjoram_bytes_retain (node->record);
    }
  marjoram_bytes_release (node->record);
  node->record = node->writing;
  node->writing = NULL;
  marjoram_keeper_persisted (node->keeper, sim->now, event->ticket, true);
}

/* Returns false if the event was deferred because the node is frozen.  */
static bool
run_node_event (struct sim *sim, struct event *event)
{
  struct node *node = &sim->nodes[event->node];

  if (event->kind == EVENT_RESTART)
    {
      if (!node->keeper)
        start_node (sim, node);
      return true;
    }
  if (!node->keeper
      || (event->kind != EVENT_MESSAGE
          && event->generation != node->generation))
    return true;
  if (node->frozen_until > sim->now)
    {
      event->at = node->frozen_until;
      return false;
    }
  if (event->kind == EVENT_TICK)
    tick (sim, node);
  else if (event->kind == EVENT_MESSAGE)
    marjoram_keeper_receive (node->keeper, sim->now,
                             sim->nodes[event->from].slot, event->message);
  else
    finish_write (sim, node, event);
  return true;
}

static void
run_sim_event (struct sim *sim, const struct event *event)
{
  switch (event->kind)
    {
    case EVENT_HEAL_PARTITION:
      memset (sim->partitioned, 0, sizeof sim->partitioned);
      break;
    case EVENT_FAULT:
      if (sim->healed)
        break;
      inject_fault (sim);
      schedule (sim, below (sim, 2 * FAULT_EVERY_MS), EVENT_FAULT, -1);
      break;
    case EVENT_CHANGE:
      if (sim->healed)
        break;
      make_change (sim);
      schedule (sim, below (sim, 2 * CHANGE_EVERY_MS), EVENT_CHANGE, -1);
      break;
    case EVENT_READ:
      make_read (sim);
      schedule (sim, READ_EVERY_MS, EVENT_READ, -1);
      break;
    default:
      if (sim->rolled_back >= 0 && sim->nodes[sim->rolled_back].keeper)
        check_rolled_back (sim);
      else if (sim->lost >= 0)
        request_repair (sim);
      schedule (sim, REPAIR_EVERY_MS, EVENT_REPAIR, -1);
      break;
    }
}

static void
requeue_event (struct sim *sim, struct event *event)
{
  struct event *place;

  TAILQ_FOREACH (place, &sim->events, link)
  if (place->at > event->at)
    break;
  if (place)
    TAILQ_INSERT_BEFORE (place, event, link);
  else
    TAILQ_INSERT_TAIL (&sim->events, event, link);
}

static struct event *
take_event (struct sim *sim, int64_t end)
{
  struct event *event = TAILQ_FIRST (&sim->events);

  if (!event || event->at > end || sim_violation (sim)[0])
    return NULL;
  TAILQ_REMOVE (&sim->events, event, link);
  return event;
}

static void
run_until (struct sim *sim, int64_t end)
{
  struct event *event;

  while ((event = take_event (sim, end)) != NULL)
    {
      bool done = true;

      sim->now = event->at;
      if (event->node >= 0)
        done = run_node_event (sim, event);
      else
        run_sim_event (sim, event);
      if (done)
        recycle_event (sim, event);
      else
        requeue_event (sim, event);
    }
  sim->now = end;
}

static void
heal (struct sim *sim)
{
  sim->healed = true;
  sim->loss = 0;
  memset (sim->partitioned, 0, sizeof sim->partitioned);
  for (int i = 0; i < SIM_KEEPERS; i++)
    sim->nodes[i].frozen_until = 0;
}

/* Submits a last change and resends it until its outcome is known.  */
static void
run_last_change (struct sim *sim)
{
  int64_t end = sim->now + HEALED_MS;
  struct marjoram_file file;
  const char *id;
  uint64_t request
      = checks_pick_change (sim->checks, sim->random, false, &file, &id);

  enlarge (sim, &file);
  while (sim->now < end && !sim_violation (sim)[0]
         && (!checks_is_decided (sim->checks, request) || sim->lost >= 0
             || sim->rolled_back >= 0))
    {
      struct node *node = running_node (sim);

      if (node && !checks_is_decided (sim->checks, request))
        marjoram_keeper_apply (node->keeper, sim->now, request, id, &file);
      run_until (sim, sim->now + SETTLE_MS);
    }
  if (!checks_is_decided (sim->checks, request))
    checks_fail (sim->checks, "no change is accepted after recovery");
  if (sim->lost >= 0)
    checks_fail (sim->checks, "the repair did not complete after recovery");
}

static void
check_end (struct sim *sim)
{
  for (int i = 0; i < SIM_KEEPERS; i++)
    checks_end (sim->checks, sim->nodes[i].slot,
                sim->nodes[i].keeper
                    ? marjoram_keeper_durable_state (sim->nodes[i].keeper)
                    : NULL);
}

/* Earlier requests may still be decided.  */
static void
run_until_quiet (struct sim *sim)
{
  uint64_t number;

  do
    {
      number = checks_number (sim->checks);
      run_until (sim, sim->now + SETTLE_MS);
    }
  while (number < checks_number (sim->checks) && !sim_violation (sim)[0]);
}

void
sim_run (struct sim *sim)
{
  run_until (sim, FAULTS_MS);
  heal (sim);
  run_until (sim, sim->now + SETTLE_MS);
  run_last_change (sim);
  run_until_quiet (sim);
  if (!sim_violation (sim)[0])
    check_end (sim);
}

struct sim *
sim_create (uint64_t seed)
{
  struct sim *sim = marjoram_alloc (sizeof *sim);

  TAILQ_INIT (&sim->events);
  TAILQ_INIT (&sim->spare);
  sim->random = marjoram_random_create (seed);
  sim->checks = checks_create ();
  sim->loss = below (sim, 3) * 8;
  sim->lost = -1;
  sim->rolled_back = -1;
  for (int i = 0; i < SIM_KEEPERS; i++)
    {
      struct node *node = &sim->nodes[i];

      node->sim = sim;
      node->index = i;
      snprintf (node->slot, sizeof node->slot, "k%d", i);
      node->random = marjoram_random_create (seed * SIM_KEEPERS + (uint64_t)i);
      new_store (sim, node);
      start_node (sim, node);
    }
  schedule (sim, 1000, EVENT_FAULT, -1);
  schedule (sim, 1000, EVENT_CHANGE, -1);
  schedule (sim, REPAIR_EVERY_MS, EVENT_REPAIR, -1);
  return sim;
}

void
sim_use_large_texts (struct sim *sim)
{
  sim->large = true;
}

void
sim_enable_reads (struct sim *sim)
{
  schedule (sim, READ_EVERY_MS, EVENT_READ, -1);
}

void
sim_destroy (struct sim *sim)
{
  free_events (&sim->events);
  free_events (&sim->spare);
  for (int i = 0; i < SIM_KEEPERS; i++)
    {
      struct node *node = &sim->nodes[i];

      marjoram_keeper_destroy (node->keeper);
      marjoram_random_destroy (node->random);
      marjoram_bytes_release (node->record);
      marjoram_bytes_release (node->writing);
      marjoram_bytes_release (node->older_record);
    }
  checks_destroy (sim->checks);
  marjoram_random_destroy (sim->random);
  free (sim);
}

const char *
sim_violation (const struct sim *sim)
{
  return checks_violation (sim->checks);
}

const struct sim_counts *
sim_counts (const struct sim *sim)
{
  return &sim->counts;
}
