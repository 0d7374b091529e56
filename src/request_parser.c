#include "request_parser.h"

#include "cleanup.h"
#include "header.h"

#include <ctype.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>
#include <xxhash.h>

enum
{
  PATH_LENGTH_MAX = 2048,
  DEADLINE_MAX_MS = 24 * 3600 * 1000,
  PREFIX_BYTES = 256,
  BYTES_PER_TOKEN = 4, /* estimate for prompt text */
  DEFAULT_ANSWER_TOKENS = 128,
  SLOTS_MAX = 100000
};

static const char service_path[] = "/v1/services/";

static bool
set_invalid (struct marjoram_error *err, const char *message)
{
  return marjoram_error_set (err, MARJORAM_ERROR_INVALID, "%s", message);
}

static const char *
find_header (struct evhttp_request *request, const char *name)
{
  return evhttp_find_header (evhttp_request_get_input_headers (request), name);
}

static size_t
count_headers (struct evhttp_request *request, const char *name)
{
  return marjoram_header_count (evhttp_request_get_input_headers (request),
                                name, NULL);
}

bool
marjoram_request_parser_check_framing (struct evhttp_request *request,
                                       struct marjoram_error *err)
{
  size_t lengths = count_headers (request, "Content-Length");
  size_t codings = count_headers (request, "Transfer-Encoding");
  const char *coding = find_header (request, "Transfer-Encoding");
  const char *length = find_header (request, "Content-Length");

  /* evhttp uses the first of two lengths and accepts a truncated body.  */
  if (lengths + codings > 1)
    return set_invalid (err,
                        "more than one Content-Length or Transfer-Encoding; "
                        "send exactly one");
  if (coding && strcasecmp (coding, "chunked") != 0)
    return set_invalid (err,
                        "Transfer-Encoding is not chunked; send chunked or a "
                        "Content-Length");
  if (length && strspn (length, "0123456789") != strlen (length))
    return set_invalid (
        err, "Content-Length is not a decimal number; send digits only");
  if (count_headers (request, "Host") != 1)
    return set_invalid (err,
                        "missing or repeated Host header; send exactly one");
  return true;
}

static bool
parse_headers (struct evhttp_request *request, struct marjoram_call *call,
               struct marjoram_error *err)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  struct marjoram_header *items
      = marjoram_alloc (MARJORAM_HEADERS_MAX * sizeof *items);
  struct evkeyval *header;

  call->headers.items = items;
  if (!marjoram_headers_fit_frame (headers))
    return set_invalid (
        err, "too many headers, or a header too long; send at most 64, "
             "names up to 64 and values up to 8192 characters");
  TAILQ_FOREACH (header, headers, next)
  {
    if (!marjoram_header_is_forwarded (header->key))
      continue;
    items[call->headers.count].name = marjoram_strdup (header->key);
    items[call->headers.count].value = marjoram_strdup (header->value);
    call->headers.count++;
  }
  return true;
}

static const char *
method_name (struct evhttp_request *request)
{
  switch (evhttp_request_get_command (request))
    {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    default:
      return "POST";
    }
}

static bool
is_valid_key (const char *key)
{
  size_t length = strlen (key);

  return length > 0 && length <= MARJORAM_KEY_MAX
         && strspn (key, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                         "0123456789._-")
                == length;
}

/* Parses a "yes" or "no" header; FALLBACK if it is missing.  */
static bool
parse_yes_no (struct evhttp_request *request, const char *name, bool fallback,
              bool *value, struct marjoram_error *err)
{
  const char *word = find_header (request, name);

  *value = fallback;
  if (!word)
    return true;
  *value = strcasecmp (word, "yes") == 0;
  if (*value || strcasecmp (word, "no") == 0)
    return true;
  return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                             "%s is neither yes nor no; send one of them",
                             name);
}

static bool
parse_deadline (struct evhttp_request *request, struct marjoram_call *call,
                struct marjoram_error *err)
{
  const char *text = find_header (request, "Marjoram-Deadline-Ms");
  char *end;

