/* Cost of claims: memory per retained claim, CPU time of an acquisition
   across three hosts including message encoding, and number of messages by
   hosts per zone.  Links have no delay.  */
#include "claim.h"
#include "cleanup.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum
{
  SLOTS_MAX = 21,
  QUEUE_MAX = 4 * SLOTS_MAX * SLOTS_MAX,
  RETENTION_MS = 24 * 3600 * 1000,
  REPLAY_MS = 60 * 1000,
  TIMEOUT_MS = 1000,
  SETTLED_MS = 15 * 1000,
  WALL = 1000000000,
  ACQUIRES = 20000,
  MEDIAN = ACQUIRES / 2,
  SLOW = ACQUIRES / 100 * 99,
  ANSWER_SIZE = 200,
  NSEC_PER_USEC = 1000
};

struct queued_message
{
  int from;
  int to;
  marjoram_bytes *bytes;
};

struct zone
{
  int count;
  int64_t now;
  marjoram_claims *claims[SLOTS_MAX];
  struct host
  {
    struct zone *zone;
    int ordinal;
  } hosts[SLOTS_MAX];
  struct queued_message queue[QUEUE_MAX];
  int first;
  int last;
  long messages;
  long bytes;
  long granted;
};

static void
send_message (void *context, int ordinal,
              const struct marjoram_claim_message *message)
{
  const struct host *host = context;
  struct zone *zone = host->zone;
  marjoram_bytes *bytes = marjoram_wire_pack (&marjoram_claim_layout, message);

  zone->messages++;
  zone->bytes += (long)marjoram_bytes_size (bytes);
  zone->queue[zone->last]
      = (struct queued_message){ host->ordinal, ordinal, bytes };
  zone->last = (zone->last + 1) % QUEUE_MAX;
}

static void
on_decision (void *context, uint64_t attempt,
             enum marjoram_claim_verdict verdict,
             const struct marjoram_kept_answer *kept)
{
  struct host *host = context;

  (void)attempt;
  (void)kept;
  host->zone->granted += verdict == MARJORAM_CLAIM_RUN;
}

static void
deliver_all (struct zone *zone)
{
  while (zone->first != zone->last)
    {
      struct queued_message queued_message = zone->queue[zone->first];
      void *message;

      zone->first = (zone->first + 1) % QUEUE_MAX;
      message = marjoram_wire_unpack (
          &marjoram_claim_layout, marjoram_bytes_data (queued_message.bytes),
          marjoram_bytes_size (queued_message.bytes), NULL);
      marjoram_claims_receive (zone->claims[queued_message.to], zone->now,
                               queued_message.from, message);
      marjoram_wire_destroy (&marjoram_claim_layout, message);
      marjoram_bytes_release (queued_message.bytes);
    }
}

static void
tick_all (struct zone *zone)
{
  for (int i = 0; i < zone->count; i++)
    {
      marjoram_claims_tick (zone->claims[i], zone->now, WALL + zone->now);
      deliver_all (zone);
    }
}

static struct zone *
create_zone (int count)
{
  static const struct marjoram_claims_ops ops = { send_message, on_decision };
  struct zone *zone = marjoram_alloc (sizeof *zone);

  zone->count = count;
  for (int i = 0; i < count; i++)
    {
      struct marjoram_claims_options options
          = { count, i, 1, RETENTION_MS, REPLAY_MS, TIMEOUT_MS };

      zone->hosts[i] = (struct host){ zone, i };
      zone->claims[i]
          = marjoram_claims_create (&options, &ops, &zone->hosts[i]);
    }
  tick_all (zone);
  zone->now += SETTLED_MS;
  tick_all (zone);
  zone->messages = 0;
  zone->bytes = 0;
  return zone;
}

static void
destroy_zone (struct zone *zone)
{
  deliver_all (zone);
  for (int i = 0; i < zone->count; i++)
    marjoram_claims_destroy (zone->claims[i]);
  free (zone);
}

