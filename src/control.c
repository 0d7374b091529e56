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
  HEADERS_BYTES_MAX = 16 * 1024,
  /* Longer than any apply takes to be answered.  */
  CONNECTION_TIMEOUT_S = 120,
  STATUS_OK = 200,
  STATUS_BAD = 400,
  STATUS_UNPROVED = 401,
  STATUS_NOT_FOUND = 404,
  STATUS_BUSY = 503
};

/* A call that has been read and proved.  */
struct call
{
  struct marjoram_control *control;
  struct evhttp_request *req;
  char nonce[MARJORAM_NONCE_TEXT + 1];
  struct evkeyvalq query;
  char *body; /* NUL-terminated */
  size_t size;
};

/* An apply or a change of keepers that waits for its answer.  */
struct pending
{
  uint64_t request;
  struct marjoram_control *control;
  struct evhttp_request *req;
  char nonce[MARJORAM_NONCE_TEXT + 1];
  struct marjoram_file file; /* empty for a change of keepers */
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

  marjoram_control_reply_prove (control->secret, &reply, proof);
  evhttp_add_header (headers, MARJORAM_CONTROL_PROOF, proof);
  evhttp_add_header (headers, "Content-Type", type);
  evhttp_add_header (headers, "Connection", "close");
  evbuffer_add (body, text, reply.size);
  evhttp_send_reply (req, status, NULL, body);
  evbuffer_free (body);
}

/* Takes over OBJECT.  */
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
refuse (marjoram_control *control, struct evhttp_request *req,
        const char *nonce, int status, const char *kind, const char *message)
{
  marjoram_log (MARJORAM_LOG_WARNING, "control: %s refused: %s",
                evhttp_request_get_uri (req), message);
  send_json (
      control, req, nonce, status,
      json_pack ("{s{ssss}}", "error", "kind", kind, "message", message));
}

static void
refuse_call (struct call *call, const char *message)
{
  refuse (call->control, call->req, call->nonce, STATUS_BAD, "invalid",
          message);
}

static void
answer (struct call *call, json_t *object)
{
  send_json (call->control, call->req, call->nonce, STATUS_OK, object);
}

static const char *
parameter (struct call *call, const char *name)
{
  return evhttp_find_header (&call->query, name);
}

static void
do_status (struct call *call)
{
  answer (call, call->control->ops->status (call->control->context));
}

static void
do_upstreams (struct call *call)
{
  answer (call, call->control->ops->upstreams (call->control->context));
}

static void
do_counters (struct call *call)
{
  marjoram_auto_free char *text
      = call->control->ops->counters (call->control->context);

  send_text (call->control, call->req, call->nonce, STATUS_OK, "text/plain",
             text);
}

static bool
read_whole (const char *text, int64_t *value)
{
  char *end;

  errno = 0;
  *value = strtoll (text, &end, 10);
  return errno == 0 && end > text && *end == 0 && *value >= 0;
}

static void
do_explain (struct call *call)
{
  const char *deadline = parameter (call, "deadline_ms");
  const char *tokens = parameter (call, "prompt_tokens");
  struct marjoram_explain_query query = { .caller = parameter (call, "caller"),
                                          .work = parameter (call, "work"),
                                          .class = parameter (call, "class") };
  int64_t prompt_tokens;

  if (!query.caller || !query.work || !query.class || !deadline || !tokens)
    refuse_call (call, "caller, work, class, deadline_ms and prompt_tokens "
                       "are needed; give them all");
  else if (strcmp (query.class, "interactive") != 0
           && strcmp (query.class, "overnight") != 0)
    refuse_call (call, "unknown class; give interactive or overnight");
  else if (!read_whole (deadline, &query.deadline_ms)
           || !read_whole (tokens, &prompt_tokens))
    refuse_call (call, "deadline_ms and prompt_tokens must be whole numbers; "
                       "mend them");
  else
    {
      query.prompt_tokens = (uint64_t)prompt_tokens;
      answer (call,
              call->control->ops->explain (call->control->context, &query));
    }
}

static bool
read_file (struct call *call, struct marjoram_file *file)
{
  struct marjoram_error err;

  if (marjoram_config_file_parse ("file", call->body, call->size, file, &err))
    return true;
  refuse_call (call, err.message);
  return false;
}

