/* One operators' file as text: reads its [file] header and compares two
   versions of it.  */
#ifndef MARJORAM_CONFIG_FILE_H
#define MARJORAM_CONFIG_FILE_H

#include "ini_file.h"
#include "state.h"

/* Reads the [file] section, which must come first.  NAME is malloc'd; an
   invalid name is returned as null, an invalid version as 0.  */
void marjoram_config_file_header (const struct marjoram_ini_file *ini,
                                  char **name, uint64_t *version,
                                  marjoram_faults *faults);
/* Fills FILE from TEXT of SIZE bytes; PATH prefixes error messages.  Clear
   FILE with marjoram_file_layout.  Only the [file] section is validated.  */
bool marjoram_config_file_parse (const char *path, const char *text,
                                 size_t size, struct marjoram_file *file,
                                 struct marjoram_error *err);
/* Like marjoram_config_file_parse, for the file at PATH.  */
bool marjoram_config_file_load (const char *path, struct marjoram_file *file,
                                struct marjoram_error *err);
/* Returns the sections and keys that differ as malloc'd text, one per line and
   prefixed with + or -.  Tokens are masked.  OLD_TEXT may be null.  */
char *marjoram_config_file_diff (const char *old_text, const char *new_text);

#endif
