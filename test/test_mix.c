/* Random concurrent faults over six simulated hosts in two zones: partitions,
   frame loss, host restarts without state, upstream failures, and callers that
   resend to any host.  Each seed is one schedule, whose whole history is
   checked.  The environment variables SEEDS and FIRST_SEED set the number of
   seeds and the first one.  */
#include "suite.h"

#include "lib_hosts.h"
#include "log.h"
#include "random.h"
#include "report.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  DEFAULT_SEEDS = 150,
  STEPS = 160,
  SENT_MAX = 512,
  KEYS_MAX = 64,
  UPSTREAMS = 4, /* two in each zone */
  STEP_MS = 100,
  DEADLINE_MS = 15000,
  RECOVERY_MS = 6000 /* minimum between restarts: hosts recover from peers */
};

/* One request sent by a caller.  */
struct sent_request
{
  uint64_t call;
  int key; /* -1 if idempotent */
  bool bound;
  bool verified;
  char body[32];
};

struct mix
{
  struct test_hosts *hosts;
  marjoram_random *random;
  uint64_t seed;
  struct sent_request sent_requests[SENT_MAX];
  int sent_count;
  char keys[KEYS_MAX][MARJORAM_KEY_MAX];
  int key_count;
  uint64_t incarnations[UPSTREAMS];
  bool up[UPSTREAMS];
  int64_t restarted;
  int first_open_run; /* all earlier runs are closed */
};

static uint32_t
random_below (struct mix *mix, uint32_t limit)
{
  return marjoram_random_below (mix->random, limit);
}

static void
announce (struct mix *mix, int upstream, bool leaving)
{
  bool first_zone = upstream < UPSTREAMS / 2;
  int host = (first_zone ? 0 : 3) + (int)random_below (mix, 3);
  char name[16];

  snprintf (name, sizeof name, "u%d", upstream);
  test_announce (mix->hosts, host, name, first_zone ? "a" : "b",
                 9000 + upstream, mix->incarnations[upstream], leaving);
  mix->up[upstream] = !leaving;
}

static void
send_one (struct mix *mix, int key)
{
  struct sent_request *sent = &mix->sent_requests[mix->sent_count];
  int host = (int)random_below (mix, HOSTS_MAX);

  if (mix->sent_count == SENT_MAX)
    return;
  sent->key = key;
  sent->bound = key < 0 && random_below (mix, 4) == 0;
  snprintf (sent->body, sizeof sent->body, key < 0 ? "plain%d" : "key%d",
            key < 0 ? mix->sent_count : key);
  sent->call = test_send (mix->hosts, host, sent->bound ? "bound" : "free",
                          sent->body, key < 0 ? NULL : mix->keys[key],
                          random_below (mix, 3) == 0, DEADLINE_MS);
  mix->sent_count++;
}

static void
send_new (struct mix *mix)
{
  json_t *entries;

  if (random_below (mix, 2) == 0 || mix->key_count == KEYS_MAX)
    {
      send_one (mix, -1);
      return;
    }
  entries = marjoram_report_entries (
      test_host (mix->hosts, (int)random_below (mix, HOSTS_MAX)),
      test_now (mix->hosts), test_now (mix->hosts) + TEST_WALL_OFFSET);
  snprintf (mix->keys[mix->key_count], MARJORAM_KEY_MAX, "%sk%d",
            json_string_value (json_object_get (entries, "key_prefix")),
            mix->key_count);
  json_decref (entries);
  send_one (mix, mix->key_count++);
}

static void
abort_run (struct mix *mix, struct test_run *run)
{
  bool died = random_below (mix, 2) == 0;
  char name[16];

  test_fail (mix->hosts, run, MARJORAM_RUN_BROKEN);
  snprintf (name, sizeof name, "u%s", run->address + strlen ("127.9.0.1:900"));
  test_probed (mix->hosts, run->host, name, !died);
}

/* Answers, fails or refuses a random subset of the open runs.  */
static void
process_runs (struct mix *mix)
{
  for (int i = mix->first_open_run; i < test_runs (mix->hosts); i++)
    {
      struct test_run *run = test_run (mix->hosts, i);
      char answer[80];

      if (!run->open)
        {
          mix->first_open_run += i == mix->first_open_run;
          continue;
        }
      if (random_below (mix, 3) > 0)
        continue;
      snprintf (answer, sizeof answer, "answer to %s", run->body);
      switch (random_below (mix, 12))
        {
        case 0:
          abort_run (mix, run);
          break;
        case 1:
          test_fail (mix->hosts, run, MARJORAM_RUN_REFUSED);
          break;
        case 2:
          test_head (mix->hosts, run);
          test_data (mix->hosts, run, "half of");
          abort_run (mix, run);
          break;
        default:
          test_answer (mix->hosts, run, answer);
        }
    }
}

static void
cut_or_heal_link (struct mix *mix)
{
  int a = (int)random_below (mix, HOSTS_MAX);
  int b = (int)random_below (mix, HOSTS_MAX);
  bool cut = random_below (mix, 2) == 0;

  if (a != b)
    test_cut (mix->hosts, a, b, cut);
}

static void
cut_zones (struct mix *mix, bool cut)
{
  for (int a = 0; a < 3; a++)
    for (int b = 3; b < HOSTS_MAX; b++)
      test_cut (mix->hosts, a, b, cut);
}

static void
restart_one (struct mix *mix)
{
  if (test_now (mix->hosts) - mix->restarted < RECOVERY_MS)
    return;
  mix->restarted = test_now (mix->hosts);
  test_restart (mix->hosts, (int)random_below (mix, HOSTS_MAX));
}

