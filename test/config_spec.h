/* Generates small configurations for tests and benchmarks.  */
#ifndef MARJORAM_TEST_CONFIG_SPEC_H
#define MARJORAM_TEST_CONFIG_SPEC_H

#include "cleanup.h"
#include "config.h"

#include <stdio.h>
#include <stdlib.h>

/* Regions are named r00, r01, ..., zones r00-z00, ..., models and services
   w00, ..., callers c0000, ...; the index order is the name order.  */
struct config_spec
{
  int regions;
  int zones; /* per region */
  int slots; /* per zone */
  int works;
  int services; /* how many of the works, the last ones, are services */
  int callers;
  uint64_t allowed; /* bit mask of each caller's regions; 0 for all */
  int home;    /* region index of each caller; -1 assigns regions in turn */
  double rate; /* per caller */
  double burst;
  double prefill_rate;
  double decode_rate;
  uint64_t number;
};

static inline void
print_spec_places (FILE *out, const struct config_spec *spec)
{
  fprintf (out, "[cluster test]\n");
  for (int i = 0; i < spec->regions; i++)
    {
      fprintf (out, "[region r%02d]\n", i);
      for (int j = 0; j < spec->zones; j++)
        {
          fprintf (out, "[zone r%02d-z%02d]\nregion = r%02d\n", i, j, i);
          for (int k = 0; k < spec->slots; k++)
            fprintf (out,
                     "[slot r%02d-z%02d-%02d]\nzone = r%02d-z%02d\n"
                     "peer = 127.3.%d.%d:7000\nentry = 127.3.%d.%d:8080\n",
                     i, j, k, i, j, i * spec->zones + j, k + 1,
                     i * spec->zones + j, k + 1);
        }
    }
}

static inline void
print_spec_callers (FILE *out, const struct config_spec *spec)
{
  for (int i = 0; i < spec->callers; i++)
    {
      const char *comma = "";

      fprintf (out,
               "[caller c%04d]\ntoken = t%04d-0123456789abcdef\n"
               "home = r%02d\nrate = %f\nburst = %f\n",
               i, i, spec->home >= 0 ? spec->home : i % spec->regions,
               spec->rate, spec->burst);
      if (!spec->allowed)
        continue;
      fprintf (out, "regions = ");
      for (int j = 0; j < spec->regions; j++)
        if (spec->allowed >> j & 1)
          {
            fprintf (out, "%sr%02d", comma, j);
            comma = ", ";
          }
      fprintf (out, "\n");
    }
}

static inline marjoram_config *
config_from_spec (const struct config_spec *spec)
{
  struct marjoram_state *state = marjoram_state_copy (NULL);
  struct marjoram_file *file = marjoram_alloc (sizeof *file);
  marjoram_auto_free char *faults = NULL;
  marjoram_config *config;
  size_t size;
  FILE *out = open_memstream (&file->text, &size);

  fprintf (out, "[file]\nname = all\nversion = 1\n");
  print_spec_places (out, spec);
  for (int i = 0; i < spec->works; i++)
    if (i >= spec->works - spec->services)
      fprintf (out, "[service w%02d]\n", i);
    else
      fprintf (out, "[model w%02d]\nprefill_rate = %f\ndecode_rate = %f\n", i,
               spec->prefill_rate > 0 ? spec->prefill_rate : 2000,
               spec->decode_rate > 0 ? spec->decode_rate : 30);
  print_spec_callers (out, spec);
  fclose (out);
  file->name = marjoram_strdup ("all");
  file->version = 1;
  file->digest = marjoram_digest (file->text, size);
  state->number = spec->number ? spec->number : 1;
  state->files.items = file;
  state->files.count = 1;
  config = marjoram_config_create (state, &faults, NULL);
  if (!config)
    {
      fprintf (stderr, "%s", faults ? faults : "no configuration\n");
      abort ();
    }
  marjoram_state_destroy (state);
  return config;
}

#endif
