#include "own_receive_lag.h"

enum
{
  /* Minimum number of connections: the lag of a single one may be its
     peer's.  */
  LINKS_MIN = 2,
  /* A host that receives nothing for this long is partitioned rather than
     delayed.  Shorter than any connection timeout, so that partitions are
     detected without extra delay.  */
  PARTITION_MS = 1000,
  /* Time for which the lag is held while connections recover one by one from
     congestion.  No longer than the shortest connection timeout.  */
  HOLD_MS = 800,
  /* Upper limit of the lag, so that dead peers are still detected.  */
  LAG_MAX_MS = 3000
};

void
marjoram_link_lag_start (struct marjoram_link_lag *lag)
{
  *lag = (struct marjoram_link_lag){ .round_trip_ms = -1 };
}

void
marjoram_link_lag_sent (struct marjoram_link_lag *lag, int64_t now)
{
  lag->sent++;
  if (lag->timed != 0)
    return;
  lag->timed = lag->sent;
  lag->timed_at = now;
}

void
marjoram_link_lag_answered (struct marjoram_link_lag *lag, int64_t now)
{
  lag->answered++;
  if (lag->timed == 0 || lag->answered < lag->timed)
    return;
  lag->round_trip_ms = now - lag->timed_at;
  lag->timed = 0;
}

void
marjoram_own_lag_begin (struct marjoram_own_lag *own)
{
  own->links = 0;
  own->min_ms = INT64_MAX;
  own->received_at = INT64_MIN;
}

/* Connections without a measured round trip are skipped: they would show no
   lag during congestion.  */
void
marjoram_own_lag_add (struct marjoram_own_lag *own, int64_t now,
                      const struct marjoram_link_lag *lag, int64_t received_at)
{
  int64_t ms = lag->round_trip_ms;

  if (received_at > own->received_at)
    own->received_at = received_at;
  if (ms < 0)
    return;
  if (lag->timed != 0 && now - lag->timed_at > ms)
    ms = now - lag->timed_at;
  own->links++;
  if (ms < own->min_ms)
    own->min_ms = ms;
}

/* Time since the last measurement.  Detects a stalled event loop when no
   heartbeat was being timed.  */
static int64_t
since_last_ms (const struct marjoram_own_lag *own, int64_t now)
{
  return own->measured_at != 0 ? now - own->measured_at : 0;
}

void
marjoram_own_lag_end (struct marjoram_own_lag *own, int64_t now)
{
  bool is_known
      = own->links >= LINKS_MIN && now <= own->received_at + PARTITION_MS;
  int64_t ms = is_known ? own->min_ms : 0;

  if (since_last_ms (own, now) > ms)
    ms = since_last_ms (own, now);
  own->measured_at = now;
  if (ms > LAG_MAX_MS)
    ms = LAG_MAX_MS;
  if (is_known && ms < own->ms && now <= own->ms_at + HOLD_MS)
    return;
  own->ms = ms;
  own->ms_at = now;
}
