/* Replay protection: each signed call carries a timestamp and a random nonce
   and is accepted once.  A pure data structure; times are milliseconds of
   wall-clock time.  */
#ifndef MARJORAM_REPLAY_H
#define MARJORAM_REPLAY_H

#include <stddef.h>
#include <stdint.h>

typedef struct marjoram_replays marjoram_replays;

enum
{
  MARJORAM_NONCE_TEXT = 32, /* hex digits */
  MARJORAM_REPLAY_WINDOW_MS = 30 * 1000,
  MARJORAM_REPLAYS_MAX = 65536
};

enum marjoram_replay_verdict
{
  MARJORAM_REPLAY_FRESH,
  MARJORAM_REPLAY_EXPIRED, /* expired, or sent before this host started */
  MARJORAM_REPLAY_EARLY,   /* timestamp ahead of this host's clock */
  MARJORAM_REPLAY_REUSED,
  MARJORAM_REPLAY_FULL /* too many nonces stored */
};

marjoram_replays *marjoram_replays_create (int64_t started);
void marjoram_replays_destroy (marjoram_replays *replays);
/* Time reported to callers for signing.  Never goes back, since expired nonces
   would otherwise become valid again.  */
int64_t marjoram_replays_now (marjoram_replays *replays, int64_t wall);
/* Checks and stores NONCE, of MARJORAM_NONCE_TEXT characters.  To be called
   only after the signature was verified, so that unauthenticated calls cannot
   fill the memory.  */
enum marjoram_replay_verdict marjoram_replays_check (marjoram_replays *replays,
                                                     int64_t wall,
                                                     int64_t sent,
                                                     const char *nonce);
size_t marjoram_replays_count (const marjoram_replays *replays);

#endif
