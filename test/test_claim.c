/* Claims of one zone: three hosts, driven through their real messages, which
   a test loses, repeats, delays and reorders as it likes.  */
#include "suite.h"

#include "claim_message.h"
#include "cleanup.h"
#include "random.h"

#include <stdio.h>
#include <string.h>

enum
{
  HOSTS_MAX = 5,
  BAG_MAX = 4096,
  ATTEMPTS_MAX = 64,
  KEYS = 2,
  SEEDS = 200,
  TIMEOUT_MS = 1000,
  QUIET_MS = 3000,
  REPLAY_MS = 60000,
  RETENTION_MS = 24 * 3600 * 1000,
  START_WALL = 1000000000,
  LEAD_MS = 12000 /* past any horizon set at the start */
};

#define UNDECIDED (-1)
#define ANY (-1)

struct letter
{
  int from;
  int to;
  uint64_t kind;
  marjoram_bytes *bytes;
};

struct zone;

struct host
{
  struct zone *zone;
  int ordinal;
  uint64_t incarnation;
  int64_t skew; /* of the wall clock */
  marjoram_claims *claims;
};

/* One acquire, as its caller sees it.  */
struct attempt
{
  int host;
  int key;
  uint64_t incarnation; /* of the host when it was asked */
  int verdict;
  bool withdrawn;
  bool acted;
  bool finished;
  char replayed[32];
};

struct zone
{
  int count;
  int64_t now;
  struct host hosts[HOSTS_MAX];
  struct letter bag[BAG_MAX];
  int letters;
  struct attempt attempts[ATTEMPTS_MAX];
  int attempt_count;
  int64_t issued[KEYS];
  int runs[KEYS];
  int decisions;
};

static void
post (void *context, int ordinal, const struct marjoram_claim_message *message)
{
  const struct host *host = context;
  struct zone *zone = host->zone;

  /* A full bag loses letters, as a full link does.  */
  if (zone->letters == BAG_MAX)
    return;
  zone->bag[zone->letters++]
      = (struct letter){ host->ordinal, ordinal, message->kind,
                         marjoram_wire_pack (&marjoram_claim_layout,
                                             message) };
}

static void
decided (void *context, uint64_t number, enum marjoram_claim_verdict verdict,
         const struct marjoram_kept_answer *kept)
{
  const struct host *host = context;
  struct attempt *attempt = &host->zone->attempts[number];

  ck_assert_int_eq (attempt->verdict, UNDECIDED);
  ck_assert (!attempt->withdrawn);
  attempt->verdict = (int)verdict;
  host->zone->decisions++;
  if (verdict == MARJORAM_CLAIM_REPLAY)
    snprintf (attempt->replayed, sizeof attempt->replayed, "%.*s",
              (int)marjoram_bytes_size (kept->body),
              (const char *)marjoram_bytes_data (kept->body));
}

static int64_t
wall (const struct zone *zone, int host)
{
  return START_WALL + zone->now + zone->hosts[host].skew;
}

static void
tick (struct zone *zone, int host)
{
  marjoram_claims_tick (zone->hosts[host].claims, zone->now,
                        wall (zone, host));
}

static void
restart (struct zone *zone, int ordinal)
{
  static const struct marjoram_claims_ops ops = { post, decided };
  struct host *host = &zone->hosts[ordinal];
  struct marjoram_claims_options options
      = { zone->count,  ordinal,   ++host->incarnation,
          RETENTION_MS, REPLAY_MS, TIMEOUT_MS };

  marjoram_claims_destroy (host->claims);
  host->zone = zone;
  host->ordinal = ordinal;
  host->claims = marjoram_claims_create (&options, &ops, host);
  tick (zone, ordinal);
}

static void
take_out (struct zone *zone, int index)
{
  marjoram_bytes_release (zone->bag[index].bytes);
  zone->letters--;
  memmove (&zone->bag[index], &zone->bag[index + 1],
           (zone->letters - index) * sizeof *zone->bag);
}

