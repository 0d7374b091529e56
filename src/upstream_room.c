#include "upstream_room.h"

/* Share of the tolerated refusals that the trials of all hosts may cause.  */
#define TRIAL_SHARE 0.5
/* For an upstream that tolerates none: without a trial its room is never
   known.  */
#define REFUSALS_MIN 0.5

enum
{
  MSEC_PER_SEC = 1000
};

int64_t
marjoram_upstream_room_interval_ms (size_t hosts, double refusals_per_s)
{
  const double per_s
      = refusals_per_s > REFUSALS_MIN ? refusals_per_s : REFUSALS_MIN;

  return (int64_t)((double)hosts * MSEC_PER_SEC / (TRIAL_SHARE * per_s));
}

bool
marjoram_upstream_room_has (const struct marjoram_upstream_room *room,
                            int64_t now, int64_t running, int64_t interval_ms)
{
  return !room->is_known || running < room->requests
         || now >= room->changed_at + interval_ms;
}

void
marjoram_upstream_room_take (struct marjoram_upstream_room *room, int64_t now,
                             int64_t running)
{
  if (!room->is_known || running <= room->requests)
    return;
  room->requests = running;
  room->changed_at = now;
}

void
marjoram_upstream_room_refused (struct marjoram_upstream_room *room,
                                int64_t now, int64_t running)
{
  room->is_known = true;
  room->requests = running;
  room->changed_at = now;
}
