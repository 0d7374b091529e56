/* Commands of the operators' tool.  */
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
  MARJORAM_CTL_REFUSED = 1,     /* refused, faulty, stale or in conflict */
  MARJORAM_CTL_USAGE = 2,       /* the command line is wrong */
  MARJORAM_CTL_UNREACHABLE = 3, /* no host was asked */
  MARJORAM_CTL_UNKNOWN = 4,     /* may take effect: resend the same id */
  MARJORAM_CTL_NOT_RUN = 5      /* nothing was changed: try again */
};

enum
{
  MARJORAM_CTL_HOSTS_MAX = 16,
  MARJORAM_CTL_TIMEOUT_MS = 20 * 1000
};

struct marjoram_ctl_options
{
  const char *settings; /* of a daemon: gives address and secret */
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
  const char *by; /* null: by cause and route */
  const char *id; /* show this request's lines instead */
};

/* Runs the command ARGS[0] with its operands; prints to OUT, and what went
   wrong to ERRORS.  */
enum marjoram_ctl_status
marjoram_ctl_run (const struct marjoram_ctl_options *options, int arg_count,
                  char *const *args, FILE *out, FILE *errors);
/* The list of commands, for --help.  */
void marjoram_ctl_help (FILE *out);

/* Prints a JSON object for people: its plain values one a line, lists of
   objects as tables.  */

void marjoram_ctl_print (FILE *out, const json_t *object);

#endif
