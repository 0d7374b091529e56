/* Distribution of the state to many hosts, each linked to the hosts of its
   zone and to one host of each other zone, with message loss and restarts.  */
#include "suite.h"

#include "cleanup.h"
#include "compress.h"
#include "frame.h"
#include "random.h"
#include "state_gossip.h"
#include "state_packed.h"

#include <stdio.h>
#include <string.h>

enum
{
  ZONES = 6,
  ZONE_HOSTS = 12,
  HOSTS = ZONES * ZONE_HOSTS,
  PACKETS_MAX = 1 << 15,
  STEP_MS = 5,
  ZONE_LATENCY_MS = 5,
  CROSS_ZONE_LATENCY_MS = 50,
  HEARTBEAT_MS = 1000,
  SEEDS = 9,
  /* Size of a message without its piece, including frame overhead.  */
  MESSAGE_SIZE = 64,
  SLOW_BYTES_PER_MS = 40,
  /* Takes three seconds on a slow link.  */
  LARGE_TEXT = 3000 * SLOW_BYTES_PER_MS
};

enum packet_kind
{
  PACKET_NUMBER,
  PACKET_ASK,
  PACKET_PIECE
};

struct packet
{
  int64_t at;
  uint64_t number;
  struct marjoram_state_ask ask;
  marjoram_bytes *bytes;
  enum packet_kind kind;
  int from, to;
};

struct world;

struct host
{
  struct world *world;
  int index;
  char slot[16];
  marjoram_state_gossip *gossip;
  int64_t heartbeat_at;
  uint64_t adopted_number;
  bool partitioned;
  int64_t bytes_per_ms;    /* inbound capacity of its link; 0: unlimited */
  int64_t link_idle_at;    /* arrival of the last message in transit */
  int64_t longest_wait_ms; /* in the queue of the link */
  size_t received;         /* bytes of pieces */
};

struct world
{
  struct host hosts[HOSTS];
  struct packet packets[PACKETS_MAX];
  size_t packet_count;
  int64_t now;
  uint32_t loss; /* percent */
  marjoram_random *random;
  size_t pieces_sent;
  size_t bytes_sent;
};

static bool
linked (const struct host *a, const struct host *b)
{
  if (a->index / ZONE_HOSTS == b->index / ZONE_HOSTS)
    return a != b;
  return a->index % ZONE_HOSTS == b->index % ZONE_HOSTS;
}

/* Returns the arrival time of a message of SIZE bytes that reaches the link of
   HOST at AT.  */
static int64_t
transmit (struct host *host, int64_t at, size_t size)
{
  int64_t start_at = host->link_idle_at > at ? host->link_idle_at : at;

  if (host->bytes_per_ms == 0)
    return at;
  if (start_at - at > host->longest_wait_ms)
    host->longest_wait_ms = start_at - at;
  host->link_idle_at = start_at + (int64_t)size / host->bytes_per_ms;
  return host->link_idle_at;
}

static void
send (struct host *from, struct host *to, struct packet packet)
{
  size_t size = marjoram_bytes_size (packet.bytes);
  struct world *world = from->world;
  bool same_zone = from->index / ZONE_HOSTS == to->index / ZONE_HOSTS;

  if (!linked (from, to)
      || (!same_zone && (from->partitioned || to->partitioned))
      || marjoram_random_below (world->random, 100) < world->loss)
    {
      marjoram_bytes_release (packet.bytes);
      return;
    }
  to->received += size;
  packet.at = transmit (
      to, world->now + (same_zone ? ZONE_LATENCY_MS : CROSS_ZONE_LATENCY_MS),
      size + MESSAGE_SIZE);
  packet.from = from->index;
  packet.to = to->index;
  ck_assert_uint_lt (world->packet_count, PACKETS_MAX);
  world->packets[world->packet_count++] = packet;
}

static struct host *
find (struct host *host, const char *slot)
{
  for (int i = 0; i < HOSTS; i++)
    if (strcmp (host->world->hosts[i].slot, slot) == 0)
      return &host->world->hosts[i];
  return NULL;
}

static void
announce (struct host *host)
{
  const struct marjoram_state *state
      = marjoram_state_gossip_state (host->gossip);

  for (int i = 0; i < HOSTS; i++)
    send (host, &host->world->hosts[i],
          (struct packet){ .kind = PACKET_NUMBER,
                           .number = state ? state->number : 0 });
}

