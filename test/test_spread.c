/* How a state reaches every host: many hosts in zones, with links inside a
   zone and to one host of each other zone, lost messages and restarts.  */
#include "suite.h"

#include "cleanup.h"
#include "compress.h"
#include "frame.h"
#include "random.h"
#include "spread.h"
#include "state_packed.h"

#include <stdio.h>
#include <string.h>

enum
{
  ZONES = 6,
  ZONE_HOSTS = 12,
  HOSTS = ZONES * ZONE_HOSTS,
  FLIGHTS_MAX = 1 << 15,
  STEP_MS = 5,
  NEAR_MS = 5,
  FAR_MS = 50,
  HEARTBEAT_MS = 1000,
  SEEDS = 9,
  /* A message but for the state in it, with the frame's own bytes.  */
  MESSAGE_SIZE = 64,
  /* A state that takes three seconds on a slow link.  */
  SLOW_BYTES_PER_MS = 40,
  LARGE_TEXT = 3000 * SLOW_BYTES_PER_MS
};

enum flight_kind
{
  FLIGHT_NUMBER,
  FLIGHT_ASK,
  FLIGHT_PIECE
};

struct flight
{
  int64_t at;
  uint64_t number;
  struct marjoram_state_ask ask;
  marjoram_bytes *bytes;
  enum flight_kind kind;
  int from, to;
};

struct world;

struct host
{
  struct world *world;
  int index;
  char slot[16];
  marjoram_spread *spread;
  int64_t heartbeat_at;
  uint64_t reader;
  bool cut;
  int64_t bytes_per_ms; /* of its link, for what comes to it; 0: no limit */
  int64_t link_free;    /* when the last of what is on its way has come */
  int64_t longest_wait; /* of a message, for others before it */
  size_t given;         /* bytes of states */
};

struct world
{
  struct host hosts[HOSTS];
  struct flight flights[FLIGHTS_MAX];
  size_t flight_count;
  int64_t now;
  uint32_t loss; /* percent */
  marjoram_random *random;
  size_t gives;
  size_t give_bytes;
};

static bool
linked (const struct host *a, const struct host *b)
{
  if (a->index / ZONE_HOSTS == b->index / ZONE_HOSTS)
    return a != b;
  return a->index % ZONE_HOSTS == b->index % ZONE_HOSTS;
}

/* When a message of SIZE bytes that reaches the slow link of HOST at AT has
   come.  */
static int64_t
pass_link (struct host *host, int64_t at, size_t size)
{
  int64_t begins = host->link_free > at ? host->link_free : at;

  if (host->bytes_per_ms == 0)
    return at;
  if (begins - at > host->longest_wait)
    host->longest_wait = begins - at;
  host->link_free = begins + (int64_t)size / host->bytes_per_ms;
  return host->link_free;
}

