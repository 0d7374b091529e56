/* Interface between a test program and suite.c.  */
#ifndef MARJORAM_TEST_SUITE_H
#define MARJORAM_TEST_SUITE_H

#include <check.h>

/* Returns the test suite of this program.  */
Suite *suite (void);

#endif
