#include "control.h"

#include "address.h"
#include "cleanup.h"
#include "config.h"
#include "config_file.h"
#include "control_proof.h"
#include "ini_key.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>

enum
{
  HEADERS_MAX_BYTES = 16 * 1024,
  /* Exceeds the longest time until an apply is answered.  */
  CONNECTION_TIMEOUT_S = 120,
  STATUS_OK = 200,
  STATUS_BAD_REQUEST = 400,
  STATUS_UNAUTHORIZED = 401,
  STATUS_NOT_FOUND = 404,
  STATUS_BUSY = 503
};

struct call
{
  struct marjoram_control *control;
  struct evhttp_request *req;
  char nonce[MARJORAM_NONCE_TEXT + 1];
  struct evkeyvalq query;
  char *body; /* NUL-terminated */
  size_t size;
};

/* An apply or keeper replacement that waits for its outcome.  */
struct pending
{
  uint64_t request;
  struct marjoram_control *control;
  struct evhttp_request *req;
  char nonce[MARJORAM_NONCE_TEXT + 1];
  struct marjoram_file file; /* empty for a keeper replacement */
  LIST_ENTRY (pending) link;
};

struct marjoram_control
{
  struct evhttp *http;
  struct marjoram_clock *clock;
  char *slot;
  char *secret;
  const struct marjoram_control_ops *ops;
  void *context;
  marjoram_replays *replays;
  uint64_t last_request;
  LIST_HEAD (, pending) pending;
};

static void
send_text (marjoram_control *control, struct evhttp_request *req,
           const char *nonce, int status, const char *type, const char *text)
{
  struct evbuffer *body = evbuffer_new ();
  struct evkeyvalq *headers = evhttp_request_get_output_headers (req);
  struct marjoram_control_reply reply
      = { control->slot, nonce, status, text, strlen (text) };
  char proof[MARJORAM_PROOF_TEXT + 1];

  marjoram_control_reply_sign (control->secret, &reply, proof);
  evhttp_add_header (headers, MARJORAM_CONTROL_PROOF, proof);
  evhttp_add_header (headers, "Content-Type", type);
  evhttp_add_header (headers, "Connection", "close");
  evbuffer_add (body, text, reply.size);
  evhttp_send_reply (req, status, NULL, body);
  evbuffer_free (body);
}

/* Takes ownership of OBJECT.  */
static void
send_json (marjoram_control *control, struct evhttp_request *req,
           const char *nonce, int status, json_t *object)
{
  marjoram_auto_free char *text = json_dumps (object, JSON_COMPACT);

  json_decref (object);
  send_text (control, req, nonce, status, "application/json",
             text ? text : "{}");
}

static void
send_error (marjoram_control *control, struct evhttp_request *req,
            const char *nonce, int status, const char *kind,
            const char *message)
{
  marjoram_log (MARJORAM_LOG_WARNING, "control: rejected %s: %s",
                evhttp_request_get_uri (req), message);
  send_json (
      control, req, nonce, status,
      json_pack ("{s{ssss}}", "error", "kind", kind, "message", message));
}

static void
reject_call (struct call *call, const char *message)
{
  send_error (call->control, call->req, call->nonce, STATUS_BAD_REQUEST,
              "invalid", message);
}

static void
send_result (struct call *call, json_t *object)
{
  send_json (call->control, call->req, call->nonce, STATUS_OK, object);
}

static const char *
query_parameter (struct call *call, const char *name)
{
  return evhttp_find_header (&call->query, name);
}

static void
handle_status (struct call *call)
{
  send_result (call, call->control->ops->status (call->control->context));
}

static void
handle_upstreams (struct call *call)
{
  send_result (call, call->control->ops->upstreams (call->control->context));
}

static void
handle_counters (struct call *call)
{
  marjoram_auto_free char *text
      = call->control->ops->counters (call->control->context);

  send_text (call->control, call->req, call->nonce, STATUS_OK, "text/plain",
             text);
}

static bool
parse_non_negative (const char *text, int64_t *value)
{
  char *end;

  errno = 0;
  *value = strtoll (text, &end, 10);
  return errno == 0 && end > text && *end == 0 && *value >= 0;
}

static void
handle_explain (struct call *call)
{
  const char *deadline = query_parameter (call, "deadline_ms");
  const char *tokens = query_parameter (call, "prompt_tokens");
  struct marjoram_explain_query query
      = { .caller = query_parameter (call, "caller"),
          .work = query_parameter (call, "work"),
          .class = query_parameter (call, "class") };
  int64_t prompt_tokens;

  if (!query.caller || !query.work || !query.class || !deadline || !tokens)
    reject_call (call, "missing parameter; give caller, work, class, "
                       "deadline_ms and prompt_tokens");
  else if (strcmp (query.class, "interactive") != 0
           && strcmp (query.class, "overnight") != 0)
    reject_call (call, "unknown class; use interactive or overnight");
  else if (!parse_non_negative (deadline, &query.deadline_ms)
           || !parse_non_negative (tokens, &prompt_tokens))
    reject_call (call, "deadline_ms or prompt_tokens is invalid; use "
                       "non-negative integers");
  else
    {
      query.prompt_tokens = (uint64_t)prompt_tokens;
      send_result (
          call, call->control->ops->explain (call->control->context, &query));
    }
}

