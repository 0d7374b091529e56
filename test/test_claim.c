/* Claims of one zone, on up to five hosts that exchange packed messages.  The
   tests drop, duplicate, delay and reorder them.  */
#include "suite.h"

#include "claim_message.h"
#include "cleanup.h"
#include "random.h"

#include <stdio.h>
#include <string.h>

enum
{
  HOSTS_MAX = 5,
  QUEUE_MAX = 4096,
  ATTEMPTS_MAX = 64,
  OLD_KEYS = 2, /* issued by open_zone, the others during the test */
  KEYS = 5,
  SEEDS = 200,
  TEST_SECONDS = 60,
  TIMEOUT_MS = 1000,
  SETTLE_MS = 3000,
  TWO_TIMEOUTS_MS = 2 * TIMEOUT_MS,
  REPLAY_MS = 60000,
  RETENTION_MS = 24 * 3600 * 1000,
  START_WALL = 1000000000,
  LEAD_MS = 12000, /* longer than the horizon set at start */
  TWICE_LEAD_MS = 2 * LEAD_MS
};

#define UNDECIDED (-1)
#define ANY (-1)

struct packet
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

/* One acquire, from the caller's point of view.  */
struct attempt
{
  int host;
  int key;
  uint64_t incarnation; /* of the host at the time of the acquire */
  int verdict;
  bool withdrawn;
  bool executed;
  bool finished;
  char replayed[32];
};

struct zone
{
  int count;
  int64_t now;
  struct host hosts[HOSTS_MAX];
  struct packet queue[QUEUE_MAX];
  int packet_count;
  struct attempt attempts[ATTEMPTS_MAX];
  int attempt_count;
  int64_t issued[KEYS];
  int run_counts[KEYS];
  int decisions;
};

static void
on_send (void *context, int ordinal,
         const struct marjoram_claim_message *message)
{
  const struct host *host = context;
  struct zone *zone = host->zone;

  /* A full queue drops packets, as a full link does.  */
  if (zone->packet_count == QUEUE_MAX)
    return;
  zone->queue[zone->packet_count++]
      = (struct packet){ host->ordinal, ordinal, message->kind,
                         marjoram_wire_pack (&marjoram_claim_layout,
                                             message) };
}

static void
on_decided (void *context, uint64_t number,
            enum marjoram_claim_verdict verdict,
            const struct marjoram_stored_answer *kept)
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
  static const struct marjoram_claims_ops ops = { on_send, on_decided };
  struct host *host = &zone->hosts[ordinal];
  struct marjoram_claims_options options
      = { zone->count,  ordinal,   ++host->incarnation,
          RETENTION_MS, REPLAY_MS, TIMEOUT_MS };

  zone->now++;
  marjoram_claims_destroy (host->claims);
  host->zone = zone;
  host->ordinal = ordinal;
  host->claims = marjoram_claims_create (&options, &ops, host);
  tick (zone, ordinal);
}

static void
remove_packet (struct zone *zone, int index)
{
  marjoram_bytes_release (zone->queue[index].bytes);
  zone->packet_count--;
  memmove (&zone->queue[index], &zone->queue[index + 1],
           (zone->packet_count - index) * sizeof *zone->queue);
}

/* Delivers a packet and leaves it queued, so that it arrives twice.  */
static void
deliver_copy (struct zone *zone, int index)
{
  const struct packet *packet = &zone->queue[index];
  marjoram_bytes *bytes = marjoram_bytes_retain (packet->bytes);
  struct marjoram_claim_message *message = marjoram_wire_unpack (
      &marjoram_claim_layout, marjoram_bytes_data (bytes),
      marjoram_bytes_size (bytes), NULL);

  ck_assert_ptr_nonnull (message);
  marjoram_claims_receive (zone->hosts[packet->to].claims, zone->now,
                           packet->from, message);
  marjoram_wire_destroy (&marjoram_claim_layout, message);
  marjoram_bytes_release (bytes);
}

static void
deliver (struct zone *zone, int index)
{
  struct packet packet = zone->queue[index];

  marjoram_bytes_retain (packet.bytes);
  deliver_copy (zone, index);
  marjoram_bytes_release (packet.bytes);
  remove_packet (zone, index);
}

static bool
matches (const struct packet *packet, int kind, int from, int to)
{
  return (kind == ANY || packet->kind == (uint64_t)kind)
         && (from == ANY || packet->from == from)
         && (to == ANY || packet->to == to);
}

