#include "config.h"

#include "cleanup.h"
#include "config_draft.h"

#include <malloc.h>
#include <stdatomic.h>
#include <string.h>
#include <uthash.h>

/* Lookup table entry; the key is owned by the item.  */
struct name_entry
{
  int index;
  UT_hash_handle hh;
};

struct name_table
{
  struct name_entry *entries; /* one allocation */
  struct name_entry *head;
};

struct marjoram_config
{
  atomic_int references;
  uint64_t number;
  char *cluster;
  struct marjoram_region *regions;
  int region_count;
  struct marjoram_zone *zones;
  int zone_count;
  struct marjoram_slot *slots;
  int slot_count;
  struct marjoram_work *works;
  int work_count;
  struct marjoram_upstream_class *classes;
  int class_count;
  struct marjoram_caller *callers;
  int caller_count;
  int *work_classes;
  marjoram_residency *residency;
  struct name_table region_names;
  struct name_table zone_names;
  struct name_table slot_names;
  struct name_table work_names;
  struct name_table caller_names;
  struct name_table tokens;
};

/* The key of the item at INDEX.  Items are SIZE bytes; the key pointer is at
   OFFSET.  */
static const char *
item_key (const void *items, int index, size_t size, size_t offset)
{
  return *(char *const *)((const char *)items + (size_t)index * size + offset);
}

static void
fill_table (struct name_table *table, const void *items, int count,
            size_t size, size_t offset)
{
  table->entries = marjoram_alloc ((size_t)count * sizeof *table->entries);
  for (int i = 0; i < count; i++)
    {
      const char *key = item_key (items, i, size, offset);

      table->entries[i].index = i;
      HASH_ADD_KEYPTR (hh, table->head, key, strlen (key), &table->entries[i]);
    }
}

static void
clear_table (struct name_table *table)
{
  HASH_CLEAR (hh, table->head);
  free (table->entries);
}

static int
find_in_table (const struct name_table *table, const char *key)
{
  const struct name_entry *entry;

  HASH_FIND_STR (table->head, key, entry);
  return entry ? entry->index : -1;
}

/* Moves the items of a list out of the draft.  The draft's items are zeroed so
   that destroying it doesn't free what has moved.  */
#define MOVE_ITEMS(draft, list, type, array, length)                          \
  do                                                                          \
    {                                                                         \
      (length) = (int)marjoram_draft_count (draft, list);                     \
      (array) = marjoram_alloc ((size_t)(length) * sizeof *(array));          \
      for (int i = 0; i < (length); i++)                                      \
        {                                                                     \
          struct type *item = marjoram_draft_at (draft, list, (size_t)i);     \
                                                                              \
          (array)[i] = item->value;                                           \
          (array)[i].name = marjoram_strdup (item->head.name);                \
          memset (&item->value, 0, sizeof item->value);                       \
        }                                                                     \
    }                                                                         \
  while (0)

static void
move_items (marjoram_config *config, struct marjoram_draft *draft)
{
  MOVE_ITEMS (draft, MARJORAM_DRAFT_REGION, marjoram_draft_region,
              config->regions, config->region_count);
  MOVE_ITEMS (draft, MARJORAM_DRAFT_ZONE, marjoram_draft_zone, config->zones,
              config->zone_count);
  MOVE_ITEMS (draft, MARJORAM_DRAFT_SLOT, marjoram_draft_slot, config->slots,
              config->slot_count);
  MOVE_ITEMS (draft, MARJORAM_DRAFT_WORK, marjoram_draft_work, config->works,
              config->work_count);
  MOVE_ITEMS (draft, MARJORAM_DRAFT_CLASS, marjoram_draft_class,
              config->classes, config->class_count);
  MOVE_ITEMS (draft, MARJORAM_DRAFT_CALLER, marjoram_draft_caller,
              config->callers, config->caller_count);
  config->work_classes = draft->work_classes;
  draft->work_classes = NULL;
  config->residency = draft->residency;
  draft->residency = NULL;
}

