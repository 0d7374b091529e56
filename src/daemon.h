/* The daemon: one host with its network servers, clients and disk on one event
   loop.  */
#ifndef MARJORAM_DAEMON_H
#define MARJORAM_DAEMON_H

#include "settings.h"

typedef struct marjoram_daemon marjoram_daemon;

/* SETTINGS must outlive the daemon.  SIGHUP reloads the log level from
   SETTINGS_PATH.  Null with ERR set on failure.  */
marjoram_daemon *
marjoram_daemon_create (const struct marjoram_settings *settings,
                        const char *settings_path, struct marjoram_error *err);
void marjoram_daemon_destroy (marjoram_daemon *daemon);
/* Runs until drained after SIGTERM or SIGINT, or until the second signal.
   Returns whether all requests in progress completed.  */
bool marjoram_daemon_run (marjoram_daemon *daemon);

#endif