/* Delivers the matching packets queued at the time of the call.  */
static void
deliver_matching (struct zone *zone, int kind, int from, int to)
{
  for (int i = 0, left = zone->packet_count; left > 0; left--)
    if (matches (&zone->queue[i], kind, from, to))
      deliver (zone, i);
    else
      i++;
}

static void
drop_matching (struct zone *zone, int kind, int from, int to)
{
  for (int i = 0; i < zone->packet_count;)
    if (matches (&zone->queue[i], kind, from, to))
      remove_packet (zone, i);
    else
      i++;
}

/* Advances time with reliable delivery, except for the hosts in the bit mask
   DEAD, which neither tick nor exchange messages.  */
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
            drop_matching (zone, ANY, i, ANY);
            drop_matching (zone, ANY, ANY, i);
          }
      for (int rounds = 0; zone->packet_count > 0 && rounds < 20; rounds++)
        {
          deliver_matching (zone, ANY, ANY, ANY);
          for (int i = 0; i < zone->count; i++)
            if (dead & 1U << i)
              drop_matching (zone, ANY, ANY, i);
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
  for (int i = 0; i < OLD_KEYS; i++)
    zone->issued[i] = wall (zone, 0);
  drop_matching (zone, ANY, ANY, ANY);
}

static void
close_zone (struct zone *zone)
{
  drop_matching (zone, ANY, ANY, ANY);
  for (int i = 0; i < zone->count; i++)
    marjoram_claims_destroy (zone->hosts[i].claims);
}

static int
acquire_body (struct zone *zone, int host, int key, const char *body)
{
  int number = zone->attempt_count++;
  char name[MARJORAM_KEY_MAX];

  ck_assert_int_lt (number, ATTEMPTS_MAX);
  if (zone->issued[key] == 0)
    zone->issued[key] = marjoram_claims_issue_time (zone->hosts[host].claims,
                                                    wall (zone, host));
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
is_same_incarnation (const struct zone *zone, const struct attempt *attempt)
{
  return zone->hosts[attempt->host].incarnation == attempt->incarnation;
}

/* Executes the request of an attempt that was granted.  */
static void
execute (struct zone *zone, int number)
{
  struct attempt *attempt = &zone->attempts[number];

  if (attempt->verdict != MARJORAM_CLAIM_RUN || attempt->withdrawn
      || attempt->executed || !is_same_incarnation (zone, attempt))
    return;
  attempt->executed = true;
  zone->run_counts[attempt->key]++;
}

static void
withdraw (struct zone *zone, int number)
{
  struct attempt *attempt = &zone->attempts[number];

  if (attempt->executed || !is_same_incarnation (zone, attempt))
    return;
  attempt->withdrawn = true;
  marjoram_claims_withdraw (zone->hosts[attempt->host].claims, zone->now,
                            number);
}

static void
finish (struct zone *zone, int number, bool keep)
{
  struct attempt *attempt = &zone->attempts[number];
  struct marjoram_stored_answer kept = { 200, (char *)"text/plain", NULL };
  char body[32];

  if (!attempt->executed || attempt->finished
      || !is_same_incarnation (zone, attempt))
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
  execute (&zone, first);
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

/* Limits of a seeded random schedule.  */
struct schedule
{
  int hosts;
  int attempts;
  int restarts;
  int steps;
  int withdrawals; /* percentage of attempt events */
};

static int
pick (marjoram_random *random, int limit)
{
  return (int)marjoram_random_below (random, (uint32_t)limit);
}

static void
random_delivery (struct zone *zone, marjoram_random *random)
{
  int roll = pick (random, 100);
  int index;

  if (zone->packet_count == 0)
    return;
  index = pick (random, zone->packet_count);
  if (roll < 8)
    remove_packet (zone, index);
  else if (roll < 25)
    deliver_copy (zone, index);
  else
    deliver (zone, index);
}

static void
random_event (struct zone *zone, marjoram_random *random,
              const struct schedule *schedule, int *restarts)
{
  int event = pick (random, 100);
  int host = pick (random, zone->count);

  if (event < 62)
    random_delivery (zone, random);
  else if (event < 74)
    tick (zone, host);
  else if (event < 80)
    zone->now += pick (random, 100);
  else if (event < 88 && zone->attempt_count < schedule->attempts)
    acquire (zone, host, pick (random, KEYS));
  else if (event < 92 && *restarts < schedule->restarts)
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
        execute (zone, number);
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
                         || !is_same_incarnation (zone, attempt),
                     "seed %d: attempt %d has no verdict", (int)seed, i);
      if (attempt->verdict != MARJORAM_CLAIM_REPLAY)
        continue;
      sscanf (attempt->replayed, "answer of %d", &answered);
      ck_assert_msg (
          answered >= 0 && zone->attempts[answered].executed
              && zone->attempts[answered].key == attempt->key,
          "seed %d: attempt %d replays an answer not given to its key",
          (int)seed, i);
    }
  for (int i = 0; i < KEYS; i++)
    ck_assert_msg (zone->run_counts[i] <= 1, "seed %d: key %d ran %d times",
                   (int)seed, i, zone->run_counts[i]);
}

