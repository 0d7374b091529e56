/* Typed messages as msgpack.  A message is a C struct with a layout, a table
   that says where each field lies and how large it may be.  A packed message
   is a msgpack array of the fields in the table's order; fields may be added
   at the end only, and missing ones are read as zero.  The same code packs
   frames between hosts and records on disk.  */
#ifndef MARJORAM_WIRE_H
#define MARJORAM_WIRE_H

#include "bytes.h"
#include "error.h"

#include <stddef.h>
#include <stdint.h>

enum marjoram_field_kind
{
  MARJORAM_FIELD_UINT,   /* uint64_t */
  MARJORAM_FIELD_INT,    /* int64_t */
  MARJORAM_FIELD_BOOL,   /* bool */
  MARJORAM_FIELD_STRING, /* char *, malloc'd, null is packed as nil */
  MARJORAM_FIELD_BYTES,  /* marjoram_bytes *, null is packed as nil */
  MARJORAM_FIELD_ARRAY   /* struct marjoram_array of structs of LAYOUT */
};

/* A malloc'd array of COUNT structs.  */
struct marjoram_array
{
  void *items;
  size_t count;
};

struct marjoram_layout;

struct marjoram_field
{
  enum marjoram_field_kind kind;
  size_t offset;
  size_t limit; /* most bytes of a string, most items of an array */
  const struct marjoram_layout *layout; /* of an array's items */
};

struct marjoram_layout
{
  const char *name;
  size_t size;
  const struct marjoram_field *fields;
  size_t field_count;
};

/* Table entries, for example
   { MARJORAM_WIRE_UINT (struct hello, incarnation) }.  */
#define MARJORAM_WIRE_UINT(type, member)                                      \
  MARJORAM_FIELD_UINT, offsetof (type, member), 0, NULL
#define MARJORAM_WIRE_INT(type, member)                                       \
  MARJORAM_FIELD_INT, offsetof (type, member), 0, NULL
#define MARJORAM_WIRE_BOOL(type, member)                                      \
  MARJORAM_FIELD_BOOL, offsetof (type, member), 0, NULL
#define MARJORAM_WIRE_STRING(type, member, limit)                             \
  MARJORAM_FIELD_STRING, offsetof (type, member), limit, NULL
#define MARJORAM_WIRE_BYTES(type, member, limit)                              \
  MARJORAM_FIELD_BYTES, offsetof (type, member), limit, NULL
#define MARJORAM_WIRE_ARRAY(type, member, limit, layout)                      \
  MARJORAM_FIELD_ARRAY, offsetof (type, member), limit, layout

/* Never fails for a message within its limits; over them it aborts, as that
   is a fault of this program.  */
marjoram_bytes *marjoram_wire_pack (const struct marjoram_layout *layout,
                                    const void *message);
/* A new message, or null with ERR set: wrong type, over a limit, nested too
   deeply, or cut off.  Reads foreign input.  */
void *marjoram_wire_unpack (const struct marjoram_layout *layout,
                            const void *data, size_t size,
                            struct marjoram_error *err);
/* Frees what the fields own, not MESSAGE itself.  */
void marjoram_wire_clear (const struct marjoram_layout *layout, void *message);
/* Frees a message made by unpack; null is allowed.  */
void marjoram_wire_destroy (const struct marjoram_layout *layout,
                            void *message);

#endif
