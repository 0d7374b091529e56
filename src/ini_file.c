#include "ini_file.h"

#include "cleanup.h"

#include <ctype.h>
#include <errno.h>
#include <ini.h>
#include <stdio.h>
#include <string.h>

/* Key of the line that the reader inserts after each section header, so that
   inih reports empty sections.  Keys in files can't start with a bracket.  */
static const char marker_key[] = "]section";
static const char marker_line[] = "]section=1\n";
static const char ignored_header[] = "[]\n";

struct reader
{
  struct marjoram_ini_file *file;
  marjoram_faults *faults;
  const char *next;
  const char *end;
  int line;
  bool marker_pending; /* the last line returned was a section header */
  bool entry_pending;  /* it was an entry that inih hasn't reported yet */
  bool skipping;       /* in a section with an invalid header */
};

static void
add_fault (struct reader *r, const char *error_text)
{
  marjoram_faults_add (r->faults, r->file->path, r->line, "%s", error_text);
}

static struct marjoram_ini_section *
add_section (struct marjoram_ini_file *file)
{
  size_t n = file->section_count++;

  file->sections = realloc (file->sections, (n + 1) * sizeof *file->sections);
  if (!file->sections)
    abort ();
  memset (&file->sections[n], 0, sizeof file->sections[n]);
  return &file->sections[n];
}

static struct marjoram_ini_entry *
add_entry (struct marjoram_ini_section *section)
{
  size_t n = section->entry_count++;

  section->entries
      = realloc (section->entries, (n + 1) * sizeof *section->entries);
  if (!section->entries)
    abort ();
  return &section->entries[n];
}

static void
begin_section (struct reader *r, const char *text)
{
  struct marjoram_ini_section *section = add_section (r->file);
  const char *kind = text + strspn (text, " \t");
  size_t length = strcspn (kind, " \t");
  const char *name = kind + length + strspn (kind + length, " \t");
  size_t name_length = strlen (name);

  while (name_length && isspace ((unsigned char)name[name_length - 1]))
    name_length--;
  section->kind = strndup (kind, length);
  section->name = strndup (name, name_length);
  section->line = r->line;
  if (!section->kind || !section->name)
    abort ();
}

static int
handle_entry (void *user, const char *section, const char *key,
              const char *value)
{
  struct reader *r = user;
  struct marjoram_ini_entry *entry;

  r->entry_pending = false;
  if (r->skipping)
    return 1;
  if (strcmp (key, marker_key) == 0)
    {
      begin_section (r, section);
      return 1;
    }
  if (r->file->section_count == 0)
    {
      add_fault (
          r, "a key before the first section; add a [section] line above it");
      return 1;
    }
  entry = add_entry (&r->file->sections[r->file->section_count - 1]);
  entry->key = marjoram_strdup (key);
  entry->value = marjoram_strdup (value ? value : "");
  entry->line = r->line;
  return 1;
}

static char *
copy_line (char *buffer, int size, const char *text, size_t length)
{
  if (length >= (size_t)size)
    length = (size_t)size - 1;
  memcpy (buffer, text, length);
  buffer[length] = 0;
  return buffer;
}

static const char *
header_fault (const char *line, size_t length)
{
  const char *close = memchr (line, ']', length);

  if (!close)
    return "a section header without closing bracket; write [NAME]";
  if (close - line - 1 > MARJORAM_INI_NAME_MAX)
    return "the section header is longer than 48 characters; shorten the name";
  for (const char *p = close + 1; p < line + length; p++)
    {
      if (*p == ';')
        break;
      if (!isspace ((unsigned char)*p))
        return "unexpected text after the closing bracket; move it to a new "
               "line";
    }
  return NULL;
}

static const char *
entry_fault (const char *line, size_t length)
{
  size_t key = 0;

  while (key < length && line[key] != '=' && line[key] != ':')
    key++;
  if (key > MARJORAM_INI_NAME_MAX)
    return "the key is longer than 48 characters; use one of the documented "
           "keys";
  if (line[0] == ']')
    return "the key starts with a bracket; write KEY = VALUE";
  return NULL;
}

/* Advances to the next line that is neither blank nor a comment.  Returns it
   without leading white space, or null at the end.  */
static const char *
next_line (struct reader *r, size_t *length)
{
  while (r->next < r->end)
    {
      const char *line = r->next;
      const char *stop = memchr (line, '\n', (size_t)(r->end - line));

      if (!stop)
        stop = r->end;
      r->next = stop < r->end ? stop + 1 : stop;
      r->line++;
      while (line < stop && isspace ((unsigned char)*line))
        line++;
      *length = (size_t)(stop - line);
      if (*length > 0 && *line != ';' && *line != '#')
        return line;
    }
  return NULL;
}