static void
check_new_key_is_granted (struct zone *zone, uint64_t seed)
{
  int number;

  for (int i = 0; i < zone->attempt_count; i++)
    {
      execute (zone, i);
      finish (zone, i, true);
    }
  run_for (zone, LEAD_MS, 0);
  zone->issued[0]
      = marjoram_claims_issue_time (zone->hosts[0].claims, wall (zone, 0));
  zone->run_counts[0] = 0;
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
  run_for (&zone, SETTLE_MS, 0);
  for (int i = 0; i < zone.attempt_count; i++)
    execute (&zone, i);
  check_history (&zone, seed);
  check_new_key_is_granted (&zone, seed);
  close_zone (&zone);
  marjoram_random_destroy (random);
}

/* Guards against a request that runs twice, or is never decided, under random
   loss, duplication, reordering, restarts and withdrawals.  */
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

/* Acquires at HOST, waits until after the timeout and returns the verdict.  */
static int
acquire_and_wait (struct zone *zone, int host, int key, unsigned dead)
{
  int number = acquire (zone, host, key);

  run_for (zone, TIMEOUT_MS + 200, dead);
  return verdict (zone, number);
}

static int
acquire_and_execute (struct zone *zone, int host, int key)
{
  int number = acquire (zone, host, key);

  run_for (zone, 100, 0);
  ck_assert_int_eq (verdict (zone, number), MARJORAM_CLAIM_RUN);
  execute (zone, number);
  return number;
}

/* Host 0 votes for A, restarts, and votes for B.  If its first vote still
   counted, both would have a majority and the request would run twice.  */
START_TEST (vote_of_a_restarted_host_does_not_count)
{
  struct zone zone;
  int a, b;

  open_zone (&zone, 5);
  a = acquire (&zone, 4, 0);
  drop_matching (&zone, MARJORAM_CLAIM_ASK, 4, 1);
  drop_matching (&zone, MARJORAM_CLAIM_ASK, 4, 2);
  deliver_matching (&zone, MARJORAM_CLAIM_ASK, 4, 0);
  restart (&zone, 0);
  drop_matching (&zone, MARJORAM_CLAIM_RECOVER, 0, 4);
  deliver_matching (&zone, MARJORAM_CLAIM_RECOVER, ANY, ANY);
  deliver_matching (&zone, MARJORAM_CLAIM_STATE, ANY, ANY);
  b = acquire (&zone, 1, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_ASK, 1, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_ASK, 1, 2);
  deliver_matching (&zone, MARJORAM_CLAIM_ANSWER, ANY, 1);
  ck_assert_int_eq (verdict (&zone, b), MARJORAM_CLAIM_RUN);
  deliver_matching (&zone, MARJORAM_CLAIM_ASK, 4, 3);
  deliver_matching (&zone, MARJORAM_CLAIM_ANSWER, 0, 4);
  deliver_matching (&zone, MARJORAM_CLAIM_ANSWER, 3, 4);
  run_for (&zone, TIMEOUT_MS + 200, 0);
  ck_assert_int_eq (verdict (&zone, a), MARJORAM_CLAIM_RUNNING);
  close_zone (&zone);
}
END_TEST

/* Host 0 voted for A, restarts, and recovers from host 2 alone, which does not
   know A.  Completing recovery on that basis would let B run as well.  */
