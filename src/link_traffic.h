/* Counts the frames that a host sends, by type and by how far they go.  */
#ifndef MARJORAM_LINK_TRAFFIC_H
#define MARJORAM_LINK_TRAFFIC_H

#include "frame.h"

enum marjoram_locality
{
  MARJORAM_LOCALITY_ZONE,   /* within the sender's zone */
  MARJORAM_LOCALITY_REGION, /* to another zone of its region */
  MARJORAM_LOCALITY_OTHER,  /* to another region */
  MARJORAM_LOCALITY_UNKNOWN,
  MARJORAM_LOCALITY_COUNT
};

struct marjoram_link_traffic
{
  struct
  {
    uint64_t frames;
    uint64_t bytes;
  } sent[MARJORAM_FRAME_COUNT][MARJORAM_LOCALITY_COUNT];
};

void marjoram_link_traffic_add (struct marjoram_link_traffic *traffic,
                                enum marjoram_frame_type type,
                                enum marjoram_locality locality,
                                uint64_t bytes);
/* Logs one line for each type of frame that was sent.  */
void marjoram_link_traffic_log (const struct marjoram_link_traffic *traffic);

#endif
