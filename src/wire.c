#include "wire.h"

#include "cleanup.h"

#include <msgpack.h>
#include <string.h>

/* ---- Limits.  ---- */

static size_t
size_of (const struct marjoram_field *field, const char *member)
{
  const char *text;

  switch (field->kind)
    {
    case MARJORAM_FIELD_STRING:
      text = *(char *const *)member;
      return text ? strlen (text) : 0;
    case MARJORAM_FIELD_BYTES:
      return marjoram_bytes_size (*(marjoram_bytes *const *)member);
    case MARJORAM_FIELD_ARRAY:
      return ((const struct marjoram_array *)member)->count;
    default:
      return 0;
    }
}

static bool
check_items (const struct marjoram_field *field,
             const struct marjoram_array *array, struct marjoram_error *err)
{
  const char *item = array->items;

  for (size_t i = 0; i < array->count; i++, item += field->layout->size)
    if (!marjoram_wire_check (field->layout, item, err))
      return false;
  return true;
}

bool
marjoram_wire_check (const struct marjoram_layout *layout, const void *message,
                     struct marjoram_error *err)
{
  for (size_t i = 0; i < layout->field_count; i++)
    {
      const struct marjoram_field *field = &layout->fields[i];
      const char *member = (const char *)message + field->offset;
      const size_t size = size_of (field, member);

      if (size > field->limit)
        return marjoram_error_set (
            err, MARJORAM_ERROR_LIMIT,
            "field %zu of message type %s has %zu %s; at most %zu are allowed",
            i, layout->name, size,
            field->kind == MARJORAM_FIELD_ARRAY ? "items" : "bytes",
            field->limit);
      if (field->kind == MARJORAM_FIELD_ARRAY
          && !check_items (field, (const struct marjoram_array *)member, err))
        return false;
    }
  return true;
}

/* ---- Packing.  ---- */

static void pack_struct (msgpack_packer *packer,
                         const struct marjoram_layout *layout,
                         const char *base);

static void
pack_string (msgpack_packer *packer, const char *text)
{
  size_t size;

  if (!text)
    {
      msgpack_pack_nil (packer);
      return;
    }
  size = strlen (text);
  msgpack_pack_str (packer, size);
  msgpack_pack_str_body (packer, text, size);
}

static void
pack_bytes (msgpack_packer *packer, const marjoram_bytes *bytes)
{
  size_t size = marjoram_bytes_size (bytes);

  if (!bytes)
    {
      msgpack_pack_nil (packer);
      return;
    }
  msgpack_pack_bin (packer, size);
  msgpack_pack_bin_body (packer, marjoram_bytes_data (bytes), size);
}

static void
pack_array (msgpack_packer *packer, const struct marjoram_array *array,
            const struct marjoram_field *field)
{
  const char *item = array->items;

  msgpack_pack_array (packer, array->count);
  for (size_t i = 0; i < array->count; i++, item += field->layout->size)
    pack_struct (packer, field->layout, item);
}

static void
pack_field (msgpack_packer *packer, const struct marjoram_field *field,
            const char *member)
{
  switch (field->kind)
    {
    case MARJORAM_FIELD_UINT:
      msgpack_pack_uint64 (packer, *(const uint64_t *)member);
      break;
    case MARJORAM_FIELD_INT:
      msgpack_pack_int64 (packer, *(const int64_t *)member);
      break;
    case MARJORAM_FIELD_BOOL:
      if (*(const bool *)member)
        msgpack_pack_true (packer);
      else
        msgpack_pack_false (packer);
      break;
    case MARJORAM_FIELD_STRING:
      pack_string (packer, *(char *const *)member);
      break;
    case MARJORAM_FIELD_BYTES:
      pack_bytes (packer, *(marjoram_bytes *const *)member);
      break;
    case MARJORAM_FIELD_ARRAY:
      pack_array (packer, (const struct marjoram_array *)member, field);
      break;
    }
}

static void
pack_struct (msgpack_packer *packer, const struct marjoram_layout *layout,
             const char *base)
{
  msgpack_pack_array (packer, layout->field_count);
  for (size_t i = 0; i < layout->field_count; i++)
    pack_field (packer, &layout->fields[i], base + layout->fields[i].offset);
}

marjoram_bytes *
marjoram_wire_pack (const struct marjoram_layout *layout, const void *message)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  marjoram_bytes *bytes;

  if (!marjoram_wire_check (layout, message, NULL))
    return NULL;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  pack_struct (&packer, layout, message);
  bytes = marjoram_bytes_create (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}

static bool unpack_struct (const struct marjoram_layout *layout, char *base,
                           const msgpack_object *object,
                           struct marjoram_error *err);

