/* Packing and unpacking of messages, including malformed input.  */
#include "suite.h"

#include "cleanup.h"
#include "frame.h"
#include "wire.h"

#include <string.h>

struct item
{
  uint64_t number;
};

static const struct marjoram_field item_fields[]
    = { { MARJORAM_WIRE_UINT (struct item, number) } };
static const struct marjoram_layout item_layout
    = { "item", sizeof (struct item), item_fields, 1 };

struct sample
{
  char *name;
  int64_t delta;
  bool valid;
  marjoram_bytes *body;
  struct marjoram_array items;
};

static const struct marjoram_field sample_fields[] = {
  { MARJORAM_WIRE_STRING (struct sample, name, 8) },
  { MARJORAM_WIRE_INT (struct sample, delta) },
  { MARJORAM_WIRE_BOOL (struct sample, valid) },
  { MARJORAM_WIRE_BYTES (struct sample, body, 16) },
  { MARJORAM_WIRE_ARRAY (struct sample, items, 2, &item_layout) },
};
static const struct marjoram_layout sample_layout
    = { "sample", sizeof (struct sample), sample_fields, 5 };

START_TEST (unpack_restores_packed_message)
{
  struct item items[2] = { { 7 }, { UINT64_MAX } };
  struct sample sample = {
    (char *)"name", -5, true, marjoram_bytes_create ("a\0b", 3), { items, 2 }
  };
  marjoram_bytes *packed = marjoram_wire_pack (&sample_layout, &sample);
  struct sample *unpacked
      = marjoram_wire_unpack (&sample_layout, marjoram_bytes_data (packed),
                              marjoram_bytes_size (packed), NULL);

  ck_assert_ptr_nonnull (unpacked);
  ck_assert_str_eq (unpacked->name, "name");
  ck_assert_int_eq (unpacked->delta, -5);
  ck_assert (unpacked->valid);
  ck_assert_uint_eq (marjoram_bytes_size (unpacked->body), 3);
  ck_assert_uint_eq (unpacked->items.count, 2);
  ck_assert (((struct item *)unpacked->items.items)[1].number == UINT64_MAX);
  marjoram_wire_destroy (&sample_layout, unpacked);
  marjoram_bytes_release (packed);
  marjoram_bytes_release (sample.body);
}
END_TEST

static void
check_limit (const struct sample *sample, const char *wrong)
{
  struct marjoram_error err = { 0 };
  marjoram_bytes *packed = marjoram_wire_pack (&sample_layout, sample);

  ck_assert_int_eq (packed != NULL, wrong == NULL);
  ck_assert_int_eq (marjoram_wire_check (&sample_layout, sample, &err),
                    wrong == NULL);
  if (wrong)
    ck_assert_msg (strstr (err.message, wrong), "%s", err.message);
  marjoram_bytes_release (packed);
}

/* Guards against a process that ends because a field exceeds its limit.  */
START_TEST (field_over_its_limit_is_not_packed)
{
  static const uint8_t bytes[4096];
  static struct item items[300];
  struct sample at = { (char *)"12345678",
                       0,
                       false,
                       marjoram_bytes_create (bytes, 16),
                       { items, 2 } };
  struct sample name = at;
  struct sample body = at;
  struct sample list = at;

  check_limit (&at, NULL);
  name.name = (char *)"123456789";
  check_limit (&name, "9 bytes; at most 8");
  body.body = marjoram_bytes_create (bytes, sizeof bytes);
  check_limit (&body, "4096 bytes; at most 16");
  list.items.count = 3;
  check_limit (&list, "3 items; at most 2");
  list.items.count = 300;
  check_limit (&list, "300 items; at most 2");
  marjoram_bytes_release (at.body);
  marjoram_bytes_release (body.body);
}
END_TEST

/* An array header that declares 2^32-1 elements must be rejected before memory
   is allocated for them.  */
START_TEST (refuses_length_bomb)
{
  const uint8_t bomb[] = { 0xdd, 0xff, 0xff, 0xff, 0xff };
  struct marjoram_error err = { 0 };

  ck_assert_ptr_null (
      marjoram_wire_unpack (&sample_layout, bomb, sizeof bomb, &err));
  ck_assert_int_eq (err.kind, MARJORAM_ERROR_INVALID);
}
END_TEST

START_TEST (refuses_deep_nesting)
{
  uint8_t deep[4096];

  memset (deep, 0x91, sizeof deep);
  ck_assert_ptr_null (
      marjoram_wire_unpack (&sample_layout, deep, sizeof deep, NULL));
}
END_TEST

START_TEST (refuses_string_over_its_limit)
{
  const uint8_t data[] = "\x91\xa9"
                         "ninebytes";
  struct marjoram_error err = { 0 };

  ck_assert_ptr_null (
      marjoram_wire_unpack (&sample_layout, data, sizeof data - 1, &err));
  ck_assert_ptr_nonnull (strstr (err.message, "size"));
}
END_TEST

/* Frame types must be stable across releases, and frames of reserved types
   must unpack: an unreadable frame closes the link.  */
START_TEST (reserved_frame_types_are_ignored)
{
  struct sample sample = { (char *)"name", 1, true, NULL, { NULL, 0 } };
  marjoram_bytes *packed = marjoram_wire_pack (&sample_layout, &sample);

  ck_assert_int_eq (MARJORAM_FRAME_OFFERS, 15);
  ck_assert_int_eq (MARJORAM_FRAME_APPLY, 18);
  ck_assert_int_eq (MARJORAM_FRAME_HOST_BEAT, 21);
  ck_assert_int_eq (MARJORAM_FRAME_STATE_PIECE, 29);
  for (enum marjoram_frame_type type = MARJORAM_FRAME_RESERVED_16;
       type <= MARJORAM_FRAME_RESERVED_17; type++)
    {
      const struct marjoram_layout *layout = marjoram_frame_layout (type);
      void *unpacked
          = marjoram_wire_unpack (layout, marjoram_bytes_data (packed),
                                  marjoram_bytes_size (packed), NULL);

      ck_assert_ptr_nonnull (unpacked);
      marjoram_wire_destroy (layout, unpacked);
    }
  marjoram_bytes_release (packed);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("wire");
  TCase *c = tcase_create ("wire");

  tcase_add_test (c, unpack_restores_packed_message);
  tcase_add_test (c, field_over_its_limit_is_not_packed);
  tcase_add_test (c, refuses_length_bomb);
  tcase_add_test (c, reserved_frame_types_are_ignored);
  tcase_add_test (c, refuses_deep_nesting);
  tcase_add_test (c, refuses_string_over_its_limit);
  suite_add_tcase (s, c);
  return s;
}
