/* Fuzzes everything that a daemon reads from outside: settings, operators'
   files and messages from peers.  Each input must be accepted or rejected with
   an error, without a crash.  Seeds are fixed; a failure prints its seed.  */
#include "fuzz.h"
#include "suite.h"

#include "config.h"
#include "config_file.h"
#include "frame.h"
#include "secret.h"
#include "settings.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  TEXT_SEEDS = 1500,
  FRAME_SEEDS = 400,
  GROWTH_MAX = 300,
  MUTATIONS_MAX = 6
};

static void
insert_bytes (struct input *in, size_t at, const void *data, size_t size)
{
  if (in->size + size > INPUT_MAX)
    return;
  memmove (in->data + at + size, in->data + at, in->size - at);
  memcpy (in->data + at, data, size);
  in->size += size;
}

static void
delete_bytes (struct input *in, size_t at, size_t size)
{
  if (size > in->size - at)
    size = in->size - at;
  memmove (in->data + at, in->data + at + size, in->size - at - size);
  in->size -= size;
}

/* msgpack type bytes and characters with a meaning in INI files.  */
static const uint8_t special_bytes[]
    = { 0x00, 0xff, 0x7f, 0x80, 0x8f, 0x90, 0x9f, 0xa0, 0xbf, 0xc0, 0xc1,
        0xc4, 0xc6, 0xc9, 0xca, 0xcf, 0xd3, 0xd8, 0xd9, 0xdb, 0xdc, 0xdd,
        0xde, 0xdf, '[',  ']',  '=',  ';',  '\n', '\r', ' ',  ',',  ':' };

static void
mutate_bytes (struct input *in)
{
  size_t at = below (in, in->size + 1);
  uint8_t copy[GROWTH_MAX];
  size_t size = 1 + below (in, GROWTH_MAX);

  switch (below (in, 6))
    {
    case 0:
      if (at < in->size)
        in->data[at] ^= (uint8_t)(1U << below (in, 8));
      break;
    case 1:
      if (at < in->size)
        in->data[at] = special_bytes[below (in, sizeof special_bytes)];
      break;
    case 2:
      insert_bytes (in, at, &special_bytes[below (in, sizeof special_bytes)],
                    1);
      break;
    case 3:
      delete_bytes (in, at, 1 + below (in, 8));
      break;
    case 4:
      in->size = at;
      break;
    default:
      if (size > in->size - at)
        size = in->size - at;
      memcpy (copy, in->data + at, size);
      insert_bytes (in, below (in, in->size + 1), copy, size);
      break;
    }
}

/* Picks a random line; returns its length, line end included.  */
static size_t
random_line (struct input *in, size_t *start)
{
  size_t at = in->size ? below (in, in->size) : 0;
  size_t stop = at;

  while (at > 0 && in->data[at - 1] != '\n')
    at--;
  while (stop < in->size && in->data[stop] != '\n')
    stop++;
  *start = at;
  return stop - at + (stop < in->size);
}

static void
mutate_lines (struct input *in)
{
  static const char *const values[]
      = { "= -1\n",       "= 99999999999999999999\n",
          "= nan\n",      "= all\n",
          "= ,,,\n",      "= 1.2.3.4:99999\n",
          "= [::1]:1\n",  "[caller]\n",
          "[zone x y]\n", "=\n" };
  const char *value = values[below (in, sizeof values / sizeof *values)];
  uint8_t line[GROWTH_MAX];
  size_t source;
  size_t target;
  size_t size = random_line (in, &source);

  if (size > sizeof line)
    return;
  memcpy (line, in->data + source, size);
  random_line (in, &target);
  switch (below (in, 4))
    {
    case 0:
      delete_bytes (in, source, size);
      break;
    case 1:
      insert_bytes (in, target, line, size);
      break;
    case 2:
      delete_bytes (in, source, size);
      insert_bytes (in, target < in->size ? target : in->size, line, size);
      break;
    default:
      insert_bytes (in, source + below (in, size + 1), value, strlen (value));
      break;
    }
}

static void
mutate_text (struct input *in)
{
  for (size_t n = 1 + below (in, MUTATIONS_MAX); n > 0; n--)
    if (below (in, 3))
      mutate_lines (in);
    else
      mutate_bytes (in);
}

/* Error messages must have a remedy after a semicolon.  */
static void
check_faults (const char *faults, int seed)
{
  ck_assert_msg (faults && *faults && strchr (faults, ';'), "seed %d: %s",
                 seed, faults ? faults : "no error message");
}

