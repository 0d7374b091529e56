#include "control_client.h"

#include "address.h"
#include "cleanup.h"
#include "control_proof.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

enum
{
  MSEC_PER_SEC = 1000,
  USEC_PER_MSEC = 1000,
  STATUS_OK = 200,
  TIME_MAX_BYTES = 32
};

struct exchange
{
  struct event_base *base;
  int status; /* 0: no complete response */
  char proof[MARJORAM_PROOF_TEXT + 1];
  char *body;
  size_t size;
};

static void
handle_response (struct evhttp_request *req, void *context)
{
  struct exchange *exchange = context;
  struct evkeyvalq *headers;
  struct evbuffer *input;
  const char *proof;

  event_base_loopbreak (exchange->base);
  if (!req || evhttp_request_get_response_code (req) == 0)
    return;
  headers = evhttp_request_get_input_headers (req);
  input = evhttp_request_get_input_buffer (req);
  proof = evhttp_find_header (headers, MARJORAM_CONTROL_PROOF);
  snprintf (exchange->proof, sizeof exchange->proof, "%s", proof ? proof : "");
  exchange->status = evhttp_request_get_response_code (req);
  exchange->size = evbuffer_get_length (input);
  exchange->body = marjoram_alloc (exchange->size + 1);
  evbuffer_remove (input, exchange->body, exchange->size);
}

static void
handle_timeout (evutil_socket_t fd, short what, void *base)
{
  (void)fd;
  (void)what;
  event_base_loopbreak (base);
}

static struct timeval
to_timeval (int64_t ms)
{
  return (struct timeval){ .tv_sec = ms / MSEC_PER_SEC,
                           .tv_usec = ms % MSEC_PER_SEC * USEC_PER_MSEC };
}

static struct evhttp_connection *
create_connection (struct event_base *base, const char *address)
{
  char ip[MARJORAM_IP_MAX] = "";
  uint16_t port = 0;

  marjoram_address_split (address, ip, &port);
  return evhttp_connection_base_new (base, NULL, ip, port);
}

/* Sends CALL and waits for the response.  Timestamp and proof are sent unless
   PROOF is null.  */
static void
run_exchange (struct exchange *exchange,
              const struct marjoram_control_target *target,
              const struct marjoram_control_call *call, const char *proof)
{
  struct event_base *base = event_base_new ();
  struct evhttp_connection *connection
      = create_connection (base, target->address);
  struct evhttp_request *req = evhttp_request_new (handle_response, exchange);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (req);
  struct timeval timeout = to_timeval (target->timeout_ms);
  char time[TIME_MAX_BYTES];

  exchange->base = base;
  snprintf (time, sizeof time, "%" PRId64, call->sent);
  evhttp_add_header (headers, "Host", target->address);
  evhttp_add_header (headers, "Connection", "close");
  evhttp_add_header (headers, MARJORAM_CONTROL_NONCE, call->nonce);
  if (proof)
    {
      evhttp_add_header (headers, MARJORAM_CONTROL_TIME, time);
      evhttp_add_header (headers, MARJORAM_CONTROL_PROOF, proof);
    }
  evbuffer_add (evhttp_request_get_output_buffer (req), call->body,
                call->size);
  event_base_once (base, -1, EV_TIMEOUT, handle_timeout, base, &timeout);
  evhttp_make_request (connection, req,
                       strcmp (call->method, "GET") == 0 ? EVHTTP_REQ_GET
                                                         : EVHTTP_REQ_POST,
                       call->target);
  event_base_dispatch (base);
  evhttp_connection_free (connection);
  event_base_free (base);
}

/* Verifies that the response was signed for this call.  */
static bool
verify_reply (const struct exchange *exchange,
              const struct marjoram_control_target *target, const char *slot,
              const char *nonce)
{
  struct marjoram_control_reply reply
      = { slot, nonce, exchange->status, exchange->body, exchange->size };
  char expected[MARJORAM_PROOF_TEXT + 1];

  marjoram_control_reply_sign (target->secret, &reply, expected);
  return marjoram_control_proof_equal (exchange->proof, expected);
}

static bool
parse_hello (const struct exchange *exchange,
             const struct marjoram_control_target *target, const char *nonce,
             char **slot, int64_t *time, struct marjoram_error *err)
{
  json_t *hello = json_loadb (exchange->body, exchange->size, 0, NULL);
  const char *name = json_string_value (json_object_get (hello, "slot"));
  bool valid = exchange->status == STATUS_OK && name
               && verify_reply (exchange, target, name, nonce);

  if (valid)
    {
      *slot = marjoram_strdup (name);
      *time = json_integer_value (json_object_get (hello, "time"));
    }
  json_decref (hello);
  return valid
         || marjoram_error_set (
             err, MARJORAM_ERROR_REFUSED,
             "%s doesn't prove knowledge of the owner's secret; check "
             "--secret-file and the address",
             target->address);
}

/* Fetches the host's slot and time, which calls are signed with.  */
static bool
fetch_hello (const struct marjoram_control_target *target, char **slot,
             int64_t *time, struct marjoram_error *err)
{
  char nonce[MARJORAM_NONCE_TEXT + 1];
  struct marjoram_control_call call = { .method = "GET",
                                        .target = MARJORAM_CONTROL_HELLO,
                                        .nonce = nonce,
                                        .body = "" };
  struct exchange exchange = { 0 };
  bool valid;

  marjoram_control_nonce_generate (nonce);
  run_exchange (&exchange, target, &call, NULL);
  if (exchange.status)
    valid = parse_hello (&exchange, target, nonce, slot, time, err);
  else
    valid = marjoram_error_set (
        err, MARJORAM_ERROR_IO,
        "no answer from %s; check the address and that marjoramd is running, "
        "or use another host",
        target->address);
  free (exchange.body);
  return valid;
}

enum marjoram_control_result
marjoram_control_request (const struct marjoram_control_target *target,
                          const char *method, const char *path,
                          const char *body,
                          struct marjoram_control_answer *answer,
                          struct marjoram_error *err)
{
  char nonce[MARJORAM_NONCE_TEXT + 1];
  char proof[MARJORAM_PROOF_TEXT + 1];
  struct marjoram_control_call call = { .method = method,
                                        .target = path,
                                        .nonce = nonce,
                                        .body = body ? body : "",
                                        .size = body ? strlen (body) : 0 };
  struct exchange exchange = { 0 };

  memset (answer, 0, sizeof *answer);
  if (!fetch_hello (target, &answer->slot, &call.sent, err))
    return MARJORAM_CONTROL_UNREACHED;
  call.slot = answer->slot;
  marjoram_control_nonce_generate (nonce);
  marjoram_control_call_sign (target->secret, &call, proof);
  run_exchange (&exchange, target, &call, proof);
  answer->status = exchange.status;
  answer->body = exchange.body;
  answer->size = exchange.size;
  if (exchange.status && verify_reply (&exchange, target, answer->slot, nonce))
    return MARJORAM_CONTROL_ANSWERED;
  marjoram_error_set (err, MARJORAM_ERROR_TIMEOUT,
                      "no authenticated response from %s within "
                      "%" PRId64 " ms; the call may have been executed",
                      target->address, target->timeout_ms);
  return MARJORAM_CONTROL_UNKNOWN;
}

void
marjoram_control_answer_clear (struct marjoram_control_answer *answer)
{
  free (answer->slot);
  free (answer->body);
  memset (answer, 0, sizeof *answer);
}
