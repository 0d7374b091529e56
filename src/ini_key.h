/* Table-driven reading of INI sections: a table lists the keys that a section
   may have, with their types, ranges, defaults and target fields.  */
#ifndef MARJORAM_INI_KEY_H
#define MARJORAM_INI_KEY_H

#include "ini_file.h"

#include <stdbool.h>
#include <stdint.h>

enum marjoram_ini_type
{
  MARJORAM_INI_NAME,     /* char *, letters, digits and ._- */
  MARJORAM_INI_LABEL,    /* char *, as NAME but without dots */
  MARJORAM_INI_TEXT,     /* char * */
  MARJORAM_INI_ADDRESS,  /* char *, IP:port in canonical form */
  MARJORAM_INI_BOOL,     /* bool, yes or no */
  MARJORAM_INI_SIZE,     /* size_t, optional suffix k or M */
  MARJORAM_INI_INT64,    /* int64_t */
  MARJORAM_INI_INT,      /* int */
  MARJORAM_INI_DOUBLE,   /* double */
  MARJORAM_INI_ENUM,     /* int, index in enum_names */
  MARJORAM_INI_NAME_LIST /* struct marjoram_names, separated by commas */
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
  size_t offset;             /* of the field in the target struct */
  const char *default_value; /* null: required; "": field left unchanged */
  double min;                /* range of a number or of a text's length */
  double max;
  const char *const *enum_names; /* null-terminated */
};

/* Fills TARGET from SECTION.  Unknown, duplicate and missing keys and invalid
   values are added to FAULTS; an invalid value leaves its field unchanged.  */
void marjoram_ini_read (const struct marjoram_ini_file *file,
                        const struct marjoram_ini_section *section,
                        const struct marjoram_ini_key *keys, size_t key_count,
                        void *target, marjoram_faults *faults);
/* Frees the memory owned by the fields of TARGET.  */
void marjoram_ini_clear (const struct marjoram_ini_key *keys, size_t key_count,
                         void *target);

/* Whether TEXT is a valid name: letters, digits, _ and -, and dots if DOTS is
   set; it starts with a letter or digit.  */
bool marjoram_name_valid (const char *text, bool dots);
struct marjoram_names marjoram_names_parse (const char *text);
void marjoram_names_clear (struct marjoram_names *names);
bool marjoram_names_is_all (const struct marjoram_names *names);

#endif
