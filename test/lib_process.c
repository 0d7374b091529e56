#include "lib_process.h"

#include <fcntl.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  PROCESSES_MAX = 4096,
  SIGNALLED = 128,
  EXEC_FAILED = 127
};

struct process
{
  pid_t pid;
  bool ended;
  int status;
};

static struct process processes[PROCESSES_MAX];
static int process_count;

static void
exec_child (char *const *argv, const char *log, pid_t parent)
{
  int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent || fd < 0)
    _exit (EXEC_FAILED);
  dup2 (fd, STDOUT_FILENO);
  dup2 (fd, STDERR_FILENO);
  close (fd);
  execv (argv[0], argv);
  perror (argv[0]);
  _exit (EXEC_FAILED);
}

pid_t
process_start (char *const *argv, const char *log)
{
  pid_t parent = getpid ();
  pid_t pid;

  if (process_count == PROCESSES_MAX)
    return -1;
  pid = fork ();
  if (pid == 0)
    exec_child (argv, log, parent);
  if (pid > 0)
    processes[process_count++] = (struct process){ .pid = pid };
  return pid;
}

static struct process *
find_process (pid_t pid)
{
  for (int i = process_count - 1; i >= 0; i--)
    if (processes[i].pid == pid)
      return &processes[i];
  return NULL;
}

bool
process_ended (pid_t pid, int *status)
{
  struct process *process = find_process (pid);
  int raw;

  if (!process)
    return true;
  if (!process->ended && waitpid (pid, &raw, WNOHANG) == pid)
    {
      process->ended = true;
      process->status
          = WIFEXITED (raw) ? WEXITSTATUS (raw) : SIGNALLED + WTERMSIG (raw);
    }
  *status = process->status;
  return process->ended;
}

void
process_kill_all (void)
{
  int status;

  for (int i = 0; i < process_count; i++)
    if (!process_ended (processes[i].pid, &status))
      {
        kill (processes[i].pid, SIGKILL);
        waitpid (processes[i].pid, NULL, 0);
        processes[i].ended = true;
      }
}
