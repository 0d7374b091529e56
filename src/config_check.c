#include "config_draft.h"

#include "claim.h"
#include "cleanup.h"

#include <string.h>

enum
{
  NOT_FOUND = -1
};

static void
report_unknown_name (const struct marjoram_draft_head *head, const char *key,
                     const char *what, const char *name,
                     marjoram_faults *faults)
{
  marjoram_faults_add (faults, head->path, head->line,
                       "%s of \"%s\" names %s \"%s\", which is not defined; "
                       "correct the name or add [%s %s]",
                       key, head->name, what, name, what, name);
}

/* Returns the index of the item of KIND called NAME, which KEY of HEAD refers
   to; reports it if it is not defined.  */
static int
resolve_name (const struct marjoram_draft *draft,
              enum marjoram_draft_kind kind,
              const struct marjoram_draft_head *head, const char *key,
              const char *what, const char *name, marjoram_faults *faults)
{
  int index = name ? marjoram_draft_find (draft, kind, name) : NOT_FOUND;

  if (name && index == NOT_FOUND)
    report_unknown_name (head, key, what, name, faults);
  return index;
}

static uint64_t
resolve_regions (const struct marjoram_draft *draft,
                 const struct marjoram_names *names,
                 const struct marjoram_draft_head *head,
                 marjoram_faults *faults)
{
  uint64_t set = 0;

  if (names->count == 0 || marjoram_names_is_all (names))
    return UINT64_MAX;
  for (size_t i = 0; i < names->count; i++)
    {
      int region = resolve_name (draft, MARJORAM_DRAFT_REGION, head, "regions",
                                 "region", names->items[i], faults);

      if (region >= 0 && region < MARJORAM_REGIONS_MAX)
        set |= (uint64_t)1 << region;
    }
  /* If no name could be resolved, that has been reported already; allowing all
     regions avoids follow-up errors.  */
  return set ? set : UINT64_MAX;
}

static void
check_zones (struct marjoram_draft *draft, marjoram_faults *faults)
{
  uint64_t used = 0;
  size_t zones = marjoram_draft_count (draft, MARJORAM_DRAFT_ZONE);
  size_t regions = marjoram_draft_count (draft, MARJORAM_DRAFT_REGION);

  for (size_t i = 0; i < zones; i++)
    {
      struct marjoram_draft_zone *zone
          = marjoram_draft_at (draft, MARJORAM_DRAFT_ZONE, i);

      zone->value.region
          = resolve_name (draft, MARJORAM_DRAFT_REGION, &zone->head, "region",
                          "region", zone->region, faults);
      if (zone->value.region >= 0 && zone->value.region < MARJORAM_REGIONS_MAX)
        used |= (uint64_t)1 << zone->value.region;
    }
  for (size_t i = 0; i < regions && i < MARJORAM_REGIONS_MAX; i++)
    {
      const struct marjoram_draft_head *head
          = marjoram_draft_at (draft, MARJORAM_DRAFT_REGION, i);

      if (!(used >> i & 1))
        marjoram_faults_add (faults, head->path, head->line,
                             "region \"%s\" has no availability zone; add a "
                             "[zone NAME] with region = %s or remove it",
                             head->name, head->name);
    }
}

static void
assign_slot (struct marjoram_draft *draft, size_t index,
             marjoram_faults *faults)
{
  struct marjoram_draft_slot *slot
      = marjoram_draft_at (draft, MARJORAM_DRAFT_SLOT, index);
  struct marjoram_draft_zone *zone;

  slot->value.zone = resolve_name (draft, MARJORAM_DRAFT_ZONE, &slot->head,
                                   "zone", "zone", slot->zone, faults);
  if (slot->value.zone < 0)
    return;
  zone = marjoram_draft_at (draft, MARJORAM_DRAFT_ZONE,
                            (size_t)slot->value.zone);
  if (zone->value.slot_count == 0)
    zone->value.first_slot = (int)index;
  slot->value.ordinal = zone->value.slot_count++;
}