  if (!text)
    return true;
  call->deadline_ms = strtoll (text, &end, 10);
  if (*text && !*end && call->deadline_ms > 0
      && call->deadline_ms <= DEADLINE_MAX_MS)
    return true;
  return set_invalid (
      err, "Marjoram-Deadline-Ms is not a number from 1 to 86400000");
}

static bool
parse_class (struct evhttp_request *request, struct marjoram_call *call,
             struct marjoram_error *err)
{
  const char *word = find_header (request, "Marjoram-Class");

  if (!word || strcmp (word, "interactive") == 0)
    return true;
  call->class = MARJORAM_CLASS_OVERNIGHT;
  if (strcmp (word, "overnight") == 0)
    return true;
  return set_invalid (err,
                      "Marjoram-Class is neither interactive nor overnight");
}

static bool
parse_call_headers (struct evhttp_request *request, struct marjoram_call *call,
                    struct marjoram_error *err)
{
  const char *key = find_header (request, "Idempotency-Key");
  bool resend;

  if (count_headers (request, "Idempotency-Key") > 1
      || (key && !is_valid_key (key)))
    return set_invalid (err,
                        "Idempotency-Key must be a single key of 1 to 128 "
                        "characters A-Za-z0-9._-; get its prefix from "
                        "GET /v1/entries");
  if (key)
    call->key = marjoram_strdup (key);
  if (!parse_yes_no (request, "Marjoram-Idempotent", true, &call->idempotent,
                     err)
      || !parse_yes_no (request, "Marjoram-Resend", true, &resend, err))
    return false;
  call->first_sending = !resend;
  return parse_class (request, call, err)
         && parse_deadline (request, call, err);
}

static void
parse_token (struct evhttp_request *request, struct marjoram_call *call)
{
  static const char scheme[] = "Bearer ";
  const char *value = find_header (request, "Authorization");

  if (value && strncasecmp (value, scheme, strlen (scheme)) == 0)
    value += strlen (scheme);
  else
    value = "";
  call->token = marjoram_strdup (value);
}

/* ---- Model requests.  ---- */

/* Prefix and total size of a prompt, from "prompt" or from the contents of
   "messages".  */
struct prompt
{
  char start[PREFIX_BYTES];
  size_t start_size;
  size_t size;
};

static void
add_prompt_text (struct prompt *prompt, json_t *text)
{
  size_t size = json_string_length (text);
  size_t room = PREFIX_BYTES - prompt->start_size;
  size_t part = size < room ? size : room;

  if (!json_is_string (text))
    return;
  memcpy (prompt->start + prompt->start_size, json_string_value (text), part);
  prompt->start_size += part;
  prompt->size += size;
}

static void
read_prompt (json_t *root, struct prompt *prompt)
{
  json_t *messages = json_object_get (root, "messages");
  json_t *message;
  size_t i;

  add_prompt_text (prompt, json_object_get (root, "prompt"));
  json_array_foreach (messages, i, message)
  {
    add_prompt_text (prompt, json_object_get (message, "content"));
  }
}

static bool
parse_model_request (struct marjoram_call *call, struct marjoram_error *err)
{
  json_error_t fault;
  json_t *root = json_loadb ((const char *)marjoram_bytes_data (call->body),
                             marjoram_bytes_size (call->body), 0, &fault);
  json_t *model = json_object_get (root, "model");
  json_t *tokens = json_object_get (root, "max_tokens");
  struct prompt prompt = { 0 };
  bool ok = json_is_string (model)
            && json_string_length (model) <= MARJORAM_NAME_MAX;

  if (!root)
    marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                        "the body is not JSON (%s, line %d); send a JSON "
                        "object",
                        fault.text, fault.line);
  else if (!ok)
    set_invalid (
        err,
        "the body has no valid \"model\"; send {\"model\": \"NAME\", ...}");
  if (ok)
    {
      call->work = marjoram_strdup (json_string_value (model));
      call->stream = json_is_true (json_object_get (root, "stream"));
      read_prompt (root, &prompt);
      call->prompt_tokens = prompt.size / BYTES_PER_TOKEN;
      call->answer_tokens = json_integer_value (tokens) > 0
                                ? (uint64_t)json_integer_value (tokens)
                                : DEFAULT_ANSWER_TOKENS;
      if (prompt.start_size == PREFIX_BYTES)
        call->prefix_hash = XXH64 (prompt.start, PREFIX_BYTES, 0);
    }
  json_decref (root);
  return ok;
}

