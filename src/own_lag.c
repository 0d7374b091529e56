#include "own_lag.h"

enum
{
  /* The least lag of a single link may be its peer's.  */
  LINKS_MIN = 2,
  /* A host that hears nothing at all for this long is cut off, not late: on a
     full link bytes come all the time.  It is shorter than any silence after
     which a link is closed, so that a cut is noticed as soon as without a
     lag.  */
  HEARS_MS = 1000,
  /* Connections recover one after the other from a jam, as lost packets are
     sent again with growing pauses; the first to do so shows no lag.  It is no
     longer than the shortest limit of silence, so that who dies as a jam ends
     is found no later.  */
  HOLD_MS = 800,
  /* Whoever gives no sign for longer is taken for dead even by a host that is
     late: callers wait a few seconds only.  */
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
  own->least_ms = INT64_MAX;
  own->heard_at = INT64_MIN;
}

/* A new link without an answer yet says nothing: it would show no lag in the
   middle of a jam.  */
void
marjoram_own_lag_add (struct marjoram_own_lag *own, int64_t now,
                      const struct marjoram_link_lag *lag, int64_t heard_at)
{
  int64_t ms = lag->round_trip_ms;

  if (heard_at > own->heard_at)
    own->heard_at = heard_at;
  if (ms < 0)
    return;
  if (lag->timed != 0 && now - lag->timed_at > ms)
    ms = now - lag->timed_at;
  own->links++;
  if (ms < own->least_ms)
    own->least_ms = ms;
}

/* Since the last look.  An event loop that stood still has not read yet what
   came meanwhile, and all seem silent since then; where no beat was under way,
   no link shows it.  */
static int64_t
gap (const struct marjoram_own_lag *own, int64_t now)
{
  return own->looked_at != 0 ? now - own->looked_at : 0;
}

void
marjoram_own_lag_end (struct marjoram_own_lag *own, int64_t now)
{
  bool is_known = own->links >= LINKS_MIN && now <= own->heard_at + HEARS_MS;
  int64_t ms = is_known ? own->least_ms : 0;

  if (gap (own, now) > ms)
    ms = gap (own, now);
  own->looked_at = now;
  if (ms > LAG_MAX_MS)
    ms = LAG_MAX_MS;
  if (is_known && ms < own->ms && now <= own->ms_at + HOLD_MS)
    return;
  own->ms = ms;
  own->ms_at = now;
}