static void
inject_fault (struct mix *mix)
{
  int upstream = (int)random_below (mix, UPSTREAMS);

  switch (random_below (mix, 14))
    {
    case 0:
    case 1:
      cut_or_heal_link (mix);
      break;
    case 2:
      cut_zones (mix, true);
      break;
    case 3:
    case 4:
      cut_zones (mix, false);
      break;
    case 5:
      restart_one (mix);
      break;
    case 6:
      announce (mix, upstream, true);
      break;
    case 7:
      mix->incarnations[upstream]++;
      announce (mix, upstream, false);
      break;
    case 8:
      test_configure (mix->hosts, (uint64_t)test_now (mix->hosts), NULL);
      break;
    default:
      announce (mix, upstream, !mix->up[upstream]);
    }
}

/* Counts the runs of SENT among the first LIMIT runs.  */
static int
count_runs (const struct mix *mix, const struct sent_request *sent, int limit)
{
  int count = 0;

  for (int i = 0; i < limit; i++)
    count += !test_run (mix->hosts, i)->refused
             && strcmp (test_run (mix->hosts, i)->body, sent->body) == 0;
  return count;
}

/* Checks each new answer against the runs that had started when it was given.
 */
static void
verify_answers (struct mix *mix)
{
  for (int i = 0; i < mix->sent_count; i++)
    {
      struct sent_request *sent = &mix->sent_requests[i];
      const struct test_reply *reply = test_reply (mix->hosts, sent->call);
      char expected[80];

      if (sent->verified
          || (!reply->ended && !reply->refused && !reply->aborted))
        continue;
      sent->verified = true;
      snprintf (expected, sizeof expected, "answer to %s", sent->body);
      if (reply->ended)
        ck_assert_msg (strcmp (reply->body, expected) == 0,
                       "seed %d: '%s' got the answer '%s'", (int)mix->seed,
                       sent->body, reply->body);
      else if (reply->outcome == MARJORAM_OUTCOME_NOT_RUN)
        ck_assert_msg (count_runs (mix, sent, reply->runs_before) == 0,
                       "seed %d: '%s' was reported not-run (%s) but had run",
                       (int)mix->seed, sent->body,
                       marjoram_reason_name (reply->reason));
    }
}

static void
verify_history (struct mix *mix)
{
  int unanswered = 0;

  for (int i = 0; i < mix->sent_count; i++)
    {
      const struct sent_request *sent = &mix->sent_requests[i];
      const struct test_reply *reply = test_reply (mix->hosts, sent->call);

      unanswered += !sent->verified;
      if (sent->key >= 0)
        ck_assert_msg (count_runs (mix, sent, test_runs (mix->hosts)) <= 1,
                       "seed %d: '%s' ran %d times", (int)mix->seed,
                       sent->body,
                       count_runs (mix, sent, test_runs (mix->hosts)));
      else if (reply->refused && reply->outcome == MARJORAM_OUTCOME_NOT_RUN)
        ck_assert_msg (count_runs (mix, sent, test_runs (mix->hosts)) == 0,
                       "seed %d: '%s' was reported not-run but ran later",
                       (int)mix->seed, sent->body);
      for (int j = 0; sent->bound && j < test_runs (mix->hosts); j++)
        if (strcmp (test_run (mix->hosts, j)->body, sent->body) == 0)
          ck_assert_msg (test_run (mix->hosts, j)->host < 3,
                         "seed %d: '%s' left its region", (int)mix->seed,
                         sent->body);
    }
  /* Callers of restarted hosts get no answer.  */
  ck_assert_msg (unanswered < mix->sent_count,
                 "seed %d: no request was answered", (int)mix->seed);
}

static void
run_seed (uint64_t seed)
{
  struct mix *mix = calloc (1, sizeof *mix);

  mix->seed = seed;
  mix->random = marjoram_random_create (seed + 1);
  mix->hosts = test_hosts_create (HOSTS_MAX, seed);
  test_configure (mix->hosts, 1, NULL);
  for (int i = 0; i < UPSTREAMS; i++)
    announce (mix, i, false);
  test_advance_clock (mix->hosts, RECOVERY_MS);
  for (int step = 0; step < STEPS; step++)
    {
      if (random_below (mix, 3) == 0)
        inject_fault (mix);
      if (random_below (mix, 2) == 0)
        send_new (mix);
      if (mix->key_count > 0 && random_below (mix, 3) == 0)
        send_one (mix, (int)random_below (mix, (uint32_t)mix->key_count));
      verify_answers (mix);
      test_advance_clock (mix->hosts, STEP_MS);
      verify_answers (mix);
      process_runs (mix);
      verify_answers (mix);
    }
  test_advance_clock (mix->hosts, DEADLINE_MS + 1000);
  verify_answers (mix);
  verify_history (mix);
  test_hosts_destroy (mix->hosts);
  marjoram_random_destroy (mix->random);
  free (mix);
}

static uint64_t
env_uint64 (const char *name, uint64_t fallback)
{
  const char *text = getenv (name);

  return text ? strtoull (text, NULL, 10) : fallback;
}

START_TEST (guarantees_hold_under_random_faults)
{
  uint64_t first = env_uint64 ("FIRST_SEED", 1);
  uint64_t count = env_uint64 ("SEEDS", DEFAULT_SEEDS);

  for (uint64_t seed = first; seed < first + count; seed++)
    run_seed (seed);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("mix");
  TCase *c = tcase_create ("mix");

  marjoram_log_open ("test", getenv ("VERBOSE") ? MARJORAM_LOG_DEBUG
                                                : MARJORAM_LOG_ERROR);
  tcase_set_timeout (c, 0);
  tcase_add_test (c, guarantees_hold_under_random_faults);
  suite_add_tcase (s, c);
  return s;
}
