/* Starts child processes and kills them by process ID.  Children are also
   killed when the parent dies.  */
#ifndef MARJORAM_TEST_PROCESS_H
#define MARJORAM_TEST_PROCESS_H

#include <stdbool.h>
#include <sys/types.h>

/* ARGV is NULL-terminated.  Appends stdout and stderr to LOG.  Returns -1 on
   failure.  */
pid_t process_start (char *const *argv, const char *log);
/* Returns whether PID has exited and stores its exit status, or 128 plus the
   signal number, in STATUS.  */
bool process_ended (pid_t pid, int *status);
/* Kills all started processes that are still running.  */
void process_kill_all (void);

#endif
