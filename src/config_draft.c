#include "config_draft.h"

#include "cleanup.h"
#include "config_file.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define ARRAY_SIZE(array) (sizeof (array) / sizeof *(array))
#define FIELD(type, member) offsetof (struct marjoram_draft_##type, member)

#define TOKEN_MIN 16
#define TOKEN_MAX 128
#define DAY_MS 86400000
#define RATE_MAX 1e9
#define COPIES_MAX 4096

static const struct marjoram_ini_key zone_keys[] = {
  { "region", MARJORAM_INI_LABEL, FIELD (zone, region), NULL, 0, 0, NULL },
};

static const struct marjoram_ini_key slot_keys[] = {
  { "zone", MARJORAM_INI_LABEL, FIELD (slot, zone), NULL, 0, 0, NULL },
  { "peer", MARJORAM_INI_ADDRESS, FIELD (slot, value.peer_address), NULL, 0, 0,
    NULL },
  { "entry", MARJORAM_INI_ADDRESS, FIELD (slot, value.entry_address), NULL, 0,
    0, NULL },
  { "keeper", MARJORAM_INI_BOOL, FIELD (slot, value.keeper), "no", 0, 0,
    NULL },
};

static const struct marjoram_ini_key model_keys[] = {
  { "regions", MARJORAM_INI_NAME_LIST, FIELD (work, regions), "all", 0, 0,
    NULL },
  { "deadline_ms", MARJORAM_INI_INT64, FIELD (work, value.deadline_ms),
    "30000", 1, DAY_MS, NULL },
  { "prefill_rate", MARJORAM_INI_DOUBLE, FIELD (work, value.prefill_rate),
    "2000", 0.01, RATE_MAX, NULL },
  { "decode_rate", MARJORAM_INI_DOUBLE, FIELD (work, value.decode_rate), "30",
    0.01, RATE_MAX, NULL },
  { "load_ms", MARJORAM_INI_INT64, FIELD (work, value.load_ms), "60000", 0,
    DAY_MS, NULL },
  { "copies", MARJORAM_INI_INT, FIELD (work, value.replicas), "1", 0,
    COPIES_MAX, NULL },
};

static const struct marjoram_ini_key service_keys[] = {
  { "regions", MARJORAM_INI_NAME_LIST, FIELD (work, regions), "all", 0, 0,
    NULL },
  { "deadline_ms", MARJORAM_INI_INT64, FIELD (work, value.deadline_ms), "5000",
    1, DAY_MS, NULL },
  { "copies", MARJORAM_INI_INT, FIELD (work, value.replicas), "1", 0,
    COPIES_MAX, NULL },
};

static const char *const class_words[] = { "service", "engine", NULL };

static const struct marjoram_ini_key class_keys[] = {
  { "kind", MARJORAM_INI_ENUM, FIELD (class, value.kind), NULL, 0, 0,
    class_words },
  { "works", MARJORAM_INI_NAME_LIST, FIELD (class, works), NULL, 0, 0, NULL },
  { "fences", MARJORAM_INI_BOOL, FIELD (class, value.fences), "no", 0, 0,
    NULL },
};

static const struct marjoram_ini_key caller_keys[] = {
  { "token", MARJORAM_INI_TEXT, FIELD (caller, value.token), NULL, TOKEN_MIN,
    TOKEN_MAX, NULL },
  { "home", MARJORAM_INI_LABEL, FIELD (caller, home), NULL, 0, 0, NULL },
  { "regions", MARJORAM_INI_NAME_LIST, FIELD (caller, regions), "all", 0, 0,
    NULL },
  { "rate", MARJORAM_INI_DOUBLE, FIELD (caller, value.rate), NULL, 0.001,
    RATE_MAX, NULL },
  { "burst", MARJORAM_INI_DOUBLE, FIELD (caller, value.burst), "", 1, RATE_MAX,
    NULL },
  { "weight", MARJORAM_INI_DOUBLE, FIELD (caller, value.weight), "1", 0.01,
    1000, NULL },
};