static bool
parse_file (struct call *call, struct marjoram_file *file)
{
  struct marjoram_error err;

  if (marjoram_config_file_parse ("file", call->body, call->size, file, &err))
    return true;
  reject_call (call, err.message);
  return false;
}

/* Returns the faults of the configuration in force with FILE added or
   replaced; null if none.  */
static char *
find_faults (marjoram_control *control, const struct marjoram_file *file)
{
  marjoram_auto (marjoram_state_cleanup) struct marjoram_state *state
      = marjoram_state_copy (control->ops->state (control->context));
  char *faults = NULL;

  marjoram_state_set_file (state, file);
  marjoram_config_release (marjoram_config_create (state, &faults, NULL));
  return faults;
}

static void
handle_diff (struct call *call)
{
  marjoram_control *control = call->control;
  const struct marjoram_state *state = control->ops->state (control->context);
  const struct marjoram_file *current = NULL;
  struct marjoram_file file = { 0 };
  marjoram_auto_free char *faults = NULL;
  marjoram_auto_free char *changes = NULL;

  if (!parse_file (call, &file))
    return;
  if (state)
    current = marjoram_state_file (state, file.name);
  faults = find_faults (control, &file);
  changes
      = marjoram_config_file_diff (current ? current->text : NULL, file.text);
  send_result (
      call, json_pack (
                "{sssIsssIsssbssss}", "file", file.name, "version",
                (json_int_t)file.version, "digest", file.digest,
                "version_in_force", current ? (json_int_t)current->version : 0,
                "digest_in_force", current ? current->digest : "", "valid",
                !faults, "faults", faults ? faults : "", "changes", changes));
  marjoram_wire_clear (&marjoram_file_layout, &file);
}

static void
pending_destroy (struct pending *pending)
{
  LIST_REMOVE (pending, link);
  marjoram_wire_clear (&marjoram_file_layout, &pending->file);
  free (pending);
}

static void
on_connection_closed (struct evhttp_connection *connection, void *context)
{
  (void)connection;
  pending_destroy (context);
}

static struct pending *
pending_create (struct call *call)
{
  marjoram_control *control = call->control;
  struct pending *pending = marjoram_alloc (sizeof *pending);

  pending->request = ++control->last_request;
  pending->control = control;
  pending->req = call->req;
  memcpy (pending->nonce, call->nonce, sizeof pending->nonce);
  LIST_INSERT_HEAD (&control->pending, pending, link);
  evhttp_connection_set_closecb (evhttp_request_get_connection (call->req),
                                 on_connection_closed, pending);
  return pending;
}

static void
handle_apply (struct call *call)
{
  marjoram_control *control = call->control;
  const char *id = query_parameter (call, "change_id");
  struct marjoram_file file = { 0 };
  struct pending *pending;

  if (!id || !marjoram_name_valid (id, true))
    {
      reject_call (call, "change_id is missing or invalid; use at most 48 "
                         "letters, digits and ._-");
      return;
    }
  if (!parse_file (call, &file))
    return;
  marjoram_log (MARJORAM_LOG_NOTICE,
                "control: applying file %s version %" PRIu64 ", change %s",
                file.name, file.version, id);
  pending = pending_create (call);
  pending->file = file;
  /* This may answer synchronously and free PENDING.  */
  control->ops->apply (control->context, pending->request, id, &pending->file);
}

static void
handle_replace (struct call *call)
{
  marjoram_control *control = call->control;
  const char *id = query_parameter (call, "change_id");
  const char *old = query_parameter (call, "old");
  const char *new = query_parameter (call, "new");

  if (!id || !old || !new || !marjoram_name_valid (id, true)
      || !marjoram_name_valid (old, false)
      || !marjoram_name_valid (new, false))
    {
      reject_call (call, "change_id, old or new is missing or invalid; give "
                         "the slots of the old and the new keeper");
      return;
    }
  marjoram_log (MARJORAM_LOG_NOTICE,
                "control: replacing keeper %s by %s, change %s", old, new, id);
  control->ops->replace (control->context, pending_create (call)->request, id,
                         old, new);
}