/* Makes the path of the secret relative to the settings file.  */
static void
use_relative_secret_path (struct input *in)
{
  static const char folder[] = "/etc/marjoram/";
  const uint8_t *place = memmem (in->data, in->size, folder, strlen (folder));

  ck_assert_ptr_nonnull (place);
  delete_bytes (in, (size_t)(place - in->data), strlen (folder));
}

START_TEST (settings_are_read_or_refused)
{
  static struct input in;
  char secret[96];
  char folder[64] = "/tmp/marjoram-fuzz-XXXXXX";
  char path[96];
  int accepted = 0;

  ck_assert_ptr_nonnull (mkdtemp (folder));
  snprintf (path, sizeof path, "%s/host.ini", folder);
  snprintf (secret, sizeof secret, "%s/secret", folder);
  ck_assert (marjoram_secret_create (secret, NULL));
  for (int seed = 0; seed < TEXT_SEEDS; seed++)
    {
      marjoram_auto_free char *faults = NULL;
      struct marjoram_settings *settings;
      FILE *out = fopen (path, "w");

      in.random = marjoram_random_create ((uint64_t)seed);
      load_input (&in, "examples/tatranska/ba-1-a.ini");
      use_relative_secret_path (&in);
      mutate_text (&in);
      fwrite (in.data, 1, in.size, out);
      fclose (out);
      settings = marjoram_settings_load (path, &faults, NULL);
      if (settings)
        accepted++;
      else
        check_faults (faults, seed);
      marjoram_settings_destroy (settings);
      marjoram_random_destroy (in.random);
    }
  unlink (path);
  unlink (secret);
  rmdir (folder);
  ck_assert_int_gt (accepted, 0);
  ck_assert_int_lt (accepted, TEXT_SEEDS);
}
END_TEST

/* An accepted configuration must be consistent.  */
static void
check_config (const marjoram_config *config, int seed)
{
  int slots = 0;

  for (int z = 0; z < marjoram_config_zone_count (config); z++)
    {
      const struct marjoram_zone *zone = marjoram_config_zone (config, z);

      ck_assert_msg (zone->region >= 0
                         && zone->region
                                < marjoram_config_region_count (config)
                         && zone->slot_count > 0,
                     "seed %d", seed);
      for (int i = 0; i < zone->slot_count; i++, slots++)
        {
          const struct marjoram_slot *slot
              = marjoram_config_slot (config, zone->first_slot + i);

          ck_assert_msg (slot->zone == z && slot->ordinal == i
                             && slot->peer_address && slot->entry_address,
                         "seed %d", seed);
        }
    }
  ck_assert_int_eq (slots, marjoram_config_slot_count (config));
  for (int c = 0; c < marjoram_config_caller_count (config); c++)
    {
      const struct marjoram_caller *caller
          = marjoram_config_caller (config, c);

      ck_assert_msg (caller->allowed >> caller->home & 1, "seed %d", seed);
      ck_assert_int_eq (
          marjoram_config_find_caller_by_token (config, caller->token), c);
    }
}

START_TEST (configurations_are_read_or_refused)
{
  static const char *const names[] = { "sites", "works", "callers" };
  static struct input in;
  int accepted = 0;

  for (int seed = 0; seed < TEXT_SEEDS; seed++)
    {
      struct marjoram_state *state = marjoram_state_copy (NULL);
      marjoram_auto_free char *faults = NULL;
      marjoram_config *config;

      in.random = marjoram_random_create ((uint64_t)seed);
      for (int i = 0; i < 3; i++)
        {
          char path[64];
          struct marjoram_file file = { (char *)names[i], 1, NULL, NULL };

          snprintf (path, sizeof path, "examples/huon/%s.ini", names[i]);
          load_input (&in, path);
          if (seed % 3 == i)
            mutate_text (&in);
          in.data[in.size] = 0;
          file.text = (char *)in.data;
          marjoram_state_set_file (state, &file);
        }
      config = marjoram_config_create (state, &faults, NULL);
      if (config)
        {
          accepted++;
          check_config (config, seed);
        }
      else
        check_faults (faults, seed);
      marjoram_config_release (config);
      marjoram_state_destroy (state);
      marjoram_random_destroy (in.random);
    }
  ck_assert_int_gt (accepted, 0);
  ck_assert_int_lt (accepted, TEXT_SEEDS);
}
END_TEST

/* Unpacks IN as a message and returns whether it was accepted.  Repacking an
   accepted message must be idempotent.  */
