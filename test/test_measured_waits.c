#include "suite.h"
#include "lib_demand.h"
#include <stdio.h>
#include <inttypes.h>
#include <stdlib.h>

static void
show (const char *what, const struct demand *d, enum demand_kind kind,
      int64_t from, int64_t until)
{
  struct demand_counts c = demand_count (d, kind, from, until);
  printf ("%s kind %d: sent %d once %d return %d late %d ref1 %d ref2 %d fail "
          "%d vain %d held %d retry %d..%d third %d idle %d\n",
          what, kind, c.sent, c.at_once, c.at_return, c.late, c.refused_once,
          c.refused_twice, c.failed, c.in_vain, (int)c.held_ms,
          c.refused_once ? (int)c.retry_min_ms : 0, (int)c.retry_max_ms,
          c.over_third, (int)demand_idle_ms (d));
}
START_TEST (trial)
{
  const double mix[][2]
      = { { 0.7, 0.6 }, { 1.0, 0.5 }, { 1.5, 0.5 }, { 0.5, 1.5 } };
  for (int m = 0; m < 4; m++)
    for (int on = 0; on < 2; on++)
      {
        struct demand_options o = { on, 4, 4, 400, 7 };
        struct demand *d = demand_create (&o);
        char name[64];
        demand_set_rate (d, 0, 20);
        demand_set_rate (d, 1, 20);
        demand_run_until (d, 5000);
        demand_set_rate (d, 0, 80 * mix[m][0]);
        demand_set_rate (d, 1, 80 * mix[m][1]);
        demand_run_until (d, 25000);
        demand_set_rate (d, 0, 20);
        demand_set_rate (d, 1, 20);
        demand_run_until (d, 45000);
        snprintf (name, sizeof name, "mix %.1f %.1f %s", mix[m][0], mix[m][1],
                  on ? "ON " : "off");
        show (name, d, 0, 5000, 27000);
        show (name, d, 1, 5000, 27000);
        demand_destroy (d);
      }
  for (int k = 0; k < 2; k++)
    for (int on = 0; on < 2; on++)
      {
        struct demand_options o = { on, 4, 4, 400, 7 };
        struct demand *d = demand_create (&o);
        demand_set_rate (d, k, 75);
        demand_run_until (d, 5000);
        demand_crash_engine (d, 0);
        demand_crash_engine (d, 1);
        demand_run_until (d, 8000);
        show (on ? "crash ON" : "crash off", d, k, 3000, 7000);
        demand_run_until (d, 15000);
        show (on ? "crash ON" : "crash off", d, k, 3000, 15000);
        demand_destroy (d);
      }
  for (int on = 0; on < 2; on++)
    {
      struct demand_options o = { on, 4, 4, 400, 7 };
      struct demand *d = demand_create (&o);
      demand_set_rate (d, 1, 120);
      demand_run_until (d, 8000);
      demand_restart_host (d, 0);
      demand_run_until (d, 15000);
      show (on ? "restart ON" : "restart off", d, 1, 8000, 13000);
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
