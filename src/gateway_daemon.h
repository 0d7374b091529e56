/* The daemon process of the roles entry and keeper.  */
#ifndef MARJORAM_GATEWAY_DAEMON_H
#define MARJORAM_GATEWAY_DAEMON_H

#include "dialect.h"
#include "gateway_settings.h"

typedef struct marjoram_gateway_daemon marjoram_gateway_daemon;

/* Takes ownership of SETTINGS.  The file at SETTINGS_PATH is reloaded on
   SIGHUP and when it changes.  Returns null with ERR set on failure.  */
marjoram_gateway_daemon *marjoram_gateway_daemon_create (
    struct marjoram_gateway_settings *settings, const char *settings_path,
    const struct marjoram_dialect *dialect, struct marjoram_error *err);
void marjoram_gateway_daemon_destroy (marjoram_gateway_daemon *daemon);
/* Runs until drained after SIGTERM or SIGINT, or until the drain limit.
   Returns whether all requests in progress were completed.  */
bool marjoram_gateway_daemon_run (marjoram_gateway_daemon *daemon);

#endif