static const struct marjoram_ini_key rule_keys[] = {
  { "callers", MARJORAM_INI_NAME_LIST, FIELD (rule, callers), "all", 0, 0,
    NULL },
  { "works", MARJORAM_INI_NAME_LIST, FIELD (rule, works), "all", 0, 0, NULL },
  { "regions", MARJORAM_INI_NAME_LIST, FIELD (rule, regions), NULL, 0, 0,
    NULL },
};

/* Names of regions, zones and slots can't contain dots, which separate the
   parts of request keys.  */
static const struct section_kind
{
  const char *name;
  enum marjoram_draft_kind list;
  bool dots;
  const struct marjoram_ini_key *keys;
  size_t key_count;
} section_kinds[] = {
  { "cluster", MARJORAM_DRAFT_CLUSTER, true, NULL, 0 },
  { "region", MARJORAM_DRAFT_REGION, false, NULL, 0 },
  { "zone", MARJORAM_DRAFT_ZONE, false, zone_keys, ARRAY_SIZE (zone_keys) },
  { "slot", MARJORAM_DRAFT_SLOT, false, slot_keys, ARRAY_SIZE (slot_keys) },
  { "model", MARJORAM_DRAFT_WORK, true, model_keys, ARRAY_SIZE (model_keys) },
  { "service", MARJORAM_DRAFT_WORK, true, service_keys,
    ARRAY_SIZE (service_keys) },
  { "upstream-class", MARJORAM_DRAFT_CLASS, true, class_keys,
    ARRAY_SIZE (class_keys) },
  { "caller", MARJORAM_DRAFT_CALLER, true, caller_keys,
    ARRAY_SIZE (caller_keys) },
  { "residency", MARJORAM_DRAFT_RULE, true, rule_keys,
    ARRAY_SIZE (rule_keys) },
};

static const struct list_kind
{
  const char *name; /* for error messages */
  size_t size;
  size_t max_count;
} lists[MARJORAM_DRAFT_KIND_COUNT] = {
  { "cluster", sizeof (struct marjoram_draft_head), 1 },
  { "region", sizeof (struct marjoram_draft_region), MARJORAM_REGIONS_MAX },
  { "zone", sizeof (struct marjoram_draft_zone), MARJORAM_ZONES_MAX },
  { "slot", sizeof (struct marjoram_draft_slot), MARJORAM_SLOTS_MAX },
  { "model or service", sizeof (struct marjoram_draft_work),
    MARJORAM_WORKS_MAX },
  { "upstream class", sizeof (struct marjoram_draft_class),
    MARJORAM_CLASSES_MAX },
  { "caller", sizeof (struct marjoram_draft_caller), MARJORAM_CALLERS_MAX },
  { "residency rule", sizeof (struct marjoram_draft_rule),
    MARJORAM_RULES_MAX },
};

void *
marjoram_draft_at (const struct marjoram_draft *draft,
                   enum marjoram_draft_kind kind, size_t index)
{
  return draft->lists[kind].items + index * lists[kind].size;
}

size_t
marjoram_draft_count (const struct marjoram_draft *draft,
                      enum marjoram_draft_kind kind)
{
  return draft->lists[kind].count;
}

static const struct section_kind *
find_section_kind (const char *name)
{
  for (size_t i = 0; i < ARRAY_SIZE (section_kinds); i++)
    if (strcmp (section_kinds[i].name, name) == 0)
      return &section_kinds[i];
  return NULL;
}

/* Appends a zeroed item.  Capacity is always a power of two.  */
static void *
add_item (struct marjoram_draft *draft, enum marjoram_draft_kind kind)
{
  struct marjoram_draft_list *list = &draft->lists[kind];
  size_t size = lists[kind].size;

  if ((list->count & (list->count - 1)) == 0)
    {
      list->items
          = realloc (list->items, (list->count ? 2 * list->count : 1) * size);
      if (!list->items)
        abort ();
    }
  memset (list->items + list->count * size, 0, size);
  return list->items + list->count++ * size;
}