static void
on_ask (void *context, const char *slot, const struct marjoram_state_ask *ask)
{
  struct host *host = context;

  send (host, find (host, slot),
        (struct packet){ .kind = PACKET_ASK, .ask = *ask });
}

static void
on_piece (void *context, const char *slot,
          const struct marjoram_state_piece *piece)
{
  struct host *host = context;
  marjoram_bytes *bytes
      = marjoram_wire_pack (&marjoram_state_piece_layout, piece);

  host->world->pieces_sent++;
  host->world->bytes_sent += marjoram_bytes_size (bytes);
  send (host, find (host, slot),
        (struct packet){ .kind = PACKET_PIECE, .bytes = bytes });
}

static void
on_adopted (void *context, const struct marjoram_state *state)
{
  struct host *host = context;

  ck_assert_uint_gt (state->number, host->adopted_number);
  host->adopted_number = state->number;
  announce (host);
}

static const struct marjoram_state_gossip_ops ops
    = { on_ask, on_piece, on_adopted };

static void
start (struct host *host)
{
  static const char *const keepers[] = { "h0", "h12", "h24" };
  const struct marjoram_state_gossip_options options = { keepers, 3 };

  host->gossip
      = marjoram_state_gossip_create (&options, &ops, host, host->world->now);
  host->adopted_number = 0;
}

static void
deliver_piece (struct host *host, const char *from, marjoram_bytes *bytes)
{
  struct marjoram_state_piece *piece = marjoram_wire_unpack (
      &marjoram_state_piece_layout, marjoram_bytes_data (bytes),
      marjoram_bytes_size (bytes), NULL);

  ck_assert_ptr_nonnull (piece);
  marjoram_state_gossip_receive_piece (host->gossip, host->world->now, from,
                                       piece);
  marjoram_wire_destroy (&marjoram_state_piece_layout, piece);
}

static void
deliver (struct world *world, struct packet *packet)
{
  struct host *host = &world->hosts[packet->to];
  const char *from = world->hosts[packet->from].slot;

  if (packet->kind == PACKET_NUMBER)
    marjoram_state_gossip_announced (host->gossip, world->now, from,
                                     packet->number);
  else if (packet->kind == PACKET_PIECE)
    deliver_piece (host, from, packet->bytes);
  else
    marjoram_state_gossip_receive_ask (host->gossip, world->now, from,
                                       &packet->ask);
  marjoram_bytes_release (packet->bytes);
}

static void
deliver_due (struct world *world)
{
  size_t kept = 0, count = world->packet_count;
  static struct packet due[PACKETS_MAX];
  size_t due_count = 0;

  for (size_t i = 0; i < count; i++)
    if (world->packets[i].at <= world->now)
      due[due_count++] = world->packets[i];
    else
      world->packets[kept++] = world->packets[i];
  world->packet_count = kept;
  for (size_t i = 0; i < due_count; i++)
    deliver (world, &due[i]);
}

static void
run (struct world *world, int64_t ms)
{
  for (int64_t end = world->now + ms; world->now < end; world->now += STEP_MS)
    {
      deliver_due (world);
      for (int i = 0; i < HOSTS; i++)
        {
          struct host *host = &world->hosts[i];

          marjoram_state_gossip_tick (host->gossip, world->now);
          if (world->now < host->heartbeat_at)
            continue;
          host->heartbeat_at = world->now + HEARTBEAT_MS;
          announce (host);
        }
    }
}

static struct world *
make_world (uint64_t seed, uint32_t loss)
{
  struct world *world = marjoram_alloc (sizeof *world);

  world->random = marjoram_random_create (seed);
  world->loss = loss;
  for (int i = 0; i < HOSTS; i++)
    {
      struct host *host = &world->hosts[i];

      host->world = world;
      host->index = i;
      host->heartbeat_at = marjoram_random_below (world->random, HEARTBEAT_MS);
      snprintf (host->slot, sizeof host->slot, "h%d", i);
      start (host);
    }
  return world;
}

static void
destroy_world (struct world *world)
{
  for (size_t i = 0; i < world->packet_count; i++)
    marjoram_bytes_release (world->packets[i].bytes);
  for (int i = 0; i < HOSTS; i++)
    marjoram_state_gossip_destroy (world->hosts[i].gossip);
  marjoram_random_destroy (world->random);
  free (world);
}

