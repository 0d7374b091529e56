#include "config_file.h"

#include "cleanup.h"
#include "ini_key.h"

#include <stdio.h>
#include <string.h>

#define VERSION_MAX 1e15

struct file_section
{
  char *name;
  int64_t version;
};

static const struct marjoram_ini_key file_keys[] = {
  { "name", MARJORAM_INI_NAME, offsetof (struct file_section, name), NULL, 0,
    0, NULL },
  { "version", MARJORAM_INI_INT64, offsetof (struct file_section, version),
    NULL, 1, VERSION_MAX, NULL },
};

enum
{
  FILE_KEYS = sizeof file_keys / sizeof *file_keys
};

void
marjoram_config_file_header (const struct marjoram_ini_file *ini, char **name,
                             uint64_t *version, marjoram_faults *faults)
{
  struct file_section section = { 0 };

  if (ini->section_count == 0 || strcmp (ini->sections[0].kind, "file") != 0)
    marjoram_faults_add (faults, ini->path, 0,
                         "the first section is not [file]; start the file "
                         "with [file] and its name and version");
  else
    marjoram_ini_read (ini, &ini->sections[0], file_keys, FILE_KEYS, &section,
                       faults);
  *name = section.name;
  *version = (uint64_t)section.version;
}

bool
marjoram_config_file_parse (const char *path, const char *text, size_t size,
                            struct marjoram_file *file,
                            struct marjoram_error *err)
{
  marjoram_auto (marjoram_faults_cleanup) marjoram_faults *faults
      = marjoram_faults_create ();
  marjoram_auto (marjoram_ini_cleanup) struct marjoram_ini_file *ini
      = marjoram_ini_parse (path, text, size, faults);
  char *name = NULL;

  if (size > MARJORAM_FILE_TEXT_MAX)
    return marjoram_error_set (err, MARJORAM_ERROR_LIMIT,
                               "%s is larger than %d bytes; split it into "
                               "several files",
                               path, MARJORAM_FILE_TEXT_MAX);
  marjoram_config_file_header (ini, &name, &file->version, faults);
  if (!marjoram_faults_report (faults, NULL, err))
    {
      free (name);
      return false;
    }
  file->name = name;
  file->text = strndup (text, size);
  if (!file->text)
    abort ();
  file->digest = marjoram_digest (text, size);
  return true;
}

bool
marjoram_config_file_load (const char *path, struct marjoram_file *file,
                           struct marjoram_error *err)
{
  size_t size;
  marjoram_auto_free char *text
      = marjoram_file_read (path, MARJORAM_FILE_TEXT_MAX, &size, err);

  return text && marjoram_config_file_parse (path, text, size, file, err);
}

static int
compare_sections (const void *a, const void *b)
{
  const struct marjoram_ini_section *x = a;
  const struct marjoram_ini_section *y = b;
  int order = strcmp (x->kind, y->kind);

  return order ? order : strcmp (x->name, y->name);
}

static struct marjoram_ini_file *
read_sorted (const char *text, marjoram_faults *faults)
{
  struct marjoram_ini_file *file
      = marjoram_ini_parse ("", text, strlen (text), faults);

  if (file->section_count)
    qsort (file->sections, file->section_count, sizeof *file->sections,
           compare_sections);
  return file;
}

static void
print_header (FILE *out, char sign, const struct marjoram_ini_section *section)
{
  fprintf (out, "%c [%s%s%s]\n", sign, section->kind,
           *section->name ? " " : "", section->name);
}

static void
print_entry (FILE *out, char sign, const struct marjoram_ini_entry *entry)
{
  fprintf (out, "%c   %s = %s\n", sign, entry->key,
           strcmp (entry->key, "token") == 0 ? "(not shown)" : entry->value);
}

static void
print_section (FILE *out, char sign,
               const struct marjoram_ini_section *section)
{
  print_header (out, sign, section);
  for (size_t i = 0; i < section->entry_count; i++)
    print_entry (out, sign, &section->entries[i]);
}

/* Prints the entries of SECTION that OTHER lacks or has with another value,
   after the section header unless HEADED.  Returns whether it is printed.  */
static bool
print_missing (FILE *out, char sign,
               const struct marjoram_ini_section *section,
               const struct marjoram_ini_section *other, bool headed)
{
  for (size_t i = 0; i < section->entry_count; i++)
    {
      const struct marjoram_ini_entry *entry = &section->entries[i];
      const struct marjoram_ini_entry *match
          = marjoram_ini_find_entry (other, entry->key);

      if (match && strcmp (match->value, entry->value) == 0)
        continue;
      if (!headed)
        print_header (out, ' ', section);
      headed = true;
      print_entry (out, sign, entry);
    }
  return headed;
}

char *
marjoram_config_file_diff (const char *old_text, const char *new_text)
{
  marjoram_auto (marjoram_faults_cleanup) marjoram_faults *faults
      = marjoram_faults_create ();
  marjoram_auto (marjoram_ini_cleanup) struct marjoram_ini_file *old
      = read_sorted (old_text ? old_text : "", faults);
  marjoram_auto (marjoram_ini_cleanup) struct marjoram_ini_file *new
      = read_sorted (new_text, faults);
  char *text = NULL;
  size_t size;
  FILE *out = open_memstream (&text, &size);
  size_t i = 0;
  size_t k = 0;

  if (!out)
    abort ();
  while (i < old->section_count || k < new->section_count)
    {
      int order
          = i == old->section_count ? 1
            : k == new->section_count
                ? -1
                : compare_sections (&old->sections[i], &new->sections[k]);

      if (order < 0)
        print_section (out, '-', &old->sections[i++]);
      else if (order > 0)
        print_section (out, '+', &new->sections[k++]);
      else
        {
          bool headed = print_missing (out, '-', &old->sections[i],
                                       &new->sections[k], false);

          print_missing (out, '+', &new->sections[k], &old->sections[i],
                         headed);
          i++;
          k++;
        }
    }
  fclose (out);
  return text;
}
