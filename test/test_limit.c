/* Distributed rate limits: how many requests all hosts together admit.  */
#include "suite.h"

#include "config_spec.h"
#include "limit.h"
#include "random.h"

enum
{
  REGIONS = 3,
  HOSTS = 3,
  RATE = 30,
  BURST = 30,
  DURATION_S = 60,
  WARM_UP_S = 10,
  SEEDS = 20,
  LINK_MS = 52
};

/* Three regions of one zone with three hosts each, which report usage every
   second.  */
struct cluster
{
  marjoram_config *config;
  marjoram_random *random;
  marjoram_limits *hosts[REGIONS][HOSTS];
  bool partitioned[REGIONS];
  bool dead[REGIONS][HOSTS];
  double loss; /* fraction of reports lost */
};

static void
cluster_create (struct cluster *cluster, uint64_t seed)
{
  const struct config_spec spec = { .regions = REGIONS,
                                    .zones = 1,
                                    .slots = HOSTS,
                                    .works = 1,
                                    .callers = 2,
                                    .rate = RATE,
                                    .burst = BURST };

  *cluster = (struct cluster){ .config = config_from_spec (&spec) };
  cluster->random = marjoram_random_create (seed);
  for (int i = 0; i < REGIONS; i++)
    for (int j = 0; j < HOSTS; j++)
      {
        cluster->hosts[i][j] = marjoram_limits_create (j);
        marjoram_limits_configure (cluster->hosts[i][j], 0, cluster->config,
                                   i);
      }
}

static void
cluster_destroy (struct cluster *cluster)
{
  for (int i = 0; i < REGIONS; i++)
    for (int j = 0; j < HOSTS; j++)
      marjoram_limits_destroy (cluster->hosts[i][j]);
  marjoram_random_destroy (cluster->random);
  marjoram_config_release (cluster->config);
}

static void
report (struct cluster *cluster, int64_t now, int from_zone, int from)
{
  for (int i = 0; i < REGIONS; i++)
    {
      struct marjoram_array usages;

      if (i != from_zone
          && (cluster->partitioned[i] || cluster->partitioned[from_zone]))
        continue;
      marjoram_limits_report (cluster->hosts[from_zone][from], now,
                              i == from_zone, &usages);
      for (int j = 0; j < HOSTS; j++)
        if (marjoram_random_unit (cluster->random) >= cluster->loss)
          marjoram_limits_process_report (cluster->hosts[i][j], now, from_zone,
                                          from, &usages);
      for (size_t j = 0; j < usages.count; j++)
        free (((struct marjoram_usage *)usages.items)[j].caller);
      free (usages.items);
    }
}

static int
count_live_hosts (const struct cluster *cluster, int zone)
{
  int count = 0;

  for (int i = 0; i < HOSTS; i++)
    count += !cluster->dead[zone][i];
  return count;
}

/* Sends requests of caller 0, whose home is region 0, at the given rates per
   host and second from FROM_S to TO_S.  Returns how many were admitted.  */
static int
send_requests (struct cluster *cluster, int from_s, int to_s,
               const double request_rates[REGIONS][HOSTS])
{
  int admitted = 0;

  for (int64_t now = from_s * INT64_C (1000); now < to_s * INT64_C (1000);
       now += 10)
    for (int i = 0; i < REGIONS; i++)
      for (int j = 0; j < HOSTS; j++)
        {
          double expected = request_rates[i][j] / 100;
          int requests = (int)expected;
          int report_offset_ms = (i * HOSTS + j) * 100;
          int64_t retry = 0;

          if (cluster->dead[i][j])
            continue;
          if (now % 1000 == report_offset_ms)
            report (cluster, now, i, j);
          requests
              += marjoram_random_unit (cluster->random) < expected - requests;
          for (int k = 0; k < requests; k++)
            if (marjoram_limits_admit (cluster->hosts[i][j], now, 0,
                                       count_live_hosts (cluster, i), &retry)
                == MARJORAM_REASON_NONE)
              admitted++;
            else
              ck_assert_int_gt (retry, 0);
        }
  return admitted;
}

/* Guards against each host admitting the whole limit for a caller that spreads
   its requests over all hosts.  */
START_TEST (limit_holds_at_twenty_times_demand)
{
  static const double request_rates[REGIONS][HOSTS]
      = { { 67, 67, 67 }, { 67, 67, 67 }, { 67, 67, 67 } };
  struct cluster cluster;
  int admitted;

  cluster_create (&cluster, (uint64_t)_i);
  cluster.loss = 0.1;
  admitted = send_requests (&cluster, 0, DURATION_S, request_rates);
  ck_assert_int_le (admitted, (int)(RATE * DURATION_S * 1.1) + BURST);
  ck_assert_int_ge (admitted, (int)(RATE * DURATION_S * 0.8));
  cluster_destroy (&cluster);
}
END_TEST