static void
check_slots (struct marjoram_draft *draft, marjoram_faults *faults)
{
  size_t slots = marjoram_draft_count (draft, MARJORAM_DRAFT_SLOT);
  size_t zones = marjoram_draft_count (draft, MARJORAM_DRAFT_ZONE);
  int keepers = 0;

  for (size_t i = 0; i < slots; i++)
    {
      const struct marjoram_draft_slot *slot
          = marjoram_draft_at (draft, MARJORAM_DRAFT_SLOT, i);

      assign_slot (draft, i, faults);
      if (slot->value.keeper && ++keepers == MARJORAM_KEEPERS_MAX + 1)
        marjoram_faults_add (faults, slot->head.path, slot->head.line,
                             "slot \"%s\" is the eighth keeper; at most %d "
                             "are allowed, set keeper = no for some",
                             slot->head.name, MARJORAM_KEEPERS_MAX);
    }
  for (size_t i = 0; i < zones; i++)
    {
      const struct marjoram_draft_zone *zone
          = marjoram_draft_at (draft, MARJORAM_DRAFT_ZONE, i);

      if (zone->value.slot_count == 0)
        marjoram_faults_add (faults, zone->head.path, zone->head.line,
                             "zone \"%s\" has no slot; add a [slot NAME] with "
                             "zone = %s or remove it",
                             zone->head.name, zone->head.name);
      if (zone->value.slot_count > MARJORAM_ZONE_SLOTS_MAX)
        marjoram_faults_add (faults, zone->head.path, zone->head.line,
                             "zone \"%s\" has %d slots; at most %d are "
                             "allowed, split it",
                             zone->head.name, zone->value.slot_count,
                             MARJORAM_ZONE_SLOTS_MAX);
    }
}

static void
check_addresses (struct marjoram_draft *draft, marjoram_faults *faults)
{
  size_t slots = marjoram_draft_count (draft, MARJORAM_DRAFT_SLOT);
  struct marjoram_draft_unique_value *texts
      = marjoram_alloc (2 * slots * sizeof *texts);
  size_t count = 0;

  for (size_t i = 0; i < slots; i++)
    {
      const struct marjoram_draft_slot *slot
          = marjoram_draft_at (draft, MARJORAM_DRAFT_SLOT, i);
      const char *const addresses[]
          = { slot->value.peer_address, slot->value.entry_address };

      for (size_t k = 0; k < 2; k++)
        if (addresses[k])
          texts[count++] = (struct marjoram_draft_unique_value){ addresses[k],
                                                                 &slot->head };
    }
  marjoram_draft_check_unique (texts, count, "address", true, faults);
  free (texts);
}

static void
check_cluster (struct marjoram_draft *draft, marjoram_faults *faults)
{
  const struct marjoram_draft_head *head;

  if (marjoram_draft_count (draft, MARJORAM_DRAFT_CLUSTER) > 0
      || marjoram_draft_count (draft, MARJORAM_DRAFT_SLOT) == 0)
    return;
  head = marjoram_draft_at (draft, MARJORAM_DRAFT_SLOT, 0);
  marjoram_faults_add (faults, head->path, 0,
                       "there are slots but no cluster; add a section "
                       "[cluster NAME]");
}

static void
check_works (struct marjoram_draft *draft, marjoram_faults *faults)
{
  size_t works = marjoram_draft_count (draft, MARJORAM_DRAFT_WORK);

  for (size_t i = 0; i < works; i++)
    {
      struct marjoram_draft_work *work
          = marjoram_draft_at (draft, MARJORAM_DRAFT_WORK, i);
      int index = (int)i;

      work->value.allowed
          = resolve_regions (draft, &work->regions, &work->head, faults);
      marjoram_residency_restrict (
          draft->residency, (struct marjoram_selection){ NULL, 0 },
          (struct marjoram_selection){ &index, 1 }, work->value.allowed);
    }
}

static void
assign_class (struct marjoram_draft *draft, size_t class_index, int work_index,
              marjoram_faults *faults)
{
  const struct marjoram_draft_class *class = marjoram_draft_at (
      draft, MARJORAM_DRAFT_CLASS, class_index);
  const struct marjoram_draft_work *work
      = marjoram_draft_at (draft, MARJORAM_DRAFT_WORK, (size_t)work_index);
  int *assigned = &draft->work_classes[work_index];

  if ((class->value.kind == MARJORAM_CLASS_ENGINE)
      != (work->value.kind == MARJORAM_WORK_MODEL))
    marjoram_faults_add (faults, class->head.path, class->head.line,
                         "upstream-class \"%s\" and its work \"%s\" differ in "
                         "kind; engines run models, services run services",
                         class->head.name, work->head.name);
  else if (*assigned >= 0)
    marjoram_faults_add (faults, class->head.path, class->head.line,
                         "work \"%s\" is already in another upstream-class; "
                         "list it in only one",
                         work->head.name);
  else
    *assigned = (int)class_index;
}

