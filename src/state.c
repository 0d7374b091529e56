#include "state.h"

#include "cleanup.h"

#include <sodium.h>
#include <string.h>

enum
{
  DIGEST_MAX = 2 * crypto_hash_sha256_BYTES
};

#define COUNT(array) (sizeof (array) / sizeof *(array))

static const struct marjoram_field file_fields[] = {
  { MARJORAM_WIRE_STRING (struct marjoram_file, name, MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_UINT (struct marjoram_file, version) },
  { MARJORAM_WIRE_STRING (struct marjoram_file, digest, DIGEST_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_file, text,
                          MARJORAM_FILE_TEXT_MAX) },
};
const struct marjoram_layout marjoram_file_layout
    = { "marjoram_file", sizeof (struct marjoram_file), file_fields,
        COUNT (file_fields) };

static const struct marjoram_field change_fields[] = {
  { MARJORAM_WIRE_STRING (struct marjoram_change, id, MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_change, file, MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_UINT (struct marjoram_change, result) },
  { MARJORAM_WIRE_UINT (struct marjoram_change, number) },
  { MARJORAM_WIRE_UINT (struct marjoram_change, version) },
  { MARJORAM_WIRE_STRING (struct marjoram_change, digest, DIGEST_MAX) },
};
static const struct marjoram_layout change_layout
    = { "marjoram_change", sizeof (struct marjoram_change), change_fields,
        COUNT (change_fields) };

static const struct marjoram_field member_fields[] = {
  { MARJORAM_WIRE_STRING (struct marjoram_keeper_member, slot,
                          MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_keeper_member, store_id,
                          MARJORAM_NAME_MAX) },
};
static const struct marjoram_layout member_layout
    = { "marjoram_keeper_member", sizeof (struct marjoram_keeper_member),
        member_fields, COUNT (member_fields) };

static const struct marjoram_field state_fields[] = {
  { MARJORAM_WIRE_UINT (struct marjoram_state, number) },
  { MARJORAM_WIRE_ARRAY (struct marjoram_state, files, MARJORAM_FILES_MAX,
                         &marjoram_file_layout) },
  { MARJORAM_WIRE_ARRAY (struct marjoram_state, changes, MARJORAM_CHANGES_KEPT,
                         &change_layout) },
  { MARJORAM_WIRE_ARRAY (struct marjoram_state, members, MARJORAM_KEEPERS_MAX,
                         &member_layout) },
  { MARJORAM_WIRE_ARRAY (struct marjoram_state, next_members,
                         MARJORAM_KEEPERS_MAX, &member_layout) },
};
const struct marjoram_layout marjoram_state_layout
    = { "marjoram_state", sizeof (struct marjoram_state), state_fields,
        COUNT (state_fields) };

static char *
copy_string (const char *text)
{
  return text ? marjoram_strdup (text) : NULL;
}

static struct marjoram_array
copy_array (const struct marjoram_array *source,
            const struct marjoram_layout *layout)
{
  struct marjoram_array copy = { NULL, source->count };

  if (source->count == 0)
    return copy;
  copy.items = marjoram_alloc (source->count * layout->size);
  memcpy (copy.items, source->items, source->count * layout->size);
  for (size_t i = 0; i < source->count; i++)
    for (size_t j = 0; j < layout->field_count; j++)
      if (layout->fields[j].kind == MARJORAM_FIELD_STRING)
        {
          char **entry = (char **)((char *)copy.items + i * layout->size
                                   + layout->fields[j].offset);

          *entry = copy_string (*entry);
        }
  return copy;
}

struct marjoram_state *
marjoram_state_copy (const struct marjoram_state *source)
{
  struct marjoram_state *copy = marjoram_alloc (sizeof *copy);

  if (!source)
    return copy;
  copy->number = source->number;
  copy->files = copy_array (&source->files, &marjoram_file_layout);
  copy->changes = copy_array (&source->changes, &change_layout);
  copy->members = copy_array (&source->members, &member_layout);
  copy->next_members = copy_array (&source->next_members, &member_layout);
  return copy;
}

void
marjoram_state_destroy (struct marjoram_state *state)
{
  marjoram_wire_destroy (&marjoram_state_layout, state);
}

void
marjoram_state_cleanup (struct marjoram_state **state)
{
  marjoram_state_destroy (*state);
}

const struct marjoram_file *
marjoram_state_file (const struct marjoram_state *state, const char *name)
{
  const struct marjoram_file *files = state->files.items;

  for (size_t i = 0; i < state->files.count; i++)
    if (files[i].name && strcmp (files[i].name, name) == 0)
      return &files[i];
  return NULL;
}

const struct marjoram_change *
marjoram_state_change (const struct marjoram_state *state, const char *id)
{
  const struct marjoram_change *changes = state->changes.items;

  for (size_t i = state->changes.count; i-- > 0;)
    if (changes[i].id && strcmp (changes[i].id, id) == 0)
      return &changes[i];
  return NULL;
}

static void *
append (struct marjoram_array *array, size_t size)
{
  char *items = realloc (array->items, (array->count + 1) * size);

  if (!items)
    abort ();
  array->items = items;
  items += array->count++ * size;
  memset (items, 0, size);
  return items;
}

void
marjoram_state_set_file (struct marjoram_state *state,
                         const struct marjoram_file *file)
{
  struct marjoram_file *entry
      = (struct marjoram_file *)marjoram_state_file (state, file->name);
  struct marjoram_file copy
      = { marjoram_strdup (file->name), file->version,
          copy_string (file->digest), copy_string (file->text) };

  if (entry)
    marjoram_wire_clear (&marjoram_file_layout, entry);
  else
    entry = append (&state->files, sizeof *entry);
  *entry = copy;
}

void
marjoram_state_add_change (struct marjoram_state *state,
                           const struct marjoram_change *change)
{
  struct marjoram_change *changes = state->changes.items;
  struct marjoram_change *entry;

  if (state->changes.count == MARJORAM_CHANGES_KEPT)
    {
      marjoram_wire_clear (&change_layout, &changes[0]);
      memmove (changes, changes + 1,
               (MARJORAM_CHANGES_KEPT - 1) * sizeof *changes);
      state->changes.count--;
    }
  entry = append (&state->changes, sizeof *entry);
  *entry = *change;
  entry->id = copy_string (change->id);
  entry->file = copy_string (change->file);
  entry->digest = copy_string (change->digest);
}

void
marjoram_state_clear_changes (struct marjoram_state *state)
{
  struct marjoram_change *changes = state->changes.items;

  for (size_t i = 0; i < state->changes.count; i++)
    marjoram_wire_clear (&change_layout, &changes[i]);
  free (changes);
  state->changes = (struct marjoram_array){ NULL, 0 };
}

void
marjoram_voters_add (struct marjoram_array *members, const char *slot,
                     const char *store_id)
{
  struct marjoram_keeper_member *entry = append (members, sizeof *entry);

  entry->slot = marjoram_strdup (slot);
  entry->store_id = marjoram_strdup (store_id);
}

struct marjoram_keeper_member *
marjoram_voters_find (const struct marjoram_array *members, const char *slot)
{
  struct marjoram_keeper_member *items = members->items;

  for (size_t i = 0; i < members->count; i++)
    if (items[i].slot && strcmp (items[i].slot, slot) == 0)
      return &items[i];
  return NULL;
}

bool
marjoram_voters_contain (const struct marjoram_array *members,
                         const char *slot, const char *store_id)
{
  const struct marjoram_keeper_member *member
      = marjoram_voters_find (members, slot);

  return member && member->store_id && store_id
         && strcmp (member->store_id, store_id) == 0;
}

void
marjoram_voters_copy (struct marjoram_array *target,
                      const struct marjoram_array *source)
{
  struct marjoram_array copy = copy_array (source, &member_layout);

  marjoram_voters_clear (target);
  *target = copy;
}

void
marjoram_voters_clear (struct marjoram_array *members)
{
  struct marjoram_keeper_member *items = members->items;

  for (size_t i = 0; i < members->count; i++)
    marjoram_wire_clear (&member_layout, &items[i]);
  free (members->items);
  *members = (struct marjoram_array){ NULL, 0 };
}

char *
marjoram_digest (const void *data, size_t size)
{
  static const uint8_t empty[1];
  unsigned char hash[crypto_hash_sha256_BYTES];
  char *text = marjoram_alloc (DIGEST_MAX + 1);

  crypto_hash_sha256 (hash, data ? data : empty, size);
  sodium_bin2hex (text, DIGEST_MAX + 1, hash, sizeof hash);
  return text;
}
