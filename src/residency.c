#include "residency.h"

#include "cleanup.h"

#include <stdbool.h>

/* A rule for specific callers and specific works.  Rules for all of either are
   folded into the per-caller and per-work sets.  */
struct rule
{
  uint64_t regions;
  uint8_t *callers; /* bitmap */
  uint8_t *works;
};

struct marjoram_residency
{
  size_t caller_count;
  size_t work_count;
  uint64_t *callers;
  uint64_t *works;
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
marjoram_residency_create (size_t callers, size_t works)
{
  marjoram_residency *residency = marjoram_alloc (sizeof *residency);

  residency->caller_count = callers;
  residency->work_count = works;
  residency->callers = all_regions (callers);
  residency->works = all_regions (works);
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
      free (residency->rules[i].works);
    }
  free (residency->rules);
  free (residency->callers);
  free (residency->works);
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
has (const uint8_t *bits, int index)
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
          struct marjoram_selection works, uint64_t regions)
{
  size_t n = residency->rule_count++;

  residency->rules
      = realloc (residency->rules, (n + 1) * sizeof *residency->rules);
  if (!residency->rules)
    abort ();
  residency->rules[n].regions = regions;
  residency->rules[n].callers = bitmap (callers, residency->caller_count);
  residency->rules[n].works = bitmap (works, residency->work_count);
}

void
marjoram_residency_restrict (marjoram_residency *residency,
                             struct marjoram_selection callers,
                             struct marjoram_selection works, uint64_t regions)
{
  if (!works.items)
    narrow (residency->callers, residency->caller_count, callers, regions);
  else if (!callers.items)
    narrow (residency->works, residency->work_count, works, regions);
  else
    add_rule (residency, callers, works, regions);
}

uint64_t
marjoram_residency_caller (const marjoram_residency *residency, int caller)
{
  return residency->callers[caller];
}

uint64_t
marjoram_residency_work (const marjoram_residency *residency, int work)
{
  return residency->works[work];
}

uint64_t
marjoram_residency_allowed (const marjoram_residency *residency, int caller,
                            int work)
{
  uint64_t regions = residency->callers[caller] & residency->works[work];

  for (size_t i = 0; i < residency->rule_count; i++)
    {
      const struct rule *rule = &residency->rules[i];

      if (has (rule->callers, caller) && has (rule->works, work))
        regions &= rule->regions;
    }
  return regions;
}

size_t
marjoram_residency_memory (const marjoram_residency *residency)
{
  size_t rule = sizeof (struct rule) + bitmap_size (residency->caller_count)
                + bitmap_size (residency->work_count);

  return sizeof *residency
         + (residency->caller_count + residency->work_count)
               * sizeof (uint64_t)
         + residency->rule_count * rule;
}