static void
handle_drain (struct call *call)
{
  marjoram_log (MARJORAM_LOG_NOTICE, "control: draining");
  call->control->ops->drain (call->control->context);
  send_result (
      call, json_pack ("{sssb}", "slot", call->control->slot, "draining", 1));
}

static const struct command
{
  enum evhttp_cmd_type method;
  const char *path;
  void (*run) (struct call *call);
} commands[] = {
  { EVHTTP_REQ_GET, "/control/status", handle_status },
  { EVHTTP_REQ_GET, "/control/upstreams", handle_upstreams },
  { EVHTTP_REQ_GET, "/control/counters", handle_counters },
  { EVHTTP_REQ_GET, "/control/explain", handle_explain },
  { EVHTTP_REQ_POST, "/control/diff", handle_diff },
  { EVHTTP_REQ_POST, "/control/apply", handle_apply },
  { EVHTTP_REQ_POST, "/control/replace-keeper", handle_replace },
  { EVHTTP_REQ_POST, "/control/drain", handle_drain },
};

static const struct command *
find_command (struct evhttp_request *req)
{
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (req));
  enum evhttp_cmd_type method = evhttp_request_get_command (req);

  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    if (commands[i].method == method
        && strcmp (commands[i].path, path ? path : "") == 0)
      return &commands[i];
  return NULL;
}

/* Sends the slot and the time that the client must sign its calls with.  */
static void
handle_hello (marjoram_control *control, struct evhttp_request *req,
              const char *nonce)
{
  int64_t now = marjoram_replays_now (control->replays,
                                      marjoram_clock_wall (control->clock));

  send_json (
      control, req, nonce, STATUS_OK,
      json_pack ("{sssI}", "slot", control->slot, "time", (json_int_t)now));
}

static const char *
replay_error (enum marjoram_replay_verdict verdict)
{
  switch (verdict)
    {
    case MARJORAM_REPLAY_FRESH:
      return NULL;
    case MARJORAM_REPLAY_EXPIRED:
      return "the call has expired; send a new one and check for replayed "
             "calls";
    case MARJORAM_REPLAY_EARLY:
      return "the timestamp is ahead of this host's clock; fetch the time "
             "again";
    case MARJORAM_REPLAY_REUSED:
      return "the nonce was already used; send a new call and check for "
             "replayed calls";
    case MARJORAM_REPLAY_FULL:
      return "too many calls; retry in a minute";
    }
  return "unknown";
}

/* Verifies the signature, timestamp and nonce of the call.  Sends an error
   response and returns false if one of them is invalid.  */
static bool
authenticate (struct call *call)
{
  marjoram_control *control = call->control;
  struct evkeyvalq *headers = evhttp_request_get_input_headers (call->req);
  const char *time = evhttp_find_header (headers, MARJORAM_CONTROL_TIME);
  struct marjoram_control_call signed_call
      = { .method = evhttp_request_get_command (call->req) == EVHTTP_REQ_GET
                        ? "GET"
                        : "POST",
          .target = evhttp_request_get_uri (call->req),
          .slot = control->slot,
          .nonce = call->nonce,
          .body = call->body,
          .size = call->size };
  char expected[MARJORAM_PROOF_TEXT + 1];
  const char *fault;

  if (time && parse_non_negative (time, &signed_call.sent))
    {
      marjoram_control_call_sign (control->secret, &signed_call, expected);
      if (marjoram_control_proof_equal (
              evhttp_find_header (headers, MARJORAM_CONTROL_PROOF), expected))
        {
          fault = replay_error (marjoram_replays_check (
              control->replays, marjoram_clock_wall (control->clock),
              signed_call.sent, call->nonce));
          if (!fault)
            return true;
          send_error (control, call->req, call->nonce, STATUS_UNAUTHORIZED,
                      "refused", fault);
          return false;
        }
    }
  if (control->ops->authentication_failed)
    control->ops->authentication_failed (control->context);
  send_error (control, call->req, call->nonce, STATUS_UNAUTHORIZED, "refused",
              "invalid signature; check --secret-file and --host");
  return false;
}

static void
run_call (struct call *call, const struct command *command)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (call->req);
  const char *query
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (call->req));

  call->size = evbuffer_get_length (input);
  call->body = marjoram_alloc (call->size + 1);
  evbuffer_remove (input, call->body, call->size);
  if (authenticate (call))
    {
      if (evhttp_parse_query_str (query ? query : "", &call->query) == 0)
        command->run (call);
      else
        reject_call (call, "malformed query string; correct it");
      evhttp_clear_headers (&call->query);
    }
  free (call->body);
}

