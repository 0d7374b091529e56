/* Measures the cost of claims: memory per retained claim, and time,
   messages and bytes per acquired and finished claim, by the number of hosts
   in the zone.  Messages are encoded and decoded as on a link, but delivered
   without delay.  */
#include "claim.h"
#include "cleanup.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum
{
  HOSTS_MAX = 21,
  QUEUE_MAX = 4 * HOSTS_MAX * HOSTS_MAX,
  RETENTION_MS = 24 * 3600 * 1000,
  REPLAY_MS = 60 * 1000,
  TIMEOUT_MS = 1000,
  STARTUP_MS = 15 * 1000,
  WALL_CLOCK_MS = 1000000000,
  CLAIMS = 20000,
  P50_INDEX = CLAIMS / 2,
  P99_INDEX = CLAIMS / 100 * 99,
  RESPONSE_SIZE = 200,
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
  marjoram_claims *claims[HOSTS_MAX];
  struct host
  {
    struct zone *zone;
    int host_index;
  } hosts[HOSTS_MAX];
  struct queued_message queue[QUEUE_MAX];
  int queue_head;
  int queue_tail;
  long messages;
  long bytes;
  long granted;
};

static void
on_send (void *context, int host_index,
         const struct marjoram_claim_message *message)
{
  const struct host *host = context;
  struct zone *zone = host->zone;
  marjoram_bytes *bytes = marjoram_wire_pack (&marjoram_claim_layout, message);

  zone->messages++;
  zone->bytes += (long)marjoram_bytes_size (bytes);
  zone->queue[zone->queue_tail]
      = (struct queued_message){ host->host_index, host_index, bytes };
  zone->queue_tail = (zone->queue_tail + 1) % QUEUE_MAX;
}

static void
on_decided (void *context, uint64_t attempt,
            enum marjoram_claim_verdict verdict,
            const struct marjoram_stored_answer *kept)
{
  struct host *host = context;

  (void)attempt;
  (void)kept;
  host->zone->granted += verdict == MARJORAM_CLAIM_RUN;
}

static void
deliver_all (struct zone *zone)
{
  while (zone->queue_head != zone->queue_tail)
    {
      struct queued_message queued = zone->queue[zone->queue_head];
      void *message;

      zone->queue_head = (zone->queue_head + 1) % QUEUE_MAX;
      message = marjoram_wire_unpack (
          &marjoram_claim_layout, marjoram_bytes_data (queued.bytes),
          marjoram_bytes_size (queued.bytes), NULL);
      marjoram_claims_receive (zone->claims[queued.to], zone->now, queued.from,
                               message);
      marjoram_wire_destroy (&marjoram_claim_layout, message);
      marjoram_bytes_release (queued.bytes);
    }
}

static void
tick_all (struct zone *zone)
{
  for (int i = 0; i < zone->count; i++)
    {
      marjoram_claims_tick (zone->claims[i], zone->now,
                            WALL_CLOCK_MS + zone->now);
      deliver_all (zone);
    }
}

static struct zone *
create_zone (int count)
{
  static const struct marjoram_claims_ops ops = { on_send, on_decided };
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
  zone->now += STARTUP_MS;
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
  struct marjoram_stored_answer kept = { 200, (char *)"text/plain", body };
  int host = (int)(number % zone->count);
  int64_t issued = WALL_CLOCK_MS + zone->now;
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

/* Measures heap growth per claim, in a zone of one host.  */
static void
measure_memory (long claims)
{
  struct zone *zone = create_zone (1);
  marjoram_bytes *body = marjoram_bytes_create (NULL, 0);
  size_t before = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  double claim_bytes;

  for (long i = 0; i < claims; i++)
    {
      run_claim (zone, i, body);
      zone->now += 1;
      if (i % 1000 == 0)
        tick_all (zone);
    }
  zone->now += REPLAY_MS + 1;
  tick_all (zone);
  claim_bytes = (double)(mallinfo2 ().uordblks + mallinfo2 ().hblkhd - before)
                / (double)claims;
  printf ("metric=claim_memory_%ld value=%.1f unit=bytes baseline=200 "
          "baseline_name=wanted\n",
          claims, claim_bytes);
  marjoram_bytes_release (body);
  destroy_zone (zone);
}

/* Baseline: formats and parses the key without claiming it.  */
static int64_t
time_key_parse (long number)
{
  int64_t start = now_ns ();
  char key[MARJORAM_KEY_MAX];
  char zone[MARJORAM_KEY_MAX];
  int64_t issued;

  snprintf (key, sizeof key, "zone-1.%llx.%ld",
            (unsigned long long)WALL_CLOCK_MS, number);
  if (!marjoram_key_parse (key, zone, &issued))
    abort ();
  return now_ns () - start;
}

static void
measure_time (int slots)
{
  static int64_t claim_ns[CLAIMS];
  static int64_t baseline_ns[CLAIMS];
  struct zone *zone = create_zone (slots);
  char text[RESPONSE_SIZE] = { 0 };
  marjoram_bytes *body = marjoram_bytes_create (text, sizeof text);

  for (long i = 0; i < CLAIMS; i++)
    {
      int64_t start = now_ns ();

      run_claim (zone, i, body);
      claim_ns[i] = now_ns () - start;
      baseline_ns[i] = time_key_parse (i);
    }
  if (zone->granted != CLAIMS)
    abort ();
  qsort (claim_ns, CLAIMS, sizeof *claim_ns, compare);
  qsort (baseline_ns, CLAIMS, sizeof *baseline_ns, compare);
  printf ("metric=claim_cpu_p50_%d_slots value=%.2f unit=us baseline=%.2f "
          "baseline_name=key_parsed_no_claim\n",
          slots, (double)claim_ns[P50_INDEX] / NSEC_PER_USEC,
          (double)baseline_ns[P50_INDEX] / NSEC_PER_USEC);
  printf ("metric=claim_cpu_p99_%d_slots value=%.2f unit=us baseline=%.2f "
          "baseline_name=key_parsed_no_claim\n",
          slots, (double)claim_ns[P99_INDEX] / NSEC_PER_USEC,
          (double)baseline_ns[P99_INDEX] / NSEC_PER_USEC);
  printf ("metric=claim_messages_%d_slots value=%.2f unit=messages "
          "baseline=0 baseline_name=no_claim\n",
          slots, (double)zone->messages / CLAIMS);
  printf ("metric=claim_bytes_%d_slots value=%.0f unit=bytes "
          "baseline=0 baseline_name=no_claim\n",
          slots, (double)zone->bytes / CLAIMS);
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