/* The faults that the configuration in force would have with FILE put in;
   null if none.  */
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
do_diff (struct call *call)
{
  marjoram_control *control = call->control;
  const struct marjoram_state *state = control->ops->state (control->context);
  const struct marjoram_file *held = NULL;
  struct marjoram_file file = { 0 };
  marjoram_auto_free char *faults = NULL;
  marjoram_auto_free char *changes = NULL;

  if (!read_file (call, &file))
    return;
  if (state)
    held = marjoram_state_file (state, file.name);
  faults = find_faults (control, &file);
  changes = marjoram_config_file_diff (held ? held->text : NULL, file.text);
  answer (call,
          json_pack ("{sssIsssIsssbssss}", "file", file.name, "version",
                     (json_int_t)file.version, "digest", file.digest,
                     "version_in_force", held ? (json_int_t)held->version : 0,
                     "digest_in_force", held ? held->digest : "", "valid",
                     !faults, "faults", faults ? faults : "", "changes",
                     changes));
  marjoram_wire_clear (&marjoram_file_layout, &file);
}

static void
forget (struct pending *pending)
{
  LIST_REMOVE (pending, link);
  marjoram_wire_clear (&marjoram_file_layout, &pending->file);
  free (pending);
}

static void
connection_closed (struct evhttp_connection *connection, void *context)
{
  (void)connection;
  forget (context);
}

static struct pending *
hold (struct call *call)
{
  marjoram_control *control = call->control;
  struct pending *pending = marjoram_alloc (sizeof *pending);

  pending->request = ++control->last_request;
  pending->control = control;
  pending->req = call->req;
  memcpy (pending->nonce, call->nonce, sizeof pending->nonce);
  LIST_INSERT_HEAD (&control->pending, pending, link);
  evhttp_connection_set_closecb (evhttp_request_get_connection (call->req),
                                 connection_closed, pending);
  return pending;
}

static void
do_apply (struct call *call)
{
  marjoram_control *control = call->control;
  const char *id = parameter (call, "change_id");
  struct marjoram_file file = { 0 };
  struct pending *pending;

  if (!id || !marjoram_name_valid (id, true))
    {
      refuse_call (call, "change_id is missing or no name; use letters, "
                         "digits and ._-, at most 48");
      return;
    }
  if (!read_file (call, &file))
    return;
  marjoram_log (MARJORAM_LOG_NOTICE,
                "control: apply %s version %" PRIu64 " change %s", file.name,
                file.version, id);
  pending = hold (call);
  pending->file = file;
  /* The answer may come before this returns and free PENDING.  */
  control->ops->apply (control->context, pending->request, id, &pending->file);
}

static void
do_replace (struct call *call)
{
  marjoram_control *control = call->control;
  const char *id = parameter (call, "change_id");
  const char *old = parameter (call, "old");
  const char *new = parameter (call, "new");

  if (!id || !old || !new || !marjoram_name_valid (id, true)
      || !marjoram_name_valid (old, false)
      || !marjoram_name_valid (new, false))
    {
      refuse_call (call, "change_id, old and new are needed, each a name; "
                         "give the slots of the old and the new keeper");
      return;
    }
  marjoram_log (MARJORAM_LOG_NOTICE, "control: keeper %s to %s, change %s",
                old, new, id);
  control->ops->replace (control->context, hold (call)->request, id, old, new);
}

static void
do_drain (struct call *call)
{
  marjoram_log (MARJORAM_LOG_NOTICE, "control: drain");
  call->control->ops->drain (call->control->context);
  answer (call,
          json_pack ("{sssb}", "slot", call->control->slot, "draining", 1));
}

static const struct command
{
  enum evhttp_cmd_type method;
  const char *path;
  void (*run) (struct call *call);
} commands[] = {
  { EVHTTP_REQ_GET, "/control/status", do_status },
  { EVHTTP_REQ_GET, "/control/upstreams", do_upstreams },
  { EVHTTP_REQ_GET, "/control/counters", do_counters },
  { EVHTTP_REQ_GET, "/control/explain", do_explain },
  { EVHTTP_REQ_POST, "/control/diff", do_diff },
  { EVHTTP_REQ_POST, "/control/apply", do_apply },
  { EVHTTP_REQ_POST, "/control/replace-keeper", do_replace },
  { EVHTTP_REQ_POST, "/control/drain", do_drain },
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

/* Tells the slot and the time that calls have to be signed for.  */
static void
say_hello (marjoram_control *control, struct evhttp_request *req,
           const char *nonce)
{
  int64_t now = marjoram_replays_now (control->replays,
                                      marjoram_clock_wall (control->clock));

  send_json (
      control, req, nonce, STATUS_OK,
      json_pack ("{sssI}", "slot", control->slot, "time", (json_int_t)now));
}

static const char *
replay_fault (enum marjoram_replay_verdict verdict)
{
  switch (verdict)
    {
    case MARJORAM_REPLAY_FRESH:
      return NULL;
    case MARJORAM_REPLAY_EXPIRED:
      return "the call is too old; send it anew, and look whether someone "
             "repeats recorded calls";
    case MARJORAM_REPLAY_EARLY:
      return "the call is from the future; ask for this host's time again";
    case MARJORAM_REPLAY_REUSED:
      return "the call was taken before; send it anew, and look whether "
             "someone repeats recorded calls";
    case MARJORAM_REPLAY_FULL:
      return "too many calls in a minute; wait for a minute";
    }
  return "unknown";
}

/* Whether the call was signed with the owner's secret for this host, just now
   and for the first time; if not, it is refused.  */
static bool
proved (struct call *call)
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

  if (time && read_whole (time, &signed_call.sent))
    {
      marjoram_control_call_prove (control->secret, &signed_call, expected);
      if (marjoram_control_proof_equal (
              evhttp_find_header (headers, MARJORAM_CONTROL_PROOF), expected))
        {
          fault = replay_fault (marjoram_replays_take (
              control->replays, marjoram_clock_wall (control->clock),
              signed_call.sent, call->nonce));
          if (!fault)
            return true;
          refuse (control, call->req, call->nonce, STATUS_UNPROVED, "refused",
                  fault);
          return false;
        }
    }
  if (control->ops->unproved)
    control->ops->unproved (control->context);
  refuse (control, call->req, call->nonce, STATUS_UNPROVED, "refused",
          "not signed with the owner's secret for this host; check "
          "--secret-file and that --host is the host you mean");
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
  if (proved (call))
    {
      if (evhttp_parse_query_str (query ? query : "", &call->query) == 0)
        command->run (call);
      else
        refuse_call (call, "the query can't be read; mend it");
      evhttp_clear_headers (&call->query);
    }
  free (call->body);
}