/* Guards against a fixed split between hosts, which would refuse a caller that
   uses one host only.  */
START_TEST (one_host_may_use_nearly_all)
{
  static const double first_host[REGIONS][HOSTS] = { { RATE * 0.8, 0, 0 } };
  static const double last_host[REGIONS][HOSTS] = { { 0, 0, RATE * 0.8 } };
  struct cluster cluster;

  cluster_create (&cluster, (uint64_t)_i);
  send_requests (&cluster, 0, WARM_UP_S, first_host);
  ck_assert_int_ge (
      send_requests (&cluster, WARM_UP_S, WARM_UP_S + 20, first_host),
      (int)(RATE * 0.8 * 20 * 0.9));
  ck_assert_int_ge (
      send_requests (&cluster, WARM_UP_S + 20, WARM_UP_S + 40, last_host),
      (int)(RATE * 0.8 * 20 * 0.8));
  cluster_destroy (&cluster);
}
END_TEST

/* Guards against each side of a partition using the whole limit.  The home
   region keeps most of it.  */
START_TEST (shares_hold_during_partition)
{
  static const double request_rates[REGIONS][HOSTS]
      = { { 67, 67, 67 }, { 67, 67, 67 }, { 67, 67, 67 } };
  static const double home_rates[REGIONS][HOSTS] = { { RATE * 0.7, 0, 0 } };
  struct cluster cluster;
  int admitted;

  cluster_create (&cluster, (uint64_t)_i);
  send_requests (&cluster, 0, WARM_UP_S, request_rates);
  cluster.partitioned[0] = cluster.partitioned[1] = cluster.partitioned[2]
      = true;
  send_requests (&cluster, WARM_UP_S, 2 * WARM_UP_S, request_rates);
  admitted = send_requests (&cluster, 2 * WARM_UP_S,
                            2 * WARM_UP_S + DURATION_S, request_rates);
  ck_assert_int_le (admitted, (int)(RATE * DURATION_S * 1.1));
  send_requests (&cluster, 100, 110, home_rates);
  ck_assert_int_ge (send_requests (&cluster, 110, 130, home_rates),
                    (int)(RATE * 0.7 * 20 * 0.9));
  cluster_destroy (&cluster);
}
END_TEST

/* Guards against the share of dead hosts staying reserved.  */
START_TEST (shares_of_dead_hosts_are_reassigned)
{
  static const double before[REGIONS][HOSTS] = { { 9, 9, 9 } };
  static const double after[REGIONS][HOSTS] = { { 0, 0, RATE * 0.8 } };
  struct cluster cluster;

  cluster_create (&cluster, (uint64_t)_i);
  send_requests (&cluster, 0, WARM_UP_S, before);
  cluster.dead[0][0] = cluster.dead[0][1] = true;
  send_requests (&cluster, WARM_UP_S, 2 * WARM_UP_S, after);
  ck_assert_int_ge (
      send_requests (&cluster, 2 * WARM_UP_S, 2 * WARM_UP_S + 20, after),
      (int)(RATE * 0.8 * 20 * 0.9));
  cluster_destroy (&cluster);
}
END_TEST

/* Guards against a configuration update refilling a caller's burst.  */
START_TEST (reconfiguration_keeps_usage)
{
  struct cluster cluster;
  marjoram_limits *limits;
  int64_t retry;
  int admitted = 0;

  cluster_create (&cluster, 1);
  limits = cluster.hosts[0][0];
  for (int64_t now = 0; now < 10000; now += 10)
    {
      if (now % 1000 == 0)
        marjoram_limits_configure (limits, now, cluster.config, 0);
      admitted += marjoram_limits_admit (limits, now, 0, HOSTS, &retry)
                  == MARJORAM_REASON_NONE;
    }
  /* The zone's fraction is 0.8 without reports from other zones, and the
     host's a third of that.  */
  ck_assert_int_le (admitted, (RATE * 10 + BURST) * 3 / 10);
  cluster_destroy (&cluster);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("limit");
  TCase *c = tcase_create ("limit");

  tcase_add_loop_test (c, limit_holds_at_twenty_times_demand, 1, SEEDS + 1);
  tcase_add_loop_test (c, one_host_may_use_nearly_all, 1, 6);
  tcase_add_loop_test (c, shares_hold_during_partition, 1, 6);
  tcase_add_loop_test (c, shares_of_dead_hosts_are_reassigned, 1, 6);
  tcase_add_test (c, reconfiguration_keeps_usage);
  tcase_set_timeout (c, 60);
  suite_add_tcase (s, c);
  return s;
}