static void
handle_request (struct evhttp_request *req, void *context)
{
  struct call call = { .control = context, .req = req };
  const char *nonce = evhttp_find_header (
      evhttp_request_get_input_headers (req), MARJORAM_CONTROL_NONCE);
  const struct command *command = find_command (req);
  const char *uri = evhttp_request_get_uri (req);

  if (!marjoram_control_nonce_valid (nonce))
    send_error (context, req, "", STATUS_BAD_REQUEST, "invalid",
                "missing or invalid nonce; use marjoramctl");
  else if (strcmp (uri, MARJORAM_CONTROL_HELLO) == 0)
    handle_hello (context, req, nonce);
  else if (!command)
    send_error (context, req, nonce, STATUS_NOT_FOUND, "invalid",
                "unknown command; use the marjoramctl of this host's release");
  else
    {
      memcpy (call.nonce, nonce, MARJORAM_NONCE_TEXT);
      run_call (&call, command);
    }
}

static bool
bind_address (struct evhttp *http, const char *address,
              struct marjoram_error *err)
{
  char ip[MARJORAM_IP_MAX];
  uint16_t port;

  if (marjoram_address_split (address, ip, &port)
      && evhttp_bind_socket_with_handle (http, ip, port))
    return true;
  return marjoram_error_set (err, MARJORAM_ERROR_IO,
                             "can't listen on control address %s: %s; check "
                             "whether another process uses it",
                             address, strerror (errno));
}

marjoram_control *
marjoram_control_create (struct event_base *base, struct marjoram_clock *clock,
                         const struct marjoram_settings *settings,
                         const struct marjoram_control_ops *ops, void *context,
                         struct marjoram_error *err)
{
  marjoram_control *control = marjoram_alloc (sizeof *control);

  control->clock = clock;
  control->slot = marjoram_strdup (settings->slot);
  control->secret = marjoram_strdup (settings->secret);
  control->ops = ops;
  control->context = context;
  control->replays = marjoram_replays_create (marjoram_clock_wall (clock));
  control->http = evhttp_new (base);
  if (!control->http)
    abort ();
  evhttp_set_allowed_methods (control->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
  evhttp_set_max_headers_size (control->http, HEADERS_MAX_BYTES);
  evhttp_set_max_body_size (control->http, MARJORAM_FILE_TEXT_MAX);
  evhttp_set_flags (control->http, EVHTTP_SERVER_LINGERING_CLOSE);
  evhttp_set_timeout (control->http, CONNECTION_TIMEOUT_S);
  evhttp_set_gencb (control->http, handle_request, control);
  if (bind_address (control->http, settings->control_address, err))
    return control;
  marjoram_control_destroy (control);
  return NULL;
}

void
marjoram_control_destroy (marjoram_control *control)
{
  if (!control)
    return;
  /* Closing the connections frees all pending calls.  */
  evhttp_free (control->http);
  marjoram_replays_destroy (control->replays);
  free (control->slot);
  free (control->secret);
  free (control);
}

static const char *
outcome_name (enum marjoram_apply_outcome outcome)
{
  static const char *const names[] = { "decided", "not-run", "unknown" };

  return names[outcome];
}

static const char *
result_name (enum marjoram_change_result result)
{
  static const char *const names[]
      = { "accepted", "same", "conflict", "stale", "invalid" };

  return names[result];
}

static json_t *
format_outcome (struct pending *pending,
                const struct marjoram_apply_answer *answer)
{
  bool is_decided = answer->outcome == MARJORAM_APPLY_DECIDED;
  marjoram_auto_free char *faults
      = is_decided && answer->result == MARJORAM_CHANGE_INVALID
                && pending->file.name
            ? find_faults (pending->control, &pending->file)
            : NULL;

  return json_pack (
      "{sssssssssIsIssssss}", "slot", pending->control->slot, "file",
      pending->file.name ? pending->file.name : "", "outcome",
      outcome_name (answer->outcome), "result",
      is_decided ? result_name (answer->result) : "", "number",
      (json_int_t)answer->number, "version", (json_int_t)answer->version,
      "digest", answer->digest ? answer->digest : "", "message",
      answer->message ? answer->message : "", "faults", faults ? faults : "");
}

void
marjoram_control_respond (marjoram_control *control, uint64_t request,
                          const struct marjoram_apply_answer *answer)
{
  struct pending *pending;

  LIST_FOREACH (pending, &control->pending, link)
  if (pending->request == request)
    break;
  if (!pending)
    return;
  marjoram_log (
      MARJORAM_LOG_NOTICE, "control: change completed: %s %s%s%s",
      outcome_name (answer->outcome),
      answer->outcome == MARJORAM_APPLY_DECIDED ? result_name (answer->result)
                                                : "",
      answer->message ? ": " : "", answer->message ? answer->message : "");
  evhttp_connection_set_closecb (evhttp_request_get_connection (pending->req),
                                 NULL, NULL);
  send_json (control, pending->req, pending->nonce, STATUS_OK,
             format_outcome (pending, answer));
  pending_destroy (pending);
}