/* ---- Service requests.  ---- */

static bool
parse_service_request (const char *uri, struct marjoram_call *call,
                       struct marjoram_error *err)
{
  const char *name = uri + strlen (service_path);
  size_t length = strcspn (name, "/?");

  if (length == 0 || length > MARJORAM_NAME_MAX)
    return set_invalid (
        err, "the path has no valid service name; use /v1/services/NAME/...");
  call->work = strndup (name, length);
  if (name[length] == '/')
    call->path = marjoram_strdup (name + length);
  else
    {
      call->path = marjoram_alloc (strlen (name + length) + 2);
      sprintf (call->path, "/%s", name + length);
    }
  return true;
}

static void
copy_body (struct evhttp_request *request, struct marjoram_call *call)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (input);

  call->body = marjoram_bytes_create (
      size ? evbuffer_pullup (input, -1) : NULL, size);
}

static bool
parse_target (struct evhttp_request *request, struct marjoram_call *call,
              struct marjoram_error *err)
{
  const char *uri = evhttp_request_get_uri (request);

  if (strlen (uri) > PATH_LENGTH_MAX)
    return set_invalid (err, "the path is over 2048 characters; shorten it");
  if (strncmp (uri, service_path, strlen (service_path)) == 0)
    return parse_service_request (uri, call, err);
  call->path = marjoram_strdup (uri);
  return parse_model_request (call, err);
}

struct marjoram_call *
marjoram_request_parser_call (struct evhttp_request *request,
                              enum marjoram_reason *reason,
                              struct marjoram_error *err)
{
  struct marjoram_call *call = marjoram_alloc (sizeof *call);

  *reason = MARJORAM_REASON_BAD_REQUEST;
  call->method = marjoram_strdup (method_name (request));
  parse_token (request, call);
  copy_body (request, call);
  if (marjoram_bytes_size (call->body) > MARJORAM_BODY_MAX)
    {
      *reason = MARJORAM_REASON_TOO_LARGE;
      set_invalid (err, "the body is over 16 MiB; send a smaller one");
    }
  else if (parse_headers (request, call, err)
           && parse_call_headers (request, call, err)
           && parse_target (request, call, err))
    return call;
  marjoram_call_destroy (call);
  return NULL;
}

/* ---- Announcements.  ---- */

static bool
parse_string_member (json_t *root, const char *name, char **text,
                     struct marjoram_error *err)
{
  json_t *value = json_object_get (root, name);

  if (!json_is_string (value) || json_string_length (value) == 0
      || json_string_length (value) > MARJORAM_NAME_MAX)
    return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                               "\"%s\" is missing or not a string of 1 to 64 "
                               "characters; see docs/UPSTREAMS.md",
                               name);
  *text = marjoram_strdup (json_string_value (value));
  return true;
}

static bool
parse_integer_member (json_t *root, const char *name, int64_t minimum,
                      int64_t maximum, uint64_t *number,
                      struct marjoram_error *err)
{
  json_t *value = json_object_get (root, name);
  json_int_t n = json_integer_value (value);

  if (!json_is_integer (value) || n < minimum || n > maximum)
    return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                               "\"%s\" is missing or not an integer from "
                               "%lld to %lld; see docs/UPSTREAMS.md",
                               name, (long long)minimum, (long long)maximum);
  *number = (uint64_t)n;
  return true;
}

/* Parses the list of names in MEMBER, which may be empty or missing only if
   OPTIONAL.  */