START_TEST (recovery_needs_more_than_one_peer)
{
  struct zone zone;
  int a, b;

  open_zone (&zone, 3);
  a = acquire (&zone, 1, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_ASK, 1, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_ANSWER, 0, 1);
  ck_assert_int_eq (verdict (&zone, a), MARJORAM_CLAIM_RUN);
  drop_matching (&zone, ANY, 1, ANY);
  restart (&zone, 0);
  b = acquire (&zone, 2, 0);
  run_for (&zone, TIMEOUT_MS + 200, 1U << 1);
  ck_assert_int_eq (verdict (&zone, b), MARJORAM_CLAIM_LOST);
  close_zone (&zone);
}
END_TEST

/* Host 0 votes for A between two restarts, and a duplicate of the state sent
   for its first recovery arrives during the second.  That state lacks A; using
   it would let B run as well.  */
START_TEST (state_for_an_earlier_incarnation_is_ignored)
{
  struct zone zone;
  int a;

  open_zone (&zone, 3);
  restart (&zone, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_RECOVER, 0, ANY);
  for (int i = 0; i < zone.packet_count; i++)
    if (matches (&zone.queue[i], MARJORAM_CLAIM_STATE, 1, 0))
      deliver_copy (&zone, i);
  deliver_matching (&zone, MARJORAM_CLAIM_STATE, 2, 0);
  a = acquire (&zone, 1, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_ASK, 1, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_ANSWER, 0, 1);
  ck_assert_int_eq (verdict (&zone, a), MARJORAM_CLAIM_RUN);
  restart (&zone, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_STATE, 1, 0);
  ck_assert_int_ne (acquire_and_wait (&zone, 2, 0, 1U << 1),
                    MARJORAM_CLAIM_RUN);
  close_zone (&zone);
}
END_TEST

/* Host 3 sends its state to host 0, restarts, and votes for A.  Host 0 must
   not recover from that outdated state, which lacks A.  */
START_TEST (state_from_before_a_restart_does_not_count)
{
  struct zone zone;
  int a;

  open_zone (&zone, 5);
  a = acquire (&zone, 1, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_ASK, 1, 0);
  restart (&zone, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_RECOVER, 0, 3);
  restart (&zone, 3);
  drop_matching (&zone, MARJORAM_CLAIM_RECOVER, 3, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_RECOVER, 3, ANY);
  deliver_matching (&zone, MARJORAM_CLAIM_STATE, ANY, 3);
  deliver_matching (&zone, MARJORAM_CLAIM_ASK, 1, 3);
  deliver_matching (&zone, MARJORAM_CLAIM_ANSWER, ANY, 1);
  ck_assert_int_eq (verdict (&zone, a), MARJORAM_CLAIM_RUN);
  deliver_matching (&zone, MARJORAM_CLAIM_STATE, 3, 0);
  drop_matching (&zone, ANY, ANY, 1);
  drop_matching (&zone, ANY, 1, ANY);
  deliver_matching (&zone, MARJORAM_CLAIM_RECOVER, 0, 2);
  deliver_matching (&zone, MARJORAM_CLAIM_RECOVER, 0, 4);
  deliver_matching (&zone, MARJORAM_CLAIM_STATE, 2, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_STATE, 4, 0);
  ck_assert_int_ne (acquire_and_wait (&zone, 2, 0, 1U << 1 | 1U << 3),
                    MARJORAM_CLAIM_RUN);
  close_zone (&zone);
}
END_TEST

/* Host 0 recovers conflicting attempts A and B for one key and must store
   both: after A is withdrawn, B still holds the key.  */
START_TEST (recovery_keeps_every_attempt)
{
  struct zone zone;
  int a, b;

  open_zone (&zone, 3);
  b = acquire (&zone, 2, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_ASK, 2, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_ANSWER, 0, 2);
  ck_assert_int_eq (verdict (&zone, b), MARJORAM_CLAIM_RUN);
  drop_matching (&zone, ANY, ANY, ANY);
  a = acquire (&zone, 1, 0);
  drop_matching (&zone, ANY, ANY, ANY);
  restart (&zone, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_RECOVER, 0, 1);
  deliver_matching (&zone, MARJORAM_CLAIM_STATE, 1, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_RECOVER, 0, 2);
  deliver_matching (&zone, MARJORAM_CLAIM_STATE, 2, 0);
  withdraw (&zone, a);
  run_for (&zone, 50, 1U << 2);
  ck_assert_int_eq (acquire_and_wait (&zone, 1, 0, 1U << 2),
                    MARJORAM_CLAIM_LOST);
  close_zone (&zone);
}
END_TEST