static bool
read_message (const struct marjoram_layout *layout, const struct input *in)
{
  struct marjoram_error err = { 0 };
  void *message = marjoram_wire_unpack (layout, in->data, in->size, &err);
  marjoram_bytes *packed;
  marjoram_bytes *repacked;
  void *unpacked;

  if (!message)
    {
      ck_assert_int_eq (err.kind, MARJORAM_ERROR_INVALID);
      return false;
    }
  packed = marjoram_wire_pack (layout, message);
  unpacked = marjoram_wire_unpack (layout, marjoram_bytes_data (packed),
                                   marjoram_bytes_size (packed), NULL);
  ck_assert_msg (unpacked != NULL, "%s", layout->name);
  repacked = marjoram_wire_pack (layout, unpacked);
  ck_assert_uint_eq (marjoram_bytes_size (repacked),
                     marjoram_bytes_size (packed));
  ck_assert_mem_eq (marjoram_bytes_data (repacked),
                    marjoram_bytes_data (packed),
                    marjoram_bytes_size (packed));
  marjoram_wire_destroy (layout, message);
  marjoram_wire_destroy (layout, unpacked);
  marjoram_bytes_release (packed);
  marjoram_bytes_release (repacked);
  return true;
}

static void
pack_random (struct input *in, const struct marjoram_layout *layout)
{
  void *message = marjoram_alloc (layout->size);
  marjoram_bytes *packed;

  fill_message (in, layout, message);
  packed = marjoram_wire_pack (layout, message);
  in->size = marjoram_bytes_size (packed);
  ck_assert_uint_le (in->size, INPUT_MAX);
  memcpy (in->data, marjoram_bytes_data (packed), in->size);
  marjoram_bytes_release (packed);
  marjoram_wire_destroy (layout, message);
}

START_TEST (frames_are_read_or_refused)
{
  const struct marjoram_layout *layout
      = marjoram_frame_layout ((enum marjoram_frame_type)_i);
  static struct input in;
  int rejected = 0;

  for (int seed = 0; seed < FRAME_SEEDS; seed++)
    {
      in.random = marjoram_random_create ((uint64_t)seed);
      pack_random (&in, layout);
      ck_assert_msg (read_message (layout, &in), "%s, seed %d", layout->name,
                     seed);
      for (size_t n = 1 + below (&in, MUTATIONS_MAX); n > 0; n--)
        {
          mutate_bytes (&in);
          rejected += !read_message (layout, &in);
        }
      marjoram_random_destroy (in.random);
    }
  ck_assert_int_gt (rejected, 0);
}
END_TEST

/* Each input differs from a valid hello in one way.  Embedded NULs must be
   rejected: code that treats the name as a C string would truncate it.  */
START_TEST (known_bad_hellos_are_refused)
{
  static const struct
  {
    const char *data;
    size_t size;
  } hellos[] = {
    { "\x92\x01\xa3"
      "a\0b",
      6 }, /* embedded NUL */
    { "\x92\x01\xa2"
      "ab\xc0",
      6 }, /* trailing data */
    { "\x92\x01\xa3"
      "ab",
      5 }, /* truncated */
    { "\x92\xff\xa2"
      "ab",
      5 }, /* negative number */
    { "\x92\x01\xc4\x01"
      "a",
      5 }, /* binary instead of string */
    { "\x92\x01\x91\xa1"
      "a",
      5 }, /* array instead of string */
    { "\x82\x01\xa1"
      "a\x01\xc0",
      6 },                         /* map instead of array */
    { "\xdd\xff\xff\xff\xff", 5 }, /* array length 2^32 - 1 */
    { "", 0 },
  };
  const struct marjoram_layout *layout
      = marjoram_frame_layout (MARJORAM_FRAME_HELLO);
  void *good = marjoram_wire_unpack (layout,
                                     "\x92\x01\xa2"
                                     "ab",
                                     5, NULL);

  ck_assert_ptr_nonnull (good);
  marjoram_wire_destroy (layout, good);
  for (size_t i = 0; i < sizeof hellos / sizeof *hellos; i++)
    {
      struct marjoram_error err = { 0 };

      ck_assert_msg (
          !marjoram_wire_unpack (layout, hellos[i].data, hellos[i].size, &err),
          "hello %zu", i);
      ck_assert_int_eq (err.kind, MARJORAM_ERROR_INVALID);
    }
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("fuzz_input");
  TCase *c = tcase_create ("fuzz_input");

  tcase_set_timeout (c, 60);
  tcase_add_test (c, settings_are_read_or_refused);
  tcase_add_test (c, configurations_are_read_or_refused);
  tcase_add_test (c, known_bad_hellos_are_refused);
  tcase_add_loop_test (c, frames_are_read_or_refused, 0, MARJORAM_FRAME_COUNT);
  suite_add_tcase (s, c);
  return s;
}
