/* What each test program gives to the common runner.  */
#ifndef MARJORAM_TEST_SUITE_H
#define MARJORAM_TEST_SUITE_H

#include <check.h>

/* The suite of this program's test file.  */
Suite *suite (void);

#endif
