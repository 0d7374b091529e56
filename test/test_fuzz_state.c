/* Well-formed messages of the state transfer with random content, in both
   directions.  */
#include "fuzz.h"
#include "suite.h"

#include "state_fetch.h"
#include "state_sender.h"

#include <stdio.h>

enum
{
  MESSAGES = 6000,
  TICK_MS = 50,
  SEEDS = 4,
  KEEPERS = 2,
  /* Longer than any timeout for a keeper.  */
  RECOVERY_MS = 120 * 1000
};

static const char *const keepers[KEEPERS] = { "k0", "k1" };

struct world
{
  marjoram_state_sender *sender;
  marjoram_state_fetch *fetch;
  bool asked;
  char keeper[8];
  struct marjoram_state_ask ask;
  uint64_t number;
};

static void
on_ask (void *context, const char *keeper,
        const struct marjoram_state_ask *ask)
{
  struct world *world = context;

  world->asked = true;
  snprintf (world->keeper, sizeof world->keeper, "%s", keeper);
  world->ask = *ask;
}

static void
on_fetched (void *context, const struct marjoram_state *state,
            const struct marjoram_fetch_stats *facts)
{
  (void)facts;
  ((struct world *)context)->number = state->number;
}

static void
on_failed (void *context, const struct marjoram_fetch_stats *facts,
           const struct marjoram_error *err)
{
  (void)context;
  (void)facts;
  ck_assert_int_ne (err->kind, MARJORAM_ERROR_NONE);
}

static const struct marjoram_state_fetch_options options = { 2000, 8000 };

static const struct marjoram_state_fetch_ops ops
    = { .ask = on_ask, .fetched = on_fetched, .failed = on_failed };

/* Checks that the response to ASK fits into a frame.  */
static void
respond (struct world *world, int64_t now, const char *keeper,
         const struct marjoram_state_ask *ask)
{
  struct marjoram_state_piece piece = { 0 };

  if (!marjoram_state_sender_answer (world->sender, ask, &piece))
    return;
  ck_assert_uint_le (marjoram_bytes_size (piece.bytes),
                     MARJORAM_STATE_PIECE_MAX);
  if (keeper)
    marjoram_state_fetch_receive_piece (world->fetch, now, keeper, &piece);
  marjoram_wire_clear (&marjoram_state_piece_layout, &piece);
}

static void
choose (struct world *world, uint64_t number)
{
  struct marjoram_state *state = marjoram_state_copy (NULL);

  state->number = number;
  marjoram_state_sender_set (world->sender, state);
  marjoram_state_destroy (state);
}

static void
send_malformed (struct world *world, struct input *in, int64_t now)
{
  const char *keeper = keepers[below (in, KEEPERS)];
  struct marjoram_state_ask ask = { 0 };
  struct marjoram_state_news announcement = { 0 };
  struct marjoram_state_piece piece = { 0 };

  fill_message (in, &marjoram_state_ask_layout, (char *)&ask);
  respond (world, now, NULL, &ask);
  fill_message (in, &marjoram_state_news_layout, (char *)&announcement);
  marjoram_state_fetch_announced (world->fetch, now, keeper,
                                  below (in, 2) == 0, announcement.number);
  fill_message (in, &marjoram_state_piece_layout, (char *)&piece);
  if (below (in, 2) == 0)
    piece.number = world->ask.number;
  marjoram_state_fetch_receive_piece (world->fetch, now, keeper, &piece);
  marjoram_wire_clear (&marjoram_state_piece_layout, &piece);
}

/* Guards against a crash on random messages from a faulty peer, and against a
   host that can't fetch the state afterwards.  */
START_TEST (state_arrives_after_malformed_messages)
{
  static struct input in;
  struct world world = { 0 };
  int64_t now = TICK_MS;
  int64_t end;

  in.random = marjoram_random_create ((uint64_t)_i);
  world.sender = marjoram_state_sender_create ();
  world.fetch = marjoram_state_fetch_create (&options, &ops, &world);
  for (int n = 0; n < MESSAGES; n++, now += TICK_MS)
    {
      if (below (&in, 100) == 0)
        choose (&world, (uint64_t)n / 100 + 1);
      send_malformed (&world, &in, now);
      marjoram_state_fetch_tick (world.fetch, now);
    }
  choose (&world, MESSAGES);
  world.asked = false;
  for (end = now + RECOVERY_MS; now < end; now += TICK_MS)
    {
      marjoram_state_fetch_announced (world.fetch, now, "k0", true, MESSAGES);
      marjoram_state_fetch_tick (world.fetch, now);
      if (world.asked)
        {
          world.asked = false;
          respond (&world, now, world.keeper, &world.ask);
        }
    }
  ck_assert_uint_eq (world.number, MESSAGES);
  marjoram_state_fetch_destroy (world.fetch);
  marjoram_state_sender_destroy (world.sender);
  marjoram_random_destroy (in.random);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("fuzz_state");
  TCase *c = tcase_create ("fuzz_state");

  tcase_set_timeout (c, 60);
  tcase_add_loop_test (c, state_arrives_after_malformed_messages, 0, SEEDS);
  suite_add_tcase (s, c);
  return s;
}
