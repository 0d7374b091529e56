/* Tests of the suspicion and isolation of requests that crash upstreams.  */
#include "suite.h"

#include "random.h"
#include "suspect.h"

#include <stdio.h>
#include <string.h>

enum
{
  TEST_SECONDS = 60, /* allows for a busy machine */
  KEEP_MS = 60000,
  HOUR_MS = 3600000,
  DAY_MS = 24 * HOUR_MS,
  HOSTS = 3,
  UPSTREAMS = 6,
  DIGESTS = 8,
  CRASHING = 0,
  STEPS = 400,
  SEEDS = 300
};

struct cluster
{
  int64_t now;
  marjoram_suspects *hosts[HOSTS];
  int runs[HOSTS][UPSTREAMS][DIGESTS];
  int crashing_runs; /* current runs of the crashing request */
  int crashes;
  int reports;
};

struct report_context
{
  struct cluster *cluster;
  int host;
};

static void
broadcast (void *context, const struct marjoram_suspect_message *message)
{
  const struct report_context *report_context = context;

  report_context->cluster->reports++;
  for (int i = 0; i < HOSTS; i++)
    if (i != report_context->host)
      marjoram_suspects_apply (report_context->cluster->hosts[i],
                               report_context->cluster->now, message);
}

static void
open_cluster (struct cluster *cluster, struct report_context *contexts)
{
  memset (cluster, 0, sizeof *cluster);
  cluster->now = 1;
  for (int i = 0; i < HOSTS; i++)
    {
      contexts[i] = (struct report_context){ cluster, i };
      cluster->hosts[i] = marjoram_suspects_create (KEEP_MS);
      marjoram_suspects_set_report (cluster->hosts[i], broadcast,
                                    &contexts[i]);
    }
}

static void
close_cluster (struct cluster *cluster)
{
  for (int i = 0; i < HOSTS; i++)
    marjoram_suspects_destroy (cluster->hosts[i]);
}

static int
convicted (const struct cluster *cluster, int host, const char *digest)
{
  return marjoram_suspects_get (cluster->hosts[host], cluster->now, digest)
         == MARJORAM_SUSPICION_CONVICTED;
}

static bool
may_start (const struct cluster *cluster, int host, const char *upstream,
           const char *digest)
{
  return marjoram_suspects_may_start (cluster->hosts[host], cluster->now,
                                      upstream, digest);
}

static void
start (struct cluster *cluster, int host, const char *upstream,
       const char *digest)
{
  marjoram_suspects_started (cluster->hosts[host], cluster->now, upstream,
                             digest);
}

static void
end (struct cluster *cluster, int host, const char *upstream,
     const char *digest)
{
  marjoram_suspects_ended (cluster->hosts[host], cluster->now, upstream,
                           digest);
}

static void
kill_upstream (struct cluster *cluster, struct report_context *contexts,
               const char *upstream)
{
  cluster->crashes++;
  for (int i = 0; i < HOSTS; i++)
    marjoram_suspects_crashed (cluster->hosts[i], cluster->now, upstream,
                               broadcast, &contexts[i]);
}

/* Guards against more than two crashes by one request (K), and against
   refusing requests (A and B) that ran beside it.  */