static void
send (struct host *from, struct host *to, struct flight flight)
{
  size_t size = marjoram_bytes_size (flight.bytes);
  struct world *world = from->world;
  bool near = from->index / ZONE_HOSTS == to->index / ZONE_HOSTS;

  if (!linked (from, to) || (!near && (from->cut || to->cut))
      || marjoram_random_below (world->random, 100) < world->loss)
    {
      marjoram_bytes_release (flight.bytes);
      return;
    }
  to->given += size;
  flight.at = pass_link (to, world->now + (near ? NEAR_MS : FAR_MS),
                         size + MESSAGE_SIZE);
  flight.from = from->index;
  flight.to = to->index;
  ck_assert_uint_lt (world->flight_count, FLIGHTS_MAX);
  world->flights[world->flight_count++] = flight;
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
tell (struct host *host)
{
  const struct marjoram_state *state = marjoram_spread_state (host->spread);

  for (int i = 0; i < HOSTS; i++)
    send (host, &host->world->hosts[i],
          (struct flight){ .kind = FLIGHT_NUMBER,
                           .number = state ? state->number : 0 });
}

static void
on_ask (void *context, const char *slot, const struct marjoram_state_ask *ask)
{
  struct host *host = context;

  send (host, find (host, slot),
        (struct flight){ .kind = FLIGHT_ASK, .ask = *ask });
}

static void
on_piece (void *context, const char *slot,
          const struct marjoram_state_piece *piece)
{
  struct host *host = context;
  marjoram_bytes *bytes
      = marjoram_wire_pack (&marjoram_state_piece_layout, piece);

  host->world->gives++;
  host->world->give_bytes += marjoram_bytes_size (bytes);
  send (host, find (host, slot),
        (struct flight){ .kind = FLIGHT_PIECE, .bytes = bytes });
}

static void
on_adopted (void *context, const struct marjoram_state *state)
{
  struct host *host = context;

  ck_assert_uint_gt (state->number, host->reader);
  host->reader = state->number;
  tell (host);
}

static const struct marjoram_spread_ops ops = { on_ask, on_piece, on_adopted };

static void
start (struct host *host)
{
  static const char *const keepers[] = { "h0", "h12", "h24" };
  const struct marjoram_spread_options options = { keepers, 3 };

  host->spread
      = marjoram_spread_create (&options, &ops, host, host->world->now);
  host->reader = 0;
}

static void
deliver_piece (struct host *host, const char *from, marjoram_bytes *bytes)
{
  struct marjoram_state_piece *piece = marjoram_wire_unpack (
      &marjoram_state_piece_layout, marjoram_bytes_data (bytes),
      marjoram_bytes_size (bytes), NULL);

  ck_assert_ptr_nonnull (piece);
  marjoram_spread_receive_piece (host->spread, host->world->now, from, piece);
  marjoram_wire_destroy (&marjoram_state_piece_layout, piece);
}

static void
deliver (struct world *world, struct flight *flight)
{
  struct host *host = &world->hosts[flight->to];
  const char *from = world->hosts[flight->from].slot;

  if (flight->kind == FLIGHT_NUMBER)
    marjoram_spread_heard (host->spread, world->now, from, flight->number);
  else if (flight->kind == FLIGHT_PIECE)
    deliver_piece (host, from, flight->bytes);
  else
    marjoram_spread_receive_ask (host->spread, world->now, from, &flight->ask);
  marjoram_bytes_release (flight->bytes);
}

static void
deliver_due (struct world *world)
{
  size_t kept = 0, count = world->flight_count;
  static struct flight due[FLIGHTS_MAX];
  size_t due_count = 0;

  for (size_t i = 0; i < count; i++)
    if (world->flights[i].at <= world->now)
      due[due_count++] = world->flights[i];
    else
      world->flights[kept++] = world->flights[i];
  world->flight_count = kept;
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

          marjoram_spread_tick (host->spread, world->now);
          if (world->now < host->heartbeat_at)
            continue;
          host->heartbeat_at = world->now + HEARTBEAT_MS;
          tell (host);
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
  for (size_t i = 0; i < world->flight_count; i++)
    marjoram_bytes_release (world->flights[i].bytes);
  for (int i = 0; i < HOSTS; i++)
    marjoram_spread_destroy (world->hosts[i].spread);
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

  marjoram_spread_local (world->hosts[index].spread, world->now, state);
  marjoram_state_destroy (state);
}

/* As that of make_state, with another file, large and the same in all, of a
   text that hardly compresses.  */
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

  marjoram_spread_local (world->hosts[index].spread, world->now, state);
  marjoram_state_destroy (state);
}

static int
count_at (const struct world *world, uint64_t number)
{
  int count = 0;

  for (int i = 0; i < HOSTS; i++)
    count += world->hosts[i].reader == number;
  return count;
}

/* One keeper knows a new state.  Without losses all 72 hosts have it after a
   few link times; where every tenth message is lost, after a second for each
   loss on the way, three at the most.  Each host fetches it once or little
   more, and none ever takes a lower number, which the reader in each one
   checks.  */
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
      world->gives = 0;
      choose (world, (int)(number % 3) * ZONE_HOSTS, number);
      start_ms = world->now;
      while (count_at (world, number) < HOSTS && world->now < start_ms + 10000)
        run (world, STEP_MS);
      printf ("seed %d: %d hosts after %lld ms, %zu gives, %zu bytes\n", _i,
              count_at (world, number), (long long)(world->now - start_ms),
              world->gives, world->give_bytes);
      ck_assert_int_eq (count_at (world, number), HOSTS);
      ck_assert_int_le (world->now - start_ms, limit_ms);
      ck_assert_uint_lt (world->gives, (size_t)2 * HOSTS);
    }
  destroy_world (world);
}
END_TEST

