/* Random input for the fuzz tests: byte buffers to mutate, and messages that
   are well-formed for a given layout.  */
#ifndef MARJORAM_TEST_FUZZ_H
#define MARJORAM_TEST_FUZZ_H

#include "cleanup.h"
#include "ini_file.h"
#include "random.h"
#include "wire.h"

#include <check.h>
#include <string.h>

enum
{
  INPUT_MAX = 64 * 1024,
  STRING_MAX = 40,
  ITEMS_MAX = 3,
  SMALL_NUMBERS = 8
};

/* A buffer to mutate and its source of randomness.  */
struct input
{
  marjoram_random *random;
  size_t size;
  uint8_t data[INPUT_MAX];
};

static size_t
below (struct input *in, size_t limit)
{
  return marjoram_random_below (in->random, (uint32_t)limit);
}

static inline void
load_input (struct input *in, const char *path)
{
  size_t size;
  marjoram_auto_free char *text
      = marjoram_file_read (path, INPUT_MAX / 2, &size, NULL);

  ck_assert_msg (text != NULL, "%s", path);
  memcpy (in->data, text, size);
  in->size = size;
}

static void fill_message (struct input *in,
                          const struct marjoram_layout *layout, char *base);

/* Returns a random string of at most LIMIT bytes or, in about half of the
   cases, a fixed name that the modules under test may know.  */
static char *
random_string (struct input *in, size_t limit)
{
  static const char *const names[]
      = { "", "hba-1", "hba-1-a", "hba-1-b", "recipe-lm", "10.30.1.1:9" };
  const char *name = names[below (in, sizeof names / sizeof *names)];
  size_t size = below (in, (limit < STRING_MAX ? limit : STRING_MAX) + 1);
  char *text;

  if (below (in, 2) && strlen (name) <= limit)
    return marjoram_strdup (name);
  text = marjoram_alloc (size + 1);
  for (size_t i = 0; i < size; i++)
    text[i] = (char)('a' + below (in, 26));
  return text;
}

static uint64_t
random_number (struct input *in)
{
  uint64_t number = below (in, UINT32_MAX);

  if (below (in, 2))
    return number % SMALL_NUMBERS;
  return number << below (in, 33) >> below (in, 33);
}

static void
fill_array (struct input *in, const struct marjoram_field *field,
            struct marjoram_array *array)
{
  size_t max_items = field->limit < ITEMS_MAX ? field->limit : ITEMS_MAX;

  array->count = below (in, max_items + 1);
  array->items = marjoram_alloc (array->count * field->layout->size);
  for (size_t i = 0; i < array->count; i++)
    fill_message (in, field->layout,
                  (char *)array->items + i * field->layout->size);
}

static void
fill_message (struct input *in, const struct marjoram_layout *layout,
              char *base)
{
  for (size_t i = 0; i < layout->field_count; i++)
    {
      const struct marjoram_field *field = &layout->fields[i];
      char *target = base + field->offset;
      marjoram_auto_free char *text = NULL;

      switch (field->kind)
        {
        case MARJORAM_FIELD_UINT:
          *(uint64_t *)target = random_number (in);
          break;
        case MARJORAM_FIELD_INT:
          *(int64_t *)target = -(int64_t)(random_number (in) / 2);
          break;
        case MARJORAM_FIELD_BOOL:
          *(bool *)target = below (in, 2) != 0;
          break;
        case MARJORAM_FIELD_STRING:
          if (below (in, 4))
            *(char **)target = random_string (in, field->limit);
          break;
        case MARJORAM_FIELD_BYTES:
          text = random_string (in, field->limit);
          if (below (in, 4))
            *(marjoram_bytes **)target
                = marjoram_bytes_create (text, strlen (text));
          break;
        case MARJORAM_FIELD_ARRAY:
          fill_array (in, field, (struct marjoram_array *)target);
          break;
        }
    }
}

#endif
