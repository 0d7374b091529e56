/* List of the faults found while parsing and validating files.  */
#ifndef MARJORAM_FAULT_H
#define MARJORAM_FAULT_H

#include "error.h"

#include <stddef.h>

typedef struct marjoram_faults marjoram_faults;

marjoram_faults *marjoram_faults_create (void);
void marjoram_faults_destroy (marjoram_faults *faults);
/* Adds a line "FILE:LINE: problem; remedy".  LINE 0 means the whole file.  */
void marjoram_faults_add (marjoram_faults *faults, const char *file, int line,
                          const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
size_t marjoram_faults_count (const marjoram_faults *faults);
/* Returns all lines in the order they were added, as malloc'd text.  */
char *marjoram_faults_text (const marjoram_faults *faults);
/* Returns true if there are no faults.  Otherwise stores the first in ERR and
   all in TEXT, malloc'd; either may be null.  */
bool marjoram_faults_report (const marjoram_faults *faults, char **text,
                             struct marjoram_error *err);
/* For use with marjoram_auto ().  */
void marjoram_faults_cleanup (marjoram_faults **faults);

#endif