static void
receive (struct evhttp_request *req, void *context)
{
  struct call call = { .control = context, .req = req };
  const char *nonce = evhttp_find_header (
      evhttp_request_get_input_headers (req), MARJORAM_CONTROL_NONCE);
  const struct command *command = find_command (req);
  const char *uri = evhttp_request_get_uri (req);

  if (!marjoram_control_nonce_valid (nonce))
    refuse (context, req, "", STATUS_BAD, "invalid",
            "no nonce; use marjoramctl");
  else if (strcmp (uri, MARJORAM_CONTROL_HELLO) == 0)
    say_hello (context, req, nonce);
  else if (!command)
    refuse (context, req, nonce, STATUS_NOT_FOUND, "invalid",
            "no such command; use marjoramctl of this host's release");
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
                             "can't listen on control address %s: %s; see "
                             "whether another program has it",
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
  evhttp_set_max_headers_size (control->http, HEADERS_BYTES_MAX);
  evhttp_set_max_body_size (control->http, MARJORAM_FILE_TEXT_MAX);
  evhttp_set_timeout (control->http, CONNECTION_TIMEOUT_S);
  evhttp_set_gencb (control->http, receive, control);
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
  /* Closing the connections forgets what is pending.  */
  evhttp_free (control->http);
  marjoram_replays_destroy (control->replays);
  free (control->slot);
  free (control->secret);
  free (control);
}

static const char *
outcome_word (enum marjoram_apply_outcome outcome)
{
  static const char *const words[] = { "decided", "not-run", "unknown" };

  return words[outcome];
}

static const char *
result_word (enum marjoram_change_result result)
{
  static const char *const words[]
      = { "accepted", "same", "conflict", "stale", "invalid" };

  return words[result];
}

static json_t *
answer_json (struct pending *pending,
             const struct marjoram_apply_answer *given)
{
  bool decided = given->outcome == MARJORAM_APPLY_DECIDED;
  marjoram_auto_free char *faults
      = decided && given->result == MARJORAM_CHANGE_INVALID
                && pending->file.name
            ? find_faults (pending->control, &pending->file)
            : NULL;

  return json_pack (
      "{sssssssssIsIssssss}", "slot", pending->control->slot, "file",
      pending->file.name ? pending->file.name : "", "outcome",
      outcome_word (given->outcome), "result",
      decided ? result_word (given->result) : "", "number",
      (json_int_t)given->number, "version", (json_int_t)given->version,
      "digest", given->digest ? given->digest : "", "message",
      given->message ? given->message : "", "faults", faults ? faults : "");
}

void
marjoram_control_answer (marjoram_control *control, uint64_t request,
                         const struct marjoram_apply_answer *given)
{
  struct pending *pending;

  LIST_FOREACH (pending, &control->pending, link)
  if (pending->request == request)
    break;
  if (!pending)
    return;
  marjoram_log (
      MARJORAM_LOG_NOTICE, "control: change ended: %s %s%s%s",
      outcome_word (given->outcome),
      given->outcome == MARJORAM_APPLY_DECIDED ? result_word (given->result)
                                               : "",
      given->message ? ": " : "", given->message ? given->message : "");
  evhttp_connection_set_closecb (evhttp_request_get_connection (pending->req),
                                 NULL, NULL);
  send_json (control, pending->req, pending->nonce, STATUS_OK,
             answer_json (pending, given));
  forget (pending);
}
