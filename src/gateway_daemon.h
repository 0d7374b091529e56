/* The daemon in the roles entry and keeper of the gateway.  */
#ifndef MARJORAM_GATEWAY_DAEMON_H
#define MARJORAM_GATEWAY_DAEMON_H

#include "dialect.h"
#include "gateway_settings.h"

typedef struct marjoram_gateway_daemon marjoram_gateway_daemon;

/* Takes SETTINGS, read from SETTINGS_PATH, which is read again on SIGHUP and
   whenever it changes.  Null with ERR set on failure.  */
marjoram_gateway_daemon *marjoram_gateway_daemon_create (
    struct marjoram_gateway_settings *settings, const char *settings_path,
    const struct marjoram_dialect *dialect, struct marjoram_error *err);
void marjoram_gateway_daemon_destroy (marjoram_gateway_daemon *daemon);
/* Until it is drained after SIGTERM or SIGINT, or at its limit.  Returns
   whether all requests in progress were finished.  */
bool marjoram_gateway_daemon_run (marjoram_gateway_daemon *daemon);

#endif
