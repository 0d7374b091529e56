#include "link_traffic.h"

#include "event_log.h"

#include <inttypes.h>

void
marjoram_link_traffic_add (struct marjoram_link_traffic *traffic,
                           enum marjoram_frame_type type,
                           enum marjoram_locality locality, uint64_t bytes)
{
  traffic->sent[type][locality].frames++;
  traffic->sent[type][locality].bytes += bytes;
}

static uint64_t
count_frames (const struct marjoram_link_traffic *traffic, int type)
{
  uint64_t frames = 0;

  for (int i = 0; i < MARJORAM_LOCALITY_COUNT; i++)
    frames += traffic->sent[type][i].frames;
  return frames;
}

void
marjoram_link_traffic_log (const struct marjoram_link_traffic *traffic)
{
  for (int type = 0; type < MARJORAM_FRAME_COUNT; type++)
    if (count_frames (traffic, type) > 0)
      marjoram_event (
          MARJORAM_EVENT_LINK,
          "type=%d message=%s frames=%" PRIu64 " zone_bytes=%" PRIu64
          " region_bytes=%" PRIu64 " other_bytes=%" PRIu64
          " unknown_bytes=%" PRIu64,
          type, marjoram_frame_layout ((enum marjoram_frame_type)type)->name,
          count_frames (traffic, type),
          traffic->sent[type][MARJORAM_LOCALITY_ZONE].bytes,
          traffic->sent[type][MARJORAM_LOCALITY_REGION].bytes,
          traffic->sent[type][MARJORAM_LOCALITY_OTHER].bytes,
          traffic->sent[type][MARJORAM_LOCALITY_UNKNOWN].bytes);
}