static void
check_name (const struct marjoram_ini_file *file,
            const struct marjoram_ini_section *section,
            const struct section_kind *kind, marjoram_faults *faults)
{
  if (!marjoram_name_valid (section->name, kind->dots))
    marjoram_faults_add (
        faults, file->path, section->line,
        "[%s %s] has an invalid name; use letters, digits%s _ "
        "and -",
        section->kind, section->name, kind->dots ? ", dots," : ",");
}

static void
read_section (struct marjoram_draft *draft,
              const struct marjoram_ini_file *file,
              const struct marjoram_ini_section *section,
              marjoram_faults *faults)
{
  const struct section_kind *kind = find_section_kind (section->kind);
  struct marjoram_draft_head *head;

  if (!kind)
    {
      marjoram_faults_add (faults, file->path, section->line,
                           "unknown section [%s]; remove it or use one of: "
                           "file cluster region zone slot model service "
                           "upstream-class caller residency",
                           section->kind);
      return;
    }
  check_name (file, section, kind, faults);
  head = add_item (draft, kind->list);
  head->name = section->name;
  head->path = file->path;
  head->line = section->line;
  if (kind->list == MARJORAM_DRAFT_WORK)
    ((struct marjoram_draft_work *)head)->value.kind
        = kind->keys == model_keys ? MARJORAM_WORK_MODEL
                                   : MARJORAM_WORK_SERVICE;
  marjoram_ini_read (file, section, kind->keys, kind->key_count, head, faults);
}

static void
check_file_head (const struct marjoram_ini_file *file,
                 const struct marjoram_file *source, marjoram_faults *faults)
{
  const struct marjoram_ini_section *section = file->sections;
  marjoram_auto_free char *name = NULL;
  uint64_t version;

  marjoram_config_file_header (file, &name, &version, faults);
  if (name && strcmp (name, source->name) != 0)
    marjoram_faults_add (faults, file->path,
                         marjoram_ini_line (section, "name"),
                         "the file is named \"%s\" but was submitted as "
                         "\"%s\"; submit it under its own name",
                         name, source->name);
  if (version && version != source->version)
    marjoram_faults_add (
        faults, file->path, marjoram_ini_line (section, "version"),
        "the file has version %" PRIu64 " but was submitted as %" PRIu64
        "; submit it with its own version",
        version, source->version);
}

static void
read_file (struct marjoram_draft *draft, const struct marjoram_file *source,
           marjoram_faults *faults)
{
  const char *text = source->text ? source->text : "";
  struct marjoram_ini_file *file
      = marjoram_ini_parse (source->name, text, strlen (text), faults);

  draft->files[draft->file_count++] = file;
  check_file_head (file, source, faults);
  for (size_t i = 0; i < file->section_count; i++)
    if (strcmp (file->sections[i].kind, "file") != 0)
      read_section (draft, file, &file->sections[i], faults);
    else if (i > 0)
      marjoram_faults_add (faults, file->path, file->sections[i].line,
                           "duplicate section [file]; keep only the first");
}

static int
compare_names (const void *a, const void *b)
{
  const struct marjoram_draft_head *x = a;
  const struct marjoram_draft_head *y = b;
  int order = strcmp (x->name, y->name);

  if (order == 0)
    order = strcmp (x->path, y->path);
  return order ? order : x->line - y->line;
}

static int
compare_slots (const void *a, const void *b)
{
  const struct marjoram_draft_slot *x = a;
  const struct marjoram_draft_slot *y = b;
  int order = strcmp (x->zone ? x->zone : "", y->zone ? y->zone : "");

  return order ? order : compare_names (a, b);
}

static int
compare_texts (const void *a, const void *b)
{
  const struct marjoram_draft_unique_value *x = a;
  const struct marjoram_draft_unique_value *y = b;
  int order = strcmp (x->text, y->text);

  if (order == 0)
    order = strcmp (x->head->path, y->head->path);
  return order ? order : x->head->line - y->head->line;
}