/* Delivers a letter and leaves it in the bag.  */
static void
show (struct zone *zone, int index)
{
  const struct letter *letter = &zone->bag[index];
  marjoram_bytes *bytes = marjoram_bytes_retain (letter->bytes);
  struct marjoram_claim_message *message = marjoram_wire_unpack (
      &marjoram_claim_layout, marjoram_bytes_data (bytes),
      marjoram_bytes_size (bytes), NULL);

  ck_assert_ptr_nonnull (message);
  marjoram_claims_receive (zone->hosts[letter->to].claims, zone->now,
                           letter->from, message);
  marjoram_wire_destroy (&marjoram_claim_layout, message);
  marjoram_bytes_release (bytes);
}

static void
deliver (struct zone *zone, int index)
{
  struct letter letter = zone->bag[index];

  marjoram_bytes_retain (letter.bytes);
  show (zone, index);
  marjoram_bytes_release (letter.bytes);
  take_out (zone, index);
}

static bool
matches (const struct letter *letter, int kind, int from, int to)
{
  return (kind == ANY || letter->kind == (uint64_t)kind)
         && (from == ANY || letter->from == from)
         && (to == ANY || letter->to == to);
}

/* Delivers the matching letters that are in the bag now.  */
static void
pass (struct zone *zone, int kind, int from, int to)
{
  for (int i = 0, left = zone->letters; left > 0; left--)
    if (matches (&zone->bag[i], kind, from, to))
      deliver (zone, i);
    else
      i++;
}

static void
lose (struct zone *zone, int kind, int from, int to)
{
  for (int i = 0; i < zone->letters;)
    if (matches (&zone->bag[i], kind, from, to))
      take_out (zone, i);
    else
      i++;
}

/* Lets time pass with a link that loses nothing, but for hosts in DEAD, a bit
   for each.  */
static void
run_for (struct zone *zone, int64_t ms, unsigned dead)
{
  for (int64_t end = zone->now + ms; zone->now < end; zone->now += 50)
    {
      for (int i = 0; i < zone->count; i++)
        if (!(dead & 1U << i))
          tick (zone, i);
      for (int i = 0; i < zone->count; i++)
        if (dead & 1U << i)
          {
            lose (zone, ANY, i, ANY);
            lose (zone, ANY, ANY, i);
          }
      for (int rounds = 0; zone->letters > 0 && rounds < 20; rounds++)
        {
          pass (zone, ANY, ANY, ANY);
          for (int i = 0; i < zone->count; i++)
            if (dead & 1U << i)
              lose (zone, ANY, ANY, i);
        }
    }
}

static void
open_zone (struct zone *zone, int count)
{
  memset (zone, 0, sizeof *zone);
  zone->count = count;
  for (int i = 0; i < count; i++)
    restart (zone, i);
  run_for (zone, 200, 0);
  zone->now += LEAD_MS;
  run_for (zone, 100, 0);
  for (int i = 0; i < KEYS; i++)
    zone->issued[i] = wall (zone, 0);
  lose (zone, ANY, ANY, ANY);
}

static void
close_zone (struct zone *zone)
{
  lose (zone, ANY, ANY, ANY);
  for (int i = 0; i < zone->count; i++)
    marjoram_claims_destroy (zone->hosts[i].claims);
}

static int
acquire_body (struct zone *zone, int host, int key, const char *body)
{
  int number = zone->attempt_count++;
  char name[MARJORAM_KEY_MAX];

  ck_assert_int_lt (number, ATTEMPTS_MAX);
  zone->attempts[number]
      = (struct attempt){ .host = host,
                          .key = key,
                          .incarnation = zone->hosts[host].incarnation,
                          .verdict = UNDECIDED };
  snprintf (name, sizeof name, "z.%llx.%d",
            (unsigned long long)zone->issued[key], key);
  marjoram_claims_acquire (zone->hosts[host].claims, zone->now,
                           wall (zone, host), number, name, zone->issued[key],
                           body);
  return number;
}

