/* Starts our own programs and ends them by process id, also when the one that
   started them dies.  */
#ifndef MARJORAM_TEST_PROCESS_H
#define MARJORAM_TEST_PROCESS_H

#include <stdbool.h>
#include <sys/types.h>

/* ARGV ends with a null pointer; both outputs are appended to LOG.  Returns
   -1 on failure.  */
pid_t process_start (char *const *argv, const char *log);
/* Whether PID has ended; STATUS then gets its exit status, or 128 and the
   signal that ended it.  */
bool process_ended (pid_t pid, int *status);
/* Ends all that were started and still run.  */
void process_kill_all (void);

#endif
