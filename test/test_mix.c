/* Random faults, several at once, over six hosts in two zones: links cut and
   healed, frames lost with them, hosts that restart empty, upstreams that
   break off, refuse, leave and come back, callers that go to any host and send
   again. Each seed is one schedule; the whole history is checked at its end.
   SEEDS and FIRST_SEED in the environment choose others.  */
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
  SENDINGS_MAX = 512,
  KEYS_MAX = 64,
  UPSTREAMS = 4, /* two in each zone */
  STEP_MS = 100,
  DEADLINE_MS = 15000,
  RECOVERY_MS = 6000 /* between restarts, as hosts recover from each other */
};

/* One sending of a request by its caller.  */
struct sending
{
  uint64_t call;
  int key; /* -1 if idempotent */
  bool bound;
  bool judged;
  char body[32];
};

struct mix
{
  struct test_hosts *hosts;
  marjoram_random *random;
  uint64_t seed;
  struct sending sendings[SENDINGS_MAX];
  int sending_count;
  char keys[KEYS_MAX][MARJORAM_KEY_MAX];
  int key_count;
  uint64_t incarnations[UPSTREAMS];
  bool up[UPSTREAMS];
  int64_t restarted;
  int answered; /* runs looked at so far */
};

static uint32_t
below (struct mix *mix, uint32_t limit)
{
  return marjoram_random_below (mix->random, limit);
}

static void
announce (struct mix *mix, int upstream, bool leaving)
{
  bool first_zone = upstream < UPSTREAMS / 2;
  int host = (first_zone ? 0 : 3) + (int)below (mix, 3);
  char name[16];

  snprintf (name, sizeof name, "u%d", upstream);
  test_announce (mix->hosts, host, name, first_zone ? "a" : "b",
                 9000 + upstream, mix->incarnations[upstream], leaving);
  mix->up[upstream] = !leaving;
}

static void
send_one (struct mix *mix, int key)
{
  struct sending *sending = &mix->sendings[mix->sending_count];
  int host = (int)below (mix, HOSTS_MAX);

  if (mix->sending_count == SENDINGS_MAX)
    return;
  sending->key = key;
  sending->bound = key < 0 && below (mix, 4) == 0;
  snprintf (sending->body, sizeof sending->body, key < 0 ? "plain%d" : "key%d",
            key < 0 ? mix->sending_count : key);
  sending->call = test_send (
      mix->hosts, host, sending->bound ? "bound" : "free", sending->body,
      key < 0 ? NULL : mix->keys[key], below (mix, 3) == 0, DEADLINE_MS);
  mix->sending_count++;
}

static void
send_new (struct mix *mix)
{
  json_t *entries;

  if (below (mix, 2) == 0 || mix->key_count == KEYS_MAX)
    {
      send_one (mix, -1);
      return;
    }
  entries = marjoram_report_entries (
      test_host (mix->hosts, (int)below (mix, HOSTS_MAX)),
      test_now (mix->hosts), test_now (mix->hosts) + TEST_WALL_OFFSET);
  snprintf (mix->keys[mix->key_count], MARJORAM_KEY_MAX, "%sk%d",
            json_string_value (json_object_get (entries, "key_prefix")),
            mix->key_count);
  json_decref (entries);
  send_one (mix, mix->key_count++);
}

static void
break_off (struct mix *mix, struct test_run *run)
{
  bool died = below (mix, 2) == 0;
  char name[16];

  test_fail (mix->hosts, run, MARJORAM_RUN_BROKEN);
  snprintf (name, sizeof name, "u%s", run->address + strlen ("127.9.0.1:900"));
  test_probed (mix->hosts, run->host, name, !died);
}

/* Answers, breaks off or refuses one open run.  */
static void
work_on_runs (struct mix *mix)
{
  for (int i = mix->answered; i < test_runs (mix->hosts); i++)
    {
      struct test_run *run = test_run (mix->hosts, i);
      char answer[80];

      if (!run->open)
        {
          mix->answered += i == mix->answered;
          continue;
        }
      if (below (mix, 3) > 0)
        continue;
      snprintf (answer, sizeof answer, "answer to %s", run->body);
      switch (below (mix, 12))
        {
        case 0:
          break_off (mix, run);
          break;
        case 1:
          test_fail (mix->hosts, run, MARJORAM_RUN_REFUSED);
          break;
        case 2:
          test_head (mix->hosts, run);
          test_data (mix->hosts, run, "half of");
          break_off (mix, run);
          break;
        default:
          test_answer (mix->hosts, run, answer);
        }
    }
}

