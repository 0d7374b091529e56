#include "lib_keepers_check.h"

#include "cleanup.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

enum
{
  CHANGES_MAX = 512,
  CHAIN_MAX = 1024,
  FILES = 2,
  NAME_SIZE = 24,
  DIGEST_SIZE = 65
};

/* A submitted change and its answer.  */
struct change
{
  char id[NAME_SIZE];
  char text[NAME_SIZE];
  int file;
  uint64_t version;
  int sent;
  int not_run;
  bool decided;
  enum marjoram_change_result result;
  uint64_t number;
  char digest[DIGEST_SIZE];
};

struct checks
{
  char violation[SIM_FAULT_MAX];
  struct change changes[CHANGES_MAX];
  size_t change_count;
  uint64_t versions[FILES];
  marjoram_bytes *chain[CHAIN_MAX]; /* packed states by number */
  struct marjoram_state *latest;
  uint64_t answered_number; /* highest number in an answer */
};

static const char *const file_names[FILES] = { "a.ini", "b.ini" };

struct checks *
checks_create (void)
{
  struct checks *checks = marjoram_alloc (sizeof *checks);

  for (int i = 0; i < FILES; i++)
    checks->versions[i] = 1;
  return checks;
}

void
checks_destroy (struct checks *checks)
{
  for (int i = 0; i < CHAIN_MAX; i++)
    marjoram_bytes_release (checks->chain[i]);
  marjoram_state_destroy (checks->latest);
  free (checks);
}

void
checks_fail (struct checks *checks, const char *format, ...)
{
  va_list args;

  if (checks->violation[0])
    return;
  va_start (args, format);
  vsnprintf (checks->violation, sizeof checks->violation, format, args);
  va_end (args);
}

const char *
checks_violation (const struct checks *checks)
{
  return checks->violation;
}

static bool
equal (const marjoram_bytes *a, const marjoram_bytes *b)
{
  size_t size = marjoram_bytes_size (a);

  return size == marjoram_bytes_size (b)
         && memcmp (marjoram_bytes_data (a), marjoram_bytes_data (b), size)
                == 0;
}

/* In these runs the change list only grows, so a state extends an earlier one
   if it has all its changes.  */
static bool
extends (const struct marjoram_state *later,
         const struct marjoram_state *earlier)
{
  const struct marjoram_change *a = earlier->changes.items;
  const struct marjoram_change *b = later->changes.items;

  if (later->changes.count < earlier->changes.count)
    return false;
  for (size_t i = 0; i < earlier->changes.count; i++)
    if (strcmp (a[i].id, b[i].id) != 0 || a[i].result != b[i].result)
      return false;
  return true;
}

void
checks_chosen (struct checks *checks, const struct marjoram_state *state)
{
  marjoram_bytes *packed = marjoram_wire_pack (&marjoram_state_layout, state);
  marjoram_bytes **place = &checks->chain[state->number % CHAIN_MAX];
  const struct marjoram_state *latest = checks->latest;

  if (*place && !equal (*place, packed))
    checks_fail (checks, "two states were chosen as number %llu",
                 (unsigned long long)state->number);
  marjoram_bytes_release (*place);
  *place = packed;
  if (latest && state->number <= latest->number)
    {
      if (!extends (latest, state))
        checks_fail (checks, "number %llu holds a change that %llu lost",
                     (unsigned long long)state->number,
                     (unsigned long long)latest->number);
      return;
    }
  if (latest && !extends (state, latest))
    checks_fail (checks, "number %llu lost a change of number %llu",
                 (unsigned long long)state->number,
                 (unsigned long long)latest->number);
  marjoram_state_destroy (checks->latest);
  checks->latest = marjoram_state_copy (state);
}

static size_t
add_change (struct checks *checks, marjoram_random *random)
{
  struct change *change = &checks->changes[checks->change_count];
  int file = (int)marjoram_random_below (random, FILES);

  snprintf (change->id, sizeof change->id, "change-%zu", checks->change_count);
  snprintf (change->text, sizeof change->text, "%s %u",
            marjoram_random_below (random, 10) == 0 ? "bad" : "text",
            marjoram_random_below (random, 3));
  change->file = file;
  change->version = checks->versions[file];
  if (marjoram_random_below (random, 2) == 0)
    checks->versions[file]++;
  return checks->change_count++;
}