static struct marjoram_state *
make_state (uint64_t number)
{
  const char *const texts[] = { "same in all", "changes" };
  struct marjoram_state *state = marjoram_state_copy (NULL);
  struct marjoram_change change = { .id = (char *)"id", .number = number };

  state->number = number;
  for (int i = 0; i < 2; i++)
    {
      char name[16], text[64];
      struct marjoram_file file = { name, number, NULL, text };

      snprintf (name, sizeof name, "%d.ini", i);
      snprintf (text, sizeof text, "%s %d", texts[i], i ? (int)number : 0);
      file.digest = marjoram_digest (text, strlen (text));
      marjoram_state_set_file (state, &file);
      free (file.digest);
    }
  marjoram_state_add_change (state, &change);
  marjoram_voters_add (&state->members, "h0", "s0");
  marjoram_voters_add (&state->members, "h12", "s12");
  marjoram_voters_add (&state->members, "h24", "s24");
  return state;
}

static void
choose (struct world *world, int index, uint64_t number)
{
  struct marjoram_state *state = make_state (number);

  marjoram_state_gossip_set_local (world->hosts[index].gossip, world->now,
                                   state);
  marjoram_state_destroy (state);
}

/* Adds to the result of make_state a large file that compresses badly and is
   the same in all states.  */
static struct marjoram_state *
make_large_state (uint64_t number)
{
  struct marjoram_state *state = make_state (number);
  marjoram_random *random = marjoram_random_create (1);
  marjoram_auto_free char *text = marjoram_alloc (LARGE_TEXT + 1);
  struct marjoram_file file = { (char *)"large", 1, NULL, text };

  for (int i = 0; i < LARGE_TEXT; i++)
    text[i] = (char)(' ' + marjoram_random_below (random, '~' - ' '));
  file.digest = marjoram_digest (text, LARGE_TEXT);
  marjoram_state_set_file (state, &file);
  free (file.digest);
  marjoram_random_destroy (random);
  return state;
}

static void
choose_large (struct world *world, int index, uint64_t number)
{
  struct marjoram_state *state = make_large_state (number);

  marjoram_state_gossip_set_local (world->hosts[index].gossip, world->now,
                                   state);
  marjoram_state_destroy (state);
}

static int
count_at (const struct world *world, uint64_t number)
{
  int count = 0;

  for (int i = 0; i < HOSTS; i++)
    count += world->hosts[i].adopted_number == number;
  return count;
}

/* Guards against slow distribution, with and without message loss, against
   repeated transfers, and, in on_adopted, against a decreasing number.  */
START_TEST (reaches_all_hosts)
{
  uint32_t loss = _i == 0 ? 0 : 10;
  int64_t limit_ms = _i == 0 ? 250 : 3000;
  struct world *world = make_world ((uint64_t)_i + 1, loss);
  int64_t start_ms;

  choose (world, 0, 1);
  run (world, 5000);
  for (uint64_t number = 2; number <= 5; number++)
    {
      world->pieces_sent = 0;
      choose (world, (int)(number % 3) * ZONE_HOSTS, number);
      start_ms = world->now;
      while (count_at (world, number) < HOSTS && world->now < start_ms + 10000)
        run (world, STEP_MS);
      printf ("seed %d: %d hosts after %lld ms, %zu pieces, %zu bytes\n", _i,
              count_at (world, number), (long long)(world->now - start_ms),
              world->pieces_sent, world->bytes_sent);
      ck_assert_int_eq (count_at (world, number), HOSTS);
      ck_assert_int_le (world->now - start_ms, limit_ms);
      ck_assert_uint_lt (world->pieces_sent, (size_t)2 * HOSTS);
    }
  destroy_world (world);
}
END_TEST

/* Guards against a restarted host that serves an older state than the rest of
   its zone.  */
START_TEST (restarted_host_serves_only_the_newest_state)
{
  struct world *world = make_world (3, 10);
  struct host *host = &world->hosts[HOSTS - 1];

  choose (world, 0, 7);
  run (world, 5000);
  marjoram_state_gossip_destroy (host->gossip);
  start (host);
  marjoram_state_gossip_announced (host->gossip, world->now, "h60", 6);
  for (int ms = 0; ms < 5000; ms += STEP_MS)
    {
      run (world, STEP_MS);
      ck_assert (!marjoram_state_gossip_ready (host->gossip)
                 || host->adopted_number == 7);
    }
  ck_assert (marjoram_state_gossip_ready (host->gossip));
  destroy_world (world);
}
END_TEST