static void
check_classes (struct marjoram_draft *draft, marjoram_faults *faults)
{
  size_t works = marjoram_draft_count (draft, MARJORAM_DRAFT_WORK);
  size_t classes = marjoram_draft_count (draft, MARJORAM_DRAFT_CLASS);

  draft->work_classes = marjoram_alloc (works * sizeof (int));
  for (size_t i = 0; i < works; i++)
    draft->work_classes[i] = NOT_FOUND;
  for (size_t i = 0; i < classes; i++)
    {
      const struct marjoram_draft_class *class = marjoram_draft_at (
          draft, MARJORAM_DRAFT_CLASS, i);

      if (class->value.fences && class->value.kind != MARJORAM_CLASS_ENGINE)
        marjoram_faults_add (faults, class->head.path, class->head.line,
                             "upstream-class \"%s\" is a service but has "
                             "fences; only engines support it, remove it",
                             class->head.name);
      for (size_t k = 0; k < class->works.count; k++)
        {
          int work = resolve_name (
              draft, MARJORAM_DRAFT_WORK, &class->head, "works",
              class->value.kind == MARJORAM_CLASS_ENGINE ? "model" : "service",
              class->works.items[k], faults);

          if (work >= 0)
            assign_class (draft, i, work, faults);
        }
    }
}

static void
check_tokens (struct marjoram_draft *draft, marjoram_faults *faults)
{
  size_t callers = marjoram_draft_count (draft, MARJORAM_DRAFT_CALLER);
  struct marjoram_draft_unique_value *texts
      = marjoram_alloc (callers * sizeof *texts);
  size_t count = 0;

  for (size_t i = 0; i < callers; i++)
    {
      const struct marjoram_draft_caller *caller
          = marjoram_draft_at (draft, MARJORAM_DRAFT_CALLER, i);

      if (caller->value.token)
        texts[count++]
            = (struct marjoram_draft_unique_value){ caller->value.token,
                                                    &caller->head };
    }
  marjoram_draft_check_unique (texts, count, "token", false, faults);
  free (texts);
}

static void
check_callers (struct marjoram_draft *draft, marjoram_faults *faults)
{
  size_t callers = marjoram_draft_count (draft, MARJORAM_DRAFT_CALLER);

  for (size_t i = 0; i < callers; i++)
    {
      struct marjoram_draft_caller *caller
          = marjoram_draft_at (draft, MARJORAM_DRAFT_CALLER, i);
      int index = (int)i;

      caller->value.home
          = resolve_name (draft, MARJORAM_DRAFT_REGION, &caller->head, "home",
                          "region", caller->home, faults);
      caller->value.allowed
          = resolve_regions (draft, &caller->regions, &caller->head, faults);
      if (caller->value.burst == 0)
        caller->value.burst = caller->value.rate > 1 ? caller->value.rate : 1;
      marjoram_residency_restrict (
          draft->residency, (struct marjoram_selection){ &index, 1 },
          (struct marjoram_selection){ NULL, 0 }, caller->value.allowed);
    }
  check_tokens (draft, faults);
}

/* Indexes of the items that a rule applies to; null items stand for all.  */
struct index_list
{
  int *items;
  size_t count;
};

static struct index_list
resolve_list (const struct marjoram_draft *draft,
              enum marjoram_draft_kind kind,
              const struct marjoram_draft_head *head,
              const struct marjoram_names *names, const char *key,
              const char *what, marjoram_faults *faults)
{
  struct index_list list = { NULL, 0 };

  if (names->count == 0 || marjoram_names_is_all (names))
    return list;
  list.items = marjoram_alloc (names->count * sizeof *list.items);
  for (size_t i = 0; i < names->count; i++)
    {
      int index = resolve_name (draft, kind, head, key, what, names->items[i],
                                faults);

      if (index >= 0)
        list.items[list.count++] = index;
    }
  return list;
}

