#include "change.h"

#include "cleanup.h"

#include <string.h>

static bool
is_valid_name (const char *name)
{
  return name && name[0] && strlen (name) <= MARJORAM_NAME_MAX;
}

static bool
digest_matches (const struct marjoram_file *file)
{
  marjoram_auto_free char *digest
      = marjoram_digest (file->text, strlen (file->text));

  return !file->digest || strcmp (file->digest, digest) == 0;
}

bool
marjoram_change_check (const char *id, const struct marjoram_file *file,
                       struct marjoram_error *err)
{
  if (!is_valid_name (id))
    return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                               "change id must have 1 to %d bytes",
                               MARJORAM_NAME_MAX);
  if (!is_valid_name (file->name))
    return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                               "file name must have 1 to %d bytes",
                               MARJORAM_NAME_MAX);
  if (file->version == 0)
    return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                               "version must be at least 1");
  if (!file->text || strlen (file->text) > MARJORAM_FILE_TEXT_MAX)
    return marjoram_error_set (err, MARJORAM_ERROR_LIMIT,
                               "file exceeds %d bytes; split it",
                               MARJORAM_FILE_TEXT_MAX);
  if (!digest_matches (file))
    return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                               "file text doesn't match its digest; send it "
                               "again");
  return true;
}

static bool
strings_equal (const char *a, const char *b)
{
  return a && b && strcmp (a, b) == 0;
}

bool
marjoram_change_matches (const struct marjoram_change *kept,
                         const struct marjoram_file *file)
{
  if (!strings_equal (kept->file, file->name))
    return false;
  if (kept->result != MARJORAM_CHANGE_ACCEPTED
      && kept->result != MARJORAM_CHANGE_SAME)
    return true;
  return kept->version == file->version
         && strings_equal (kept->digest, file->digest);
}

static enum marjoram_change_result
compare_versions (const struct marjoram_file *current,
                  const struct marjoram_file *file)
{
  if (!current || file->version > current->version)
    return MARJORAM_CHANGE_ACCEPTED;
  if (file->version < current->version)
    return MARJORAM_CHANGE_STALE;
  return strings_equal (current->digest, file->digest)
             ? MARJORAM_CHANGE_SAME
             : MARJORAM_CHANGE_CONFLICT;
}

static bool
is_within_limits (const struct marjoram_state *state)
{
  const struct marjoram_file *files = state->files.items;
  size_t size = 0;

  for (size_t i = 0; i < state->files.count; i++)
    size += files[i].text ? strlen (files[i].text) : 0;
  return state->files.count <= MARJORAM_FILES_MAX
         && size <= MARJORAM_STATE_TEXT_MAX;
}

static bool
is_valid_with_file (const struct marjoram_state *state,
                    const struct marjoram_file *file,
                    marjoram_change_valid valid, void *context)
{
  marjoram_auto (marjoram_state_cleanup) struct marjoram_state *next
      = marjoram_state_copy (state);

  marjoram_state_set_file (next, file);
  return is_within_limits (next) && valid (context, next, NULL);
}

enum marjoram_change_result
marjoram_change_apply (struct marjoram_state *state, const char *id,
                       const struct marjoram_file *file,
                       marjoram_change_valid valid, void *context)
{
  const struct marjoram_file *current
      = marjoram_state_file (state, file->name);
  enum marjoram_change_result result = compare_versions (current, file);
  struct marjoram_change change = { (char *)id, file->name, 0, 0, 0, NULL };

  if (result == MARJORAM_CHANGE_ACCEPTED
      && !is_valid_with_file (state, file, valid, context))
    result = MARJORAM_CHANGE_INVALID;
  if (result == MARJORAM_CHANGE_ACCEPTED)
    marjoram_state_set_file (state, file);
  current = marjoram_state_file (state, file->name);
  change.result = result;
  change.number = ++state->number;
  change.version = current ? current->version : 0;
  change.digest = current ? current->digest : NULL;
  marjoram_state_add_change (state, &change);
  return result;
}

static enum marjoram_change_result
check_replace (const struct marjoram_state *state, const char *old,
               const char *new, const char *store_id)
{
  if (state->next_members.count > 0)
    return MARJORAM_CHANGE_INVALID;
  if (old && !marjoram_voters_find (&state->members, old))
    return MARJORAM_CHANGE_INVALID;
  if (marjoram_voters_contain (&state->members, new, store_id))
    return MARJORAM_CHANGE_SAME;
  if ((!old || strcmp (old, new) != 0)
      && marjoram_voters_find (&state->members, new))
    return MARJORAM_CHANGE_INVALID;
  return MARJORAM_CHANGE_ACCEPTED;
}

static void
set_next_members (struct marjoram_state *state, const char *old,
                  const char *new, const char *store_id)
{
  struct marjoram_keeper_member *member;

  marjoram_voters_copy (&state->next_members, &state->members);
  if (!old)
    {
      marjoram_voters_add (&state->next_members, new, store_id);
      return;
    }
  member = marjoram_voters_find (&state->next_members, old);
  free (member->slot);
  free (member->store_id);
  member->slot = marjoram_strdup (new);
  member->store_id = marjoram_strdup (store_id);
}

enum marjoram_change_result
marjoram_change_replace (struct marjoram_state *state, const char *id,
                         const char *old, const char *new,
                         const char *store_id)
{
  struct marjoram_change change = { (char *)id, (char *)new, 0, 0, 0, NULL };
  enum marjoram_change_result result
      = check_replace (state, old, new, store_id);

  if (result == MARJORAM_CHANGE_ACCEPTED)
    set_next_members (state, old, new, store_id);
  change.result = result;
  change.number = ++state->number;
  marjoram_state_add_change (state, &change);
  return result;
}

void
marjoram_change_finish_replace (struct marjoram_state *state)
{
  marjoram_voters_copy (&state->members, &state->next_members);
  marjoram_voters_clear (&state->next_members);
  state->number++;
}
