#include "replay.h"

#include "cleanup.h"

#include <string.h>
#include <uthash.h>

struct nonce_entry
{
  char nonce[MARJORAM_NONCE_TEXT];
  int64_t expires;
  UT_hash_handle hh;
};

struct marjoram_replays
{
  int64_t started;
  int64_t now;
  struct nonce_entry *nonces; /* in insertion order */
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
  struct nonce_entry *entry;
  struct nonce_entry *next;

  if (!replays)
    return;
  HASH_ITER (hh, replays->nonces, entry, next)
  {
    /* False positive in uthash's macros, here and below.  */
    HASH_DEL (replays->nonces, entry); /* NOLINT(clang-analyzer-unix.*) */
    free (entry);
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
expire_nonces (marjoram_replays *replays)
{
  struct nonce_entry *entry;
  struct nonce_entry *next;

  HASH_ITER (hh, replays->nonces, entry, next)
  {
    if (entry->expires >= replays->now)
      return;
    HASH_DEL (replays->nonces, entry); /* NOLINT(clang-analyzer-unix.*) */
    free (entry);
  }
}

enum marjoram_replay_verdict
marjoram_replays_check (marjoram_replays *replays, int64_t wall, int64_t sent,
                        const char *nonce)
{
  int64_t now = marjoram_replays_now (replays, wall);
  struct nonce_entry *entry;

  /* Nonces are lost on a restart, so calls signed before the start are refused
     as possible replays.  */
  if (sent < replays->started || sent < now - MARJORAM_REPLAY_WINDOW_MS)
    return MARJORAM_REPLAY_EXPIRED;
  if (sent > now + MARJORAM_REPLAY_WINDOW_MS)
    return MARJORAM_REPLAY_EARLY;
  expire_nonces (replays);
  /* NOLINTNEXTLINE(clang-analyzer-unix.*) */
  HASH_FIND (hh, replays->nonces, nonce, MARJORAM_NONCE_TEXT, entry);
  if (entry)
    return MARJORAM_REPLAY_REUSED;
  if (HASH_COUNT (replays->nonces) >= MARJORAM_REPLAYS_MAX)
    return MARJORAM_REPLAY_FULL;
  entry = marjoram_alloc (sizeof *entry);
  memcpy (entry->nonce, nonce, sizeof entry->nonce);
  /* Calls are accepted up to one window ahead of the clock and stay valid for
     one window after that.  */
  entry->expires = now + (int64_t)2 * MARJORAM_REPLAY_WINDOW_MS;
  HASH_ADD (hh, replays->nonces, nonce, sizeof entry->nonce, entry);
  return MARJORAM_REPLAY_FRESH;
}

size_t
marjoram_replays_count (const marjoram_replays *replays)
{
  return HASH_COUNT (replays->nonces);
}
