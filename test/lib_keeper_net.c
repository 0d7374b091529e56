#include "lib_keeper_net.h"

#include "cleanup.h"
#include "keeper_message.h"
#include "keeper_repair.h"
#include "random.h"

#include <stdio.h>
#include <string.h>
#include <sys/queue.h>

enum
{
  KEEPERS_MAX = 7,
  TICK_MS = 100,
  FAST_WRITE_MS = 5,
  FRAME_HEADER = 5,
  ROUTE_MAX = 400,
  NAME_SIZE = 32,
  REPAIR_TICK_MS = 100,
  /* One-way times until a new connection carries messages.  */
  HANDSHAKE_TRIPS = 5,
  PER_MILLE = 1000,
  /* Request numbers below are changes of the file "routes".  */
  FIRST_READ = 1 << 28,
  FIRST_OWN = 1 << 29, /* changes of each keeper's own file */
  FIRST_REGULAR = 1 << 30,
  REGULAR_READ
};

/* Request number of automatic repairs.  */
#define REPAIR_REQUEST UINT64_MAX

struct packet
{
  STAILQ_ENTRY (packet) link;
  int64_t arrives_at;
  marjoram_bytes *packed;
};

STAILQ_HEAD (packets, packet);

struct connection
{
  struct packets packets;
  int64_t opens_at; /* messages sent before are lost */
  int64_t busy_until;
  uint64_t queued_bytes;
  int large_count;
};

struct node
{
  struct keeper_net *net;
  int index;
  char slot[NAME_SIZE];
  char store_id[NAME_SIZE];
  marjoram_keeper *keeper; /* null while it is not running */
  marjoram_keeper_repair *repair;
  marjoram_host_list *hosts;
  marjoram_store_progress *progress; /* null before a start with no disk */
  int stores;
  uint64_t incarnation;
  uint64_t ticket;
  int64_t write_ms;   /* 0: as in the options */
  int64_t written_at; /* 0 if no write is pending */
  bool partitioned;
  bool stalled;
  bool muted;
  bool earlier_release;
};

struct keeper_net
{
  struct keeper_net_options options;
  int count; /* of nodes */
  struct node nodes[KEEPERS_MAX];
  struct connection connections[KEEPERS_MAX][KEEPERS_MAX];
  marjoram_random *random;
  marjoram_random *faults; /* losses, and the keepers of regular changes */
  int64_t now;
  uint64_t version;
  uint64_t reads;
  uint64_t rounds; /* of keeper_net_change_all */
  int ballots[MARJORAM_BALLOT_END_COUNT];
  uint64_t bytes;
  uint64_t peak_queued;
  uint64_t answered; /* number of the last answered request */
  bool decided;
  int accepted;       /* changes, since the last keeper_net_change_all */
  uint64_t confirmed; /* number of the last confirmation; 0 if none */
  int confirmed_by;
  bool changes_paused;
  int regular_sent;
  int regular_accepted;
};

static int64_t
loss_ms (struct keeper_net *net)
{
  return net->options.loss_per_mille
                 && marjoram_random_below (net->faults, PER_MILLE)
                        < (uint32_t)net->options.loss_per_mille
             ? KEEPER_NET_REPEAT_MS
             : 0;
}

static void
enqueue_packet (struct keeper_net *net, struct connection *connection,
                struct packet *packet)
{
  uint64_t size = marjoram_bytes_size (packet->packed) + FRAME_HEADER;
  int64_t start
      = connection->busy_until > net->now ? connection->busy_until : net->now;
  int64_t rate = net->options.bytes_per_s;

  connection->busy_until = start + (rate ? (int64_t)size * 1000 / rate : 0);
  packet->arrives_at
      = connection->busy_until + net->options.one_way_ms + loss_ms (net);
  connection->queued_bytes += size;
  if (connection->queued_bytes > net->peak_queued)
    net->peak_queued = connection->queued_bytes;
  connection->large_count += size > KEEPER_NET_LARGE;
  net->bytes += size;
  STAILQ_INSERT_TAIL (&connection->packets, packet, link);
}