static void
change_links (struct mix *mix)
{
  int a = (int)below (mix, HOSTS_MAX);
  int b = (int)below (mix, HOSTS_MAX);
  bool cut = below (mix, 2) == 0;

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
  test_restart (mix->hosts, (int)below (mix, HOSTS_MAX));
}

static void
disturb (struct mix *mix)
{
  int upstream = (int)below (mix, UPSTREAMS);

  switch (below (mix, 14))
    {
    case 0:
    case 1:
      change_links (mix);
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

/* Runs of SENDING's request among the first LIMIT ones.  */
static int
runs_of (const struct mix *mix, const struct sending *sending, int limit)
{
  int count = 0;

  for (int i = 0; i < limit; i++)
    count += !test_run (mix->hosts, i)->refused
             && strcmp (test_run (mix->hosts, i)->body, sending->body) == 0;
  return count;
}

/* At the moment of the answer: what is told must be true then.  */
static void
judge_answers (struct mix *mix)
{
  for (int i = 0; i < mix->sending_count; i++)
    {
      struct sending *sending = &mix->sendings[i];
      const struct test_reply *reply = test_reply (mix->hosts, sending->call);
      char expected[80];

      if (sending->judged || (!reply->ended && !reply->refused && !reply->cut))
        continue;
      sending->judged = true;
      snprintf (expected, sizeof expected, "answer to %s", sending->body);
      if (reply->ended)
        ck_assert_msg (strcmp (reply->body, expected) == 0,
                       "seed %d: '%s' was answered '%s'", (int)mix->seed,
                       sending->body, reply->body);
      else if (reply->outcome == MARJORAM_OUTCOME_NOT_RUN)
        ck_assert_msg (runs_of (mix, sending, reply->runs_before) == 0,
                       "seed %d: '%s' was told not-run (%s) but ran",
                       (int)mix->seed, sending->body,
                       marjoram_reason_name (reply->reason));
    }
}

static void
judge_history (struct mix *mix)
{
  int unanswered = 0;

  for (int i = 0; i < mix->sending_count; i++)
    {
      const struct sending *sending = &mix->sendings[i];
      const struct test_reply *reply = test_reply (mix->hosts, sending->call);

      unanswered += !sending->judged;
      if (sending->key >= 0)
        ck_assert_msg (runs_of (mix, sending, test_runs (mix->hosts)) <= 1,
                       "seed %d: '%s' ran %d times", (int)mix->seed,
                       sending->body,
                       runs_of (mix, sending, test_runs (mix->hosts)));
      else if (reply->refused && reply->outcome == MARJORAM_OUTCOME_NOT_RUN)
        ck_assert_msg (runs_of (mix, sending, test_runs (mix->hosts)) == 0,
                       "seed %d: '%s' was told not-run and ran later",
                       (int)mix->seed, sending->body);
      for (int j = 0; sending->bound && j < test_runs (mix->hosts); j++)
        if (strcmp (test_run (mix->hosts, j)->body, sending->body) == 0)
          ck_assert_msg (test_run (mix->hosts, j)->host < 3,
                         "seed %d: '%s' left its region", (int)mix->seed,
                         sending->body);
    }
  /* Callers of hosts that restarted get no answer; nobody else may wait past
     the deadline.  */
  ck_assert_msg (unanswered < mix->sending_count,
                 "seed %d: nobody was answered", (int)mix->seed);
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
  test_pass (mix->hosts, RECOVERY_MS);
  for (int step = 0; step < STEPS; step++)
    {
      if (below (mix, 3) == 0)
        disturb (mix);
      if (below (mix, 2) == 0)
        send_new (mix);
      if (mix->key_count > 0 && below (mix, 3) == 0)
        send_one (mix, (int)below (mix, (uint32_t)mix->key_count));
      judge_answers (mix);
      test_pass (mix->hosts, STEP_MS);
      judge_answers (mix);
      work_on_runs (mix);
      judge_answers (mix);
    }
  test_pass (mix->hosts, DEADLINE_MS + 1000);
  judge_answers (mix);
  judge_history (mix);
  test_hosts_destroy (mix->hosts);
  marjoram_random_destroy (mix->random);
  free (mix);
}

static uint64_t
setting (const char *name, uint64_t fallback)
{
  const char *text = getenv (name);

  return text ? strtoull (text, NULL, 10) : fallback;
}

START_TEST (promises_hold_under_random_faults)
{
  uint64_t first = setting ("FIRST_SEED", 1);
  uint64_t count = setting ("SEEDS", DEFAULT_SEEDS);

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
  tcase_add_test (c, promises_hold_under_random_faults);
  suite_add_tcase (s, c);
  return s;
}
