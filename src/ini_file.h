/* An INI file as sections with their keys and line numbers.  inih does the
   reading; it tells neither line numbers nor empty sections, so its line
   reader here counts the lines and marks where a section begins.  */
#ifndef MARJORAM_INI_FILE_H
#define MARJORAM_INI_FILE_H

#include "fault.h"

#include <stddef.h>

enum
{
  /* inih cuts longer texts in brackets and longer keys without a word; they
     are refused before it sees them.  */
  MARJORAM_INI_WORD_MAX = 48,
  MARJORAM_INI_LINE_MAX = 8000,
  /* Bytes of a settings file, some hundred times what one needs: a wrong path
     is told before it fills memory.  */
  MARJORAM_INI_SETTINGS_MAX = 256 * 1024
};

struct marjoram_ini_entry
{
  char *key;
  char *value;
  int line;
};

/* [KIND NAME]; NAME is "" for a section without one.  */
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
  char *path; /* as faults name it */
  struct marjoram_ini_section *sections;
  size_t section_count;
};

/* Reads TEXT of SIZE bytes.  Faults of form go to FAULTS; what could be read
   is returned all the same, so that faults of content are found too.  */
struct marjoram_ini_file *marjoram_ini_parse (const char *path,
                                              const char *text, size_t size,
                                              marjoram_faults *faults);
/* Reads a process's settings file.  Null, with the cause in FAULTS, if it
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
marjoram_ini_find (const struct marjoram_ini_section *section,
                   const char *key);
/* The line of KEY, or of the section where KEY is missing.  */
int marjoram_ini_line (const struct marjoram_ini_section *section,
                       const char *key);

/* A file's bytes, NUL-terminated and malloc'd; null with ERR set if it can't
   be read or is larger than LIMIT.  */
char *marjoram_file_read (const char *path, size_t limit, size_t *size,
                          struct marjoram_error *err);

#endif