/* A is withdrawn before it is decided.  A vote for it that arrives after B was
   granted must not grant A too.  */
START_TEST (late_vote_for_a_withdrawn_attempt_is_ignored)
{
  struct zone zone;
  int a, b;

  open_zone (&zone, 3);
  a = acquire (&zone, 0, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_ASK, 0, 1);
  drop_matching (&zone, MARJORAM_CLAIM_ASK, 0, 2);
  withdraw (&zone, a);
  deliver_matching (&zone, MARJORAM_CLAIM_WITHDRAW, 0, 1);
  b = acquire (&zone, 1, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_ASK, 1, 2);
  deliver_matching (&zone, MARJORAM_CLAIM_ANSWER, 2, 1);
  ck_assert_int_eq (verdict (&zone, b), MARJORAM_CLAIM_RUN);
  deliver_matching (&zone, MARJORAM_CLAIM_ANSWER, 1, 0);
  ck_assert_int_eq (verdict (&zone, a), UNDECIDED);
  close_zone (&zone);
}
END_TEST

/* If all WITHDRAW messages are lost, peers must learn the outcome from the
   owner.  Otherwise the key stays blocked for the retention period.  */
START_TEST (lost_withdrawal_does_not_block_the_key)
{
  struct zone zone;
  int a;

  open_zone (&zone, 3);
  a = acquire (&zone, 0, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_ASK, ANY, ANY);
  withdraw (&zone, a);
  drop_matching (&zone, ANY, ANY, ANY);
  ck_assert_int_eq (acquire_and_wait (&zone, 1, 0, 0), MARJORAM_CLAIM_RUN);
  close_zone (&zone);
}
END_TEST

/* Two hosts acquire the same key while the third is down, so that each holds
   only its own vote.  Exactly one must yield.  */
START_TEST (racing_hosts_do_not_block_each_other)
{
  struct zone zone;
  int a, b;

  open_zone (&zone, 3);
  b = acquire (&zone, 1, 0);
  a = acquire (&zone, 0, 0);
  run_for (&zone, TIMEOUT_MS / 2, 1U << 2);
  ck_assert_int_eq (verdict (&zone, a), MARJORAM_CLAIM_RUN);
  ck_assert_int_eq (verdict (&zone, b), MARJORAM_CLAIM_RUNNING);
  close_zone (&zone);
}
END_TEST

START_TEST (same_host_runs_a_key_once)
{
  struct zone zone;
  int a, b;

  open_zone (&zone, 3);
  a = acquire (&zone, 0, 0);
  b = acquire (&zone, 0, 0);
  ck_assert_int_eq (verdict (&zone, b), MARJORAM_CLAIM_RUNNING);
  run_for (&zone, 100, 0);
  ck_assert_int_eq (verdict (&zone, a), MARJORAM_CLAIM_RUN);
  execute (&zone, a);
  finish (&zone, a, true);
  ck_assert_int_eq (acquire_and_wait (&zone, 0, 0, 0), MARJORAM_CLAIM_REPLAY);
  close_zone (&zone);
}
END_TEST

START_TEST (other_body_is_refused)
{
  struct zone zone;

  open_zone (&zone, 3);
  acquire_and_execute (&zone, 0, 0);
  for (int host = 0; host < 3; host++)
    {
      int number = acquire_body (&zone, host, 0, "other");

      run_for (&zone, 200, 0);
      ck_assert_int_eq (verdict (&zone, number), MARJORAM_CLAIM_MISMATCH);
    }
  close_zone (&zone);
}
END_TEST

/* After the host that ran a request has failed, other hosts replay the answer
   if they have it, and otherwise report the outcome as unknown.  The request
   must not run again.  */
