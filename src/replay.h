/* Guard against replayed orders: each signed call carries the time and a
   random nonce, and is taken once.  Pure decisions; times are milliseconds of
   the wall clock.  */
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
  MARJORAM_REPLAY_OLD,   /* sent too long ago, or before this host started */
  MARJORAM_REPLAY_EARLY, /* sent in this host's future */
  MARJORAM_REPLAY_AGAIN, /* the nonce was taken before */
  MARJORAM_REPLAY_FULL   /* too many calls at once */
};

marjoram_replays *marjoram_replays_create (int64_t started);
void marjoram_replays_destroy (marjoram_replays *replays);
/* The time to be told to callers for their calls: never goes back, as a clock
   that is set back would make forgotten calls fresh again.  */
int64_t marjoram_replays_now (marjoram_replays *replays, int64_t wall);
/* To be asked only for calls whose proof is good, so that others can't fill
   the memory.  NONCE has MARJORAM_NONCE_TEXT characters.  */
enum marjoram_replay_verdict marjoram_replays_take (marjoram_replays *replays,
                                                    int64_t wall, int64_t sent,
                                                    const char *nonce);
size_t marjoram_replays_count (const marjoram_replays *replays);

#endif
