/* Cost of a configuration at three sizes, the middle one being the target:
   time to parse and check it, memory usage, time of a lookup.  */
#include "cleanup.h"
#include "config.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum
{
  RUNS = 9,
  MEDIAN = 4,
  LOOKUPS = 1000 * 1000,
  RULES = 16,
  REGIONS = 6,
  NSEC_PER_USEC = 1000
};

struct size
{
  int callers;
  int zones;
  int slots;
  int works;
};

static int64_t
now_ns (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

static void
add_file (struct marjoram_state *state, const char *name, char *text)
{
  struct marjoram_file *files = state->files.items;
  struct marjoram_file *file = &files[state->files.count++];

  file->name = marjoram_strdup (name);
  file->version = 1;
  file->text = text;
  file->digest = marjoram_digest (text, strlen (text));
}

static char *
sites_text (const struct size *size)
{
  char *text = NULL;
  size_t length;
  FILE *out = open_memstream (&text, &length);

  fprintf (out, "[file]\nname = sites\nversion = 1\n[cluster bench]\n");
  for (int i = 0; i < REGIONS; i++)
    fprintf (out, "[region region-%d]\n", i);
  for (int i = 0; i < size->zones; i++)
    fprintf (out, "[zone zone-%d]\nregion = region-%d\n", i, i % REGIONS);
  for (int i = 0; i < size->slots; i++)
    fprintf (out,
             "[slot slot-%d]\nzone = zone-%d\npeer = 10.1.%d.%d:7000\n"
             "entry = 10.1.%d.%d:8080\n",
             i, i % size->zones, i / 250, i % 250, i / 250, i % 250);
  for (int i = 0; i < size->works; i++)
    fprintf (out, "[model model-%d]\nprefill_rate = 4000\ncopies = 2\n", i);
  fclose (out);
  return text;
}

static char *
callers_text (const struct size *size)
{
  char *text = NULL;
  size_t length;
  FILE *out = open_memstream (&text, &length);

  fprintf (out, "[file]\nname = callers\nversion = 1\n");
  for (int i = 0; i < size->callers; i++)
    fprintf (out,
             "[caller caller-%d]\ntoken = 0123456789abcdef0123456789-%d\n"
             "home = region-%d\nrate = 5\nweight = 2\n%s",
             i, i, i % REGIONS, i % 8 ? "" : "regions = all\n");
  for (int i = 0; i < RULES; i++)
    fprintf (out,
             "[residency rule-%d]\ncallers = caller-%d, caller-%d\n"
             "works = model-%d\nregions = region-%d, region-%d\n",
             i, i, i + REGIONS, i % size->works, i % REGIONS,
             (i + 1) % REGIONS);
  fclose (out);
  return text;
}

static int
compare_times (const void *a, const void *b)
{
  const int64_t x = *(const int64_t *)a;
  const int64_t y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

static void
print (const char *name, const struct size *size, double value,
       const char *unit)
{
  printf ("metric=config_%s_%d_callers_%d_slots value=%.1f unit=%s\n", name,
          size->callers, size->slots, value, unit);
}

static void
measure_lookups (const marjoram_config *config, const struct size *size)
{
  int64_t start = now_ns ();
  uint64_t sum = 0;
  char token[64];

  for (int i = 0; i < LOOKUPS; i++)
    {
      int caller;

      snprintf (token, sizeof token, "0123456789abcdef0123456789-%d",
                i % size->callers);
      caller = marjoram_config_find_caller_by_token (config, token);
      sum += marjoram_config_allowed (config, caller, i % size->works);
    }
  print ("admit_lookup", size, (double)(now_ns () - start) / LOOKUPS, "ns");
  if (sum == 0)
    abort ();
}

static void
measure (const struct size *size)
{
  struct marjoram_state *state = marjoram_state_copy (NULL);
  marjoram_config *config = NULL;
  int64_t times[RUNS];
  size_t before = 0;

  state->files.items = marjoram_alloc (2 * sizeof (struct marjoram_file));
  add_file (state, "sites", sites_text (size));
  add_file (state, "callers", callers_text (size));
  for (int i = 0; i < RUNS; i++)
    {
      struct marjoram_error err;
      int64_t start;

      marjoram_config_release (config);
      before = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
      start = now_ns ();
      config = marjoram_config_create (state, NULL, &err);
      times[i] = now_ns () - start;
      if (!config)
        {
          fprintf (stderr, "bench_config: %s\n", err.message);
          abort ();
        }
    }
  qsort (times, RUNS, sizeof *times, compare_times);
  print ("parse_median", size, (double)times[MEDIAN] / NSEC_PER_USEC, "us");
  print ("memory", size,
         (double)(mallinfo2 ().uordblks + mallinfo2 ().hblkhd - before),
         "bytes");
  print ("text", size,
         (double)(strlen (((struct marjoram_file *)state->files.items)[0].text)
                  + strlen (
                      ((struct marjoram_file *)state->files.items)[1].text)),
         "bytes");
  measure_lookups (config, size);
  marjoram_config_release (config);
  marjoram_state_destroy (state);
}

int
main (void)
{
  static const struct size sizes[]
      = { { 260, 6, 37, 4 }, { 2600, 18, 370, 16 }, { 10400, 72, 1480, 64 } };

  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    measure (&sizes[i]);
  return 0;
}
