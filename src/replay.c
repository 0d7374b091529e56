#include "replay.h"

#include "cleanup.h"

#include <string.h>
#include <uthash.h>

struct taken
{
  char nonce[MARJORAM_NONCE_TEXT];
  int64_t until;
  UT_hash_handle hh;
};

struct marjoram_replays
{
  int64_t started;
  int64_t now;
  struct taken *taken; /* in insertion order */
};

marjoram_replays *
marjoram_replays_create (int64_t started)
{
  marjoram_replays *replays = marjoram_alloc (sizeof *replays);

  replays->started = started;
  replays->now = started;
  return replays;
}

void
marjoram_replays_destroy (marjoram_replays *replays)
{
  struct taken *taken;
  struct taken *next;

  if (!replays)
    return;
  HASH_ITER (hh, replays->taken, taken, next)
  {
    /* False positive in uthash's macros, here and below.  */
    HASH_DEL (replays->taken, taken); /* NOLINT(clang-analyzer-unix.*) */
    free (taken);
  }
  free (replays);
}

int64_t
marjoram_replays_now (marjoram_replays *replays, int64_t wall)
{
  if (wall > replays->now)
    replays->now = wall;
  return replays->now;
}

static void
forget_old (marjoram_replays *replays)
{
  struct taken *taken;
  struct taken *next;

  HASH_ITER (hh, replays->taken, taken, next)
  {
    if (taken->until >= replays->now)
      return;
    HASH_DEL (replays->taken, taken); /* NOLINT(clang-analyzer-unix.*) */
    free (taken);
  }
}

enum marjoram_replay_verdict
marjoram_replays_take (marjoram_replays *replays, int64_t wall, int64_t sent,
                       const char *nonce)
{
  int64_t now = marjoram_replays_now (replays, wall);
  struct taken *taken;

  /* Nonces are lost on a restart, so calls signed before the start are refused
     as possible replays.  */
  if (sent < replays->started || sent < now - MARJORAM_REPLAY_WINDOW_MS)
    return MARJORAM_REPLAY_OLD;
  if (sent > now + MARJORAM_REPLAY_WINDOW_MS)
    return MARJORAM_REPLAY_EARLY;
  forget_old (replays);
  /* NOLINTNEXTLINE(clang-analyzer-unix.*) */
  HASH_FIND (hh, replays->taken, nonce, MARJORAM_NONCE_TEXT, taken);
  if (taken)
    return MARJORAM_REPLAY_AGAIN;
  if (HASH_COUNT (replays->taken) >= MARJORAM_REPLAYS_MAX)
    return MARJORAM_REPLAY_FULL;
  taken = marjoram_alloc (sizeof *taken);
  memcpy (taken->nonce, nonce, sizeof taken->nonce);
  /* Calls are accepted up to one window ahead of the clock and stay valid for
     one window after that.  */
  taken->until = now + (int64_t)2 * MARJORAM_REPLAY_WINDOW_MS;
  HASH_ADD (hh, replays->taken, nonce, sizeof taken->nonce, taken);
  return MARJORAM_REPLAY_FRESH;
}

size_t
marjoram_replays_count (const marjoram_replays *replays)
{
  return HASH_COUNT (replays->taken);
}
