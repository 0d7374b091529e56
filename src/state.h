/* The replicated state: the configuration files with their versions, the
   results of recent changes, and the keepers, which are the consensus members.
   It is replaced as a single value.  */
#ifndef MARJORAM_STATE_H
#define MARJORAM_STATE_H

#include "wire.h"

#include <stdbool.h>

enum
{
  MARJORAM_NAME_MAX = 64,
  MARJORAM_FILE_TEXT_MAX = 4 * 1024 * 1024,
  MARJORAM_FILES_MAX = 64,
  MARJORAM_KEEPERS_MAX = 7,
  /* Results of changes that are kept to answer a retransmitted change.  */
  MARJORAM_CHANGES_KEPT = 1024
};

/* A configuration file; an update replaces the complete text.  */
struct marjoram_file
{
  char *name;
  uint64_t version; /* assigned by the operator */
  char *digest;     /* SHA-256 of the text, in hex */
  char *text;
};

enum marjoram_change_result
{
  MARJORAM_CHANGE_ACCEPTED,
  MARJORAM_CHANGE_SAME,     /* same version and digest already active */
  MARJORAM_CHANGE_CONFLICT, /* same version active with another digest */
  MARJORAM_CHANGE_STALE,    /* a higher version is active */
  MARJORAM_CHANGE_INVALID   /* the resulting configuration is invalid */
};

/* The result of a change, kept to answer a retransmission of its id.  */
struct marjoram_change
{
  char *id;
  char *file;
  uint64_t result; /* enum marjoram_change_result */
  uint64_t number; /* of the state that recorded it */
  uint64_t version;
  char *digest; /* of the file that is active after the change */
};

/* A keeper: its slot name, and the random id of its store, which distinguishes
   the member from a replacement in the same slot with an empty disk.  */
struct marjoram_keeper_member
{
  char *slot;
  char *store_id;
};

struct marjoram_state
{
  uint64_t number;               /* incremented by each change */
  struct marjoram_array files;   /* of struct marjoram_file */
  struct marjoram_array changes; /* of struct marjoram_change, oldest first */
  struct marjoram_array members; /* of struct marjoram_keeper_member */
  struct marjoram_array
      next_members; /* empty unless members are being changed */
};

extern const struct marjoram_layout marjoram_file_layout;
extern const struct marjoram_layout marjoram_state_layout;

/* Returns a deep copy, or an empty state if SOURCE is null.  */
struct marjoram_state *
marjoram_state_copy (const struct marjoram_state *source);
void marjoram_state_destroy (struct marjoram_state *state);
/* Returns null if the state has no file NAME.  */
const struct marjoram_file *
marjoram_state_file (const struct marjoram_state *state, const char *name);
/* Returns the recorded result of the change ID, or null.  */
const struct marjoram_change *
marjoram_state_change (const struct marjoram_state *state, const char *id);
/* Adds a copy of FILE, replacing the file of the same name, if any.  */
void marjoram_state_set_file (struct marjoram_state *state,
                              const struct marjoram_file *file);
/* Adds a copy of CHANGE, discarding the oldest one if there are
   MARJORAM_CHANGES_KEPT already.  */
void marjoram_state_add_change (struct marjoram_state *state,
                                const struct marjoram_change *change);
/* Discards the results of changes, which only keepers need.  */
void marjoram_state_clear_changes (struct marjoram_state *state);
/* For use with marjoram_auto ().  */
void marjoram_state_cleanup (struct marjoram_state **state);

/* Lists of struct marjoram_keeper_member with at most one per slot.  */
void marjoram_voters_add (struct marjoram_array *members, const char *slot,
                          const char *store_id);
/* Returns null if SLOT is not a member.  */
struct marjoram_keeper_member *
marjoram_voters_find (const struct marjoram_array *members, const char *slot);
bool marjoram_voters_contain (const struct marjoram_array *members,
                              const char *slot, const char *store_id);
void marjoram_voters_copy (struct marjoram_array *target,
                           const struct marjoram_array *source);
void marjoram_voters_clear (struct marjoram_array *members);

/* Returns the SHA-256 hash in hex; the caller frees it.  */
char *marjoram_digest (const void *data, size_t size);

#endif