static int
acquire (struct zone *zone, int host, int key)
{
  return acquire_body (zone, host, key, "body");
}

static bool
host_lives (const struct zone *zone, const struct attempt *attempt)
{
  return zone->hosts[attempt->host].incarnation == attempt->incarnation;
}

/* The attempt does what it was granted.  */
static void
act (struct zone *zone, int number)
{
  struct attempt *attempt = &zone->attempts[number];

  if (attempt->verdict != MARJORAM_CLAIM_RUN || attempt->withdrawn
      || attempt->acted || !host_lives (zone, attempt))
    return;
  attempt->acted = true;
  zone->runs[attempt->key]++;
}

static void
withdraw (struct zone *zone, int number)
{
  struct attempt *attempt = &zone->attempts[number];

  if (attempt->acted || !host_lives (zone, attempt))
    return;
  attempt->withdrawn = true;
  marjoram_claims_withdraw (zone->hosts[attempt->host].claims, zone->now,
                            number);
}

static void
finish (struct zone *zone, int number, bool keep)
{
  struct attempt *attempt = &zone->attempts[number];
  struct marjoram_kept_answer kept = { 200, (char *)"text/plain", NULL };
  char body[32];

  if (!attempt->acted || attempt->finished || !host_lives (zone, attempt))
    return;
  attempt->finished = true;
  snprintf (body, sizeof body, "answer of %d", number);
  kept.body = marjoram_bytes_create (body, strlen (body));
  marjoram_claims_finish (zone->hosts[attempt->host].claims, zone->now, number,
                          keep ? &kept : NULL);
  marjoram_bytes_release (kept.body);
}

static int
verdict (const struct zone *zone, int number)
{
  return zone->attempts[number].verdict;
}

START_TEST (grants_one_and_replays_it)
{
  struct zone zone;
  int first, second, third;

  open_zone (&zone, 3);
  first = acquire (&zone, 0, 0);
  run_for (&zone, 100, 0);
  ck_assert_int_eq (verdict (&zone, first), MARJORAM_CLAIM_RUN);
  act (&zone, first);
  second = acquire (&zone, 1, 0);
  run_for (&zone, 200, 0);
  ck_assert_int_eq (verdict (&zone, second), MARJORAM_CLAIM_RUNNING);
  finish (&zone, first, true);
  run_for (&zone, 200, 0);
  third = acquire (&zone, 2, 0);
  run_for (&zone, 200, 0);
  ck_assert_int_eq (verdict (&zone, third), MARJORAM_CLAIM_REPLAY);
  ck_assert_str_eq (zone.attempts[third].replayed, "answer of 0");
  close_zone (&zone);
}
END_TEST

/* What a seeded schedule may do.  */
struct schedule
{
  int hosts;
  int attempts;
  int restarts;
  int steps;
  int withdrawals; /* in percent of the chances */
};

static int
pick (marjoram_random *random, int limit)
{
  return (int)marjoram_random_below (random, (uint32_t)limit);
}

static void
random_letter (struct zone *zone, marjoram_random *random)
{
  int fate = pick (random, 100);
  int index;

  if (zone->letters == 0)
    return;
  index = pick (random, zone->letters);
  if (fate < 8)
    take_out (zone, index);
  else if (fate < 25)
    show (zone, index);
  else
    deliver (zone, index);
}

static void
random_event (struct zone *zone, marjoram_random *random,
              const struct schedule *schedule, int *restarts)
{
  int chance = pick (random, 100);
  int host = pick (random, zone->count);

  if (chance < 62)
    random_letter (zone, random);
  else if (chance < 74)
    tick (zone, host);
  else if (chance < 80)
    zone->now += pick (random, 100);
  else if (chance < 88 && zone->attempt_count < schedule->attempts)
    acquire (zone, host, pick (random, KEYS));
  else if (chance < 92 && *restarts < schedule->restarts)
    {
      ++*restarts;
      restart (zone, host);
    }
  else if (zone->attempt_count > 0)
    {
      int number = pick (random, zone->attempt_count);

      if (pick (random, 100) < schedule->withdrawals)
        withdraw (zone, number);
      else if (pick (random, 2) == 0)
        act (zone, number);
      else
        finish (zone, number, pick (random, 4) > 0);
    }
}