/* Guards against a host that can't restart in a partitioned zone, and against
   a zone that misses the newest state after the partition.  */
START_TEST (partitioned_zone_serves_and_catches_up)
{
  struct world *world = make_world (4, 0);
  struct host *host = &world->hosts[HOSTS - 1];

  choose (world, 0, 1);
  run (world, 5000);
  for (int i = HOSTS - ZONE_HOSTS; i < HOSTS; i++)
    world->hosts[i].partitioned = true;
  choose (world, 0, 2);
  run (world, 2000);
  ck_assert_int_eq (count_at (world, 2), HOSTS - ZONE_HOSTS);
  marjoram_state_gossip_destroy (host->gossip);
  start (host);
  run (world, 1000);
  ck_assert (!marjoram_state_gossip_ready (host->gossip));
  run (world, 3000);
  ck_assert (marjoram_state_gossip_ready (host->gossip));
  ck_assert_uint_eq (host->adopted_number, 1);
  for (int i = 0; i < HOSTS; i++)
    world->hosts[i].partitioned = false;
  run (world, 2000);
  ck_assert_int_eq (count_at (world, 2), HOSTS);
  destroy_world (world);
}
END_TEST

static int64_t
run_until (struct world *world, const struct host *host, uint64_t number,
           int64_t limit_ms)
{
  int64_t start_ms = world->now;

  while (host->adopted_number < number && world->now < start_ms + limit_ms)
    run (world, STEP_MS);
  return world->now - start_ms;
}

static struct host *
make_slow (struct world *world)
{
  struct host *host = &world->hosts[HOSTS - 1];

  host->bytes_per_ms = SLOW_BYTES_PER_MS;
  return host;
}

static void
report (const char *what, const struct host *host, int64_t elapsed_ms)
{
  printf ("%s: %lld ms, %zu bytes, longest wait %lld ms\n", what,
          (long long)elapsed_ms, host->received,
          (long long)host->longest_wait_ms);
  /* A failed check would discard buffered output.  */
  fflush (stdout);
}

/* Guards against congestion of a slow link by repeated requests for a state
   that is still in transit.  */
START_TEST (slow_host_gets_a_large_state_once)
{
  struct world *world = make_world (5, 0);
  struct host *host = make_slow (world);
  int64_t elapsed_ms;

  choose (world, 0, 1);
  run (world, 5000);
  host->received = 0;
  choose_large (world, 0, 2);
  elapsed_ms = run_until (world, host, 2, 20000);
  run (world, 5000);
  report ("large state", host, elapsed_ms);
  ck_assert_uint_eq (host->adopted_number, 2);
  ck_assert_int_lt (elapsed_ms, 10000);
  ck_assert_uint_lt (host->received, LARGE_TEXT + LARGE_TEXT / 10);
  ck_assert_int_lt (host->longest_wait_ms, 1000);
  destroy_world (world);
}
END_TEST

/* Guards against more than two transfers of a large state while small changes
   follow it.  */
START_TEST (slow_host_keeps_up_with_changes)
{
  struct world *world = make_world (6, 0);
  struct host *host = make_slow (world);
  int64_t elapsed_ms;

  choose (world, 0, 1);
  run (world, 5000);
  host->received = 0;
  for (uint64_t number = 2; number <= 9; number++)
    {
      choose_large (world, 0, number);
      run (world, 500);
    }
  elapsed_ms = run_until (world, host, 9, 20000);
  report ("large state with changes", host, elapsed_ms);
  ck_assert_uint_eq (host->adopted_number, 9);
  ck_assert_uint_lt (host->received, 2 * LARGE_TEXT + LARGE_TEXT / 10);
  ck_assert_int_lt (host->longest_wait_ms, 1000);
  destroy_world (world);
}
END_TEST

struct record
{
  struct marjoram_state_ask ask; /* the last */
  int asks;
  marjoram_bytes *piece; /* the last, packed */
  uint64_t adopted;
};