static void
on_send (void *context, const char *slot,
         const struct marjoram_keeper_message *message)
{
  struct node *node = context;
  struct keeper_net *net = node->net;
  int to = slot[1] - '0';
  struct marjoram_keeper_message sent = *message;
  struct packet *packet;

  if (node->partitioned || node->muted || net->nodes[to].partitioned
      || !net->nodes[to].keeper
      || net->now < net->connections[node->index][to].opens_at
      || (net->nodes[to].earlier_release
          && message->encoding != MARJORAM_KEEPER_PLAIN))
    return;
  if (node->earlier_release)
    {
      sent.max_encoding = MARJORAM_KEEPER_PLAIN;
      sent.accepted_hash = (struct marjoram_value_hash){ 0 };
    }
  packet = marjoram_alloc (sizeof *packet);
  packet->packed = marjoram_wire_pack (&marjoram_keeper_message_layout, &sent);
  enqueue_packet (net, &net->connections[node->index][to], packet);
}

static void
on_persist (void *context, uint64_t ticket, marjoram_bytes *record)
{
  struct node *node = context;
  int64_t write_ms
      = node->write_ms ? node->write_ms : node->net->options.write_ms;

  marjoram_bytes_release (record);
  node->ticket = ticket;
  node->written_at = node->net->now + (write_ms ? write_ms : FAST_WRITE_MS);
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
  struct node *node = context;

  if (request == REPAIR_REQUEST)
    {
      if (node->repair)
        marjoram_keeper_repair_answered (node->repair);
      return;
    }
  if (request == REGULAR_READ)
    return;
  if (request == FIRST_REGULAR)
    {
      node->net->regular_accepted += answer->outcome == MARJORAM_APPLY_DECIDED;
      return;
    }
  node->net->answered = request;
  node->net->accepted += answer->outcome == MARJORAM_APPLY_DECIDED
                         && answer->result == MARJORAM_CHANGE_ACCEPTED;
  node->net->decided = answer->outcome == MARJORAM_APPLY_DECIDED
                       && (request > FIRST_READ
                           || answer->result == MARJORAM_CHANGE_ACCEPTED);
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

static void
on_confirmed (void *context, int64_t started_at, uint64_t number)
{
  struct node *node = context;

  (void)started_at;
  node->net->confirmed = number;
  node->net->confirmed_by = node->index;
}

static void
on_ballot_ended (void *context, const struct marjoram_ballot_report *report)
{
  struct node *node = context;

  node->net->ballots[report->end]++;
}

static const struct marjoram_keeper_ops ops
    = { .send = on_send,
        .persist = on_persist,
        .chosen = on_chosen,
        .answered = on_answered,
        .valid = on_valid,
        .confirmed = on_confirmed,
        .ballot_ended = on_ballot_ended };

/* With FIRST_START, the keeper is one of those that form the first state.  */
static void
start_node (struct keeper_net *net, int index, bool first_start)
{
  static const char *const first[KEEPERS_MAX]
      = { "k0", "k1", "k2", "k3", "k4", "k5", "k6" };
  struct node *node = &net->nodes[index];
  struct marjoram_keeper_options options
      = { .slot = node->slot,
          .store_id = node->store_id,
          .first = first,
          .first_count = first_start ? (size_t)net->options.keepers : 0,
          .admission_ms = net->options.repair_within_ms,
          .incarnation = ++node->incarnation };

  if (node->stores++ == 0)
    snprintf (node->store_id, sizeof node->store_id, "store-%d", index);
  else
    snprintf (node->store_id, sizeof node->store_id, "store-%d-%d", index,
              node->stores);
  node->keeper
      = marjoram_keeper_create (&options, &ops, node, net->random, NULL);
  if (net->options.losses == 0)
    return;
  node->repair = marjoram_keeper_repair_create (
      node->slot, net->options.losses, net->options.repair_within_ms);
  node->hosts = marjoram_host_list_create ();
}

static void
init_node (struct keeper_net *net, int index)
{
  struct node *node = &net->nodes[index];

  node->net = net;
  node->index = index;
  snprintf (node->slot, sizeof node->slot, "k%d", index);
  for (int to = 0; to < KEEPERS_MAX; to++)
    STAILQ_INIT (&net->connections[index][to].packets);
}

struct keeper_net *
keeper_net_create (const struct keeper_net_options *options)
{
  struct keeper_net *net = marjoram_alloc (sizeof *net);

  net->options = *options;
  net->count = options->keepers + options->spares;
  net->random = marjoram_random_create (options->seed ? options->seed : 1);
  net->faults = marjoram_random_create (options->seed + 1);
  for (int i = 0; i < net->count; i++)
    init_node (net, i);
  for (int i = 0; i < options->keepers; i++)
    start_node (net, i, true);
  return net;
}

static struct packet *
dequeue_packet (struct connection *connection)
{
  struct packet *packet = STAILQ_FIRST (&connection->packets);

  STAILQ_REMOVE_HEAD (&connection->packets, link);
  connection->queued_bytes
      -= marjoram_bytes_size (packet->packed) + FRAME_HEADER;
  return packet;
}

static void
free_packet (struct packet *packet)
{
  marjoram_bytes_release (packet->packed);
  free (packet);
}

static void
clear_connection (struct connection *connection)
{
  while (!STAILQ_EMPTY (&connection->packets))
    free_packet (dequeue_packet (connection));
  connection->busy_until = 0;
}

void
keeper_net_stop (struct keeper_net *net, int index)
{
  struct node *node = &net->nodes[index];

  marjoram_keeper_destroy (node->keeper);
  marjoram_keeper_repair_destroy (node->repair);
  marjoram_host_list_destroy (node->hosts);
  node->keeper = NULL;
  node->repair = NULL;
  node->hosts = NULL;
  node->written_at = 0;
  for (int other = 0; other < net->count; other++)
    {
      clear_connection (&net->connections[index][other]);
      clear_connection (&net->connections[other][index]);
    }
}

static void
open_connections (struct keeper_net *net, int index)
{
  for (int other = 0; other < net->count; other++)
    {
      int64_t opens_at = net->now + HANDSHAKE_TRIPS * net->options.one_way_ms;

      for (int i = 0; i < HANDSHAKE_TRIPS; i++)
        opens_at += loss_ms (net);
      net->connections[index][other].opens_at = opens_at;
      net->connections[other][index].opens_at = opens_at;
    }
}

void
keeper_net_start_empty (struct keeper_net *net, int index)
{
  struct node *node = &net->nodes[index];

  start_node (net, index, false);
  marjoram_store_progress_destroy (node->progress);
  node->progress = marjoram_store_progress_create (net->now);
  open_connections (net, index);
}

void
keeper_net_set_write_ms (struct keeper_net *net, int index, int64_t ms)
{
  net->nodes[index].write_ms = ms;
}

void
keeper_net_replace (struct keeper_net *net, int at, int old, int new)
{
  char id[NAME_SIZE];

  snprintf (id, sizeof id, "replace-%d-%d", old, new);
  marjoram_keeper_replace (net->nodes[at].keeper, net->now, REPAIR_REQUEST, id,
                           net->nodes[old].slot, net->nodes[new].slot);
}

int64_t
keeper_net_step_ms (const struct keeper_net *net, int index,
                    enum marjoram_store_step step)
{
  return marjoram_store_progress_ms (net->nodes[index].progress, step);
}

int
keeper_net_changes_sent (const struct keeper_net *net)
{
  return net->regular_sent;
}

int
keeper_net_changes_accepted (const struct keeper_net *net)
{
  return net->regular_accepted;
}

void
keeper_net_pause_changes (struct keeper_net *net, bool paused)
{
  net->changes_paused = paused;
}

void
keeper_net_destroy (struct keeper_net *net)
{
  for (int i = 0; i < net->count; i++)
    {
      keeper_net_stop (net, i);
      marjoram_store_progress_destroy (net->nodes[i].progress);
    }
  marjoram_random_destroy (net->random);
  marjoram_random_destroy (net->faults);
  free (net);
}

static void
deliver (struct keeper_net *net, int from, int to)
{
  struct connection *connection = &net->connections[from][to];
  struct packet *packet;

  while ((packet = STAILQ_FIRST (&connection->packets))
         && packet->arrives_at <= net->now && !net->nodes[to].stalled)
    {
      struct marjoram_keeper_message *message;

      dequeue_packet (connection);
      message
          = marjoram_wire_unpack (&marjoram_keeper_message_layout,
                                  marjoram_bytes_data (packet->packed),
                                  marjoram_bytes_size (packet->packed), NULL);
      marjoram_keeper_receive (net->nodes[to].keeper, net->now,
                               net->nodes[from].slot, message);
      marjoram_wire_destroy (&marjoram_keeper_message_layout, message);
      free_packet (packet);
    }
}

static bool
is_connected (const struct keeper_net *net, int a, int b)
{
  return net->nodes[b].keeper && net->now >= net->connections[a][b].opens_at;
}

/* Tells NODE of the keepers that it is connected with.  */
static void
update_hosts (struct keeper_net *net, struct node *node)
{
  for (int i = 0; i < net->count; i++)
    {
      const struct marjoram_host_beat heartbeat
          = { .name = net->nodes[i].slot,
              .zone = (char *)"z",
              .region = (char *)"r",
              .entry = (char *)"",
              .keeper = true,
              .incarnation = net->nodes[i].incarnation,
              .sequence = (uint64_t)net->now };

      if (is_connected (net, node->index, i))
        marjoram_host_list_update (node->hosts, net->now, &heartbeat, true);
    }
}

static void
tick_repair (struct keeper_net *net, struct node *node)
{
  struct marjoram_keeper_change change;

  update_hosts (net, node);
  if (marjoram_keeper_repair_tick (node->repair, net->now, node->keeper,
                                   node->hosts, &change))
    marjoram_keeper_repair_apply (node->repair, &change, node->keeper,
                                  net->now, REPAIR_REQUEST);
}

/* Greets the keepers to which a connection has just opened.  */
static void
greet_connected (struct keeper_net *net, struct node *node)
{
  for (int i = 0; i < net->count; i++)
    if (i != node->index && net->nodes[i].keeper
        && net->connections[node->index][i].opens_at == net->now)
      marjoram_keeper_probe (node->keeper, net->now, net->nodes[i].slot);
}

static void
run_repair (struct keeper_net *net, struct node *node)
{
  if ((net->now + (int64_t)node->index * 13) % REPAIR_TICK_MS == 0)
    tick_repair (net, node);
}

static void
run_node (struct keeper_net *net, struct node *node)
{
  for (int from = 0; from < net->count; from++)
    deliver (net, from, node->index);
  if (node->written_at && node->written_at <= net->now)
    {
      node->written_at = 0;
      marjoram_keeper_persisted (node->keeper, net->now, node->ticket, true);
    }
  /* Staggers the ticks of the nodes.  */
  if ((net->now + (int64_t)node->index * 7) % TICK_MS == 0)
    marjoram_keeper_tick (node->keeper, net->now);
  greet_connected (net, node);
  if (node->repair)
    run_repair (net, node);
  if (node->progress)
    marjoram_store_progress_update (node->progress, net->now,
                                    marjoram_keeper_store_step (node->keeper));
}

static void
send_regular_change (struct keeper_net *net, int at)
{
  struct node *node = &net->nodes[at];
  char id[NAME_SIZE];
  struct marjoram_file file = { (char *)"regular", 0, NULL, (char *)"text" };

  if (!node->keeper)
    return;
  file.version = (uint64_t)++net->regular_sent;
  snprintf (id, sizeof id, "regular-%d", net->regular_sent);
  marjoram_keeper_apply (node->keeper, net->now, FIRST_REGULAR, id, &file);
}

void
keeper_net_begin_read (struct keeper_net *net, int at)
{
  if (net->nodes[at].keeper)
    marjoram_keeper_read (net->nodes[at].keeper, net->now, REGULAR_READ);
}

void
keeper_net_run (struct keeper_net *net, int64_t ms)
{
  const int64_t every_ms = net->options.change_every_ms;
  const int64_t read_ms = net->options.read_every_ms;

  for (int64_t end = net->now + ms; net->now < end;)
    {
      net->now++;
      if (every_ms && !net->changes_paused && net->now % every_ms == 0)
        send_regular_change (net, (int)marjoram_random_below (
                                      net->faults, (uint32_t)net->count));
      if (read_ms && !net->changes_paused && net->now % read_ms == 0)
        keeper_net_begin_read (net, (int)marjoram_random_below (
                                        net->faults, (uint32_t)net->count));
      for (int i = 0; i < net->count; i++)
        if (net->nodes[i].keeper)
          run_node (net, &net->nodes[i]);
    }
}

static uint64_t
routes_version (const struct marjoram_state *state)
{
  const struct marjoram_file *file = marjoram_state_file (state, "routes");

  return file ? file->version : 0;
}

static bool
is_agreed (const struct keeper_net *net)
{
  for (int i = 0; i < net->options.keepers; i++)
    {
      const struct marjoram_state *state
          = marjoram_keeper_durable_state (net->nodes[i].keeper);

      if (!state || !marjoram_keeper_votes (net->nodes[i].keeper)
          || state->number
                 != marjoram_keeper_durable_state (net->nodes[0].keeper)
                        ->number
          || routes_version (state) != net->version)
        return false;
    }
  return true;
}

bool
keeper_net_wait_agreement (struct keeper_net *net, int64_t limit_ms)
{
  int64_t end = net->now + limit_ms;

  while (!is_agreed (net) && net->now < end)
    keeper_net_run (net, 1);
  return is_agreed (net);
}

static int64_t
wait_answer (struct keeper_net *net, uint64_t request, int64_t limit_ms)
{
  int64_t start = net->now;

  while (net->answered != request && net->now < start + limit_ms)
    keeper_net_run (net, 1);
  return net->answered == request && net->decided ? net->now - start : -1;
}

int64_t
keeper_net_change (struct keeper_net *net, int at, const char *text,
                   int64_t limit_ms)
{
  char id[NAME_SIZE];
  struct marjoram_file file
      = { (char *)"routes", ++net->version, NULL, (char *)text };

  snprintf (id, sizeof id, "change-%llu", (unsigned long long)net->version);
  marjoram_keeper_apply (net->nodes[at].keeper, net->now, net->version, id,
                         &file);
  return wait_answer (net, net->version, limit_ms);
}

int64_t
keeper_net_change_all (struct keeper_net *net, int64_t limit_ms)
{
  int64_t start = net->now;

  net->accepted = 0;
  net->rounds++;
  for (int i = 0; i < net->options.keepers; i++)
    {
      char id[NAME_SIZE];
      struct marjoram_file file
          = { net->nodes[i].slot, net->rounds, NULL, (char *)"text" };

      snprintf (id, sizeof id, "%s-%llu", net->nodes[i].slot,
                (unsigned long long)net->rounds);
      marjoram_keeper_apply (net->nodes[i].keeper, net->now, FIRST_OWN, id,
                             &file);
    }
  while (net->accepted < net->options.keepers && net->now < start + limit_ms)
    keeper_net_run (net, 1);
  return net->accepted == net->options.keepers ? net->now - start : -1;
}

int64_t
keeper_net_read (struct keeper_net *net, int at, int64_t limit_ms)
{
  uint64_t request = FIRST_READ + ++net->reads;

  marjoram_keeper_read (net->nodes[at].keeper, net->now, request);
  return wait_answer (net, request, limit_ms);
}

int
keeper_net_ballots (const struct keeper_net *net, enum marjoram_ballot_end end)
{
  return net->ballots[end];
}

const struct marjoram_state *
keeper_net_state (const struct keeper_net *net, int index)
{
  return marjoram_keeper_chosen_state (net->nodes[index].keeper);
}

const struct marjoram_state *
keeper_net_durable_state (const struct keeper_net *net, int index)
{
  return marjoram_keeper_durable_state (net->nodes[index].keeper);
}

void
keeper_net_partition (struct keeper_net *net, int index, bool partitioned)
{
  net->nodes[index].partitioned = partitioned;
  if (partitioned)
    keeper_net_drop_inbound (net, index);
}

void
keeper_net_drop_inbound (struct keeper_net *net, int index)
{
  for (int from = 0; from < net->options.keepers; from++)
    clear_connection (&net->connections[from][index]);
}

void
keeper_net_mute (struct keeper_net *net, int index, bool muted)
{
  net->nodes[index].muted = muted;
}

void
keeper_net_begin_change (struct keeper_net *net, int at)
{
  send_regular_change (net, at);
}

void
keeper_net_greet (struct keeper_net *net, int index)
{
  for (int to = 0; to < net->count; to++)
    if (to != index)
      marjoram_keeper_probe (net->nodes[index].keeper, net->now,
                             net->nodes[to].slot);
}

void
keeper_net_stall (struct keeper_net *net, int index, bool stalled)
{
  net->nodes[index].stalled = stalled;
}

void
keeper_net_reset_counters (struct keeper_net *net)
{
  net->bytes = 0;
  net->peak_queued = 0;
  for (int i = 0; i < net->options.keepers; i++)
    for (int j = 0; j < net->options.keepers; j++)
      net->connections[i][j].large_count = 0;
}

void
keeper_net_set_earlier_release (struct keeper_net *net, int index)
{
  net->nodes[index].earlier_release = true;
}

uint64_t
keeper_net_bytes (const struct keeper_net *net)
{
  return net->bytes;
}

int
keeper_net_large_messages (const struct keeper_net *net, int from, int to)
{
  return net->connections[from][to].large_count;
}

uint64_t
keeper_net_peak_queued (const struct keeper_net *net)
{
  return net->peak_queued;
}

char *
keeper_net_routes (int count, int changed)
{
  size_t room = (size_t)count * ROUTE_MAX + ROUTE_MAX;
  char *text = marjoram_alloc (room);
  size_t size = 0;

  for (int i = 0; i < count; i++)
    size += (size_t)snprintf (
        text + size, room - size,
        "{\"name\":\"route-%08x\",\"path\":\"/v1/%08x/\",\"models\":"
        "[\"model-%04x\",\"model-%04x\"],\"regions\":[\"north\",\"south\"],"
        "\"owner\":\"team-%06x\",\"token\":\"%08x%08x%08x%08x\","
        "\"timeout_ms\":%d}\n",
        (unsigned)i * 2654435761U, (unsigned)i * 2246822519U,
        (unsigned)i * 40503U & 0xffff, (unsigned)i * 30011U & 0xffff,
        (unsigned)i * 97U, (unsigned)i * 3266489917U, (unsigned)i * 668265263U,
        (unsigned)i * 374761393U, (unsigned)i * 2654435769U,
        i == changed ? 500 : 4000);
  return text;
}

uint64_t
keeper_net_confirm (struct keeper_net *net, int at, int64_t limit_ms)
{
  const int64_t end = net->now + limit_ms;

  net->confirmed = 0;
  marjoram_keeper_confirm (net->nodes[at].keeper, net->now);
  while (net->now < end && (net->confirmed == 0 || net->confirmed_by != at))
    keeper_net_run (net, 1);
  return net->confirmed_by == at ? net->confirmed : 0;
}
