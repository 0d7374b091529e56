/* Tests of zones whose evacuation began recently.  */
#include "suite.h"

#include "leaving_zones.h"

#include <stdio.h>

START_TEST (zone_leaves_for_two_seconds)
{
  struct marjoram_leaving_zones leaving = { 0 };

  marjoram_leaving_zones_add (&leaving, 1000, "z1");
  marjoram_leaving_zones_add (&leaving, 2500, "z2");
  ck_assert (marjoram_leaving_zones_has (&leaving, 2900, "z1"));
  ck_assert (!marjoram_leaving_zones_has (&leaving, 2900, "z3"));
  ck_assert (!marjoram_leaving_zones_has (&leaving, 3000, "z1"));
  ck_assert (marjoram_leaving_zones_has (&leaving, 3000, "z2"));
}
END_TEST

/* Zones beyond the capacity are evacuated without the delay.  */
START_TEST (zones_beyond_capacity_leave_at_once)
{
  struct marjoram_leaving_zones leaving = { 0 };
  char name[16];

  for (int i = 0; i <= MARJORAM_LEAVING_ZONES_MAX; i++)
    {
      snprintf (name, sizeof name, "z%d", i);
      marjoram_leaving_zones_add (&leaving, 0, name);
    }
  ck_assert (marjoram_leaving_zones_has (&leaving, 10, "z0"));
  ck_assert (!marjoram_leaving_zones_has (&leaving, 10, name));
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("leaving_zones");
  TCase *c = tcase_create ("leaving_zones");

  tcase_add_test (c, zone_leaves_for_two_seconds);
  tcase_add_test (c, zones_beyond_capacity_leave_at_once);
  suite_add_tcase (s, c);
  return s;
}