START_TEST (second_death_convicts_exactly_one)
{
  struct cluster c;
  struct report_context contexts[HOSTS];

  open_cluster (&c, contexts);
  start (&c, 0, "u1", "K");
  start (&c, 0, "u1", "A");
  start (&c, 1, "u1", "B");
  kill_upstream (&c, contexts, "u1");
  ck_assert_int_eq (c.reports, 3);
  for (int i = 0; i < HOSTS; i++)
    ck_assert_int_eq (marjoram_suspects_get (c.hosts[i], c.now, "B"),
                      MARJORAM_SUSPICION_SUSPECT);
  ck_assert (may_start (&c, 1, "u2", "A"));
  start (&c, 1, "u2", "A");
  ck_assert (!may_start (&c, 1, "u2", "K"));
  ck_assert (!may_start (&c, 2, "u2", "K"));
  ck_assert (may_start (&c, 2, "u2", "N"));
  ck_assert (may_start (&c, 2, "u3", "K"));
  start (&c, 2, "u3", "K");
  start (&c, 0, "u3", "N");
  ck_assert (!may_start (&c, 0, "u4", "K"));
  kill_upstream (&c, contexts, "u3");
  end (&c, 1, "u2", "A");
  marjoram_suspects_cleared (c.hosts[1], c.now, "A");
  for (int i = 0; i < HOSTS; i++)
    {
      ck_assert (convicted (&c, i, "K"));
      ck_assert (!may_start (&c, i, "u5", "K"));
      ck_assert (!convicted (&c, i, "A") && !convicted (&c, i, "B"));
      ck_assert_int_eq (marjoram_suspects_get (c.hosts[i], c.now, "N"),
                        MARJORAM_SUSPICION_SUSPECT);
      marjoram_suspects_cleared (c.hosts[i], c.now, "K");
      ck_assert (convicted (&c, i, "K"));
    }
  ck_assert_int_eq (marjoram_suspects_get (c.hosts[1], c.now, "A"),
                    MARJORAM_SUSPICION_NONE);
  close_cluster (&c);
}
END_TEST

/* Guards against convicting either of two suspects that two hosts started at
   the same upstream at the same time.  */
START_TEST (two_suspects_at_one_death_are_not_convicted)
{
  struct cluster c;
  struct report_context contexts[HOSTS];

  open_cluster (&c, contexts);
  start (&c, 0, "u1", "K");
  start (&c, 1, "u1", "A");
  kill_upstream (&c, contexts, "u1");
  start (&c, 0, "u2", "K");
  start (&c, 1, "u2", "A");
  kill_upstream (&c, contexts, "u2");
  for (int i = 0; i < HOSTS; i++)
    ck_assert (!convicted (&c, i, "K") && !convicted (&c, i, "A"));
  close_cluster (&c);
}
END_TEST

START_TEST (higher_suspicion_wins_and_expires)
{
  struct cluster c;
  struct report_context contexts[HOSTS];
  struct marjoram_suspect_message message
      = { .digest = (char *)"K", .suspicion = MARJORAM_SUSPICION_CONVICTED };

  open_cluster (&c, contexts);
  marjoram_suspects_apply (c.hosts[0], c.now, &message);
  message.suspicion = MARJORAM_SUSPICION_SUSPECT;
  marjoram_suspects_apply (c.hosts[0], c.now, &message);
  ck_assert (convicted (&c, 0, "K"));
  message.suspicion = MARJORAM_SUSPICION_NONE;
  message.digest = (char *)"N";
  marjoram_suspects_apply (c.hosts[0], c.now, &message);
  start (&c, 0, "u1", "A");
  end (&c, 0, "u1", "A");
  end (&c, 0, "u1", "A");
  ck_assert_uint_eq (marjoram_suspects_count (c.hosts[0]), 1);
  c.now += KEEP_MS;
  ck_assert (!convicted (&c, 0, "K"));
  marjoram_suspects_tick (c.hosts[0], c.now);
  ck_assert_uint_eq (marjoram_suspects_count (c.hosts[0]), 0);
  close_cluster (&c);
}
END_TEST

/* Guards against a dead host's suspect blocking an upstream forever.  */
START_TEST (run_of_a_dead_host_expires)
{
  marjoram_suspects *suspects = marjoram_suspects_create (DAY_MS);
  struct marjoram_suspect_message message
      = { .digest = (char *)"K", .suspicion = MARJORAM_SUSPICION_SUSPECT };

  marjoram_suspects_apply (suspects, 1, &message);
  message.digest = (char *)"A";
  message.upstream = (char *)"u";
  message.running = true;
  marjoram_suspects_apply (suspects, 1, &message);
  ck_assert (!marjoram_suspects_may_start (suspects, 2, "u", "K"));
  ck_assert (marjoram_suspects_may_start (suspects, HOUR_MS, "u", "K"));
  marjoram_suspects_destroy (suspects);
}
END_TEST

