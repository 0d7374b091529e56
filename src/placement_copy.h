/* What an engine may copy of a prompt from another engine of its zone instead
   of reading it.  Copying takes a tenth of the time of reading, so a request
   need not wait for the engine that keeps its prompt, and engines don't read
   once more what another one keeps.  */
#ifndef MARJORAM_PLACEMENT_COPY_H
#define MARJORAM_PLACEMENT_COPY_H

#include "placement_private.h"

enum
{
  MARJORAM_COPY_ZONES_MAX = 16 /* of one region; in further ones none copies */
};

struct marjoram_copy_source
{
  const struct marjoram_registered *upstream; /* null if none */
  int64_t kept;                               /* tokens of the prompt */
};

struct marjoram_copy_zone
{
  const char *zone;
  struct marjoram_copy_source first; /* that keeps most */
  struct marjoram_copy_source second;
};

/* Who keeps most of one prompt, by zone; valid until the next event.  */
struct marjoram_copy_sources
{
  struct marjoram_copy_zone zones[MARJORAM_COPY_ZONES_MAX];
  size_t zone_count;
};

/* What one engine has and copies of a prompt.  */
struct marjoram_copy
{
  int64_t kept;                           /* tokens that it has itself */
  const struct marjoram_registered *from; /* null if it copies nothing */
  int64_t tokens;                         /* copied */
  double ms;                              /* until they are there */
};

void marjoram_copy_sources_find (struct marjoram_copy_sources *sources,
                                 marjoram_placement *placement,
                                 const struct marjoram_place_query *query,
                                 int64_t now);
void marjoram_copy_sources_best (const struct marjoram_copy_sources *sources,
                                 const struct marjoram_spot *spot,
                                 const struct marjoram_registered *upstream,
                                 const struct marjoram_place_query *query,
                                 struct marjoram_copy *copy);

#endif