/* Line reader for inih, with the interface of fgets ().  */
static char *
read_line (char *buffer, int size, void *stream)
{
  struct reader *r = stream;
  const char *line;
  const char *error_text = NULL;
  size_t length;

  if (r->marker_pending)
    {
      r->marker_pending = false;
      return copy_line (buffer, size, marker_line, strlen (marker_line));
    }
  if (r->entry_pending && !r->skipping)
    add_fault (
        r, "not a [section], KEY = VALUE or comment; correct or remove the "
           "line");
  r->entry_pending = false;
  line = next_line (r, &length);
  if (!line)
    return NULL;
  if (length >= (size_t)size || length > MARJORAM_INI_LINE_MAX)
    error_text = "the line is longer than 8000 characters; shorten it";
  else if (memchr (line, 0, length))
    error_text
        = "the line contains a NUL character; save the file as plain text";
  else if (*line == '[')
    error_text = header_fault (line, length);
  else
    error_text = entry_fault (line, length);
  if (error_text)
    add_fault (r, error_text);
  if (*line == '[')
    {
      r->skipping = error_text != NULL;
      r->marker_pending = !error_text;
    }
  else
    r->entry_pending = !error_text;
  if (error_text)
    return copy_line (buffer, size, *line == '[' ? ignored_header : "\n",
                      strlen (*line == '[' ? ignored_header : "\n"));
  return copy_line (buffer, size, line, length);
}

struct marjoram_ini_file *
marjoram_ini_parse (const char *path, const char *text, size_t size,
                    marjoram_faults *faults)
{
  struct marjoram_ini_file *file = marjoram_alloc (sizeof *file);
  struct reader r
      = { .file = file, .faults = faults, .next = text, .end = text + size };

  file->path = marjoram_strdup (path);
  ini_max_line = MARJORAM_INI_LINE_MAX + 3;
  ini_parse_stream (read_line, &r, handle_entry, &r);
  return file;
}

void
marjoram_ini_destroy (struct marjoram_ini_file *file)
{
  if (!file)
    return;
  for (size_t i = 0; i < file->section_count; i++)
    {
      struct marjoram_ini_section *section = &file->sections[i];

      for (size_t k = 0; k < section->entry_count; k++)
        {
          free (section->entries[k].key);
          free (section->entries[k].value);
        }
      free (section->entries);
      free (section->kind);
      free (section->name);
    }
  free (file->sections);
  free (file->path);
  free (file);
}

void
marjoram_ini_cleanup (struct marjoram_ini_file **file)
{
  marjoram_ini_destroy (*file);
}

const struct marjoram_ini_section *
marjoram_ini_section (const struct marjoram_ini_file *file, const char *kind)
{
  for (size_t i = 0; i < file->section_count; i++)
    if (strcmp (file->sections[i].kind, kind) == 0)
      return &file->sections[i];
  return NULL;
}

const struct marjoram_ini_entry *
marjoram_ini_find_entry (const struct marjoram_ini_section *section,
                         const char *key)
{
  for (size_t i = 0; i < section->entry_count; i++)
    if (strcmp (section->entries[i].key, key) == 0)
      return &section->entries[i];
  return NULL;
}

int
marjoram_ini_line (const struct marjoram_ini_section *section, const char *key)
{
  const struct marjoram_ini_entry *entry
      = marjoram_ini_find_entry (section, key);

  return entry ? entry->line : section->line;
}

char *
marjoram_file_read (const char *path, size_t limit, size_t *size,
                    struct marjoram_error *err)
{
  FILE *in = fopen (path, "re");
  char *data;

  if (!in)
    {
      marjoram_error_set (
          err, MARJORAM_ERROR_IO,
          "can't open %s: %s; check the path and its permissions", path,
          strerror (errno));
      return NULL;
    }
  data = marjoram_alloc (limit + 2);
  *size = fread (data, 1, limit + 1, in);
  data[*size] = 0;
  if (ferror (in))
    marjoram_error_set (err, MARJORAM_ERROR_IO,
                        "can't read %s: %s; check that it is a regular file",
                        path, strerror (errno));
  else if (*size > limit)
    marjoram_error_set (err, MARJORAM_ERROR_LIMIT,
                        "%s is larger than %zu bytes; make it smaller", path,
                        limit);
  else
    {
      fclose (in);
      return data;
    }
  fclose (in);
  free (data);
  return NULL;
}

struct marjoram_ini_file *
marjoram_ini_load (const char *path, marjoram_faults *faults)
{
  struct marjoram_error err;
  size_t size;
  marjoram_auto_free char *text
      = marjoram_file_read (path, MARJORAM_INI_SETTINGS_MAX, &size, &err);

  if (text)
    return marjoram_ini_parse (path, text, size, faults);
  marjoram_faults_add (faults, path, 0, "%s", err.message);
  return NULL;
}
