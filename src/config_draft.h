/* Parsed operators' files before cross-validation.  Internal to the config
   modules.  */
#ifndef MARJORAM_CONFIG_DRAFT_H
#define MARJORAM_CONFIG_DRAFT_H

#include "config.h"
#include "ini_key.h"
#include "residency.h"

/* The lists of a draft.  Models and services share one list because they share
   a namespace.  */
enum marjoram_draft_kind
{
  MARJORAM_DRAFT_CLUSTER,
  MARJORAM_DRAFT_REGION,
  MARJORAM_DRAFT_ZONE,
  MARJORAM_DRAFT_SLOT,
  MARJORAM_DRAFT_WORK,
  MARJORAM_DRAFT_CLASS,
  MARJORAM_DRAFT_CALLER,
  MARJORAM_DRAFT_RULE,
  MARJORAM_DRAFT_KIND_COUNT
};

/* Name and source location; the first member of each item.  */
struct marjoram_draft_head
{
  const char *name; /* owned by the draft's files */
  const char *path;
  int line;
};

struct marjoram_draft_region
{
  struct marjoram_draft_head head;
  struct marjoram_region value;
};

struct marjoram_draft_zone
{
  struct marjoram_draft_head head;
  struct marjoram_zone value;
  char *region;
};

struct marjoram_draft_slot
{
  struct marjoram_draft_head head;
  struct marjoram_slot value;
  char *zone;
};

struct marjoram_draft_work
{
  struct marjoram_draft_head head;
  struct marjoram_work value;
  struct marjoram_names regions;
};

struct marjoram_draft_class
{
  struct marjoram_draft_head head;
  struct marjoram_upstream_class value;
  struct marjoram_names works;
};

struct marjoram_draft_caller
{
  struct marjoram_draft_head head;
  struct marjoram_caller value;
  char *home;
  struct marjoram_names regions;
};

struct marjoram_draft_rule
{
  struct marjoram_draft_head head;
  struct marjoram_names callers;
  struct marjoram_names works;
  struct marjoram_names regions;
};

struct marjoram_draft_list
{
  char *items;
  size_t count;
};

struct marjoram_draft
{
  struct marjoram_ini_file **files;
  size_t file_count;
  struct marjoram_draft_list lists[MARJORAM_DRAFT_KIND_COUNT];
  marjoram_residency *residency; /* created by marjoram_draft_check */
  int *work_classes;             /* index of each work's class, or -1 */
};

/* Reads all files of STATE, sorts each list by name (slots by zone and name)
   and reports duplicate names.  Never returns null.  */
struct marjoram_draft *marjoram_draft_read (const struct marjoram_state *state,
                                            marjoram_faults *faults);
void marjoram_draft_destroy (struct marjoram_draft *draft);
void marjoram_draft_cleanup (struct marjoram_draft **draft);

/* Returns a pointer to the item's marjoram_draft_* struct.  */
void *marjoram_draft_at (const struct marjoram_draft *draft,
                         enum marjoram_draft_kind kind, size_t index);
size_t marjoram_draft_count (const struct marjoram_draft *draft,
                             enum marjoram_draft_kind kind);
/* The index of the item called NAME, or -1.  Not for slots, which are not
   sorted by name alone.  */
int marjoram_draft_find (const struct marjoram_draft *draft,
                         enum marjoram_draft_kind kind, const char *name);

/* A value that must be unique, and the item that it belongs to.  */
struct marjoram_draft_unique_value
{
  const char *text;
  const struct marjoram_draft_head *head;
};
/* Sorts TEXTS and reports each duplicate.  Error messages include the text
   only if SHOWN is set.  */
void marjoram_draft_check_unique (struct marjoram_draft_unique_value *texts,
                                  size_t count, const char *what, bool shown,
                                  marjoram_faults *faults);

/* Cross-validates the items, resolves their references to indexes and region
   masks, and creates the draft's residency.  */
void marjoram_draft_check (struct marjoram_draft *draft,
                           marjoram_faults *faults);

#endif
