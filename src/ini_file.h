/* An INI file as a list of sections with their entries and line numbers.  inih
   parses the text but reports neither line numbers nor empty sections; the
   line reader that it is given counts lines and marks section starts.  */
#ifndef MARJORAM_INI_FILE_H
#define MARJORAM_INI_FILE_H

#include "fault.h"

#include <stddef.h>

enum
{
  /* Maximum length of section headers and keys.  inih silently truncates
     longer ones, so they are rejected before it reads them.  */
  MARJORAM_INI_NAME_MAX = 48,
  MARJORAM_INI_LINE_MAX = 8000,
  /* Maximum size of a settings file in bytes; bounds memory use if the path
     names the wrong file.  */
  MARJORAM_INI_SETTINGS_MAX = 256 * 1024
};

struct marjoram_ini_entry
{
  char *key;
  char *value;
  int line;
};

/* [KIND NAME]; the name is "" if there is none.  */
struct marjoram_ini_section
{
  char *kind;
  char *name;
  int line;
  struct marjoram_ini_entry *entries;
  size_t entry_count;
};

struct marjoram_ini_file
{
  char *path; /* as shown in error messages */
  struct marjoram_ini_section *sections;
  size_t section_count;
};

/* Parses TEXT of SIZE bytes.  Syntax errors are added to FAULTS; the valid
   part is returned all the same, so that its errors can be reported too.  */
struct marjoram_ini_file *marjoram_ini_parse (const char *path,
                                              const char *text, size_t size,
                                              marjoram_faults *faults);
/* Parses the settings file at PATH.  Returns null and adds to FAULTS if it
   can't be read or is too large.  */
struct marjoram_ini_file *marjoram_ini_load (const char *path,
                                             marjoram_faults *faults);
void marjoram_ini_destroy (struct marjoram_ini_file *file);
void marjoram_ini_cleanup (struct marjoram_ini_file **file);

/* The first section of KIND, or null.  */
const struct marjoram_ini_section *
marjoram_ini_section (const struct marjoram_ini_file *file, const char *kind);
/* The first entry of KEY, or null.  */
const struct marjoram_ini_entry *
marjoram_ini_find_entry (const struct marjoram_ini_section *section,
                         const char *key);
/* The line of KEY, or of the section if KEY is missing.  */
int marjoram_ini_line (const struct marjoram_ini_section *section,
                       const char *key);

/* Returns the file's contents, NUL-terminated and malloc'd, or null with ERR
   set if it can't be read or is larger than LIMIT bytes.  */
char *marjoram_file_read (const char *path, size_t limit, size_t *size,
                          struct marjoram_error *err);

#endif