START_TEST (outcome_survives_its_host)
{
  struct zone zone;
  int first;

  open_zone (&zone, 3);
  first = acquire_and_execute (&zone, 0, 0);
  finish (&zone, first, true);
  run_for (&zone, 100, 0);
  acquire_and_execute (&zone, 0, 1);
  ck_assert_int_eq (acquire_and_wait (&zone, 1, 0, 1U << 0),
                    MARJORAM_CLAIM_REPLAY);
  ck_assert_int_eq (acquire_and_wait (&zone, 2, 0, 1U << 0),
                    MARJORAM_CLAIM_REPLAY);
  ck_assert_int_eq (acquire_and_wait (&zone, 1, 1, 1U << 0),
                    MARJORAM_CLAIM_LOST);
  restart (&zone, 0);
  ck_assert_int_eq (acquire_and_wait (&zone, 2, 1, 0), MARJORAM_CLAIM_LOST);
  ck_assert_int_eq (acquire_and_wait (&zone, 0, 1, 0), MARJORAM_CLAIM_LOST);
  ck_assert_int_eq (acquire_and_wait (&zone, 0, 0, 0), MARJORAM_CLAIM_REPLAY);
  close_zone (&zone);
}
END_TEST

/* Stored answers must survive a rolling restart of the zone.  */
START_TEST (outcome_survives_restarts_one_by_one)
{
  struct zone zone;
  int first;

  open_zone (&zone, 3);
  first = acquire_and_execute (&zone, 0, 0);
  finish (&zone, first, true);
  run_for (&zone, 100, 0);
  for (int host = 0; host < 3; host++)
    {
      restart (&zone, host);
      run_for (&zone, 300, 0);
      ck_assert (marjoram_claims_ready (zone.hosts[host].claims));
    }
  for (int host = 0; host < 3; host++)
    ck_assert_int_eq (acquire_and_wait (&zone, host, 0, 0),
                      MARJORAM_CLAIM_REPLAY);
  close_zone (&zone);
}
END_TEST

/* A host that is still recovering must not cause an old key to be reported as
   expired, since it can vote for the key once it has recovered.  */
START_TEST (recovering_host_is_asked_again)
{
  struct zone zone;
  int a;

  open_zone (&zone, 2);
  restart (&zone, 1);
  a = acquire (&zone, 0, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_ASK, 0, 1);
  deliver_matching (&zone, MARJORAM_CLAIM_ANSWER, 1, 0);
  ck_assert_int_eq (verdict (&zone, a), UNDECIDED);
  run_for (&zone, 200, 0);
  ck_assert_int_eq (verdict (&zone, a), MARJORAM_CLAIM_RUN);
  close_zone (&zone);
}
END_TEST

/* After a restart of all hosts, with some possibly staying down, the claims
   are lost: old keys must be refused and new keys granted.  */
START_TEST (restarted_zone_refuses_old_keys_only)
{
  static const struct
  {
    int hosts;
    unsigned dead;
    enum marjoram_claim_verdict old; /* LOST while hosts are recovering */
  } cases[] = { { 1, 0, MARJORAM_CLAIM_EXPIRED },
                { 2, 0, MARJORAM_CLAIM_EXPIRED },
                { 3, 0, MARJORAM_CLAIM_EXPIRED },
                { 3, 1U << 2, MARJORAM_CLAIM_LOST },
                { 5, 3U << 3, MARJORAM_CLAIM_LOST } };
  struct zone zone;
  int host = 1;

  open_zone (&zone, cases[_i].hosts);
  acquire_and_execute (&zone, 0, 0);
  for (int i = 0; i < zone.count; i++)
    restart (&zone, i);
  drop_matching (&zone, ANY, ANY, ANY);
  if (zone.count == 1)
    host = 0;
  ck_assert_int_eq (acquire_and_wait (&zone, host, 0, cases[_i].dead),
                    cases[_i].old);
  ck_assert (marjoram_claims_ready (zone.hosts[host].claims));
  zone.issued[1] = marjoram_claims_issue_time (zone.hosts[host].claims,
                                               wall (&zone, host));
  ck_assert_int_eq (acquire_and_wait (&zone, host, 1, cases[_i].dead),
                    MARJORAM_CLAIM_RUN);
  close_zone (&zone);
}
END_TEST

/* Host 2's clock is ahead, and its horizon is adopted by host 0.  If host 0
   voted for a key beyond its own horizon and then restarted, it would vote for
   that key again and the request would run twice.  */
