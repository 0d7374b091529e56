#include "ctl_private.h"

#include "cleanup.h"
#include "ini_file.h"
#include "own_dialect.h"
#include "blocking_call.h"
#include "route_file.h"

#include <string.h>

enum
{
  STATUS_OK = 200,
  STATUS_BAD_REQUEST = 400,
  PATH_TEXT_MAX = 256,
  ROUTES_MAX = 4 * 1024 * 1024 /* bytes of a file of routes */
};

static const char no_address[]
    = "the first operand is an address of a host, IP:port";

/* These addresses need no secret.  BODY becomes the answer's.  */
static enum marjoram_ctl_status
ask (struct marjoram_ctl_call *call, enum evhttp_cmd_type method,
     const char *path, const char *text, char **body)
{
  const struct marjoram_blocking_call plain
      = { call->args[0], method, path, text, call->options->timeout_ms };
  int status;

  if (!marjoram_blocking_call (&plain, &status, body))
    return marjoram_ctl_complain (call, MARJORAM_CTL_USAGE, no_address);
  if (status == 0)
    return marjoram_ctl_complain (
        call, MARJORAM_CTL_UNREACHABLE,
        "the host was not reached; check its address");
  if (status == STATUS_OK)
    return MARJORAM_CTL_DONE;
  if (status == STATUS_BAD_REQUEST)
    return marjoram_ctl_complain (call, MARJORAM_CTL_REFUSED,
                                  *body && **body ? *body : "refused");
  return marjoram_ctl_complain (
      call, MARJORAM_CTL_UNKNOWN,
      "the keepers could not decide in time; it may yet take effect: do it "
      "again, at any keeper");
}

enum marjoram_ctl_status
marjoram_ctl_gateway (struct marjoram_ctl_call *call)
{
  marjoram_auto_free char *body = NULL;
  const struct marjoram_blocking_call plain
      = { call->args[0], EVHTTP_REQ_GET, "/status", NULL,
          call->options->timeout_ms };
  json_t *report;
  int status;

  if (!marjoram_blocking_call (&plain, &status, &body))
    return marjoram_ctl_complain (call, MARJORAM_CTL_USAGE, no_address);
  report = body ? json_loads (body, 0, NULL) : NULL;
  if (status == 0)
    return marjoram_ctl_complain (
        call, MARJORAM_CTL_UNREACHABLE,
        "the host was not reached; check its metrics address");
  if (status != STATUS_OK || !report)
    {
      json_decref (report);
      return marjoram_ctl_complain (
          call, MARJORAM_CTL_REFUSED,
          "no status there; give [listen] metrics of a host in the role entry "
          "or keeper");
    }
  marjoram_ctl_print_object (call, report);
  return MARJORAM_CTL_DONE;
}

/* Faults are found before anything is sent.  */
static bool
check_routes (const char *text, size_t size, struct marjoram_error *err)
{
  struct marjoram_route_table *table
      = marjoram_route_file_read (text, size, err);
  bool valid = table && marjoram_route_table_check (table, err);

  marjoram_route_table_destroy (table);
  return valid;
}

/* A version that was overtaken is acknowledged and changes nothing.  */
static enum marjoram_ctl_status
check_in_force (struct marjoram_ctl_call *call, const char *text)
{
  marjoram_auto_free char *held = NULL;
  enum marjoram_ctl_status status
      = ask (call, EVHTTP_REQ_GET, MARJORAM_PATH_ROUTES, NULL, &held);

  if (status == MARJORAM_CTL_DONE && strcmp (held, text) != 0)
    return marjoram_ctl_complain (
        call, MARJORAM_CTL_REFUSED,
        "other routes are in force under this version or a higher one; show "
        "them with \"marjoramctl routes ADDRESS\" and give yours a higher "
        "version");
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
      status = ask (call, EVHTTP_REQ_GET, MARJORAM_PATH_ROUTES, NULL, &body);
      if (status == MARJORAM_CTL_DONE)
        fputs (body, call->out);
      return status;
    }
  text = marjoram_file_read (call->args[1], ROUTES_MAX, &size, &err);
  if (!text || !check_routes (text, size, &err))
    return marjoram_ctl_complain (call, MARJORAM_CTL_REFUSED, err.message);
  status = ask (call, EVHTTP_REQ_PUT, MARJORAM_PATH_ROUTES, text, &body);
  return status == MARJORAM_CTL_DONE ? check_in_force (call, text) : status;
}

static enum marjoram_ctl_status
order_zone (struct marjoram_ctl_call *call, enum evhttp_cmd_type method)
{
  marjoram_auto_free char *body = NULL;
  char path[PATH_TEXT_MAX];

  if (!marjoram_name_valid (call->args[1], true))
    return marjoram_ctl_complain (call, MARJORAM_CTL_USAGE,
                                  "the second operand is a zone's name");
  snprintf (path, sizeof path, "%s%s", MARJORAM_PATH_EVACUATIONS,
            call->args[1]);
  return ask (call, method, path, NULL, &body);
}

enum marjoram_ctl_status
marjoram_ctl_evacuate (struct marjoram_ctl_call *call)
{
  return order_zone (call, EVHTTP_REQ_PUT);
}

enum marjoram_ctl_status
marjoram_ctl_restore (struct marjoram_ctl_call *call)
{
  return order_zone (call, EVHTTP_REQ_DELETE);
}
