/* Runs the suite of a test program.  */
#include "suite.h"

#include <stdlib.h>

int
main (void)
{
  SRunner *runner = srunner_create (suite ());
  int failures;

  srunner_run_all (runner, CK_NORMAL);
  failures = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
