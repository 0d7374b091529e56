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
  TIME_TEXT_MAX = 32
};

/* One HTTP exchange.  */
struct exchange
{
  struct event_base *base;
  int status; /* 0: no whole answer */
  char proof[MARJORAM_PROOF_TEXT + 1];
  char *body;
  size_t size;
};

static void
receive (struct evhttp_request *req, void *context)
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
give_up (evutil_socket_t fd, short what, void *base)
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
connect_to (struct event_base *base, const char *address)
{
  char ip[MARJORAM_IP_MAX] = "";
  uint16_t port = 0;

  marjoram_address_split (address, ip, &port);
  return evhttp_connection_base_new (base, NULL, ip, port);
}

/* CALL's proof goes along unless it is null.  */
static void
exchange_run (struct exchange *exchange,
              const struct marjoram_control_target *target,
              const struct marjoram_control_call *call, const char *proof)
{
  struct event_base *base = event_base_new ();
  struct evhttp_connection *connection = connect_to (base, target->address);
  struct evhttp_request *req = evhttp_request_new (receive, exchange);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (req);
  struct timeval timeout = to_timeval (target->timeout_ms);
  char time[TIME_TEXT_MAX];

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
  event_base_once (base, -1, EV_TIMEOUT, give_up, base, &timeout);
  evhttp_make_request (connection, req,
                       strcmp (call->method, "GET") == 0 ? EVHTTP_REQ_GET
                                                         : EVHTTP_REQ_POST,
                       call->target);
  event_base_dispatch (base);
  evhttp_connection_free (connection);
  event_base_free (base);
}

/* Whether the answer was proved for just this call.  */
static bool
reply_proved (const struct exchange *exchange,
              const struct marjoram_control_target *target, const char *slot,
              const char *nonce)
{
  struct marjoram_control_reply reply
      = { slot, nonce, exchange->status, exchange->body, exchange->size };
  char expected[MARJORAM_PROOF_TEXT + 1];

  marjoram_control_reply_prove (target->secret, &reply, expected);
  return marjoram_control_proof_equal (exchange->proof, expected);
}

static bool
read_hello (const struct exchange *exchange,
            const struct marjoram_control_target *target, const char *nonce,
            char **slot, int64_t *time, struct marjoram_error *err)
{
  json_t *hello = json_loadb (exchange->body, exchange->size, 0, NULL);
  const char *name = json_string_value (json_object_get (hello, "slot"));
  bool good = exchange->status == STATUS_OK && name
              && reply_proved (exchange, target, name, nonce);

  if (good)
    {
      *slot = marjoram_strdup (name);
      *time = json_integer_value (json_object_get (hello, "time"));
    }
  json_decref (hello);
  return good
         || marjoram_error_set (
             err, MARJORAM_ERROR_REFUSED,
             "%s doesn't prove that it has the owner's secret; check "
             "--secret-file and the address",
             target->address);
}

/* The slot and time to sign for.  */
static bool
ask_hello (const struct marjoram_control_target *target, char **slot,
           int64_t *time, struct marjoram_error *err)
{
  char nonce[MARJORAM_NONCE_TEXT + 1];
  struct marjoram_control_call call = { .method = "GET",
                                        .target = MARJORAM_CONTROL_HELLO,
                                        .nonce = nonce,
                                        .body = "" };
  struct exchange exchange = { 0 };
  bool good;

  marjoram_control_nonce_make (nonce);
  exchange_run (&exchange, target, &call, NULL);
  if (exchange.status)
    good = read_hello (&exchange, target, nonce, slot, time, err);
  else
    good = marjoram_error_set (
        err, MARJORAM_ERROR_IO,
        "no answer from %s; check the address and that marjoramd runs there, "
        "or name another host",
        target->address);
  free (exchange.body);
  return good;
}

enum marjoram_control_result
marjoram_control_ask (const struct marjoram_control_target *target,
                      const char *method, const char *path, const char *body,
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
  if (!ask_hello (target, &answer->slot, &call.sent, err))
    return MARJORAM_CONTROL_UNREACHED;
  call.slot = answer->slot;
  marjoram_control_nonce_make (nonce);
  marjoram_control_call_prove (target->secret, &call, proof);
  exchange_run (&exchange, target, &call, proof);
  answer->status = exchange.status;
  answer->body = exchange.body;
  answer->size = exchange.size;
  if (exchange.status && reply_proved (&exchange, target, answer->slot, nonce))
    return MARJORAM_CONTROL_ANSWERED;
  marjoram_error_set (err, MARJORAM_ERROR_TIMEOUT,
                      "%s took the call but gave no whole proved answer in "
                      "%" PRId64 " ms",
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
