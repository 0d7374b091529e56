/* One operators' file as text: its name and version, which it says itself, and
   what changes from one text to the next.  */
#ifndef MARJORAM_CONFIG_FILE_H
#define MARJORAM_CONFIG_FILE_H

#include "ini_file.h"
#include "state.h"

/* Reads the [file] section that INI has to begin with.  NAME is malloc'd; it
   stays null, and VERSION 0, where it is faulty.  */
void marjoram_config_file_head (const struct marjoram_ini_file *ini,
                                char **name, uint64_t *version,
                                marjoram_faults *faults);
/* Fills FILE from TEXT of SIZE bytes; PATH stands in front of faults.  To be
   cleared with marjoram_file_layout.  Only the [file] section is checked.  */
bool marjoram_config_file_parse (const char *path, const char *text,
                                 size_t size, struct marjoram_file *file,
                                 struct marjoram_error *err);
/* The same for the file at PATH.  */
bool marjoram_config_file_load (const char *path, struct marjoram_file *file,
                                struct marjoram_error *err);
/* The sections and keys that differ, one a line with + or - in front, as
   malloc'd text; tokens are not shown.  OLD_TEXT may be null.  */
char *marjoram_config_file_diff (const char *old_text, const char *new_text);

#endif
