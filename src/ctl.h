/* Commands of marjoramctl.  */
#ifndef MARJORAM_CTL_H
#define MARJORAM_CTL_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* Exit statuses, documented in marjoramctl(1).  */
enum marjoram_ctl_status
{
  MARJORAM_CTL_DONE = 0,
  MARJORAM_CTL_REFUSED = 1,     /* rejected, invalid, stale or in conflict */
  MARJORAM_CTL_USAGE = 2,       /* invalid command line */
  MARJORAM_CTL_UNREACHABLE = 3, /* the call reached no host */
  MARJORAM_CTL_UNKNOWN = 4,     /* outcome unknown: resend with the same id */
  MARJORAM_CTL_NOT_RUN = 5      /* nothing was changed: retry */
};

enum
{
  MARJORAM_CTL_HOSTS_MAX = 16,
  MARJORAM_CTL_TIMEOUT_MS = 20 * 1000
};

struct marjoram_ctl_options
{
  const char *settings; /* daemon settings file with address and secret */
  const char *hosts[MARJORAM_CTL_HOSTS_MAX]; /* tried in turn */
  size_t host_count;
  const char *secret_file;
  bool json;
  const char *change_id;
  int64_t timeout_ms;
  /* explain */
  const char *caller;
  const char *work;
  const char *class;
  const char *deadline_ms;
  const char *prompt_tokens;
  /* account */
  const char *by; /* fields to group by; null: cause and route */
  const char *id; /* print the log lines of this request instead */
  bool outcomes;  /* count those served in time as well */
};

/* Runs the command ARGS[0] with its operands.  Output goes to OUT, error
   messages to ERRORS.  */
enum marjoram_ctl_status
marjoram_ctl_run (const struct marjoram_ctl_options *options, int arg_count,
                  char *const *args, FILE *out, FILE *errors);
void marjoram_ctl_help (FILE *out);

/* Prints a JSON object in human-readable form: scalars one per line, arrays of
   objects as tables.  */
void marjoram_ctl_print (FILE *out, const json_t *object);

#endif
