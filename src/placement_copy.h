/* Copying cached prompt parts between engines of one zone and build; what
   another build cached need not fit.  Copying is about ten times faster than
   prefill, so a request need not wait for the engine that has its prompt
   cached.  */
#ifndef MARJORAM_PLACEMENT_COPY_H
#define MARJORAM_PLACEMENT_COPY_H

#include "placement_private.h"

enum
{
  MARJORAM_COPY_GROUPS_MAX
  = 32 /* per region; groups beyond the limit do not copy */
};

struct marjoram_copy_source
{
  const struct marjoram_registered *upstream; /* NULL if none */
  int64_t cached;                             /* cached tokens of the prompt */
};

/* The engines of one zone and build.  */
struct marjoram_copy_group
{
  const char *zone;
  const char *build;
  struct marjoram_copy_source first; /* caches the most */
  struct marjoram_copy_source second;
};

/* Engines that cache most of one prompt, by group; valid until the next
   event.  */
struct marjoram_copy_sources
{
  struct marjoram_copy_group groups[MARJORAM_COPY_GROUPS_MAX];
  size_t group_count;
};

/* Cached and copied tokens of a prompt at one engine.  */
struct marjoram_copy
{
  int64_t cached;                         /* tokens in its own cache */
  const struct marjoram_registered *from; /* NULL if nothing is copied */
  int64_t tokens;                         /* to copy */
  double ms;                              /* duration of the copy */
};

void marjoram_copy_sources_find (struct marjoram_copy_sources *sources,
                                 marjoram_placement *placement,
                                 const struct marjoram_place_query *query,
                                 int64_t now);
void marjoram_copy_sources_best (const struct marjoram_copy_sources *sources,
                                 const struct marjoram_endpoint *endpoint,
                                 const struct marjoram_registered *upstream,
                                 const struct marjoram_place_query *query,
                                 struct marjoram_copy *copy);

#endif
