/* Declarations shared by the marjoramctl commands: ctl.c (zone hosts),
   ctl_gateway.c (hosts in the roles entry and keeper), ctl_account.c (event
   logs).  */
#ifndef MARJORAM_CTL_PRIVATE_H
#define MARJORAM_CTL_PRIVATE_H

#include "config.h"
#include "control_client.h"
#include "ctl.h"

#include <jansson.h>

enum
{
  MARJORAM_CTL_ADDRESS_MAX = 64,
  MARJORAM_CTL_OPERANDS_MAX = MARJORAM_FILES_MAX
};

/* One invocation of a command.  */
struct marjoram_ctl_call
{
  const struct marjoram_ctl_options *options;
  int arg_count; /* number of operands */
  char *const *args;
  FILE *out;
  FILE *errors;
  struct marjoram_control_target target;
  const char *hosts[MARJORAM_CTL_HOSTS_MAX];
  size_t host_count;
  char address[MARJORAM_CTL_ADDRESS_MAX]; /* from the settings file */
  char *names[MARJORAM_CTL_OPERANDS_MAX]; /* file names of the operands */
};

/* Prints TEXT to the error stream and returns STATUS.  */
enum marjoram_ctl_status marjoram_ctl_error (struct marjoram_ctl_call *call,
                                             enum marjoram_ctl_status status,
                                             const char *text);
/* Takes ownership of OBJECT.  */
void marjoram_ctl_print_object (struct marjoram_ctl_call *call,
                                json_t *object);

/* ctl_account.c */
enum marjoram_ctl_status marjoram_ctl_account (struct marjoram_ctl_call *call);

/* ctl_gateway.c */
enum marjoram_ctl_status marjoram_ctl_gateway (struct marjoram_ctl_call *call);
enum marjoram_ctl_status marjoram_ctl_routes (struct marjoram_ctl_call *call);
enum marjoram_ctl_status
marjoram_ctl_evacuate (struct marjoram_ctl_call *call);
enum marjoram_ctl_status marjoram_ctl_restore (struct marjoram_ctl_call *call);

#endif