static bool
parse_names (json_t *root, const char *member, bool optional,
             struct marjoram_array *names, struct marjoram_error *err)
{
  json_t *list = json_object_get (root, member);
  struct marjoram_work_name *items;
  json_t *name;
  size_t i;

  if (!list && optional)
    return true;
  if (!json_is_array (list) || (json_array_size (list) == 0 && !optional)
      || json_array_size (list) > MARJORAM_UPSTREAM_WORKS_MAX)
    return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                               "\"%s\" is not a list of at most 32 names; "
                               "see docs/UPSTREAMS.md",
                               member);
  items = marjoram_alloc (json_array_size (list) * sizeof *items);
  names->items = items;
  json_array_foreach (list, i, name)
  {
    if (!json_is_string (name)
        || json_string_length (name) > MARJORAM_NAME_MAX)
      return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                                 "\"%s\" contains an invalid name; "
                                 "see docs/UPSTREAMS.md",
                                 member);
    items[i].name = marjoram_strdup (json_string_value (name));
    names->count++;
  }
  return true;
}

/* "works" may be empty for an engine with loadable models only.  */
static bool
parse_works (json_t *root, struct marjoram_announcement *a,
             struct marjoram_error *err)
{
  return parse_names (root, "loadable", true, &a->loadable, err)
         && parse_names (root, "works", a->loadable.count > 0, &a->works, err);
}

static bool
parse_kind (json_t *root, struct marjoram_announcement *a,
            struct marjoram_error *err)
{
  const char *kind = json_string_value (json_object_get (root, "kind"));

  a->engine = kind && strcmp (kind, "engine") == 0;
  a->fences = json_is_true (json_object_get (root, "fences"));
  if (a->engine || (kind && strcmp (kind, "service") == 0))
    return true;
  return set_invalid (err, "\"kind\" is neither engine nor service; see "
                           "docs/UPSTREAMS.md");
}

static bool
parse_address (json_t *root, struct marjoram_announcement *a,
               struct marjoram_error *err)
{
  struct sockaddr_storage address;
  int size = sizeof address;

  if (!parse_string_member (root, "address", &a->address, err))
    return false;
  if (evutil_parse_sockaddr_port (a->address, (struct sockaddr *)&address,
                                  &size)
          == 0
      && strchr (a->address, ':'))
    return true;
  return set_invalid (
      err, "\"address\" is not IP:port; host names are not resolved");
}

static bool
parse_announcement (json_t *root, struct marjoram_announcement *a,
                    struct marjoram_error *err)
{
  return parse_string_member (root, "name", &a->name, err)
         && parse_string_member (root, "zone", &a->zone, err)
         && parse_address (root, a, err) && parse_kind (root, a, err)
         && parse_works (root, a, err)
         && parse_integer_member (root, "incarnation", 0, INT64_MAX,
                                  &a->incarnation, err)
         && parse_integer_member (root, "sequence", 0, INT64_MAX, &a->sequence,
                                  err)
         && parse_integer_member (root, "slots", 1, SLOTS_MAX, &a->slots, err)
         && parse_integer_member (root, "lease_ms", MARJORAM_LEASE_MIN_MS,
                                  MARJORAM_LEASE_MAX_MS, &a->lease_ms, err)
         && parse_integer_member (root, "running", 0, INT32_MAX, &a->running,
                                  err)
         && parse_integer_member (root, "waiting", 0, INT32_MAX, &a->waiting,
                                  err);
}

struct marjoram_announcement *
marjoram_request_parser_announcement (struct evhttp_request *request,
                                      struct marjoram_error *err)
{
  struct marjoram_announcement *a = marjoram_alloc (sizeof *a);
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (input);
  json_t *root = size ? json_loadb ((const char *)evbuffer_pullup (input, -1),
                                    size, 0, NULL)
                      : NULL;
  bool ok = root ? parse_announcement (root, a, err)
                 : set_invalid (err,
                                "the body is not JSON; see docs/UPSTREAMS.md");

  json_decref (root);
  if (ok)
    return a;
  marjoram_wire_destroy (&marjoram_announcement_layout, a);
  return NULL;
}