START_TEST (memory_is_bounded)
{
  marjoram_suspects *suspects = marjoram_suspects_create (KEEP_MS);
  char digest[16];

  for (int i = 0; i < 30000; i++)
    {
      snprintf (digest, sizeof digest, "d%d", i);
      marjoram_suspects_started (suspects, 1, "u", digest);
      marjoram_suspects_crashed (suspects, 1, "u", NULL, NULL);
    }
  ck_assert_uint_eq (marjoram_suspects_count (suspects), 10000);
  ck_assert_int_eq (marjoram_suspects_get (suspects, 2, digest),
                    MARJORAM_SUSPICION_SUSPECT);
  marjoram_suspects_destroy (suspects);
}
END_TEST

static void
try_start (struct cluster *c, int host, int upstream, int digest)
{
  char u[8], d[8];

  snprintf (u, sizeof u, "u%d", upstream);
  snprintf (d, sizeof d, "d%d", digest);
  /* The caller retries the crashing request only after a failure.  */
  if ((digest == CRASHING && c->crashing_runs > 0)
      || !may_start (c, host, u, d))
    return;
  start (c, host, u, d);
  c->runs[host][upstream][digest]++;
  c->crashing_runs += digest == CRASHING;
}

static void
try_end (struct cluster *c, int host, int upstream, int digest)
{
  char u[8], d[8];

  snprintf (u, sizeof u, "u%d", upstream);
  snprintf (d, sizeof d, "d%d", digest);
  if (digest == CRASHING || c->runs[host][upstream][digest] == 0)
    return;
  c->runs[host][upstream][digest]--;
  end (c, host, u, d);
  marjoram_suspects_cleared (c->hosts[host], c->now, d);
}

static void
try_crash (struct cluster *c, struct report_context *contexts, int upstream)
{
  char u[8];
  int crashing_runs = 0;

  for (int i = 0; i < HOSTS; i++)
    crashing_runs += c->runs[i][upstream][CRASHING];
  if (crashing_runs == 0)
    return;
  snprintf (u, sizeof u, "u%d", upstream);
  kill_upstream (c, contexts, u);
  c->crashing_runs -= crashing_runs;
  for (int i = 0; i < HOSTS; i++)
    memset (c->runs[i][upstream], 0, sizeof c->runs[i][upstream]);
}

/* Property test: whatever the order of events, a request that crashes each
   upstream is convicted after two crashes, and no other request is.  */
START_TEST (crashing_request_is_found_in_two_crashes)
{
  for (int seed = 1; seed <= SEEDS; seed++)
    {
      marjoram_random *random = marjoram_random_create (seed);
      struct cluster c;
      struct report_context contexts[HOSTS];

      open_cluster (&c, contexts);
      for (int i = 0; i < STEPS; i++)
        {
          int host = (int)marjoram_random_below (random, HOSTS);
          int upstream = (int)marjoram_random_below (random, UPSTREAMS);
          int digest = (int)marjoram_random_below (random, DIGESTS);

          c.now++;
          switch (marjoram_random_below (random, 5))
            {
            case 0:
            case 1:
              try_start (&c, host, upstream, digest);
              break;
            case 2:
            case 3:
              try_end (&c, host, upstream, digest);
              break;
            default:
              try_crash (&c, contexts, upstream);
              break;
            }
        }
      ck_assert_msg (c.crashes <= 2, "seed %d: %d deaths", seed, c.crashes);
      for (int i = 0; i < HOSTS; i++)
        for (int j = 0; j < DIGESTS; j++)
          {
            char d[8];

            snprintf (d, sizeof d, "d%d", j);
            ck_assert_msg (
                convicted (&c, i, d) == (j == CRASHING && c.crashes == 2),
                "seed %d: host %d, %s after %d deaths", seed, i, d, c.crashes);
          }
      close_cluster (&c);
      marjoram_random_destroy (random);
    }
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("suspect");
  TCase *c = tcase_create ("suspect");

  tcase_add_test (c, second_death_convicts_exactly_one);
  tcase_add_test (c, two_suspects_at_one_death_are_not_convicted);
  tcase_add_test (c, higher_suspicion_wins_and_expires);
  tcase_add_test (c, run_of_a_dead_host_expires);
  tcase_add_test (c, memory_is_bounded);
  tcase_add_test (c, crashing_request_is_found_in_two_crashes);
  tcase_set_timeout (c, TEST_SECONDS);
  suite_add_tcase (s, c);
  return s;
}