#define FILL_TABLE(table, items, count, type, member)                         \
  fill_table (table, items, count, sizeof (struct type),                      \
              offsetof (struct type, member))

static void
fill_tables (marjoram_config *config)
{
  FILL_TABLE (&config->region_names, config->regions, config->region_count,
              marjoram_region, name);
  FILL_TABLE (&config->zone_names, config->zones, config->zone_count,
              marjoram_zone, name);
  FILL_TABLE (&config->slot_names, config->slots, config->slot_count,
              marjoram_slot, name);
  FILL_TABLE (&config->work_names, config->works, config->work_count,
              marjoram_work, name);
  FILL_TABLE (&config->caller_names, config->callers, config->caller_count,
              marjoram_caller, name);
  FILL_TABLE (&config->tokens, config->callers, config->caller_count,
              marjoram_caller, token);
}

/* Limits all region masks to the regions that exist.  */
static void
apply_residency (marjoram_config *config)
{
  uint64_t known = config->region_count < MARJORAM_REGIONS_MAX
                       ? ((uint64_t)1 << config->region_count) - 1
                       : UINT64_MAX;

  marjoram_residency_restrict (config->residency,
                               (struct marjoram_selection){ NULL, 0 },
                               (struct marjoram_selection){ NULL, 0 }, known);
  for (int i = 0; i < config->caller_count; i++)
    config->callers[i].allowed
        = marjoram_residency_caller (config->residency, i);
  for (int i = 0; i < config->work_count; i++)
    config->works[i].allowed
        = marjoram_residency_workload (config->residency, i) & known;
}

static marjoram_config *
create_from_draft (uint64_t number, struct marjoram_draft *draft)
{
  marjoram_config *config = marjoram_alloc (sizeof *config);
  const struct marjoram_draft_head *cluster
      = marjoram_draft_at (draft, MARJORAM_DRAFT_CLUSTER, 0);

  atomic_init (&config->references, 1);
  config->number = number;
  config->cluster = marjoram_strdup (cluster ? cluster->name : "");
  move_items (config, draft);
  fill_tables (config);
  apply_residency (config);
  return config;
}

marjoram_config *
marjoram_config_create (const struct marjoram_state *state, char **faults,
                        struct marjoram_error *err)
{
  marjoram_auto (marjoram_faults_cleanup) marjoram_faults *found
      = marjoram_faults_create ();
  marjoram_auto (marjoram_draft_cleanup) struct marjoram_draft *draft
      = marjoram_draft_read (state, found);

  marjoram_draft_check (draft, found);
  if (!marjoram_faults_report (found, faults, err))
    return NULL;
  return create_from_draft (state->number, draft);
}

marjoram_config *
marjoram_config_retain (marjoram_config *config)
{
  if (config)
    atomic_fetch_add (&config->references, 1);
  return config;
}

static void
destroy (marjoram_config *config)
{
  clear_table (&config->region_names);
  clear_table (&config->zone_names);
  clear_table (&config->slot_names);
  clear_table (&config->work_names);
  clear_table (&config->caller_names);
  clear_table (&config->tokens);
  for (int i = 0; i < config->region_count; i++)
    free (config->regions[i].name);
  for (int i = 0; i < config->zone_count; i++)
    free (config->zones[i].name);
  for (int i = 0; i < config->slot_count; i++)
    {
      free (config->slots[i].name);
      free (config->slots[i].peer_address);
      free (config->slots[i].entry_address);
    }
  for (int i = 0; i < config->work_count; i++)
    free (config->works[i].name);
  for (int i = 0; i < config->class_count; i++)
    free (config->classes[i].name);
  for (int i = 0; i < config->caller_count; i++)
    {
      free (config->callers[i].name);
      free (config->callers[i].token);
    }
  free (config->regions);
  free (config->zones);
  free (config->slots);
  free (config->works);
  free (config->classes);
  free (config->callers);
  free (config->work_classes);
  free (config->cluster);
  marjoram_residency_destroy (config->residency);
  free (config);
}