static bool
field_error (const char *what, struct marjoram_error *err)
{
  return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                             "message field has the wrong %s; check that all "
                             "hosts run the same release",
                             what);
}

static bool
unpack_string (const struct marjoram_field *field, char *member,
               const msgpack_object *object, struct marjoram_error *err)
{
  char *text;

  if (object->type == MSGPACK_OBJECT_NIL)
    return true;
  if (object->type != MSGPACK_OBJECT_STR)
    return field_error ("type", err);
  if (object->via.str.size > field->limit)
    return field_error ("size", err);
  text = marjoram_alloc (object->via.str.size + 1);
  /* msgpack-c represents an empty string by a null pointer.  */
  if (object->via.str.size)
    memcpy (text, object->via.str.ptr, object->via.str.size);
  /* Reject embedded NULs, which would truncate the C string.  */
  if (strlen (text) != object->via.str.size)
    {
      free (text);
      return field_error ("characters", err);
    }
  *(char **)member = text;
  return true;
}

static bool
unpack_bytes (const struct marjoram_field *field, char *member,
              const msgpack_object *object, struct marjoram_error *err)
{
  if (object->type == MSGPACK_OBJECT_NIL)
    return true;
  if (object->type != MSGPACK_OBJECT_BIN)
    return field_error ("type", err);
  if (object->via.bin.size > field->limit)
    return field_error ("size", err);
  *(marjoram_bytes **)member
      = marjoram_bytes_create (object->via.bin.ptr, object->via.bin.size);
  return true;
}

static bool
unpack_array (const struct marjoram_field *field, char *member,
              const msgpack_object *object, struct marjoram_error *err)
{
  struct marjoram_array *array = (struct marjoram_array *)member;
  char *item;

  if (object->type != MSGPACK_OBJECT_ARRAY)
    return field_error ("type", err);
  if (object->via.array.size > field->limit)
    return field_error ("size", err);
  if (object->via.array.size == 0)
    return true;
  array->items = marjoram_alloc (object->via.array.size * field->layout->size);
  array->count = object->via.array.size;
  item = array->items;
  for (size_t i = 0; i < array->count; i++, item += field->layout->size)
    if (!unpack_struct (field->layout, item, &object->via.array.ptr[i], err))
      return false;
  return true;
}

static bool
unpack_field (const struct marjoram_field *field, char *member,
              const msgpack_object *object, struct marjoram_error *err)
{
  switch (field->kind)
    {
    case MARJORAM_FIELD_UINT:
      if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        return field_error ("type", err);
      *(uint64_t *)member = object->via.u64;
      return true;
    case MARJORAM_FIELD_INT:
      if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER
          && object->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
        return field_error ("type", err);
      if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER
          && object->via.u64 > INT64_MAX)
        return field_error ("size", err);
      *(int64_t *)member = object->via.i64;
      return true;
    case MARJORAM_FIELD_BOOL:
      if (object->type != MSGPACK_OBJECT_BOOLEAN)
        return field_error ("type", err);
      *(bool *)member = object->via.boolean;
      return true;
    case MARJORAM_FIELD_STRING:
      return unpack_string (field, member, object, err);
    case MARJORAM_FIELD_BYTES:
      return unpack_bytes (field, member, object, err);
    case MARJORAM_FIELD_ARRAY:
      return unpack_array (field, member, object, err);
    }
  return field_error ("kind", err);
}

static bool
unpack_struct (const struct marjoram_layout *layout, char *base,
               const msgpack_object *object, struct marjoram_error *err)
{
  size_t count;

  if (object->type != MSGPACK_OBJECT_ARRAY)
    return field_error ("type", err);
  count = object->via.array.size;
  if (count > layout->field_count)
    count = layout->field_count;
  for (size_t i = 0; i < count; i++)
    if (!unpack_field (&layout->fields[i], base + layout->fields[i].offset,
                       &object->via.array.ptr[i], err))
      return false;
  return true;
}

/* Extent of a msgpack item: SIZE bytes of header and scalar content, followed
   by ITEMS nested items.  */
struct item_extent
{
  uint64_t size;
  uint64_t items;
};

static uint64_t
read_big_endian (const uint8_t *data, size_t count)
{
  uint64_t value = 0;

  for (size_t i = 0; i < count; i++)
    value = value << 8 | data[i];
  return value;
}

/* Returns the width of the length that follows the first byte of types 0xc4 to
   0xc6 (bin), 0xc7 to 0xc9 (ext) and 0xd9 to 0xdf (str, array, map), or 0.  */