START_TEST (peer_horizon_does_not_admit_keys)
{
  struct zone zone;
  int a, b;

  open_zone (&zone, 3);
  zone.hosts[2].skew = 500;
  for (int i = 0; i < 3; i++)
    restart (&zone, i);
  run_for (&zone, 150, 0);
  zone.issued[2]
      = marjoram_claims_issue_time (zone.hosts[2].claims, wall (&zone, 2));
  a = acquire (&zone, 2, 2);
  drop_matching (&zone, MARJORAM_CLAIM_ASK, 2, 1);
  deliver_matching (&zone, MARJORAM_CLAIM_ASK, 2, 0);
  deliver_matching (&zone, MARJORAM_CLAIM_ANSWER, 0, 2);
  execute (&zone, a);
  restart (&zone, 0);
  run_for (&zone, TWO_TIMEOUTS_MS, 1U << 2);
  b = acquire (&zone, 1, 2);
  run_for (&zone, TIMEOUT_MS, 1U << 2);
  execute (&zone, b);
  ck_assert_int_eq (verdict (&zone, b), MARJORAM_CLAIM_RUN);
  ck_assert_int_eq (zone.run_counts[2], 1);
  close_zone (&zone);
}
END_TEST

/* Keys issued too far in the future are not granted: a voter that restarted
   would treat such a key as new and could vote for it again.  */
START_TEST (key_from_the_future_is_not_run)
{
  struct zone zone;

  open_zone (&zone, 3);
  zone.issued[0] += 60000;
  ck_assert_int_eq (acquire_and_wait (&zone, 0, 0, 0),
                    MARJORAM_CLAIM_NO_QUORUM);
  close_zone (&zone);
}
END_TEST

START_TEST (without_majority_nothing_runs)
{
  struct zone zone;

  open_zone (&zone, 3);
  ck_assert_int_eq (acquire_and_wait (&zone, 0, 0, 6),
                    MARJORAM_CLAIM_NO_QUORUM);
  ck_assert_int_eq (acquire_and_wait (&zone, 1, 0, 0), MARJORAM_CLAIM_RUN);
  close_zone (&zone);
  open_zone (&zone, 2);
  ck_assert_int_eq (acquire_and_wait (&zone, 0, 0, 2),
                    MARJORAM_CLAIM_NO_QUORUM);
  ck_assert_int_eq (acquire_and_wait (&zone, 0, 0, 0), MARJORAM_CLAIM_RUN);
  close_zone (&zone);
}
END_TEST

START_TEST (answers_and_claims_are_kept_for_a_time)
{
  struct zone zone;
  int first;

  open_zone (&zone, 3);
  first = acquire_and_execute (&zone, 0, 0);
  finish (&zone, first, true);
  run_for (&zone, 500, 0);
  ck_assert_int_eq (acquire_and_wait (&zone, 1, 0, 0), MARJORAM_CLAIM_REPLAY);
  zone.now += REPLAY_MS;
  run_for (&zone, 100, 0);
  ck_assert_int_eq (acquire_and_wait (&zone, 1, 0, 0), MARJORAM_CLAIM_LOST);
  zone.now += RETENTION_MS - REPLAY_MS - LEAD_MS;
  run_for (&zone, 100, 0);
  ck_assert_int_eq (acquire_and_wait (&zone, 1, 0, 0), MARJORAM_CLAIM_LOST);
  zone.now += LEAD_MS;
  ck_assert_int_eq (acquire_and_wait (&zone, 1, 0, 0), MARJORAM_CLAIM_EXPIRED);
  zone.now += TWICE_LEAD_MS;
  run_for (&zone, 100, 0);
  for (int host = 0; host < 3; host++)
    ck_assert_uint_eq (marjoram_claims_count (zone.hosts[host].claims), 0);
  close_zone (&zone);
}
END_TEST

static void
ignore_verdict (void *context, uint64_t attempt,
                enum marjoram_claim_verdict given,
                const struct marjoram_stored_answer *kept)
{
  (void)context;
  (void)attempt;
  (void)given;
  (void)kept;
}