static void
check_history (const struct zone *zone, uint64_t seed)
{
  for (int i = 0; i < zone->attempt_count; i++)
    {
      const struct attempt *attempt = &zone->attempts[i];
      int answered = -1;

      ck_assert_msg (attempt->verdict != UNDECIDED || attempt->withdrawn
                         || !host_lives (zone, attempt),
                     "seed %d: attempt %d is left undecided", (int)seed, i);
      if (attempt->verdict != MARJORAM_CLAIM_REPLAY)
        continue;
      sscanf (attempt->replayed, "answer of %d", &answered);
      ck_assert_msg (answered >= 0 && zone->attempts[answered].acted
                         && zone->attempts[answered].key == attempt->key,
                     "seed %d: attempt %d got a foreign answer", (int)seed, i);
    }
  for (int i = 0; i < KEYS; i++)
    ck_assert_msg (zone->runs[i] <= 1, "seed %d: key %d ran %d times",
                   (int)seed, i, zone->runs[i]);
}

/* After all, a new key must find the zone in working order.  */
static void
check_service (struct zone *zone, uint64_t seed)
{
  int number;

  for (int i = 0; i < zone->attempt_count; i++)
    {
      act (zone, i);
      finish (zone, i, true);
    }
  run_for (zone, LEAD_MS, 0);
  zone->issued[0]
      = marjoram_claims_issue_time (zone->hosts[0].claims, wall (zone, 0));
  zone->runs[0] = 0;
  number = acquire (zone, (int)(seed % zone->count), 0);
  run_for (zone, TIMEOUT_MS, 0);
  ck_assert_msg (verdict (zone, number) == MARJORAM_CLAIM_RUN,
                 "seed %d: a new key got verdict %d", (int)seed,
                 verdict (zone, number));
}

static void
run_schedule (const struct schedule *schedule, uint64_t seed)
{
  marjoram_random *random = marjoram_random_create (seed);
  struct zone zone;
  int restarts = 0;

  open_zone (&zone, schedule->hosts);
  for (int i = 0; i < zone.count; i++)
    zone.hosts[i].skew = pick (random, 500);
  for (int i = 0; i < schedule->steps; i++)
    random_event (&zone, random, schedule, &restarts);
  run_for (&zone, QUIET_MS, 0);
  for (int i = 0; i < zone.attempt_count; i++)
    act (&zone, i);
  check_history (&zone, seed);
  check_service (&zone, seed);
  close_zone (&zone);
  marjoram_random_destroy (random);
}

/* Callers resend one key to several hosts while links lose, repeat and
   reorder, hosts restart empty and attempts give up.  What a user would see
   without the rules: a room flip done twice, or a key that is never answered.
   Each seed is one such schedule.  */
START_TEST (runs_at_most_once_in_random_schedules)
{
  static const struct schedule schedules[] = {
    { 3, 4, 1, 150, 20 },  { 3, 8, 2, 300, 40 },  { 3, 6, 0, 200, 60 },
    { 3, 12, 6, 500, 20 }, { 2, 6, 2, 200, 30 },  { 1, 6, 2, 100, 30 },
    { 4, 8, 2, 300, 30 },  { 5, 10, 3, 400, 30 },
  };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    run_schedule (&schedules[_i], seed);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("claim");
  TCase *c = tcase_create ("claim");

  tcase_add_test (c, grants_one_and_replays_it);
  tcase_add_loop_test (c, runs_at_most_once_in_random_schedules, 0, 8);
  suite_add_tcase (s, c);
  return s;
}
