#include "ini_key.h"

#include "address.h"
#include "cleanup.h"

#include <ctype.h>
#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

bool
marjoram_name_valid (const char *text, bool dots)
{
  size_t length = strlen (text);

  if (length == 0 || length > MARJORAM_INI_NAME_MAX
      || !isalnum ((unsigned char)text[0]))
    return false;
  for (size_t i = 0; i < length; i++)
    if (!isalnum ((unsigned char)text[i]) && text[i] != '-' && text[i] != '_'
        && !(dots && text[i] == '.'))
      return false;
  return true;
}

struct marjoram_names
marjoram_names_parse (const char *text)
{
  struct marjoram_names names = { NULL, 0 };

  while (*text)
    {
      size_t length = strcspn (text, ",");
      size_t start = strspn (text, " \t");
      size_t stop = length;

      while (stop > start && isspace ((unsigned char)text[stop - 1]))
        stop--;
      names.items
          = realloc (names.items, (names.count + 2) * sizeof *names.items);
      if (!names.items)
        abort ();
      names.items[names.count]
          = start < stop ? strndup (text + start, stop - start) : strdup ("");
      if (!names.items[names.count])
        abort ();
      names.items[++names.count] = NULL;
      text += length;
      if (*text == ',')
        text++;
    }
  return names;
}

void
marjoram_names_clear (struct marjoram_names *names)
{
  for (size_t i = 0; i < names->count; i++)
    free (names->items[i]);
  free (names->items);
  names->items = NULL;
  names->count = 0;
}

bool
marjoram_names_is_all (const struct marjoram_names *names)
{
  return names->count == 1 && strcmp (names->items[0], "all") == 0;
}

struct value_context
{
  const struct marjoram_ini_file *file;
  const struct marjoram_ini_key *key;
  const char *value;
  int line;
  marjoram_faults *faults;
};

static void
reject_value (const struct value_context *r, const char *remedy)
{
  marjoram_faults_add (r->faults, r->file->path, r->line,
                       "%s can't be \"%.80s\"; %s", r->key->name, r->value,
                       remedy);
}

static void
set_text (char **field, char *text)
{
  free (*field);
  *field = text;
}

static void
read_text (const struct value_context *r, char **field)
{
  char remedy[128];
  size_t length = strlen (r->value);

  if (r->key->max > 0
      && ((double)length < r->key->min || (double)length > r->key->max))
    {
      snprintf (remedy, sizeof remedy, "it needs %g to %g characters",
                r->key->min, r->key->max);
      reject_value (r, remedy);
      return;
    }
  set_text (field, marjoram_strdup (r->value));
}

static void
read_name (const struct value_context *r, char **field)
{
  bool dots = r->key->type == MARJORAM_INI_NAME;

  if (marjoram_name_valid (r->value, dots))
    set_text (field, marjoram_strdup (r->value));
  else
    reject_value (r, dots ? "use letters, digits and ._-, at most 48"
                          : "use letters, digits, _ and -, at most 48");
}

static void
read_address (const struct value_context *r, char **field)
{
  char *address = marjoram_address_parse (r->value);

  if (address)
    set_text (field, address);
  else
    reject_value (
        r, "write an IP number and a port, for example 10.0.0.1:8080 or "
           "[fd00::1]:8080");
}

static void
read_bool (const struct value_context *r, bool *field)
{
  if (strcmp (r->value, "yes") == 0)
    *field = true;
  else if (strcmp (r->value, "no") == 0)
    *field = false;
  else
    reject_value (r, "write yes or no");
}

static bool
read_number (const struct value_context *r, bool integer, bool suffix,
             double *number)
{
  char remedy[128];
  char *end;
  double factor = 1;

  errno = 0;
  *number = strtod (r->value, &end);
  if (suffix && end > r->value && (*end == 'k' || *end == 'M'))
    factor = *end++ == 'k' ? 1024 : 1024 * 1024;
  *number *= factor;
  if (isdigit ((unsigned char)r->value[0]) && !strpbrk (r->value, "xXpPeE")
      && *end == 0 && errno == 0 && isfinite (*number)
      && *number >= r->key->min && *number <= r->key->max
      && (!integer || *number == floor (*number)))
    return true;
  snprintf (remedy, sizeof remedy, "write a %s from %.15g to %.15g%s",
            integer ? "whole number" : "number", r->key->min, r->key->max,
            suffix ? ", optionally with suffix k or M" : "");
  reject_value (r, remedy);
  return false;
}

static void
read_enum (const struct value_context *r, int *field)
{
  char remedy[128] = "write one of:";

  for (int i = 0; r->key->enum_names[i]; i++)
    {
      size_t used = strlen (remedy);

      if (strcmp (r->value, r->key->enum_names[i]) == 0)
        {
          *field = i;
          return;
        }
      snprintf (remedy + used, sizeof remedy - used, " %s",
                r->key->enum_names[i]);
    }
  reject_value (r, remedy);
}

