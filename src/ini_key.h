/* Typed keys of INI sections: a table says which keys a section may have,
   where their values go and in which range they lie.  */
#ifndef MARJORAM_INI_KEY_H
#define MARJORAM_INI_KEY_H

#include "ini_file.h"

#include <stdbool.h>
#include <stdint.h>

enum marjoram_ini_type
{
  MARJORAM_INI_NAME,    /* char *, letters, digits and ._- */
  MARJORAM_INI_LABEL,   /* char *, the same without dots */
  MARJORAM_INI_TEXT,    /* char * */
  MARJORAM_INI_ADDRESS, /* char *, IP:port in its usual form */
  MARJORAM_INI_BOOL,    /* bool, yes or no */
  MARJORAM_INI_SIZE,    /* size_t, suffix k or M */
  MARJORAM_INI_WHOLE,   /* int64_t */
  MARJORAM_INI_COUNT,   /* int */
  MARJORAM_INI_REAL,    /* double */
  MARJORAM_INI_WORD,    /* int, the index in WORDS */
  MARJORAM_INI_NAMES    /* struct marjoram_names, separated by commas */
};

/* A list of names, null-terminated.  */
struct marjoram_names
{
  char **items;
  size_t count;
};

struct marjoram_ini_key
{
  const char *name;
  enum marjoram_ini_type type;
  size_t offset;        /* in the struct that is filled */
  const char *fallback; /* null: the key is required; "": left as it is */
  double low;           /* range of numbers; of a text's length */
  double high;
  const char *const *words; /* null-terminated */
};

/* Fills TARGET from SECTION.  Unknown, doubled and missing keys and values out
   of range go to FAULTS, the latter leaving the field as it is.  */
void marjoram_ini_read (const struct marjoram_ini_file *file,
                        const struct marjoram_ini_section *section,
                        const struct marjoram_ini_key *keys, size_t key_count,
                        void *target, marjoram_faults *faults);
/* Frees what the fields of TARGET own.  */
void marjoram_ini_clear (const struct marjoram_ini_key *keys, size_t key_count,
                         void *target);

/* Whether TEXT is a name that may stand in settings and configuration.  */
bool marjoram_name_valid (const char *text, bool dots);
struct marjoram_names marjoram_names_parse (const char *text);
void marjoram_names_clear (struct marjoram_names *names);
/* Whether the list is the one word "all".  */
bool marjoram_names_all (const struct marjoram_names *names);

#endif
