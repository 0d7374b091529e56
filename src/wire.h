/* Serialization of C structs as msgpack, for frames between hosts and records
   on disk.  A layout lists the offset and size limit of each field.  A message
   is a msgpack array of the fields in layout order.  For compatibility, fields
   may only be appended; missing fields are read as zero.  */
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
  MARJORAM_FIELD_STRING, /* char *, malloc'd; null is packed as nil */
  MARJORAM_FIELD_BYTES,  /* marjoram_bytes *; null is packed as nil */
  MARJORAM_FIELD_ARRAY   /* struct marjoram_array of structs of LAYOUT */
};

/* ITEMS is a malloc'd array of COUNT structs.  */
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
  size_t limit; /* maximum bytes of a string, or items of an array */
  const struct marjoram_layout *layout; /* of an array's items */
};

struct marjoram_layout
{
  const char *name;
  size_t size;
  const struct marjoram_field *fields;
  size_t field_count;
};

/* Initializers for struct marjoram_field, for example
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

/* Whether no field of MESSAGE exceeds its limit; sets ERR if one does.  */
bool marjoram_wire_check (const struct marjoram_layout *layout,
                          const void *message, struct marjoram_error *err);
/* Returns null if a field exceeds its limit.  */
marjoram_bytes *marjoram_wire_pack (const struct marjoram_layout *layout,
                                    const void *message);
/* Returns a new message, or null with ERR set if DATA has the wrong types,
   exceeds a limit, is nested too deeply or is truncated.  Safe for untrusted
   input.  */
void *marjoram_wire_unpack (const struct marjoram_layout *layout,
                            const void *data, size_t size,
                            struct marjoram_error *err);
/* Frees the memory owned by the fields, but not MESSAGE.  */
void marjoram_wire_clear (const struct marjoram_layout *layout, void *message);
/* Frees a message returned by marjoram_wire_unpack.  MESSAGE may be null.  */
void marjoram_wire_destroy (const struct marjoram_layout *layout,
                            void *message);

#endif