static void
record_ask (void *context, const char *slot,
            const struct marjoram_state_ask *ask)
{
  struct record *record = context;

  (void)slot;
  record->ask = *ask;
  record->asks++;
}

static void
record_piece (void *context, const char *slot,
              const struct marjoram_state_piece *piece)
{
  struct record *record = context;

  (void)slot;
  marjoram_bytes_release (record->piece);
  record->piece = marjoram_wire_pack (&marjoram_state_piece_layout, piece);
}

static void
record_adopted (void *context, const struct marjoram_state *state)
{
  struct record *record = context;

  record->adopted = state->number;
}

static const struct marjoram_state_gossip_ops recording_ops
    = { record_ask, record_piece, record_adopted };
static const struct marjoram_state_gossip_options no_keepers = { NULL, 0 };

/* Delivers STATE in one piece as if a host sent it with the number NUMBER.  */
static void
inject_state (marjoram_state_gossip *gossip, int64_t now, uint64_t number,
              const struct marjoram_state *state)
{
  struct marjoram_packed_state packed = marjoram_packed_state_make (state);
  struct marjoram_state_piece piece = { .number = number };

  piece.bytes = marjoram_compress (packed.bytes, NULL);
  piece.size = marjoram_bytes_size (piece.bytes);
  marjoram_state_gossip_announced (gossip, now, "a", number);
  marjoram_state_gossip_receive_piece (gossip, now, "a", &piece);
  marjoram_bytes_release (piece.bytes);
  marjoram_packed_state_clear (&packed);
}

/* Decodes the last piece as a delta against BASE; null if it is none.  */
static struct marjoram_state *
decode_piece (const struct record *record, const struct marjoram_state *base)
{
  struct marjoram_packed_state packed = marjoram_packed_state_make (base);
  struct marjoram_state_piece *piece = marjoram_wire_unpack (
      &marjoram_state_piece_layout, marjoram_bytes_data (record->piece),
      marjoram_bytes_size (record->piece), NULL);
  marjoram_bytes *bytes = marjoram_decompress (piece->bytes, packed.bytes,
                                               MARJORAM_STATE_MAX, NULL);
  struct marjoram_state *state = NULL;

  marjoram_packed_state_clear (&packed);
  if (piece->base == base->number && bytes)
    packed = marjoram_packed_state_read (bytes, &state, NULL);
  marjoram_packed_state_clear (&packed);
  marjoram_wire_destroy (&marjoram_state_piece_layout, piece);
  return state;
}

/* Guards against sending unchanged files or the results of changes.  */
START_TEST (sends_only_the_delta)
{
  struct record record = { 0 };
  struct marjoram_state *old = make_large_state (1);
  struct marjoram_state *new = make_large_state (2);
  struct marjoram_state *received;
  marjoram_state_gossip *a
      = marjoram_state_gossip_create (&no_keepers, &recording_ops, &record, 0);
  marjoram_state_gossip *b
      = marjoram_state_gossip_create (&no_keepers, &recording_ops, &record, 0);

  marjoram_state_gossip_set_local (a, 0, old);
  marjoram_state_gossip_set_local (a, 0, new);
  marjoram_state_gossip_set_local (b, 0, old);
  marjoram_state_gossip_announced (b, 0, "a", 2);
  ck_assert_int_eq (record.asks, 1);
  marjoram_state_gossip_receive_ask (a, 0, "b", &record.ask);
  ck_assert_uint_lt (marjoram_bytes_size (record.piece), 1000);
  received = decode_piece (&record, old);
  ck_assert_ptr_nonnull (received);
  ck_assert_uint_eq (received->number, 2);
  ck_assert_uint_eq (received->files.count, 3);
  ck_assert_uint_eq (received->changes.count, 0);
  ck_assert_uint_gt (new->changes.count, 0);

  marjoram_bytes_release (record.piece);
  marjoram_state_gossip_destroy (a);
  marjoram_state_gossip_destroy (b);
  marjoram_state_destroy (old);
  marjoram_state_destroy (new);
  marjoram_state_destroy (received);
}
END_TEST

/* Guards against accepting a file with a wrong digest or without text, or a
   state with a lower number; the request after a rejection is for a full
   transfer.  */
