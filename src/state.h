/* The agreed state: the operators' files with their versions, the results of
   recent changes, and the keepers.  It is one value that is replaced whole. */
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
  /* A change id is remembered for this many later changes.  */
  MARJORAM_CHANGES_KEPT = 1024
};

/* One operators' file, applied as a whole.  */
struct marjoram_file
{
  char *name;
  uint64_t version; /* the operators' own number */
  char *digest;     /* SHA-256 of the text, in hex */
  char *text;
};

enum marjoram_change_result
{
  MARJORAM_CHANGE_ACCEPTED,
  MARJORAM_CHANGE_SAME,     /* equal version and digest were in force */
  MARJORAM_CHANGE_CONFLICT, /* equal version, another digest holds */
  MARJORAM_CHANGE_STALE,    /* a higher version holds */
  MARJORAM_CHANGE_INVALID   /* the file, with the others, is faulty */
};

/* What became of one change, kept to answer a resend of its id.  */
struct marjoram_change
{
  char *id;
  char *file;
  uint64_t result; /* enum marjoram_change_result */
  uint64_t number; /* the state's number that holds it */
  uint64_t version;
  char *digest; /* the digest that holds after the change */
};

/* A keeper: its slot's name, and the id made once for its store, so that an
   emptied disk is not taken for the member that it was.  */
struct marjoram_keeper_member
{
  char *slot;
  char *store_id;
};

struct marjoram_state
{
  uint64_t number;               /* grows by one with each change */
  struct marjoram_array files;   /* of struct marjoram_file */
  struct marjoram_array changes; /* of struct marjoram_change, oldest first */
  struct marjoram_array members; /* of struct marjoram_keeper_member */
  struct marjoram_array next_members; /* not empty during a change of them */
};

extern const struct marjoram_layout marjoram_file_layout;
extern const struct marjoram_layout marjoram_state_layout;

/* A deep copy, or an empty state if SOURCE is null.  */
struct marjoram_state *
marjoram_state_copy (const struct marjoram_state *source);
void marjoram_state_destroy (struct marjoram_state *state);
/* Null if there is none.  */
const struct marjoram_file *
marjoram_state_file (const struct marjoram_state *state, const char *name);
/* The kept result of the change ID; null if there is none.  */
const struct marjoram_change *
marjoram_state_change (const struct marjoram_state *state, const char *id);
/* Puts a copy of FILE in place of the one of its name, if any.  */
void marjoram_state_set_file (struct marjoram_state *state,
                              const struct marjoram_file *file);
/* Adds a copy of CHANGE; the oldest is dropped once there are
   MARJORAM_CHANGES_KEPT.  */
void marjoram_state_add_change (struct marjoram_state *state,
                                const struct marjoram_change *change);
/* Drops the results of changes, which only keepers need.  */
void marjoram_state_forget_changes (struct marjoram_state *state);
/* For use with marjoram_auto ().  */
void marjoram_state_cleanup (struct marjoram_state **state);

/* Lists of struct marjoram_keeper_member, at most one for a slot.  */
void marjoram_voters_add (struct marjoram_array *members, const char *slot,
                          const char *store_id);
/* Null if there is none.  */
struct marjoram_keeper_member *
marjoram_voters_find (const struct marjoram_array *members, const char *slot);
/* Whether SLOT is a member with just this store.  */
bool marjoram_voters_hold (const struct marjoram_array *members,
                           const char *slot, const char *store_id);
void marjoram_voters_copy (struct marjoram_array *target,
                           const struct marjoram_array *source);
void marjoram_voters_clear (struct marjoram_array *members);

/* SHA-256 in hex, malloc'd.  */
char *marjoram_digest (const void *data, size_t size);

#endif
