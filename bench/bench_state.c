/* Measures the distribution of one changed route to an entry host, by the
   number of routes: size of the state as a difference and in full, and time
   spent in the event loops of keeper and host.  */
#include "state_files.h"
#include "cleanup.h"
#include "compress.h"
#include "platform.h"
#include "state_packed.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

enum
{
  RUNS = 9,
  MEDIAN_INDEX = 4,
  ROUTE_HOSTS = 300,
  NSEC_PER_USEC = 1000,
  STATE_MAX = 64 * 1024 * 1024
};

static int64_t
now_ns (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

/* Returns a configuration of ROUTES routes; the middle one has TIMEOUT_MS.  */
static char *
config_text (int routes, uint64_t version, int timeout_ms)
{
  char *text = NULL;
  size_t length;
  FILE *out = open_memstream (&text, &length);

  fprintf (out, "{\"version\":%llu,\"routes\":[", (unsigned long long)version);
  for (int i = 0; i < routes; i++)
    fprintf (out,
             "%s{\"name\":\"r-%x\",\"host\":\"%x.example\","
             "\"path_prefix\":\"/%x/\",\"kind\":\"idempotent\","
             "\"timeout_ms\":%d,\"target_latency_ms\":1500,\"priority\":0,"
             "\"service\":\"app\",\"max_attempts\":1,\"sticky\":false,"
             "\"resumable\":false,\"home_regions\":[]}",
             i > 0 ? "," : "", (unsigned)i * 2654435761U,
             (unsigned)(i % ROUTE_HOSTS) * 2246822519U,
             (unsigned)i * 3266489917U, i == routes / 2 ? timeout_ms : 4000);
  fprintf (out, "],\"services\":[{\"name\":\"app\",\"health_path\":"
                "\"/health\",\"max_connections\":100}],\"limits\":{"
                "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
  fclose (out);
  return text;
}

static struct marjoram_state *
make_state (int routes, uint64_t number, int timeout_ms)
{
  struct marjoram_state *state = marjoram_state_copy (NULL);
  marjoram_auto_free char *text = config_text (routes, number, timeout_ms);
  marjoram_auto_free char *digest = marjoram_digest (text, strlen (text));
  const struct marjoram_file file
      = { (char *)MARJORAM_FILE_ROUTES, number, digest, text };

  marjoram_state_set_file (state, &file);
  state->number = number;
  return state;
}

static void
print (const char *name, int routes, double value, const char *unit)
{
  printf ("metric=state_%s_%d_routes value=%.0f unit=%s\n", name, routes,
          value, unit);
}

static int
compare_times (const void *a, const void *b)
{
  const int64_t x = *(const int64_t *)a;
  const int64_t y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

static void
print_median (const char *name, int routes, int64_t times[RUNS])
{
  qsort (times, RUNS, sizeof *times, compare_times);
  print (name, routes, (double)times[MEDIAN_INDEX] / NSEC_PER_USEC, "us");
}

struct steps
{
  int64_t pack[RUNS];   /* keeper, once per change */
  int64_t unpack[RUNS]; /* host, from difference to state */
  int64_t build[RUNS];  /* host, from state to route table */
};

/* Records in run I of STEPS the times of a change from BASE to STATE.  */
static void
measure_steps (const struct marjoram_packed_state *base,
               const struct marjoram_state *state, struct steps *steps, int i)
{
  int64_t start = now_ns ();
  struct marjoram_packed_state packed = marjoram_packed_state_make (state);
  marjoram_bytes *difference = marjoram_compress (packed.bytes, base->bytes);
  struct marjoram_packed_state received;
  struct marjoram_state *received_state = NULL;
  struct marjoram_route_table *table;

  steps->pack[i] = now_ns () - start;
  start = now_ns ();
  received = marjoram_packed_state_read (
      marjoram_decompress (difference, base->bytes, STATE_MAX, NULL),
      &received_state, NULL);
  steps->unpack[i] = now_ns () - start;
  start = now_ns ();
  table = marjoram_state_files_routes (received_state,
                                       marjoram_platform_dialect (), NULL);
  steps->build[i] = now_ns () - start;
  if (!table)
    abort ();
  marjoram_route_table_destroy (table);
  marjoram_state_destroy (received_state);
  marjoram_packed_state_clear (&received);
  marjoram_packed_state_clear (&packed);
  marjoram_bytes_release (difference);
}

static void
measure_bytes (const struct marjoram_packed_state *base,
               const struct marjoram_state *state, int routes)
{
  struct marjoram_packed_state packed = marjoram_packed_state_make (state);
  marjoram_bytes *difference = marjoram_compress (packed.bytes, base->bytes);
  marjoram_bytes *whole = marjoram_compress (packed.bytes, NULL);

  print ("packed", routes, (double)marjoram_bytes_size (packed.bytes),
         "bytes");
  print ("whole", routes, (double)marjoram_bytes_size (whole), "bytes");
  print ("difference", routes, (double)marjoram_bytes_size (difference),
         "bytes");
  marjoram_bytes_release (difference);
  marjoram_bytes_release (whole);
  marjoram_packed_state_clear (&packed);
}

static void
measure (int routes)
{
  struct marjoram_state *before = make_state (routes, 1, 4000);
  struct marjoram_state *after = make_state (routes, 2, 500);
  struct marjoram_packed_state base = marjoram_packed_state_make (before);
  struct steps steps;

  measure_bytes (&base, after, routes);
  for (int i = 0; i < RUNS; i++)
    measure_steps (&base, after, &steps, i);
  print_median ("keeper_pack", routes, steps.pack);
  print_median ("host_unpack", routes, steps.unpack);
  print_median ("host_build", routes, steps.build);
  marjoram_packed_state_clear (&base);
  marjoram_state_destroy (before);
  marjoram_state_destroy (after);
}

int
main (void)
{
  /* The last size is close to the maximum of one file.  */
  static const int sizes[] = { 100, 1400, 5600, 16000 };

  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    measure (sizes[i]);
  return 0;
}