static size_t
length_width (uint8_t first)
{
  if (first >= 0xc4 && first <= 0xc9)
    return (size_t)1 << ((first - 0xc4) % 3);
  if (first >= 0xd9 && first <= 0xdb)
    return (size_t)1 << (first - 0xd9);
  if (first >= 0xdc && first <= 0xdf)
    return (size_t)2 << ((first - 0xdc) % 2);
  return 0;
}

static struct item_extent
fixed_extent (uint8_t first)
{
  static const uint8_t number_sizes[] = { 5, 9, 2, 3, 5, 9, 2, 3, 5, 9 };
  static const uint8_t ext_sizes[] = { 3, 4, 6, 10, 18 };

  if (first >= 0x80 && first <= 0x8f)
    return (struct item_extent){ 1, 2 * (uint64_t)(first & 0x0f) };
  if (first >= 0x90 && first <= 0x9f)
    return (struct item_extent){ 1, first & 0x0f };
  if (first >= 0xa0 && first <= 0xbf)
    return (struct item_extent){ 1 + (uint64_t)(first & 0x1f), 0 };
  if (first >= 0xca && first <= 0xd3)
    return (struct item_extent){ number_sizes[first - 0xca], 0 };
  if (first >= 0xd4 && first <= 0xd8)
    return (struct item_extent){ ext_sizes[first - 0xd4], 0 };
  return (struct item_extent){ 1, 0 };
}

static struct item_extent
parse_extent (const uint8_t *data, size_t size)
{
  size_t width = length_width (data[0]);
  uint64_t length;

  if (width == 0)
    return fixed_extent (data[0]);
  if (size < 1 + width)
    return (struct item_extent){ UINT64_MAX, 0 };
  length = read_big_endian (data + 1, width);
  if (data[0] >= 0xde)
    return (struct item_extent){ 1 + width, 2 * length };
  if (data[0] >= 0xdc)
    return (struct item_extent){ 1 + width, length };
  if (data[0] >= 0xc7 && data[0] <= 0xc9)
    length++;
  return (struct item_extent){ 1 + width + length, 0 };
}

/* Checks all lengths against the size of the input.  msgpack-c allocates
   memory for the item count in a header before it reads the items, so that a
   5-byte message could exhaust memory.  Each item takes at least one byte,
   which bounds the valid counts.  */
static bool
lengths_are_valid (const uint8_t *data, size_t size)
{
  uint64_t pending = 1;

  while (pending > 0 && size > 0)
    {
      struct item_extent item = parse_extent (data, size);

      if (item.size > size)
        return false;
      data += item.size;
      size -= item.size;
      pending += item.items - 1;
      if (pending > size)
        return false;
    }
  return pending == 0 && size == 0;
}

void *
marjoram_wire_unpack (const struct marjoram_layout *layout, const void *data,
                      size_t size, struct marjoram_error *err)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  void *message = NULL;

  msgpack_unpacked_init (&unpacked);
  if (lengths_are_valid (data, size)
      && msgpack_unpack_next (&unpacked, data, size, &offset)
             == MSGPACK_UNPACK_SUCCESS
      && offset == size)
    {
      message = marjoram_alloc (layout->size);
      if (!unpack_struct (layout, message, &unpacked.data, err))
        {
          marjoram_wire_destroy (layout, message);
          message = NULL;
        }
    }
  else
    marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                        "malformed msgpack message of type %s; check that all "
                        "hosts run the same release",
                        layout->name);
  msgpack_unpacked_destroy (&unpacked);
  return message;
}

static void
clear_field (const struct marjoram_field *field, char *member)
{
  struct marjoram_array *array;
  char *item;

  switch (field->kind)
    {
    case MARJORAM_FIELD_STRING:
      free (*(char **)member);
      *(char **)member = NULL;
      break;
    case MARJORAM_FIELD_BYTES:
      marjoram_bytes_release (*(marjoram_bytes **)member);
      *(marjoram_bytes **)member = NULL;
      break;
    case MARJORAM_FIELD_ARRAY:
      array = (struct marjoram_array *)member;
      item = array->items;
      for (size_t i = 0; i < array->count; i++, item += field->layout->size)
        marjoram_wire_clear (field->layout, item);
      free (array->items);
      array->items = NULL;
      array->count = 0;
      break;
    default:
      break;
    }
}

void
marjoram_wire_clear (const struct marjoram_layout *layout, void *message)
{
  for (size_t i = 0; i < layout->field_count; i++)
    clear_field (&layout->fields[i],
                 (char *)message + layout->fields[i].offset);
}

void
marjoram_wire_destroy (const struct marjoram_layout *layout, void *message)
{
  if (!message)
    return;
  marjoram_wire_clear (layout, message);
  free (message);
}
