/* Delays each sync of a program that preloads this library by SLOW_SYNC_MS
   milliseconds, as a slow disk does.  */
#include <dlfcn.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

enum
{
  MSEC_PER_SEC = 1000,
  NSEC_PER_MSEC = 1000000,
  DECIMAL = 10
};

static void
delay (void)
{
  const char *text = getenv ("SLOW_SYNC_MS");
  const long ms = text ? strtol (text, NULL, DECIMAL) : 0;
  const struct timespec time
      = { ms / MSEC_PER_SEC, ms % MSEC_PER_SEC * NSEC_PER_MSEC };

  nanosleep (&time, NULL);
}

static int
sync_by (const char *name, int fd)
{
  int (*sync_file) (int) = (int (*) (int))dlsym (RTLD_NEXT, name);

  delay ();
  return sync_file (fd);
}

int
fsync (int fd)
{
  return sync_by ("fsync", fd);
}

int
fdatasync (int fd)
{
  return sync_by ("fdatasync", fd);
}