START_TEST (rejects_invalid_states)
{
  struct record record = { 0 };
  struct marjoram_state *old = make_state (1), *new = make_state (2);
  struct marjoram_state *faulty = make_state (2);
  struct marjoram_file *files = faulty->files.items;
  marjoram_state_gossip *b
      = marjoram_state_gossip_create (&no_keepers, &recording_ops, &record, 0);

  files[1].text[0] ^= 1;
  inject_state (b, 0, 2, faulty);
  ck_assert_uint_eq (record.adopted, 0);
  marjoram_state_gossip_set_local (b, 0, old);
  inject_state (b, 1000, 2, faulty);
  ck_assert_uint_eq (record.adopted, 1);
  free (files[0].text);
  files[0].text = NULL;
  files[1].text[0] ^= 1;
  inject_state (b, 10000, 2, faulty);
  ck_assert_uint_eq (record.adopted, 1);
  ck_assert_int_eq (record.asks, 3);
  ck_assert_uint_eq (record.ask.base, 0);
  inject_state (b, 20000, 2, new);
  ck_assert_uint_eq (record.adopted, 2);
  inject_state (b, 30000, 3, old); /* a lower number than claimed */
  ck_assert_int_eq (record.asks, 5);
  ck_assert_uint_eq (marjoram_state_gossip_state (b)->number, 2);
  ck_assert_uint_eq (record.adopted, 2);

  marjoram_state_gossip_destroy (b);
  marjoram_state_destroy (old);
  marjoram_state_destroy (new);
  marjoram_state_destroy (faulty);
}
END_TEST

/* Guards against applying a delta to another state than its base.  */
START_TEST (rejects_delta_against_another_state)
{
  struct record record_a = { 0 }, record_b = { 0 };
  struct marjoram_state *first = make_state (1), *second = make_state (2);
  struct marjoram_state *third = make_state (3);
  struct marjoram_state_piece *piece;
  marjoram_state_gossip *a = marjoram_state_gossip_create (
      &no_keepers, &recording_ops, &record_a, 0);
  marjoram_state_gossip *b = marjoram_state_gossip_create (
      &no_keepers, &recording_ops, &record_b, 0);

  marjoram_state_gossip_set_local (a, 0, first);
  marjoram_state_gossip_set_local (a, 0, third);
  marjoram_state_gossip_set_local (b, 0, first);
  marjoram_state_gossip_announced (b, 0, "a", 3);
  ck_assert_uint_eq (record_b.ask.base, 1);
  marjoram_state_gossip_receive_ask (a, 0, "b", &record_b.ask);
  marjoram_state_gossip_set_local (b, 0, second);
  ck_assert_uint_eq (record_b.ask.base, 2);
  piece = marjoram_wire_unpack (&marjoram_state_piece_layout,
                                marjoram_bytes_data (record_a.piece),
                                marjoram_bytes_size (record_a.piece), NULL);
  marjoram_state_gossip_receive_piece (b, 0, "a", piece);
  ck_assert_uint_eq (record_b.adopted, 2);
  marjoram_wire_destroy (&marjoram_state_piece_layout, piece);
  marjoram_state_gossip_receive_ask (a, 0, "b", &record_b.ask);
  piece = marjoram_wire_unpack (&marjoram_state_piece_layout,
                                marjoram_bytes_data (record_a.piece),
                                marjoram_bytes_size (record_a.piece), NULL);
  marjoram_state_gossip_receive_piece (b, 0, "a", piece);
  ck_assert_uint_eq (record_b.adopted, 3);

  marjoram_wire_destroy (&marjoram_state_piece_layout, piece);
  marjoram_bytes_release (record_a.piece);
  marjoram_state_gossip_destroy (a);
  marjoram_state_gossip_destroy (b);
  marjoram_state_destroy (first);
  marjoram_state_destroy (second);
  marjoram_state_destroy (third);
}
END_TEST

/* Guards against a wait for the timeout after a disconnection, and against
   requests to disconnected peers.  */
START_TEST (another_peer_is_asked_after_disconnection)
{
  struct record record = { 0 };
  marjoram_state_gossip *gossip
      = marjoram_state_gossip_create (&no_keepers, &recording_ops, &record, 0);

  marjoram_state_gossip_announced (gossip, 0, "a", 2);
  marjoram_state_gossip_announced (gossip, 0, "b", 2);
  ck_assert_int_eq (record.asks, 1);
  marjoram_state_gossip_disconnected (gossip, 10, "a");
  ck_assert_int_eq (record.asks, 2);
  marjoram_state_gossip_disconnected (gossip, 20, "b");
  marjoram_state_gossip_tick (gossip, 5000);
  ck_assert_int_eq (record.asks, 2);
  marjoram_state_gossip_announced (gossip, 6000, "a", 2);
  ck_assert_int_eq (record.asks, 3);
  marjoram_state_gossip_destroy (gossip);
}
END_TEST

