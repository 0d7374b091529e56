/* Zones whose evacuation began recently.  For a short time, their upstreams
   still get requests that no other upstream may run.  Pure decision logic.  */
#ifndef MARJORAM_LEAVING_ZONES_H
#define MARJORAM_LEAVING_ZONES_H

#include "dialect.h"

enum
{
  /* Further zones at the same time are evacuated without the delay.  */
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

/* This host learned at NOW that ZONE is being evacuated.  */
void marjoram_leaving_zones_add (struct marjoram_leaving_zones *leaving,
                                 int64_t now, const char *zone);
bool marjoram_leaving_zones_has (const struct marjoram_leaving_zones *leaving,
                                 int64_t now, const char *zone);

#endif