/* Recovers more claims than fit into one message.  */
START_TEST (large_state_is_transferred_in_parts)
{
  enum
  {
    CLAIMS = 3 * MARJORAM_CLAIM_ENTRIES_MAX + 7
  };
  static const struct marjoram_claims_ops ops = { on_send, ignore_verdict };
  struct marjoram_claims_options options
      = { 3, 1, 9, RETENTION_MS, REPLAY_MS, TIMEOUT_MS };
  struct zone zone;
  char key[MARJORAM_KEY_MAX];

  open_zone (&zone, 3);
  marjoram_claims_destroy (zone.hosts[1].claims);
  zone.hosts[1].incarnation = 9;
  zone.hosts[1].claims
      = marjoram_claims_create (&options, &ops, &zone.hosts[1]);
  run_for (&zone, 300, 0);
  for (int i = 0; i < CLAIMS; i++)
    {
      snprintf (key, sizeof key, "z.%llx.r%d",
                (unsigned long long)zone.issued[0], i);
      marjoram_claims_acquire (zone.hosts[1].claims, zone.now, wall (&zone, 1),
                               1000 + i, key, zone.issued[0], "body");
      deliver_matching (&zone, ANY, ANY, ANY);
      deliver_matching (&zone, ANY, ANY, ANY);
    }
  restart (&zone, 0);
  run_for (&zone, 1000, 0);
  ck_assert_uint_eq (marjoram_claims_count (zone.hosts[0].claims), CLAIMS);
  close_zone (&zone);
}
END_TEST

START_TEST (parses_keys)
{
  static const struct
  {
    const char *key;
    const char *zone;
    int64_t issued;
  } good[] = { { "ba-1.19a2f3c4d5e.x", "ba-1", 0x19a2f3c4d5e },
               { "a.ff.r.-_9", "a", 0xff } };
  static const char *const bad[]
      = { "",          "x",         "ba-1.12",
          "ba-1..x",   "ba-1.12.",  ".12.x",
          "ba-1.zz.x", "ba-1.-1.x", "ba-1.0x12.x",
          "b 1.12.x",  "b.12.x/",   "b.1234567890123456.x" };
  char zone[MARJORAM_KEY_MAX];
  char prefix[MARJORAM_KEY_MAX];
  char long_key[MARJORAM_KEY_MAX + 2];
  int64_t issued;

  for (size_t i = 0; i < sizeof good / sizeof *good; i++)
    {
      ck_assert (marjoram_key_parse (good[i].key, zone, &issued));
      ck_assert_str_eq (zone, good[i].zone);
      ck_assert_int_eq (issued, good[i].issued);
    }
  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    ck_assert_msg (!marjoram_key_parse (bad[i], zone, &issued), "%s", bad[i]);
  memset (long_key, 'a', sizeof long_key - 1);
  long_key[sizeof long_key - 1] = '\0';
  memcpy (long_key, "z.12.", 5);
  ck_assert (!marjoram_key_parse (long_key, zone, &issued));
  marjoram_key_format_prefix (prefix, sizeof prefix, "ba-1", 0x19a2f3c4d5e);
  ck_assert_str_eq (prefix, "ba-1.19a2f3c4d5e.");
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("claim");
  TCase *c = tcase_create ("claim");

  tcase_add_test (c, grants_one_and_replays_it);
  tcase_add_test (c, vote_of_a_restarted_host_does_not_count);
  tcase_add_test (c, recovery_needs_more_than_one_peer);
  tcase_add_test (c, state_for_an_earlier_incarnation_is_ignored);
  tcase_add_test (c, state_from_before_a_restart_does_not_count);
  tcase_add_test (c, recovery_keeps_every_attempt);
  tcase_add_test (c, late_vote_for_a_withdrawn_attempt_is_ignored);
  tcase_add_test (c, lost_withdrawal_does_not_block_the_key);
  tcase_add_test (c, racing_hosts_do_not_block_each_other);
  tcase_add_test (c, same_host_runs_a_key_once);
  tcase_add_test (c, other_body_is_refused);
  tcase_add_test (c, outcome_survives_its_host);
  tcase_add_test (c, outcome_survives_restarts_one_by_one);
  tcase_add_test (c, recovering_host_is_asked_again);
  tcase_add_loop_test (c, restarted_zone_refuses_old_keys_only, 0, 5);
  tcase_add_test (c, peer_horizon_does_not_admit_keys);
  tcase_add_test (c, key_from_the_future_is_not_run);
  tcase_add_test (c, without_majority_nothing_runs);
  tcase_add_test (c, answers_and_claims_are_kept_for_a_time);
  tcase_add_test (c, large_state_is_transferred_in_parts);
  tcase_add_test (c, parses_keys);
  tcase_add_loop_test (c, runs_at_most_once_in_random_schedules, 0, 8);
  tcase_set_timeout (c, TEST_SECONDS);
  suite_add_tcase (s, c);
  return s;
}