static void
run_claim (struct zone *zone, long number, marjoram_bytes *body)
{
  struct marjoram_kept_answer kept = { 200, (char *)"text/plain", body };
  int host = (int)(number % zone->count);
  int64_t issued = WALL + zone->now;
  char key[MARJORAM_KEY_MAX];

  snprintf (key, sizeof key, "zone-1.%llx.%ld", (unsigned long long)issued,
            number);
  marjoram_claims_acquire (zone->claims[host], zone->now, issued,
                           (uint64_t)number, key, issued, key);
  deliver_all (zone);
  marjoram_claims_finish (zone->claims[host], zone->now, (uint64_t)number,
                          &kept);
  deliver_all (zone);
}

static int64_t
now_ns (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

static int
compare (const void *a, const void *b)
{
  const int64_t *x = a;
  const int64_t *y = b;

  return (*x > *y) - (*x < *y);
}

/* Heap bytes per claim in a zone of one host, as reported by the
   allocator.  */
static void
measure_memory (long claims)
{
  struct zone *zone = create_zone (1);
  marjoram_bytes *body = marjoram_bytes_create (NULL, 0);
  size_t before = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  double each;

  for (long i = 0; i < claims; i++)
    {
      run_claim (zone, i, body);
      zone->now += 1;
      if (i % 1000 == 0)
        tick_all (zone);
    }
  zone->now += REPLAY_MS + 1;
  tick_all (zone);
  each = (double)(mallinfo2 ().uordblks + mallinfo2 ().hblkhd - before)
         / (double)claims;
  printf ("metric=claim_memory_%ld value=%.1f unit=bytes baseline=200 "
          "baseline_name=wanted\n",
          claims, each);
  marjoram_bytes_release (body);
  destroy_zone (zone);
}

/* Baseline: the cost of building and parsing a key without a claim.  */
static int64_t
time_key_only (long number)
{
  int64_t start = now_ns ();
  char key[MARJORAM_KEY_MAX];
  char zone[MARJORAM_KEY_MAX];
  int64_t issued;

  snprintf (key, sizeof key, "zone-1.%llx.%ld", (unsigned long long)WALL,
            number);
  if (!marjoram_key_parse (key, zone, &issued))
    abort ();
  return now_ns () - start;
}

static void
measure_time (int slots)
{
  static int64_t with[ACQUIRES];
  static int64_t without[ACQUIRES];
  struct zone *zone = create_zone (slots);
  char text[ANSWER_SIZE] = { 0 };
  marjoram_bytes *body = marjoram_bytes_create (text, sizeof text);

  for (long i = 0; i < ACQUIRES; i++)
    {
      int64_t start = now_ns ();

      run_claim (zone, i, body);
      with[i] = now_ns () - start;
      without[i] = time_key_only (i);
    }
  if (zone->granted != ACQUIRES)
    abort ();
  qsort (with, ACQUIRES, sizeof *with, compare);
  qsort (without, ACQUIRES, sizeof *without, compare);
  printf ("metric=claim_cpu_p50_%d_slots value=%.2f unit=us baseline=%.2f "
          "baseline_name=key_parsed_no_claim\n",
          slots, (double)with[MEDIAN] / NSEC_PER_USEC,
          (double)without[MEDIAN] / NSEC_PER_USEC);
  printf ("metric=claim_cpu_p99_%d_slots value=%.2f unit=us baseline=%.2f "
          "baseline_name=key_parsed_no_claim\n",
          slots, (double)with[SLOW] / NSEC_PER_USEC,
          (double)without[SLOW] / NSEC_PER_USEC);
  printf ("metric=claim_messages_%d_slots value=%.2f unit=messages "
          "baseline=0 baseline_name=no_claim\n",
          slots, (double)zone->messages / ACQUIRES);
  printf ("metric=claim_bytes_%d_slots value=%.0f unit=bytes "
          "baseline=0 baseline_name=no_claim\n",
          slots, (double)zone->bytes / ACQUIRES);
  marjoram_bytes_release (body);
  destroy_zone (zone);
}

int
main (void)
{
  measure_memory (10L * 1000);
  measure_memory (100L * 1000);
  measure_memory (1000L * 1000);
  measure_time (3);
  measure_time (9);
  measure_time (21);
  return 0;
}
