/* Cost of propagating one changed route to an entry host, by number of
   routes: size as a delta and in full, and time of each event loop step at
   the keeper and the host.  */
#include "agreed.h"
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
  MEDIAN = 4,
  HOSTS_OF_ROUTES = 300,
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

/* Returns a configuration with ROUTES routes; the middle one has
   TIMEOUT_MS.  */
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
             (unsigned)(i % HOSTS_OF_ROUTES) * 2246822519U,
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
  print (name, routes, (double)times[MEDIAN] / NSEC_PER_USEC, "us");
}

struct steps
{
  int64_t pack[RUNS];   /* at the keeper, once per change */
  int64_t unpack[RUNS]; /* at the host, decoding the state */
  int64_t build[RUNS];  /* at the host, building the routes */
};

/* Measures run I of a change from BASE to STATE.  */
static void
measure_steps (const struct marjoram_packed_state *base,
               const struct marjoram_state *state, struct steps *steps, int i)
{
  int64_t start = now_ns ();
  struct marjoram_packed_state packed = marjoram_packed_state_make (state);
  marjoram_bytes *difference = marjoram_compress (packed.bytes, base->bytes);
  struct marjoram_packed_state came;
  struct marjoram_state *taken = NULL;
  struct marjoram_route_table *table;

  steps->pack[i] = now_ns () - start;
  start = now_ns ();
  came = marjoram_packed_state_read (
      marjoram_decompress (difference, base->bytes, STATE_MAX, NULL), &taken,
      NULL);
  steps->unpack[i] = now_ns () - start;
  start = now_ns ();
  table = marjoram_agreed_routes (taken, marjoram_platform_dialect (), NULL);
  steps->build[i] = now_ns () - start;
  if (!table)
    abort ();
  marjoram_route_table_destroy (table);
  marjoram_state_destroy (taken);
  marjoram_packed_state_clear (&came);
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
  /* The largest is close to the maximum of one file.  */
  static const int sizes[] = { 100, 1400, 5600, 16000 };

  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    measure (sizes[i]);
  return 0;
}