/* Guards against permanent congestion by requests repeated at a fixed
   interval.  */
START_TEST (timeout_doubles_without_response)
{
  struct record record = { 0 };
  marjoram_state_gossip *gossip
      = marjoram_state_gossip_create (&no_keepers, &recording_ops, &record, 0);

  marjoram_state_gossip_announced (gossip, 0, "a", 2);
  for (int64_t now = 0; now < 20000; now += 50)
    {
      if (now % HEARTBEAT_MS == 0)
        marjoram_state_gossip_announced (gossip, now, "a", 2);
      marjoram_state_gossip_tick (gossip, now);
    }
  /* Requested again at 0.5, 1, 1.5, 2.5, 4.5, 8.5, 12.5 and 16.5 s.  */
  ck_assert_int_le (record.asks, 9);
  ck_assert_int_ge (record.asks, 8);
  marjoram_state_gossip_destroy (gossip);
}
END_TEST

/* Guards against congestion by repeated transfers of a rejected state.  */
START_TEST (retry_delay_grows_after_rejection)
{
  struct record record = { 0 };
  struct marjoram_state *faulty = make_state (2);
  struct marjoram_file *files = faulty->files.items;
  marjoram_state_gossip *gossip
      = marjoram_state_gossip_create (&no_keepers, &recording_ops, &record, 0);

  files[1].text[0] ^= 1;
  for (int64_t now = 0; now < 16000; now += 50)
    inject_state (gossip, now, 2, faulty);
  /* Requested at 0, 0.5, 1.5, 3.5, 7.5 and 15.5 s.  */
  ck_assert_int_eq (record.asks, 6);
  ck_assert_uint_eq (record.adopted, 0);
  marjoram_state_gossip_destroy (gossip);
  marjoram_state_destroy (faulty);
}
END_TEST

/* Guards against serving an older state than an announced one, and against
   waiting forever if no host can send that.  */
START_TEST (waits_for_the_newest_announced_state)
{
  static const char *const keepers[] = { "h0", "h12", "h24" };
  const struct marjoram_state_gossip_options options = { keepers, 3 };
  struct record record = { 0 };
  struct marjoram_state *state = make_state (1);
  marjoram_state_gossip *a
      = marjoram_state_gossip_create (&options, &recording_ops, &record, 0);

  marjoram_state_gossip_announced (a, 10, "neighbour", 2);
  marjoram_state_gossip_set_local (a, 20, state);
  for (int i = 0; i < 3; i++)
    marjoram_state_gossip_announced (a, 30, keepers[i], 1);
  ck_assert (!marjoram_state_gossip_ready (a));
  marjoram_state_gossip_tick (a, 9000);
  ck_assert (!marjoram_state_gossip_ready (a));
  marjoram_state_gossip_tick (a, 10000);
  ck_assert (marjoram_state_gossip_ready (a));
  marjoram_state_gossip_destroy (a);
  marjoram_state_destroy (state);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("state_gossip");
  TCase *c = tcase_create ("state_gossip");

  tcase_set_timeout (c, 60);
  tcase_add_loop_test (c, reaches_all_hosts, 0, SEEDS);
  tcase_add_test (c, restarted_host_serves_only_the_newest_state);
  tcase_add_test (c, partitioned_zone_serves_and_catches_up);
  tcase_add_test (c, slow_host_gets_a_large_state_once);
  tcase_add_test (c, slow_host_keeps_up_with_changes);
  tcase_add_test (c, waits_for_the_newest_announced_state);
  tcase_add_test (c, sends_only_the_delta);
  tcase_add_test (c, rejects_invalid_states);
  tcase_add_test (c, rejects_delta_against_another_state);
  tcase_add_test (c, another_peer_is_asked_after_disconnection);
  tcase_add_test (c, timeout_doubles_without_response);
  tcase_add_test (c, retry_delay_grows_after_rejection);
  suite_add_tcase (s, c);
  return s;
}
