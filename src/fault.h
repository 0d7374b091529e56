/* The faults found in one or more files, gathered so that an operator sees all
   of them at once.  */
#ifndef MARJORAM_FAULT_H
#define MARJORAM_FAULT_H

#include "error.h"

#include <stddef.h>

typedef struct marjoram_faults marjoram_faults;

marjoram_faults *marjoram_faults_create (void);
void marjoram_faults_destroy (marjoram_faults *faults);
/* One line of text: "FILE:LINE: what is wrong; what to do".  LINE 0 stands for
   the file as a whole.  */
void marjoram_faults_add (marjoram_faults *faults, const char *file, int line,
                          const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
size_t marjoram_faults_count (const marjoram_faults *faults);
/* All lines, in the order in which they were found, as malloc'd text.  */
char *marjoram_faults_text (const marjoram_faults *faults);
/* Puts the first fault into ERR and all of them into TEXT (either may be null)
   and returns false; returns true if there is none, with TEXT null.  */
bool marjoram_faults_report (const marjoram_faults *faults, char **text,
                             struct marjoram_error *err);
/* For use with marjoram_auto ().  */
void marjoram_faults_cleanup (marjoram_faults **faults);

#endif
