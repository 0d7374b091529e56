#include "residency.h"

#include "cleanup.h"

#include <stdbool.h>

/* A rule for specific callers and workloads.  Rules for all of either are
   folded into the per-caller and per-workload sets.  */
struct rule
{
  uint64_t regions;
  uint8_t *callers; /* bitmap */
  uint8_t *workloads;
};

struct marjoram_residency
{
  size_t caller_count;
  size_t workload_count;
  uint64_t *callers;
  uint64_t *workloads;
  struct rule *rules;
  size_t rule_count;
};

static uint64_t *
all_regions (size_t count)
{
  uint64_t *sets = marjoram_alloc (count * sizeof *sets);

  for (size_t i = 0; i < count; i++)
    sets[i] = UINT64_MAX;
  return sets;
}

marjoram_residency *
marjoram_residency_create (size_t callers, size_t workloads)
{
  marjoram_residency *residency = marjoram_alloc (sizeof *residency);

  residency->caller_count = callers;
  residency->workload_count = workloads;
  residency->callers = all_regions (callers);
  residency->workloads = all_regions (workloads);
  return residency;
}

void
marjoram_residency_destroy (marjoram_residency *residency)
{
  if (!residency)
    return;
  for (size_t i = 0; i < residency->rule_count; i++)
    {
      free (residency->rules[i].callers);
      free (residency->rules[i].workloads);
    }
  free (residency->rules);
  free (residency->callers);
  free (residency->workloads);
  free (residency);
}

static size_t
bitmap_size (size_t count)
{
  return (count + 7) / 8;
}

static uint8_t *
bitmap (struct marjoram_selection selection, size_t count)
{
  uint8_t *bits = marjoram_alloc (bitmap_size (count));

  for (size_t i = 0; i < selection.count; i++)
    bits[selection.items[i] / 8] |= (uint8_t)(1U << (selection.items[i] % 8));
  return bits;
}

static bool
has_bit (const uint8_t *bits, int index)
{
  return bits[index / 8] >> (index % 8) & 1;
}

static void
narrow (uint64_t *sets, size_t count, struct marjoram_selection selection,
        uint64_t regions)
{
  if (!selection.items)
    for (size_t i = 0; i < count; i++)
      sets[i] &= regions;
  else
    for (size_t i = 0; i < selection.count; i++)
      sets[selection.items[i]] &= regions;
}

static void
add_rule (marjoram_residency *residency, struct marjoram_selection callers,
          struct marjoram_selection workloads, uint64_t regions)
{
  size_t n = residency->rule_count++;

  residency->rules
      = realloc (residency->rules, (n + 1) * sizeof *residency->rules);
  if (!residency->rules)
    abort ();
  residency->rules[n].regions = regions;
  residency->rules[n].callers = bitmap (callers, residency->caller_count);
  residency->rules[n].workloads
      = bitmap (workloads, residency->workload_count);
}

void
marjoram_residency_restrict (marjoram_residency *residency,
                             struct marjoram_selection callers,
                             struct marjoram_selection workloads,
                             uint64_t regions)
{
  if (!workloads.items)
    narrow (residency->callers, residency->caller_count, callers, regions);
  else if (!callers.items)
    narrow (residency->workloads, residency->workload_count, workloads,
            regions);
  else
    add_rule (residency, callers, workloads, regions);
}

uint64_t
marjoram_residency_caller (const marjoram_residency *residency, int caller)
{
  return residency->callers[caller];
}

uint64_t
marjoram_residency_workload (const marjoram_residency *residency, int workload)
{
  return residency->workloads[workload];
}

uint64_t
marjoram_residency_allowed (const marjoram_residency *residency, int caller,
                            int workload)
{
  uint64_t regions
      = residency->callers[caller] & residency->workloads[workload];

  for (size_t i = 0; i < residency->rule_count; i++)
    {
      const struct rule *rule = &residency->rules[i];

      if (has_bit (rule->callers, caller)
          && has_bit (rule->workloads, workload))
        regions &= rule->regions;
    }
  return regions;
}

size_t
marjoram_residency_memory (const marjoram_residency *residency)
{
  size_t rule = sizeof (struct rule) + bitmap_size (residency->caller_count)
                + bitmap_size (residency->workload_count);

  return sizeof *residency
         + (residency->caller_count + residency->workload_count)
               * sizeof (uint64_t)
         + residency->rule_count * rule;
}