/* A host restarts empty while its zone is in force with the newest state.  It
   must not serve before it has that one, whatever it hears first.  */
START_TEST (restarted_host_serves_only_by_the_highest)
{
  struct world *world = make_world (3, 10);
  struct host *host = &world->hosts[HOSTS - 1];

  choose (world, 0, 7);
  run (world, 5000);
  marjoram_spread_destroy (host->spread);
  start (host);
  marjoram_spread_heard (host->spread, world->now, "h60", 6);
  for (int ms = 0; ms < 5000; ms += STEP_MS)
    {
      run (world, STEP_MS);
      ck_assert (!marjoram_spread_ready (host->spread) || host->reader == 7);
    }
  ck_assert (marjoram_spread_ready (host->spread));
  destroy_world (world);
}
END_TEST

/* A zone is cut off, misses a change, and one of its hosts restarts there.
   That host serves by what its zone has after a few seconds, and the zone
   catches up once the cut is over.  */
START_TEST (cut_off_zone_serves_and_catches_up)
{
  struct world *world = make_world (4, 0);
  struct host *host = &world->hosts[HOSTS - 1];

  choose (world, 0, 1);
  run (world, 5000);
  for (int i = HOSTS - ZONE_HOSTS; i < HOSTS; i++)
    world->hosts[i].cut = true;
  choose (world, 0, 2);
  run (world, 2000);
  ck_assert_int_eq (count_at (world, 2), HOSTS - ZONE_HOSTS);
  marjoram_spread_destroy (host->spread);
  start (host);
  run (world, 1000);
  ck_assert (!marjoram_spread_ready (host->spread));
  run (world, 3000);
  ck_assert (marjoram_spread_ready (host->spread));
  ck_assert_uint_eq (host->reader, 1);
  for (int i = 0; i < HOSTS; i++)
    world->hosts[i].cut = false;
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

  while (host->reader < number && world->now < start_ms + limit_ms)
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
report (const char *what, const struct host *host, int64_t took)
{
  printf ("%s: %lld ms, %zu bytes, longest wait %lld ms\n", what,
          (long long)took, host->given, (long long)host->longest_wait);
  /* Else it is lost if the test fails.  */
  fflush (stdout);
}

/* Requests failed at a host with a slow link while a large change was spread:
   the host asked again each half second although the state was still on its
   way, so that copy after copy filled the link, and what others sent waited
   behind them for longer than a link may be silent.  A state that takes three
   seconds comes once, and no message waits for more than a part of it.  */
START_TEST (slow_host_gets_a_large_state_once)
{
  struct world *world = make_world (5, 0);
  struct host *host = make_slow (world);
  int64_t took;

  choose (world, 0, 1);
  run (world, 5000);
  host->given = 0;
  choose_large (world, 0, 2);
  took = run_until (world, host, 2, 20000);
  run (world, 5000);
  report ("large state", host, took);
  ck_assert_uint_eq (host->reader, 2);
  ck_assert_int_lt (took, 10000);
  ck_assert_uint_lt (host->given, LARGE_TEXT + LARGE_TEXT / 10);
  ck_assert_int_lt (host->longest_wait, 1000);
  destroy_world (world);
}
END_TEST

/* The same while small changes follow the large one faster than it comes: the
   host still ends with the newest, after two copies at most.  */
START_TEST (slow_host_keeps_up_with_changes)
{
  struct world *world = make_world (6, 0);
  struct host *host = make_slow (world);
  int64_t took;

  choose (world, 0, 1);
  run (world, 5000);
  host->given = 0;
  for (uint64_t number = 2; number <= 9; number++)
    {
      choose_large (world, 0, number);
      run (world, 500);
    }
  took = run_until (world, host, 9, 20000);
  report ("and changes", host, took);
  ck_assert_uint_eq (host->reader, 9);
  ck_assert_uint_lt (host->given, 2 * LARGE_TEXT + LARGE_TEXT / 10);
  ck_assert_int_lt (host->longest_wait, 1000);
  destroy_world (world);
}
END_TEST

struct answer
{
  struct marjoram_state_ask ask; /* the last */
  int asks;
  marjoram_bytes *piece; /* the last, packed */
  uint64_t adopted;
};

static void
keep_ask (void *context, const char *slot,
          const struct marjoram_state_ask *ask)
{
  struct answer *answer = context;

  (void)slot;
  answer->ask = *ask;
  answer->asks++;
}

static void
keep_piece (void *context, const char *slot,
            const struct marjoram_state_piece *piece)
{
  struct answer *answer = context;

  (void)slot;
  marjoram_bytes_release (answer->piece);
  answer->piece = marjoram_wire_pack (&marjoram_state_piece_layout, piece);
}

static void
keep_adopted (void *context, const struct marjoram_state *state)
{
  struct answer *answer = context;

  answer->adopted = state->number;
}

static const struct marjoram_spread_ops kept
    = { keep_ask, keep_piece, keep_adopted };
static const struct marjoram_spread_options no_keepers = { NULL, 0 };

/* A whole state in one piece, as another host might send it as NUMBER.  */
static void
forge (marjoram_spread *spread, int64_t now, uint64_t number,
       const struct marjoram_state *state)
{
  struct marjoram_packed_state packed = marjoram_packed_state_make (state);
  struct marjoram_state_piece piece = { .number = number };

  piece.bytes = marjoram_compress (packed.bytes, NULL);
  piece.size = marjoram_bytes_size (piece.bytes);
  marjoram_spread_heard (spread, now, "a", number);
  marjoram_spread_receive_piece (spread, now, "a", &piece);
  marjoram_bytes_release (piece.bytes);
  marjoram_packed_state_clear (&packed);
}

/* What the last answer is, taken with BASE; null if it is no difference from
   that.  */
static struct marjoram_state *
read_answer (const struct answer *answer, const struct marjoram_state *base)
{
  struct marjoram_packed_state packed = marjoram_packed_state_make (base);
  struct marjoram_state_piece *piece = marjoram_wire_unpack (
      &marjoram_state_piece_layout, marjoram_bytes_data (answer->piece),
      marjoram_bytes_size (answer->piece), NULL);
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

/* Only what the asker lacks travels, and no results of changes.  */
START_TEST (gives_what_is_lacking)
{
  struct answer answer = { 0 };
  struct marjoram_state *old = make_large_state (1);
  struct marjoram_state *new = make_large_state (2);
  struct marjoram_state *given;
  marjoram_spread *a = marjoram_spread_create (&no_keepers, &kept, &answer, 0);
  marjoram_spread *b = marjoram_spread_create (&no_keepers, &kept, &answer, 0);

  marjoram_spread_local (a, 0, old);
  marjoram_spread_local (a, 0, new);
  marjoram_spread_local (b, 0, old);
  marjoram_spread_heard (b, 0, "a", 2);
  ck_assert_int_eq (answer.asks, 1);
  marjoram_spread_receive_ask (a, 0, "b", &answer.ask);
  ck_assert_uint_lt (marjoram_bytes_size (answer.piece), 1000);
  given = read_answer (&answer, old);
  ck_assert_ptr_nonnull (given);
  ck_assert_uint_eq (given->number, 2);
  ck_assert_uint_eq (given->files.count, 3);
  ck_assert_uint_eq (given->changes.count, 0);
  ck_assert_uint_gt (new->changes.count, 0);

  marjoram_bytes_release (answer.piece);
  marjoram_spread_destroy (a);
  marjoram_spread_destroy (b);
  marjoram_state_destroy (old);
  marjoram_state_destroy (new);
  marjoram_state_destroy (given);
}
END_TEST

/* A text that does not fit its digest, or that neither side has, is not taken;
   nor is a lower state under a higher number.  Nothing of a faulty state is
   taken for held: the host gets the next one whole.  */
START_TEST (checks_what_is_given)
{
  struct answer answer = { 0 };
  struct marjoram_state *old = make_state (1), *new = make_state (2);
  struct marjoram_state *faulty = make_state (2);
  struct marjoram_file *files = faulty->files.items;
  marjoram_spread *b = marjoram_spread_create (&no_keepers, &kept, &answer, 0);

  files[1].text[0] ^= 1;
  forge (b, 0, 2, faulty);
  ck_assert_uint_eq (answer.adopted, 0);
  marjoram_spread_local (b, 0, old);
  forge (b, 1000, 2, faulty);
  ck_assert_uint_eq (answer.adopted, 1);
  free (files[0].text);
  files[0].text = NULL;
  files[1].text[0] ^= 1;
  forge (b, 10000, 2, faulty);
  ck_assert_uint_eq (answer.adopted, 1);
  ck_assert_int_eq (answer.asks, 3);
  ck_assert_uint_eq (answer.ask.base, 0);
  forge (b, 20000, 2, new);
  ck_assert_uint_eq (answer.adopted, 2);
  forge (b, 30000, 3, old); /* late, and lower */
  ck_assert_int_eq (answer.asks, 5);
  ck_assert_uint_eq (marjoram_spread_state (b)->number, 2);
  ck_assert_uint_eq (answer.adopted, 2);

  marjoram_spread_destroy (b);
  marjoram_state_destroy (old);
  marjoram_state_destroy (new);
  marjoram_state_destroy (faulty);
}
END_TEST

/* A difference from a state that the host does not hold, or holds no more, is
   not taken; what it asks for next is from the one that it holds.  */
START_TEST (takes_no_difference_from_another_state)
{
  struct answer of_a = { 0 }, of_b = { 0 };
  struct marjoram_state *first = make_state (1), *second = make_state (2);
  struct marjoram_state *third = make_state (3);
  struct marjoram_state_piece *piece;
  marjoram_spread *a = marjoram_spread_create (&no_keepers, &kept, &of_a, 0);
  marjoram_spread *b = marjoram_spread_create (&no_keepers, &kept, &of_b, 0);

  marjoram_spread_local (a, 0, first);
  marjoram_spread_local (a, 0, third);
  marjoram_spread_local (b, 0, first);
  marjoram_spread_heard (b, 0, "a", 3);
  ck_assert_uint_eq (of_b.ask.base, 1);
  marjoram_spread_receive_ask (a, 0, "b", &of_b.ask);
  marjoram_spread_local (b, 0, second);
  ck_assert_uint_eq (of_b.ask.base, 2);
  piece = marjoram_wire_unpack (&marjoram_state_piece_layout,
                                marjoram_bytes_data (of_a.piece),
                                marjoram_bytes_size (of_a.piece), NULL);
  marjoram_spread_receive_piece (b, 0, "a", piece);
  ck_assert_uint_eq (of_b.adopted, 2);
  marjoram_wire_destroy (&marjoram_state_piece_layout, piece);
  marjoram_spread_receive_ask (a, 0, "b", &of_b.ask);
  piece = marjoram_wire_unpack (&marjoram_state_piece_layout,
                                marjoram_bytes_data (of_a.piece),
                                marjoram_bytes_size (of_a.piece), NULL);
  marjoram_spread_receive_piece (b, 0, "a", piece);
  ck_assert_uint_eq (of_b.adopted, 3);

  marjoram_wire_destroy (&marjoram_state_piece_layout, piece);
  marjoram_bytes_release (of_a.piece);
  marjoram_spread_destroy (a);
  marjoram_spread_destroy (b);
  marjoram_state_destroy (first);
  marjoram_state_destroy (second);
  marjoram_state_destroy (third);
}
END_TEST

/* The host that is asked is gone: another that told of the state is asked at
   once; and while the only one's link is gone, nobody.  */
START_TEST (another_is_asked_at_once_if_the_link_breaks)
{
  struct answer answer = { 0 };
  marjoram_spread *spread
      = marjoram_spread_create (&no_keepers, &kept, &answer, 0);

  marjoram_spread_heard (spread, 0, "a", 2);
  marjoram_spread_heard (spread, 0, "b", 2);
  ck_assert_int_eq (answer.asks, 1);
  marjoram_spread_lost (spread, 10, "a");
  ck_assert_int_eq (answer.asks, 2);
  marjoram_spread_lost (spread, 20, "b");
  marjoram_spread_tick (spread, 5000);
  ck_assert_int_eq (answer.asks, 2);
  marjoram_spread_heard (spread, 6000, "a", 2);
  ck_assert_int_eq (answer.asks, 3);
  marjoram_spread_destroy (spread);
}
END_TEST

/* No piece comes although the link lives, as a full one may be far behind:
   asking again by a fixed clock would fill it for good.  */
START_TEST (asks_again_after_doubled_waits)
{
  struct answer answer = { 0 };
  marjoram_spread *spread
      = marjoram_spread_create (&no_keepers, &kept, &answer, 0);

  marjoram_spread_heard (spread, 0, "a", 2);
  for (int64_t now = 0; now < 20000; now += 50)
    {
      if (now % HEARTBEAT_MS == 0)
        marjoram_spread_heard (spread, now, "a", 2);
      marjoram_spread_tick (spread, now);
    }
  /* After 0.5, 1, 1.5, 2.5, 4.5, 8.5, 12.5 and 16.5 s, or with the next tick.
   */
  ck_assert_int_le (answer.asks, 9);
  ck_assert_int_ge (answer.asks, 8);
  marjoram_spread_destroy (spread);
}
END_TEST

/* A state that can't be taken, as that of a host at fault, is not fetched
   again and again: that would fill the link too.  */
START_TEST (faulty_state_is_asked_for_ever_less_often)
{
  struct answer answer = { 0 };
  struct marjoram_state *faulty = make_state (2);
  struct marjoram_file *files = faulty->files.items;
  marjoram_spread *spread
      = marjoram_spread_create (&no_keepers, &kept, &answer, 0);

  files[1].text[0] ^= 1;
  for (int64_t now = 0; now < 16000; now += 50)
    forge (spread, now, 2, faulty);
  /* At 0, 0.5, 1.5, 3.5, 7.5 and 15.5 s.  */
  ck_assert_int_eq (answer.asks, 6);
  ck_assert_uint_eq (answer.adopted, 0);
  marjoram_spread_destroy (spread);
  marjoram_state_destroy (faulty);
}
END_TEST

/* A host starts, is given a state and hears all keepers, and one neighbour
   tells of a higher number.  Serving at once, it would go back; if nobody can
   give the higher one, it serves after ten seconds all the same.  */
START_TEST (waits_for_what_it_has_heard_of)
{
  static const char *const keepers[] = { "h0", "h12", "h24" };
  const struct marjoram_spread_options options = { keepers, 3 };
  struct answer answer = { 0 };
  struct marjoram_state *state = make_state (1);
  marjoram_spread *a = marjoram_spread_create (&options, &kept, &answer, 0);

  marjoram_spread_heard (a, 10, "neighbour", 2);
  marjoram_spread_local (a, 20, state);
  for (int i = 0; i < 3; i++)
    marjoram_spread_heard (a, 30, keepers[i], 1);
  ck_assert (!marjoram_spread_ready (a));
  marjoram_spread_tick (a, 9000);
  ck_assert (!marjoram_spread_ready (a));
  marjoram_spread_tick (a, 10000);
  ck_assert (marjoram_spread_ready (a));
  marjoram_spread_destroy (a);
  marjoram_state_destroy (state);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("spread");
  TCase *c = tcase_create ("spread");

  tcase_set_timeout (c, 60);
  tcase_add_loop_test (c, reaches_all_hosts, 0, SEEDS);
  tcase_add_test (c, restarted_host_serves_only_by_the_highest);
  tcase_add_test (c, cut_off_zone_serves_and_catches_up);
  tcase_add_test (c, slow_host_gets_a_large_state_once);
  tcase_add_test (c, slow_host_keeps_up_with_changes);
  tcase_add_test (c, waits_for_what_it_has_heard_of);
  tcase_add_test (c, gives_what_is_lacking);
  tcase_add_test (c, checks_what_is_given);
  tcase_add_test (c, takes_no_difference_from_another_state);
  tcase_add_test (c, another_is_asked_at_once_if_the_link_breaks);
  tcase_add_test (c, asks_again_after_doubled_waits);
  tcase_add_test (c, faulty_state_is_asked_for_ever_less_often);
  suite_add_tcase (s, c);
  return s;
}