/* The number of the rule's works for which CALLER has an allowed region; 0 or
   1 if the rule applies to all works.  */
static size_t
count_served_works (const struct marjoram_draft *draft, int caller,
                    const struct index_list *works)
{
  size_t count = 0;

  if (!works->items)
    return marjoram_residency_caller (draft->residency, caller) != 0;
  for (size_t i = 0; i < works->count; i++)
    count += marjoram_residency_allowed (draft->residency, caller,
                                         works->items[i])
             != 0;
  return count;
}

static void
apply_rule (struct marjoram_draft *draft,
            const struct marjoram_draft_rule *rule,
            const struct index_list *callers, const struct index_list *works,
            uint64_t regions, marjoram_faults *faults)
{
  size_t count = callers->items
                     ? callers->count
                     : marjoram_draft_count (draft, MARJORAM_DRAFT_CALLER);
  size_t *before = marjoram_alloc (count * sizeof *before);

  for (size_t i = 0; i < count; i++)
    before[i] = count_served_works (
        draft, callers->items ? callers->items[i] : (int)i, works);
  marjoram_residency_restrict (
      draft->residency,
      (struct marjoram_selection){ callers->items, callers->count },
      (struct marjoram_selection){ works->items, works->count }, regions);
  for (size_t i = 0; i < count; i++)
    {
      int caller = callers->items ? callers->items[i] : (int)i;
      const struct marjoram_draft_head *head
          = marjoram_draft_at (draft, MARJORAM_DRAFT_CALLER, (size_t)caller);

      if (count_served_works (draft, caller, works) == before[i])
        continue;
      marjoram_faults_add (
          faults, rule->head.path, rule->head.line,
          "residency rule \"%s\" leaves caller \"%s\" no "
          "region for its work; widen its regions or exclude the caller",
          rule->head.name, head->name);
      break;
    }
  free (before);
}

static void
check_rules (struct marjoram_draft *draft, marjoram_faults *faults)
{
  size_t rules = marjoram_draft_count (draft, MARJORAM_DRAFT_RULE);

  for (size_t i = 0; i < rules; i++)
    {
      const struct marjoram_draft_rule *rule
          = marjoram_draft_at (draft, MARJORAM_DRAFT_RULE, i);
      struct index_list callers
          = resolve_list (draft, MARJORAM_DRAFT_CALLER, &rule->head,
                          &rule->callers, "callers", "caller", faults);
      struct index_list works
          = resolve_list (draft, MARJORAM_DRAFT_WORK, &rule->head,
                          &rule->works, "works", "model", faults);

      apply_rule (draft, rule, &callers, &works,
                  resolve_regions (draft, &rule->regions, &rule->head, faults),
                  faults);
      free (callers.items);
      free (works.items);
    }
}

static void
check_homes (struct marjoram_draft *draft, marjoram_faults *faults)
{
  size_t callers = marjoram_draft_count (draft, MARJORAM_DRAFT_CALLER);

  for (size_t i = 0; i < callers; i++)
    {
      const struct marjoram_draft_caller *caller
          = marjoram_draft_at (draft, MARJORAM_DRAFT_CALLER, i);
      uint64_t allowed = marjoram_residency_caller (draft->residency, (int)i);

      if (allowed && caller->value.home >= 0
          && caller->value.home < MARJORAM_REGIONS_MAX
          && !(allowed >> caller->value.home & 1))
        marjoram_faults_add (faults, caller->head.path, caller->head.line,
                             "home \"%s\" of caller \"%s\" is not among its "
                             "allowed regions; change home or the regions",
                             caller->home, caller->head.name);
    }
}

void
marjoram_draft_check (struct marjoram_draft *draft, marjoram_faults *faults)
{
  draft->residency = marjoram_residency_create (
      marjoram_draft_count (draft, MARJORAM_DRAFT_CALLER),
      marjoram_draft_count (draft, MARJORAM_DRAFT_WORK));
  check_cluster (draft, faults);
  check_zones (draft, faults);
  check_slots (draft, faults);
  check_addresses (draft, faults);
  check_works (draft, faults);
  check_classes (draft, faults);
  check_callers (draft, faults);
  check_rules (draft, faults);
  check_homes (draft, faults);
}
