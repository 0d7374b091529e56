/* The operators' files as read, before they are checked against each other.
   Only the configuration's own modules use this.  */
#ifndef MARJORAM_CONFIG_DRAFT_H
#define MARJORAM_CONFIG_DRAFT_H

#include "config.h"
#include "ini_key.h"
#include "residency.h"

/* The lists of a draft.  Models and services share one, as they share names.
 */
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
  MARJORAM_DRAFT_KINDS
};

/* First member of each item.  */
struct marjoram_draft_head
{
  const char *name; /* owned by the draft's files */
  const char *path;
  int line;
};

struct marjoram_draft_region
{
  struct marjoram_draft_head head;
  struct marjoram_region it;
};

struct marjoram_draft_zone
{
  struct marjoram_draft_head head;
  struct marjoram_zone it;
  char *region;
};

struct marjoram_draft_slot
{
  struct marjoram_draft_head head;
  struct marjoram_slot it;
  char *zone;
};

struct marjoram_draft_work
{
  struct marjoram_draft_head head;
  struct marjoram_work it;
  struct marjoram_names regions;
};

struct marjoram_draft_class
{
  struct marjoram_draft_head head;
  struct marjoram_upstream_class it;
  struct marjoram_names works;
};

struct marjoram_draft_caller
{
  struct marjoram_draft_head head;
  struct marjoram_caller it;
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
  struct marjoram_draft_list lists[MARJORAM_DRAFT_KINDS];
  marjoram_residency *residency; /* made by the check */
  int *work_classes;             /* index of each work's class, or -1 */
};

/* Reads all files of STATE, sorts each list by name (slots by zone and name)
   and refuses doubled names.  Never null.  */
struct marjoram_draft *marjoram_draft_read (const struct marjoram_state *state,
                                            marjoram_faults *faults);
void marjoram_draft_destroy (struct marjoram_draft *draft);
void marjoram_draft_cleanup (struct marjoram_draft **draft);

/* A pointer to the item's struct above.  */
void *marjoram_draft_at (const struct marjoram_draft *draft,
                         enum marjoram_draft_kind kind, size_t index);
size_t marjoram_draft_count (const struct marjoram_draft *draft,
                             enum marjoram_draft_kind kind);
/* By name; -1 if there is none.  Not for slots.  */
int marjoram_draft_find (const struct marjoram_draft *draft,
                         enum marjoram_draft_kind kind, const char *name);

/* Texts that must differ: TEXT, with the item that holds it.  */
struct marjoram_draft_text
{
  const char *text;
  const struct marjoram_draft_head *head;
};
/* Sorts TEXTS; a fault for each that stands twice.  SHOWN is whether the text
   may be shown in the fault.  */
void marjoram_draft_unique (struct marjoram_draft_text *texts, size_t count,
                            const char *what, bool shown,
                            marjoram_faults *faults);

/* Checks the items against each other and fills their indexes and sets of
   regions, and the draft's residency.  */
void marjoram_draft_check (struct marjoram_draft *draft,
                           marjoram_faults *faults);

#endif
