#include "suite.h"
#include "lib_demand.h"
#include <stdio.h>
#include <inttypes.h>
#include <stdlib.h>

static void
show (const char *what, const struct demand *d, enum demand_kind kind, int64_t from, int64_t until)
{
  struct demand_counts c = demand_count (d, kind, from, until);
  printf ("%s kind %d: sent %d once %d return %d late %d ref1 %d ref2 %d fail %d vain %d held %d retry %d..%d third %d idle %d\n", what, kind,
   c.sent, c.at_once, c.at_return, c.late, c.refused_once, c.refused_twice, c.failed, c.in_vain, (int)c.held_ms, c.refused_once?(int)c.retry_min_ms:0, (int)c.retry_max_ms, c.over_third, (int)demand_idle_ms(d));
}
START_TEST (trial)
{
  const double loads[] = { 0.5, 0.9, 1, 1.5, 3 };
  const int64_t lengths[] = { 300, 1000, 5000, 30000 };
  for (int k = 0; k < 2; k++)
  for (int l = 0; l < 4; l++)
  for (int i = 0; i < 5; i++)
    for (int on = 0; on < 2; on++)
      {
        struct demand_options o = { on, 4, 4, 400, 7 };
        struct demand *d = demand_create (&o);
        double room = 80;
        char name[64];
        if (l < 3 && i < 2) { demand_destroy (d); continue; }
        demand_set_rate (d, k, room * 0.5);
        demand_run_until (d, 5000);
        demand_set_rate (d, k, room * loads[i] * (l==0?3:1));
        demand_run_until (d, 5000 + lengths[l]);
        demand_set_rate (d, k, room * 0.5);
        demand_run_until (d, 5000 + lengths[l] + 15000);
        snprintf (name, sizeof name, "len %d load %.1f %s", (int)lengths[l], loads[i]*(l==0?3:1), on ? "ON " : "off");
        show (name, d, k, 5000, 5000 + lengths[l] + 2000);
        demand_destroy (d);
      }
}
END_TEST
Suite *
suite (void)
{
  Suite *s = suite_create ("measured_waits");
  TCase *c = tcase_create ("measured_waits");
  tcase_set_timeout (c, 200);
  tcase_add_test (c, trial);
  suite_add_tcase (s, c);
  return s;
}