static void
read_names (const struct value_context *r, struct marjoram_names *field)
{
  struct marjoram_names names = marjoram_names_parse (r->value);

  for (size_t i = 0; i < names.count; i++)
    for (size_t k = 0; k <= i; k++)
      if (k == i ? !marjoram_name_valid (names.items[i], true)
                 : strcmp (names.items[k], names.items[i]) == 0)
        {
          reject_value (r, "write unique names separated by commas");
          marjoram_names_clear (&names);
          return;
        }
  if (names.count == 0)
    {
      reject_value (r, "write at least one name");
      return;
    }
  marjoram_names_clear (field);
  *field = names;
}

static void
read_value (const struct value_context *r, char *field)
{
  double number;

  switch (r->key->type)
    {
    case MARJORAM_INI_NAME:
    case MARJORAM_INI_LABEL:
      read_name (r, (char **)field);
      break;
    case MARJORAM_INI_TEXT:
      read_text (r, (char **)field);
      break;
    case MARJORAM_INI_ADDRESS:
      read_address (r, (char **)field);
      break;
    case MARJORAM_INI_BOOL:
      read_bool (r, (bool *)field);
      break;
    case MARJORAM_INI_SIZE:
      if (read_number (r, true, true, &number))
        *(size_t *)field = (size_t)number;
      break;
    case MARJORAM_INI_INT64:
      if (read_number (r, true, false, &number))
        *(int64_t *)field = (int64_t)number;
      break;
    case MARJORAM_INI_INT:
      if (read_number (r, true, false, &number))
        *(int *)field = (int)number;
      break;
    case MARJORAM_INI_DOUBLE:
      if (read_number (r, false, false, &number))
        *(double *)field = number;
      break;
    case MARJORAM_INI_ENUM:
      read_enum (r, (int *)field);
      break;
    case MARJORAM_INI_NAME_LIST:
      read_names (r, (struct marjoram_names *)field);
      break;
    }
}

static const struct marjoram_ini_key *
find_key (const struct marjoram_ini_key *keys, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (keys[i].name, name) == 0)
      return &keys[i];
  return NULL;
}

static void
report_unknown_key (const struct marjoram_ini_file *file,
                    const struct marjoram_ini_section *section,
                    const struct marjoram_ini_entry *entry,
                    const struct marjoram_ini_key *keys, size_t count,
                    marjoram_faults *faults)
{
  char known[256] = "";

  for (size_t i = 0; i < count; i++)
    {
      size_t used = strlen (known);

      snprintf (known + used, sizeof known - used, " %s", keys[i].name);
    }
  marjoram_faults_add (
      faults, file->path, entry->line, "[%s] has no key \"%.48s\"; %s%s",
      section->kind, entry->key,
      count ? "remove it or use one of:" : "this section has no keys", known);
}

static void
check_entries (const struct marjoram_ini_file *file,
               const struct marjoram_ini_section *section,
               const struct marjoram_ini_key *keys, size_t count,
               marjoram_faults *faults)
{
  for (size_t i = 0; i < section->entry_count; i++)
    {
      const struct marjoram_ini_entry *entry = &section->entries[i];
      const struct marjoram_ini_entry *first
          = marjoram_ini_find_entry (section, entry->key);

      if (!find_key (keys, count, entry->key))
        report_unknown_key (file, section, entry, keys, count, faults);
      else if (first != entry)
        marjoram_faults_add (
            faults, file->path, entry->line,
            "%s is already set on line %d; remove one of them", entry->key,
            first->line);
    }
}

void
marjoram_ini_read (const struct marjoram_ini_file *file,
                   const struct marjoram_ini_section *section,
                   const struct marjoram_ini_key *keys, size_t key_count,
                   void *target, marjoram_faults *faults)
{
  check_entries (file, section, keys, key_count, faults);
  for (size_t i = 0; i < key_count; i++)
    {
      const struct marjoram_ini_entry *entry
          = marjoram_ini_find_entry (section, keys[i].name);
      struct value_context r
          = { file, &keys[i], keys[i].default_value,
              marjoram_ini_line (section, keys[i].name), faults };

      if (entry)
        r.value = entry->value;
      if (!r.value)
        marjoram_faults_add (faults, file->path, section->line,
                             "[%s%s%s] needs %s; add a line \"%s = ...\"",
                             section->kind, *section->name ? " " : "",
                             section->name, keys[i].name, keys[i].name);
      else if (entry || *r.value)
        read_value (&r, (char *)target + keys[i].offset);
    }
}

void
marjoram_ini_clear (const struct marjoram_ini_key *keys, size_t key_count,
                    void *target)
{
  for (size_t i = 0; i < key_count; i++)
    {
      char *field = (char *)target + keys[i].offset;

      switch (keys[i].type)
        {
        case MARJORAM_INI_NAME:
        case MARJORAM_INI_LABEL:
        case MARJORAM_INI_TEXT:
        case MARJORAM_INI_ADDRESS:
          set_text ((char **)field, NULL);
          break;
        case MARJORAM_INI_NAME_LIST:
          marjoram_names_clear ((struct marjoram_names *)field);
          break;
        default:
          break;
        }
    }
}
