#include "ctl_private.h"

#include "cleanup.h"
#include "ini_file.h"
#include "builtin_dialect.h"
#include "blocking_call.h"
#include "route_file.h"

#include <string.h>

enum
{
  STATUS_OK = 200,
  STATUS_REDIRECT = 307,
  STATUS_BAD_REQUEST = 400,
  REDIRECTIONS_MAX = 2,
  PATH_MAX_BYTES = 256,
  ROUTES_MAX_BYTES = 4 * 1024 * 1024 /* bytes of a routes file */
};

static const char invalid_address[]
    = "the first operand is an address of a host, IP:port";

/* The path and query of the URL in BODY; null if there is none.  */
static char *
redirected_path (const char *body)
{
  const char *host = body ? strstr (body, "://") : NULL;
  const char *path = host ? strchr (host + 3, '/') : NULL;

  return path ? marjoram_strdup (path) : NULL;
}

/* Sends an unsigned request and follows redirections, which stay at the host.
   Sets BODY to the body of the response.  Returns false if the address is
   invalid.  */
static bool
send_and_follow (struct marjoram_ctl_call *call, enum evhttp_cmd_type method,
                 const char *path, const char *text, int *status, char **body)
{
  struct marjoram_blocking_call request
      = { call->args[0], method, path, text, call->options->timeout_ms };
  marjoram_auto_free char *next = NULL;

  for (int followed = 0;; followed++)
    {
      if (!marjoram_blocking_call (&request, status, body))
        return false;
      if (*status != STATUS_REDIRECT || followed == REDIRECTIONS_MAX)
        return true;
      free (next);
      next = redirected_path (*body);
      if (!next)
        return true;
      free (*body);
      *body = NULL;
      request.path = next;
    }
}

/* Sets BODY to the body of the response.  */
static enum marjoram_ctl_status
send_request (struct marjoram_ctl_call *call, enum evhttp_cmd_type method,
              const char *path, const char *text, char **body)
{
  int status;

  if (!send_and_follow (call, method, path, text, &status, body))
    return marjoram_ctl_error (call, MARJORAM_CTL_USAGE, invalid_address);
  if (status == 0)
    return marjoram_ctl_error (call, MARJORAM_CTL_UNREACHABLE,
                               "cannot reach the host; check its address");
  if (status == STATUS_OK)
    return MARJORAM_CTL_DONE;
  if (status == STATUS_BAD_REQUEST)
    return marjoram_ctl_error (call, MARJORAM_CTL_REFUSED,
                               *body && **body ? *body : "refused");
  return marjoram_ctl_error (
      call, MARJORAM_CTL_UNKNOWN,
      "the keepers did not decide in time and the change may still take "
      "effect; repeat it at any keeper");
}

enum marjoram_ctl_status
marjoram_ctl_gateway (struct marjoram_ctl_call *call)
{
  marjoram_auto_free char *body = NULL;
  const struct marjoram_blocking_call request
      = { call->args[0], EVHTTP_REQ_GET, "/status", NULL,
          call->options->timeout_ms };
  json_t *report;
  int status;

  if (!marjoram_blocking_call (&request, &status, &body))
    return marjoram_ctl_error (call, MARJORAM_CTL_USAGE, invalid_address);
  report = body ? json_loads (body, 0, NULL) : NULL;
  if (status == 0)
    return marjoram_ctl_error (
        call, MARJORAM_CTL_UNREACHABLE,
        "cannot reach the host; check its metrics address");
  if (status != STATUS_OK || !report)
    {
      json_decref (report);
      return marjoram_ctl_error (call, MARJORAM_CTL_REFUSED,
                                 "the address serves no status; give "
                                 "[listen] metrics of a host in the "
                                 "role entry or keeper");
    }
  marjoram_ctl_print_object (call, report);
  return MARJORAM_CTL_DONE;
}

/* Validates the routes before they are sent.  */
static bool
check_routes (const char *text, size_t size, struct marjoram_error *err)
{
  struct marjoram_route_table *table
      = marjoram_route_file_read (text, size, err);
  bool valid = table && marjoram_route_table_check (table, err);

  marjoram_route_table_destroy (table);
  return valid;
}

/* Verifies that TEXT is in force, since keepers acknowledge an outdated
   version without applying it.  */
static enum marjoram_ctl_status
check_in_force (struct marjoram_ctl_call *call, const char *text)
{
  marjoram_auto_free char *current = NULL;
  enum marjoram_ctl_status status = send_request (
      call, EVHTTP_REQ_GET, MARJORAM_PATH_ROUTES, NULL, &current);

  if (status == MARJORAM_CTL_DONE && (!current || strcmp (current, text) != 0))
    return marjoram_ctl_error (
        call, MARJORAM_CTL_REFUSED,
        "different routes are in force with this or a higher version; show "
        "them with \"marjoramctl routes ADDRESS\" and use a higher version");
  return status;
}

enum marjoram_ctl_status
marjoram_ctl_routes (struct marjoram_ctl_call *call)
{
  marjoram_auto_free char *body = NULL;
  marjoram_auto_free char *text = NULL;
  struct marjoram_error err = { 0 };
  enum marjoram_ctl_status status;
  size_t size;

  if (call->arg_count == 1)
    {
      status = send_request (call, EVHTTP_REQ_GET, MARJORAM_PATH_ROUTES, NULL,
                             &body);
      if (status == MARJORAM_CTL_DONE)
        fputs (body, call->out);
      return status;
    }
  text = marjoram_file_read (call->args[1], ROUTES_MAX_BYTES, &size, &err);
  if (!text || !check_routes (text, size, &err))
    return marjoram_ctl_error (call, MARJORAM_CTL_REFUSED, err.message);
  status
      = send_request (call, EVHTTP_REQ_PUT, MARJORAM_PATH_ROUTES, text, &body);
  return status == MARJORAM_CTL_DONE ? check_in_force (call, text) : status;
}

static enum marjoram_ctl_status
set_evacuation (struct marjoram_ctl_call *call, enum evhttp_cmd_type method)
{
  marjoram_auto_free char *body = NULL;
  char path[PATH_MAX_BYTES];

  if (!marjoram_name_valid (call->args[1], true))
    return marjoram_ctl_error (
        call, MARJORAM_CTL_USAGE,
        "the second operand must be the name of a zone");
  snprintf (path, sizeof path, "%s%s", MARJORAM_PATH_EVACUATIONS,
            call->args[1]);
  return send_request (call, method, path, NULL, &body);
}

enum marjoram_ctl_status
marjoram_ctl_evacuate (struct marjoram_ctl_call *call)
{
  return set_evacuation (call, EVHTTP_REQ_PUT);
}

enum marjoram_ctl_status
marjoram_ctl_restore (struct marjoram_ctl_call *call)
{
  return set_evacuation (call, EVHTTP_REQ_DELETE);
}