void
marjoram_draft_check_unique (struct marjoram_draft_unique_value *texts,
                             size_t count, const char *what, bool shown,
                             marjoram_faults *faults)
{
  if (count == 0)
    return;
  qsort (texts, count, sizeof *texts, compare_texts);
  for (size_t i = 1; i < count; i++)
    if (strcmp (texts[i - 1].text, texts[i].text) == 0)
      marjoram_faults_add (faults, texts[i].head->path, texts[i].head->line,
                           "the %s %s of %s is already used at %s:%d for %s; "
                           "make each unique",
                           what, shown ? texts[i].text : "(not shown)",
                           texts[i].head->name, texts[i - 1].head->path,
                           texts[i - 1].head->line, texts[i - 1].head->name);
}

static void
check_list (struct marjoram_draft *draft, enum marjoram_draft_kind kind,
            marjoram_faults *faults)
{
  struct marjoram_draft_list *list = &draft->lists[kind];
  struct marjoram_draft_unique_value *texts;

  if (list->count == 0)
    return;
  qsort (list->items, list->count, lists[kind].size,
         kind == MARJORAM_DRAFT_SLOT ? compare_slots : compare_names);
  texts = marjoram_alloc (list->count * sizeof *texts);
  for (size_t i = 0; i < list->count; i++)
    {
      texts[i].head = marjoram_draft_at (draft, kind, i);
      texts[i].text = texts[i].head->name;
    }
  marjoram_draft_check_unique (texts, list->count, "name", true, faults);
  if (list->count > lists[kind].max_count)
    {
      const struct marjoram_draft_head *head
          = marjoram_draft_at (draft, kind, list->count - 1);

      marjoram_faults_add (faults, head->path, head->line,
                           "%zu sections of kind %s; at most %zu are allowed",
                           list->count, lists[kind].name,
                           lists[kind].max_count);
    }
  free (texts);
}

struct marjoram_draft *
marjoram_draft_read (const struct marjoram_state *state,
                     marjoram_faults *faults)
{
  struct marjoram_draft *draft = marjoram_alloc (sizeof *draft);
  const struct marjoram_file *files = state->files.items;

  draft->files = marjoram_alloc (state->files.count * sizeof (void *));
  for (size_t i = 0; i < state->files.count; i++)
    read_file (draft, &files[i], faults);
  for (int kind = 0; kind < MARJORAM_DRAFT_KIND_COUNT; kind++)
    check_list (draft, (enum marjoram_draft_kind)kind, faults);
  return draft;
}

int
marjoram_draft_find (const struct marjoram_draft *draft,
                     enum marjoram_draft_kind kind, const char *name)
{
  size_t low = 0;
  size_t high = draft->lists[kind].count;

  while (low < high)
    {
      size_t middle = (low + high) / 2;
      const struct marjoram_draft_head *head
          = marjoram_draft_at (draft, kind, middle);
      int order = strcmp (name, head->name);

      if (order == 0)
        return (int)middle;
      if (order < 0)
        high = middle;
      else
        low = middle + 1;
    }
  return -1;
}

static void
clear_list (struct marjoram_draft *draft, enum marjoram_draft_kind list)
{
  /* Kinds that share a list share its item type, and the first of them has
     every key that owns memory.  */
  for (size_t k = 0; k < ARRAY_SIZE (section_kinds); k++)
    if (section_kinds[k].list == list)
      {
        for (size_t i = 0; i < draft->lists[list].count; i++)
          marjoram_ini_clear (section_kinds[k].keys,
                              section_kinds[k].key_count,
                              marjoram_draft_at (draft, list, i));
        break;
      }
  free (draft->lists[list].items);
}

void
marjoram_draft_destroy (struct marjoram_draft *draft)
{
  if (!draft)
    return;
  for (int kind = 0; kind < MARJORAM_DRAFT_KIND_COUNT; kind++)
    clear_list (draft, (enum marjoram_draft_kind)kind);
  for (size_t i = 0; i < draft->file_count; i++)
    marjoram_ini_destroy (draft->files[i]);
  free (draft->files);
  marjoram_residency_destroy (draft->residency);
  free (draft->work_classes);
  free (draft);
}

void
marjoram_draft_cleanup (struct marjoram_draft **draft)
{
  marjoram_draft_destroy (*draft);
}