uint64_t
checks_pick_change (struct checks *checks, marjoram_random *random, bool again,
                    struct marjoram_file *file, const char **id)
{
  size_t index;
  struct change *change;

  if ((again && checks->change_count > 0)
      || checks->change_count == CHANGES_MAX)
    index = marjoram_random_below (random, (uint32_t)checks->change_count);
  else
    index = add_change (checks, random);
  change = &checks->changes[index];
  change->sent++;
  *id = change->id;
  *file = (struct marjoram_file){ (char *)file_names[change->file],
                                  change->version, NULL, change->text };
  return index;
}

static void
check_one_text (struct checks *checks, const struct change *change)
{
  for (size_t i = 0; i < checks->change_count; i++)
    {
      const struct change *other = &checks->changes[i];

      if (other->decided && other->result == MARJORAM_CHANGE_ACCEPTED
          && other->file == change->file && other->version == change->version
          && strcmp (other->digest, change->digest) != 0)
        checks_fail (checks, "%s and %s were both accepted as version %llu",
                     other->id, change->id,
                     (unsigned long long)change->version);
    }
}

static void
record_decision (struct checks *checks, struct change *change,
                 const struct marjoram_apply_answer *answer)
{
  const char *digest = answer->digest ? answer->digest : "";

  if (change->decided
      && (change->result != answer->result || change->number != answer->number
          || strcmp (change->digest, digest) != 0))
    checks_fail (checks, "%s got two different answers", change->id);
  change->decided = true;
  change->result = answer->result;
  change->number = answer->number;
  snprintf (change->digest, sizeof change->digest, "%s", digest);
  if (change->result == MARJORAM_CHANGE_ACCEPTED)
    check_one_text (checks, change);
}

void
checks_answered (struct checks *checks, uint64_t request,
                 const struct marjoram_apply_answer *answer,
                 struct sim_counts *counts)
{
  struct change *change = &checks->changes[request];

  switch (answer->outcome)
    {
    case MARJORAM_APPLY_DECIDED:
      if (answer->result == MARJORAM_CHANGE_ACCEPTED)
        counts->accepted++;
      else
        counts->refused++;
      record_decision (checks, change, answer);
      if (answer->number > checks->answered_number)
        checks->answered_number = answer->number;
      break;
    case MARJORAM_APPLY_NOT_RUN:
      counts->not_run++;
      change->not_run++;
      break;
    case MARJORAM_APPLY_UNKNOWN:
      counts->unknown++;
      break;
    }
}

bool
checks_is_decided (const struct checks *checks, uint64_t request)
{
  return checks->changes[request].decided;
}

bool
checks_is_removed (const struct checks *checks, uint64_t number,
                   const char *slot)
{
  return checks->latest && checks->latest->number >= number
         && !marjoram_voters_find (&checks->latest->members, slot)
         && !marjoram_voters_find (&checks->latest->next_members, slot);
}

uint64_t
checks_number (const struct checks *checks)
{
  return checks->latest ? checks->latest->number : 0;
}

uint64_t
checks_answered_number (const struct checks *checks)
{
  return checks->answered_number;
}

bool
checks_is_member (const struct checks *checks, const char *slot)
{
  return checks->latest
         && marjoram_voters_find (&checks->latest->members, slot);
}

static void
check_changes (struct checks *checks, const struct marjoram_state *state)
{
  for (size_t i = 0; i < checks->change_count; i++)
    {
      const struct change *change = &checks->changes[i];
      const struct marjoram_change *kept
          = marjoram_state_change (state, change->id);

      if (change->decided && (!kept || kept->result != change->result))
        checks_fail (checks, "%s was decided but is missing", change->id);
      if (kept && change->not_run == change->sent)
        checks_fail (checks, "%s was reported as not run but is present",
                     change->id);
    }
}

void
checks_end (struct checks *checks, const char *slot,
            const struct marjoram_state *state)
{
  if (!state)
    {
      checks_fail (checks, "%s has no state", slot);
      return;
    }
  checks_chosen (checks, state);
  if (state->number != checks->latest->number)
    checks_fail (checks, "%s is at number %llu, expected %llu", slot,
                 (unsigned long long)state->number,
                 (unsigned long long)checks->latest->number);
  check_changes (checks, state);
}
