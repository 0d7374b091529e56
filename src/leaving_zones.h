/* Zones whose evacuation began just now.  Their upstreams still take, for a
   short while, what nothing else may run.  Pure decisions.  */
#ifndef MARJORAM_LEAVING_ZONES_H
#define MARJORAM_LEAVING_ZONES_H

#include "dialect.h"

enum
{
  /* Further zones at once are left without delay.  */
  MARJORAM_LEAVING_ZONES_MAX = 8
};

struct marjoram_leaving_zone
{
  char name[MARJORAM_ID_MAX]; /* "" if unused */
  int64_t since;
};

struct marjoram_leaving_zones
{
  struct marjoram_leaving_zone zones[MARJORAM_LEAVING_ZONES_MAX];
};

/* The evacuation of ZONE was heard of at NOW.  */
void marjoram_leaving_zones_add (struct marjoram_leaving_zones *leaving,
                                 int64_t now, const char *zone);
bool marjoram_leaving_zones_has (const struct marjoram_leaving_zones *leaving,
                                 int64_t now, const char *zone);

#endif