void
marjoram_config_release (marjoram_config *config)
{
  if (config && atomic_fetch_sub (&config->references, 1) == 1)
    destroy (config);
}

uint64_t
marjoram_config_number (const marjoram_config *config)
{
  return config->number;
}

const char *
marjoram_config_cluster (const marjoram_config *config)
{
  return config->cluster;
}

int
marjoram_config_region_count (const marjoram_config *config)
{
  return config->region_count;
}

const struct marjoram_region *
marjoram_config_region (const marjoram_config *config, int index)
{
  return &config->regions[index];
}

int
marjoram_config_zone_count (const marjoram_config *config)
{
  return config->zone_count;
}

const struct marjoram_zone *
marjoram_config_zone (const marjoram_config *config, int index)
{
  return &config->zones[index];
}

int
marjoram_config_slot_count (const marjoram_config *config)
{
  return config->slot_count;
}

const struct marjoram_slot *
marjoram_config_slot (const marjoram_config *config, int index)
{
  return &config->slots[index];
}

int
marjoram_config_work_count (const marjoram_config *config)
{
  return config->work_count;
}

const struct marjoram_work *
marjoram_config_work (const marjoram_config *config, int index)
{
  return &config->works[index];
}

int
marjoram_config_caller_count (const marjoram_config *config)
{
  return config->caller_count;
}

const struct marjoram_caller *
marjoram_config_caller (const marjoram_config *config, int index)
{
  return &config->callers[index];
}

const struct marjoram_upstream_class *
marjoram_config_work_class (const marjoram_config *config, int work)
{
  int index = config->work_classes[work];

  return index < 0 ? NULL : &config->classes[index];
}

bool
marjoram_config_supports_fencing (const marjoram_config *config, int work)
{
  const struct marjoram_upstream_class *class = marjoram_config_work_class (
      config, work);

  return class && class->fences;
}

int
marjoram_config_find_region (const marjoram_config *config, const char *name)
{
  return find_in_table (&config->region_names, name);
}

int
marjoram_config_find_zone (const marjoram_config *config, const char *name)
{
  return find_in_table (&config->zone_names, name);
}

int
marjoram_config_find_slot (const marjoram_config *config, const char *name)
{
  return find_in_table (&config->slot_names, name);
}

int
marjoram_config_find_work (const marjoram_config *config, const char *name)
{
  return find_in_table (&config->work_names, name);
}

int
marjoram_config_find_caller_by_token (const marjoram_config *config,
                                      const char *token)
{
  return find_in_table (&config->tokens, token);
}

int
marjoram_config_find_caller_by_name (const marjoram_config *config,
                                     const char *name)
{
  return find_in_table (&config->caller_names, name);
}

uint64_t
marjoram_config_allowed (const marjoram_config *config, int caller, int work)
{
  return marjoram_residency_allowed (config->residency, caller, work);
}

static size_t
table_memory (const struct name_table *table, int count)
{
  return (size_t)count * sizeof *table->entries
         + (table->head ? HASH_OVERHEAD (hh, table->head) : 0);
}

size_t
marjoram_config_memory (const marjoram_config *config)
{
  size_t size = sizeof *config + marjoram_residency_memory (config->residency);

  size += (size_t)config->slot_count * sizeof *config->slots
          + (size_t)config->caller_count * sizeof *config->callers
          + (size_t)config->work_count * sizeof *config->works
          + table_memory (&config->slot_names, config->slot_count)
          + table_memory (&config->work_names, config->work_count)
          + table_memory (&config->caller_names, config->caller_count)
          + table_memory (&config->tokens, config->caller_count);
  for (int i = 0; i < config->slot_count; i++)
    size += malloc_usable_size (config->slots[i].name)
            + malloc_usable_size (config->slots[i].peer_address)
            + malloc_usable_size (config->slots[i].entry_address);
  for (int i = 0; i < config->caller_count; i++)
    size += malloc_usable_size (config->callers[i].name)
            + malloc_usable_size (config->callers[i].token);
  return size;
}
