/* Compression with and without a base.  */
#include "suite.h"

#include "cleanup.h"
#include "compress.h"

#include <stdio.h>
#include <string.h>

enum
{
  ROUTES = 5600,
  ROUTE_MAX = 160,
  LIMIT = 4 * 1024 * 1024
};

/* Creates a configuration with ROUTES routes; route CHANGED has a different
   timeout.  */
static marjoram_bytes *
make_config (int changed)
{
  size_t capacity = (size_t)ROUTES * ROUTE_MAX;
  marjoram_auto_free char *text = marjoram_alloc (capacity);
  size_t size = 0;

  for (int i = 0; i < ROUTES; i++)
    size += (size_t)snprintf (
        text + size, capacity - size,
        "{\"name\":\"r-%x\",\"path\":\"/%x/\",\"timeout\":%d}",
        (unsigned)i * 2654435761U, (unsigned)i * 40503U,
        i == changed ? 500 : 4000);
  return marjoram_bytes_create (text, size);
}

static void
expect_same (const marjoram_bytes *a, const marjoram_bytes *b)
{
  ck_assert_ptr_nonnull (b);
  ck_assert_uint_eq (marjoram_bytes_size (a), marjoram_bytes_size (b));
  ck_assert_int_eq (memcmp (marjoram_bytes_data (a), marjoram_bytes_data (b),
                            marjoram_bytes_size (a)),
                    0);
}

START_TEST (decompress_restores_data)
{
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *data
      = make_config (-1);
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *packed
      = marjoram_compress (data, NULL);
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *unpacked
      = marjoram_decompress (packed, NULL, LIMIT, NULL);

  expect_same (data, unpacked);
  ck_assert_uint_lt (marjoram_bytes_size (packed),
                     marjoram_bytes_size (data) / 3);
}
END_TEST

START_TEST (one_changed_route_needs_a_small_delta)
{
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *base
      = make_config (-1);
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *data
      = make_config (4711);
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *packed
      = marjoram_compress (data, base);
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *unpacked
      = marjoram_decompress (packed, base, LIMIT, NULL);

  expect_same (data, unpacked);
  ck_assert_uint_lt (marjoram_bytes_size (packed), 1000);
}
END_TEST

/* Decompressing with a wrong base must fail, not yield wrong data.  */
START_TEST (wrong_base_is_an_error)
{
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *base
      = make_config (-1);
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *other
      = make_config (5);
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *data
      = make_config (4711);
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *packed
      = marjoram_compress (data, base);
  struct marjoram_error err = { 0 };

  ck_assert_ptr_null (marjoram_decompress (packed, other, LIMIT, &err));
  ck_assert_int_eq (err.kind, MARJORAM_ERROR_INVALID);
  ck_assert_ptr_null (marjoram_decompress (packed, NULL, LIMIT, &err));
}
END_TEST

START_TEST (oversized_or_malformed_data_is_an_error)
{
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *data
      = make_config (-1);
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *packed
      = marjoram_compress (data, NULL);
  struct marjoram_error err = { 0 };

  ck_assert_ptr_null (marjoram_decompress (
      packed, NULL, marjoram_bytes_size (data) - 1, &err));
  ck_assert_int_eq (err.kind, MARJORAM_ERROR_INVALID);
  ck_assert_ptr_null (marjoram_decompress (data, NULL, LIMIT, &err));
  ck_assert_ptr_null (marjoram_decompress (NULL, NULL, LIMIT, &err));
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("compress");
  TCase *c = tcase_create ("compress");

  tcase_add_test (c, decompress_restores_data);
  tcase_add_test (c, one_changed_route_needs_a_small_delta);
  tcase_add_test (c, wrong_base_is_an_error);
  tcase_add_test (c, oversized_or_malformed_data_is_an_error);
  suite_add_tcase (s, c);
  return s;
}
