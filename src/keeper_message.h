/* What keepers send to one another and write to disk.  */
#ifndef MARJORAM_KEEPER_MESSAGE_H
#define MARJORAM_KEEPER_MESSAGE_H

#include "keeper.h"
#include "register.h"

enum marjoram_keeper_kind
{
  MARJORAM_KEEPER_GREET,    /* once a second: who I am, what I know */
  MARJORAM_KEEPER_GREETED,  /* answers GREET */
  MARJORAM_KEEPER_PREPARE,  /* ballot */
  MARJORAM_KEEPER_PROMISE,  /* ballot, accepted ballot and value */
  MARJORAM_KEEPER_REJECT,   /* ballot as asked, accepted: the one promised */
  MARJORAM_KEEPER_ACCEPT,   /* ballot, value */
  MARJORAM_KEEPER_ACCEPTED, /* ballot */
  MARJORAM_KEEPER_CHOSEN,   /* ballot whose value is chosen */
  MARJORAM_KEEPER_LEARN     /* ballot, value: is chosen */
};

/* What the bytes of a value in a message are.  A keeper sends the first form
   to one that does not say what it reads, of an earlier release.  */
enum marjoram_keeper_form
{
  MARJORAM_KEEPER_PLAIN,      /* the packed value */
  MARJORAM_KEEPER_COMPRESSED, /* the same, compressed */
  MARJORAM_KEEPER_DIFFERENCE, /* compressed against the value of a mark */
  MARJORAM_KEEPER_SAME        /* none: it is the value of the mark */
};

/* Each message tells of the sender's store, and of the receiver's as the
   sender last knew it, so that a store restored from an older copy is
   found.  */
struct marjoram_keeper_message
{
  uint64_t kind; /* enum marjoram_keeper_kind */
  char *store_id;
  uint64_t incarnation;
  uint64_t base;       /* writes on disk when this life began */
  uint64_t writes;     /* on disk now */
  char *seen_store_id; /* last heard of in the receiver's slot; may be null */
  uint64_t seen_incarnation;
  uint64_t seen_writes;
  uint64_t number; /* the highest that the sender knows chosen */
  int64_t echo;    /* GREET: the sender's clock; GREETED gives it back */
  struct marjoram_ballot ballot;
  struct marjoram_ballot accepted;
  marjoram_bytes *value;              /* marjoram_state_layout, in FORM */
  uint64_t form;                      /* enum marjoram_keeper_form */
  struct marjoram_value_mark against; /* DIFFERENCE, SAME */
  uint64_t reads;                     /* the last form that the sender reads */
  struct marjoram_value_mark held;    /* what the sender accepted last */
};

/* What was last heard of a store.  */
struct marjoram_keeper_seen
{
  char *store_id;
  uint64_t incarnation;
  uint64_t writes;
};

enum
{
  MARJORAM_KEEPER_SEEN_MAX = 32
};

struct marjoram_keeper_record
{
  uint64_t writes;
  bool barred; /* restored from an older copy: no vote */
  struct marjoram_ballot promised;
  struct marjoram_ballot accepted;
  marjoram_bytes *value;
  struct marjoram_ballot chosen_ballot;
  marjoram_bytes *chosen; /* null if it is VALUE, or none */
  bool value_is_chosen;
  struct marjoram_array seen; /* of struct marjoram_keeper_seen */
};

extern const struct marjoram_layout marjoram_keeper_record_layout;

#endif
