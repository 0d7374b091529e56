#include "lib_gateway.h"

#include "cleanup.h"
#include "platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ATTEMPT_ID "Marjoramproxy-Attempt-Id: "

enum
{
  LONG_AGO_MS = -60000,
  FORWARDED_PATIENCE_MS = 3000
};

/* clang-format off */
static const char config[] =
  "{\"version\":3,\"routes\":["
  "{\"name\":\"flip\",\"host\":\"a.example\",\"path_prefix\":\"/flip/\","
  " \"kind\":\"non_idempotent\",\"service\":\"app\",\"timeout_ms\":1500,"
  " \"target_latency_ms\":300,\"max_attempts\":1},"
  "{\"name\":\"get\",\"host\":\"a.example\",\"path_prefix\":\"/get/\","
  " \"kind\":\"idempotent\",\"service\":\"app\",\"timeout_ms\":1500,"
  " \"target_latency_ms\":300,\"max_attempts\":2},"
  "{\"name\":\"ask\",\"host\":\"a.example\",\"path_prefix\":\"/ask/\","
  " \"kind\":\"streaming\",\"service\":\"lm\",\"timeout_ms\":8000,"
  " \"target_latency_ms\":800,\"max_attempts\":2,\"resumable\":true},"
  "{\"name\":\"digest\",\"host\":\"a.example\",\"path_prefix\":\"/digest/\","
  " \"kind\":\"streaming\",\"service\":\"lm\",\"timeout_ms\":5000,"
  " \"target_latency_ms\":1000,\"max_attempts\":1,\"resumable\":false},"
  "{\"name\":\"home\",\"host\":\"a.example\",\"path_prefix\":\"/home/\","
  " \"kind\":\"streaming\",\"service\":\"lm\",\"timeout_ms\":5000,"
  " \"target_latency_ms\":1000,\"max_attempts\":2,\"resumable\":true,"
  " \"home_regions\":[\"r2\"]},"
  "{\"name\":\"open\",\"host\":\"a.example\",\"path_prefix\":\"/open/\","
  " \"kind\":\"idempotent\",\"service\":\"app\",\"timeout_ms\":1500,"
  " \"target_latency_ms\":300,\"max_attempts\":2,\"public\":true}],"
  "\"services\":["
  "{\"name\":\"lm\",\"health_path\":\"/h\","
  " \"engine\":{\"slots\":64,\"kv_capacity\":250000}},"
  "{\"name\":\"app\",\"health_path\":\"/h\"}],"
  "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
  " \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";
static const char customers[] =
  ",\"tenants\":["
  "{\"name\":\"c1\",\"api_keys\":[\"%s\"],\"priority\":3},"
  "{\"name\":\"far\",\"api_keys\":[\"key-far\"],\"home_regions\":[\"r2\"]},"
  "{\"name\":\"near\",\"api_keys\":[\"key-near\"],\"home_regions\":[\"r1\"]},"
  "{\"name\":\"limited\",\"api_keys\":[\"key-quota\"],\"unit\":\"tokens\","
  " \"rate_per_s\":1000,\"burst\":1000,\"plain_tokens\":200}]";
/* clang-format on */

static void
op_head (void *context, uint64_t call, int status,
         const struct marjoram_header_list *headers, int64_t length)
{
  struct gateway_seen *seen = &((struct gateway_fixture *)context)->seen;

  (void)call;
  (void)headers;
  seen->heads++;
  seen->status = status;
  seen->length = length;
}

static void
op_data (void *context, uint64_t call, const void *data, size_t size)
{
  struct gateway_seen *seen = &((struct gateway_fixture *)context)->seen;

  (void)call;
  if (size == 0)
    return;
  strncat (seen->body, data,
           size < sizeof seen->body - 1 - strlen (seen->body)
               ? size
               : sizeof seen->body - 1 - strlen (seen->body));
}

static void
op_end (void *context, uint64_t call)
{
  (void)call;
  ((struct gateway_fixture *)context)->seen.ends++;
}

static void
op_abort (void *context, uint64_t call)
{
  (void)call;
  ((struct gateway_fixture *)context)->seen.cuts++;
}

static void
op_failure (void *context, uint64_t call,
            const struct marjoram_request_failure *why)
{
  struct gateway_seen *seen = &((struct gateway_fixture *)context)->seen;

  (void)call;
  seen->refusals++;
  seen->why = *why;
}

static void
op_send (void *context, const struct marjoram_http_send *send,
         struct marjoram_http_connection_info *info)
{
  struct gateway_seen *seen = &((struct gateway_fixture *)context)->seen;

  (void)info;
  seen->sends++;
  seen->forwarded = false;
  seen->attempt = send->attempt;
  seen->fresh_only = send->fresh_only;
  snprintf (seen->id, sizeof seen->id, "%s", send->id ? send->id : "");
  snprintf (seen->address, sizeof seen->address, "%s", send->address);
  snprintf (seen->message, sizeof seen->message, "%.*s",
            (int)marjoram_bytes_size (send->message),
            (const char *)marjoram_bytes_data (send->message));
  sscanf (strstr (seen->message, ATTEMPT_ID), ATTEMPT_ID "%31[^\r]",
          seen->ids[send->attempt % GATEWAY_IDS_MAX]);
}

static void
op_cancel (void *context, uint64_t attempt)
{
  (void)attempt;
  ((struct gateway_fixture *)context)->seen.cancels++;
}

static bool
op_reaches (void *context, const char *host)
{
  const struct gateway_fixture *f = context;

  return f->link_up && strcmp (host, f->unreachable_host) != 0;
}

static bool
op_forward (void *context, const char *host,
            const struct marjoram_forward *forward)
{
  struct gateway_fixture *f = context;
  const struct marjoram_header *headers = forward->headers.items;

  if (!f->link_up)
    return false;
  f->seen.forwards++;
  f->seen.forwarded = true;
  snprintf (f->seen.service, sizeof f->seen.service, "%s",
            forward->service ? forward->service : "");
  f->seen.has_build = forward->build != NULL;
  snprintf (f->seen.build, sizeof f->seen.build, "%s",
            forward->build ? forward->build : "");
  f->seen.attempt = forward->request;
  f->seen.budget_ms = forward->budget_ms;
  snprintf (f->seen.host, sizeof f->seen.host, "%s", host);
  f->seen.last_event[0] = '\0';
  snprintf (f->seen.customer, sizeof f->seen.customer, "%s",
            forward->caller ? forward->caller : "");
  for (size_t i = 0; i < forward->headers.count; i++)
    if (strcmp (headers[i].name, "Last-Event-Id") == 0)
      snprintf (f->seen.last_event, sizeof f->seen.last_event, "%s",
                headers[i].value);
  return true;
}

static void
op_cancel_forward (void *context, const char *host, uint64_t attempt)
{
  (void)host;
  op_cancel (context, attempt);
}

static int64_t
op_lag_ms (void *context)
{
  return ((const struct gateway_fixture *)context)->lag_ms;
}

static size_t
op_keepers (void *context, const char *names[MARJORAM_QUOTA_KEEPERS_MAX])
{
  (void)context;
  names[0] = "keeper";
  return 1;
}

static void
op_ask_quota (void *context, const char *keeper,
              const struct marjoram_quota_ask *ask)
{
  struct gateway_seen *seen = &((struct gateway_fixture *)context)->seen;

  (void)keeper;
  seen->asks++;
  seen->asked_at = ask->asked_at;
  seen->asked_units = ask->units;
}

static void
op_tell_origin (void *context, const char *id,
                const struct marjoram_stream_origin *origin, int64_t keep_ms)
{
  struct gateway_seen *seen = &((struct gateway_fixture *)context)->seen;

  seen->told++;
  snprintf (seen->told_id, sizeof seen->told_id, "%s", id);
  snprintf (seen->told_build, sizeof seen->told_build, "%s", origin->build);
  snprintf (seen->told_service, sizeof seen->told_service, "%s",
            origin->service ? origin->service : "");
  seen->keep_ms = keep_ms;
}

static size_t
op_ask_origin (void *context, uint64_t call, const char *id)
{
  struct gateway_fixture *f = context;

  (void)call;
  snprintf (f->seen.asked_id, sizeof f->seen.asked_id, "%s", id);
  return f->keepers;
}

static size_t
op_ask_only_build (void *context, uint64_t call, const char *service,
                   int64_t for_ms)
{
  struct gateway_fixture *f = context;

  f->seen.only_asks++;
  f->seen.only_call = call;
  f->seen.only_for_ms = for_ms;
  snprintf (f->seen.only_service, sizeof f->seen.only_service, "%s", service);
  return f->keepers;
}

static void
op_open_probe (void *context, uint64_t probe, const char *address,
               int64_t timeout_ms)
{
  struct gateway_seen *seen = &((struct gateway_fixture *)context)->seen;

  (void)timeout_ms;
  if (seen->probes == GATEWAY_PROBES_MAX)
    abort ();
  seen->probe[seen->probes].number = probe;
  snprintf (seen->probe[seen->probes].address,
            sizeof seen->probe[seen->probes].address, "%s", address);
  seen->probes++;
}

static void
op_report_dark (void *context, const struct marjoram_dark_report *report)
{
  struct gateway_seen *seen = &((struct gateway_fixture *)context)->seen;
  const struct marjoram_dark_item *items = report->items.items;

  seen->dark_reports++;
  seen->dark_items += report->items.count;
  snprintf (seen->dark, sizeof seen->dark, "%s", items[0].upstream);
}

static const struct marjoram_gateway_ops ops = {
  .reply_head = op_head,
  .reply_data = op_data,
  .reply_end = op_end,
  .reply_abort = op_abort,
  .reply_failure = op_failure,
  .send = op_send,
  .cancel = op_cancel,
  .reaches = op_reaches,
  .forward = op_forward,
  .cancel_forward = op_cancel_forward,
  .lag_ms = op_lag_ms,
  .keepers = op_keepers,
  .ask_quota = op_ask_quota,
  .tell_origin = op_tell_origin,
  .ask_origin = op_ask_origin,
  .ask_only_build = op_ask_only_build,
  .open_probe = op_open_probe,
  .report_dark = op_report_dark,
};

static const char *
region_of (void *context, const char *zone)
{
  (void)context;
  return strcmp (zone, "z1") == 0 ? "r1" : "r2";
}

static bool
is_evacuated (void *context, const char *zone)
{
  const struct gateway_fixture *f = context;

  (void)zone;
  return f->evacuated;
}

static bool
is_leaving (void *context, const char *zone)
{
  const struct gateway_fixture *f = context;

  (void)zone;
  return f->leaving;
}

static void
add_upstream (struct gateway_fixture *f, const char *id, const char *service,
              const char *address)
{
  struct marjoram_upstream_heartbeat heartbeat
      = { .started_at = 1, .sequence = 1, .ends_ms = -1, .slots = 4 };

  snprintf (heartbeat.id, sizeof heartbeat.id, "%s", id);
  snprintf (heartbeat.service, sizeof heartbeat.service, "%s", service);
  snprintf (heartbeat.address, sizeof heartbeat.address, "%s", address);
  snprintf (heartbeat.zone, sizeof heartbeat.zone, "z1");
  marjoram_registry_update (f->registry, 0, &heartbeat, 0);
}

static void
report_host (struct gateway_fixture *f, const char *name, const char *region,
             const char *build, uint64_t sequence)
{
  const marjoram_build_set builds = marjoram_build_set_of (build);
  struct marjoram_host_offer offers[] = { { (char *)"lm", 2, 5, 0, builds },
                                          { (char *)"app", 1, 5, 0, builds } };
  struct marjoram_host_beat heartbeat = { .name = (char *)name,
                                          .zone = (char *)region,
                                          .region = (char *)region,
                                          .entry = (char *)name,
                                          .ready = true,
                                          .incarnation = 1,
                                          .sequence = sequence,
                                          .offers = { offers, 2 } };

  marjoram_host_list_update (f->hosts, 0, &heartbeat, true);
}

static void
add_host (struct gateway_fixture *f, const char *name, const char *region)
{
  report_host (f, name, region, "", 1);
}

void
gateway_fixture_offer (struct gateway_fixture *f, const char *name,
                       const char *build)
{
  report_host (f, name, "r2", build, 2);
}

static void
open_fixture (struct gateway_fixture *f, int64_t created_at, bool listed,
              int64_t key_lease_ms)
{
  struct marjoram_gateway_options options = {
    .dialect = marjoram_platform_dialect (),
    .repeats = { 0.2, 10, 10000 },
    .key_lease_ms = key_lease_ms,
  };

  memset (f, 0, sizeof *f);
  f->registry = marjoram_registry_create ();
  f->hosts = marjoram_host_list_create ();
  f->metrics = marjoram_metrics_create ();
  f->link_up = true;
  f->unreachable_host = "far2";
  f->far_build = "";
  f->keepers = 3;
  options.metrics = f->metrics;
  options.place = (struct marjoram_placement_options){
    .registry = f->registry,
    .hosts = f->hosts,
    .host = "h1",
    .region = "r1",
    .region_of = region_of,
    .is_evacuated = is_evacuated,
    .is_leaving = is_leaving,
    .context = f,
  };
  f->gateway = marjoram_gateway_create (&options, &ops, f, created_at);
  add_upstream (f, "u1", "lm", "10.0.0.1:80");
  add_upstream (f, "u2", "lm", "10.0.0.2:80");
  add_upstream (f, "p1", "app", "10.0.0.3:80");
  if (listed)
    add_host (f, "h1", "r1");
  add_host (f, "far1", "r2");
  add_host (f, "far2", "r2");
}

void
gateway_fixture_open (struct gateway_fixture *f)
{
  open_fixture (f, LONG_AGO_MS, true, 0);
}

void
gateway_fixture_open_at (struct gateway_fixture *f, int64_t created_at)
{
  open_fixture (f, created_at, true, 0);
}

void
gateway_fixture_open_unlisted (struct gateway_fixture *f)
{
  open_fixture (f, LONG_AGO_MS, false, 0);
}

void
gateway_fixture_check_upstreams (struct gateway_fixture *f, bool check)
{
  const struct marjoram_load_features load = { .check_upstreams = check };

  marjoram_gateway_set_load (f->gateway, &load);
}

void
gateway_fixture_open_leased (struct gateway_fixture *f, int64_t lease_ms)
{
  open_fixture (f, LONG_AGO_MS, true, lease_ms);
}

void
gateway_fixture_close (struct gateway_fixture *f)
{
  marjoram_gateway_destroy (f->gateway);
  marjoram_registry_destroy (f->registry);
  marjoram_host_list_destroy (f->hosts);
  marjoram_metrics_destroy (f->metrics);
  marjoram_route_table_destroy (f->table);
  marjoram_route_table_destroy (f->previous_table);
}

static void
configure (struct gateway_fixture *f, const char *start, const char *more)
{
  struct marjoram_error err = { 0 };
  char text[8192];

  snprintf (text, sizeof text, "%s%s}", start, more);
  marjoram_route_table_destroy (f->previous_table);
  f->previous_table = f->table;
  f->table = marjoram_platform_dialect ()->ops->read_config (
      text, strlen (text), &err);
  if (!f->table)
    {
      fprintf (stderr, "%s\n", err.message);
      abort ();
    }
  marjoram_gateway_set_table (f->gateway, 0, f->table);
}

void
gateway_fixture_configure (struct gateway_fixture *f)
{
  configure (f, config, "");
}

void
gateway_fixture_configure_once (struct gateway_fixture *f)
{
  static const char kind[] = "\"kind\":\"idempotent\"";
  const char *at = strstr (config, kind);
  char text[sizeof config + 8];

  snprintf (text, sizeof text, "%.*s\"kind\":\"non_idempotent\"%s",
            (int)(at - config), config, at + strlen (kind));
  configure (f, text, "");
}

void
gateway_fixture_configure_keys (struct gateway_fixture *f, const char *key)
{
  char text[2048];

  snprintf (text, sizeof text, customers, key);
  configure (f, config, text);
}

void
gateway_fixture_configure_customers (struct gateway_fixture *f)
{
  gateway_fixture_configure_keys (f, "key-1");
}

void
gateway_fixture_restart (struct gateway_fixture *f, int64_t now,
                         const char *id, int64_t started_at)
{
  struct marjoram_upstream_heartbeat heartbeat
      = marjoram_registry_find (f->registry, id)->heartbeat;

  heartbeat.started_at = started_at;
  heartbeat.sequence = 1;
  marjoram_registry_update (f->registry, now, &heartbeat, 0);
}

void
gateway_fixture_build (struct gateway_fixture *f, int64_t now, const char *id,
                       int64_t started_at, const char *build)
{
  struct marjoram_upstream_heartbeat heartbeat
      = marjoram_registry_find (f->registry, id)->heartbeat;

  heartbeat.started_at = started_at;
  heartbeat.sequence++;
  snprintf (heartbeat.build, sizeof heartbeat.build, "%s", build);
  marjoram_registry_update (f->registry, now, &heartbeat, 0);
}

void
gateway_fixture_break (struct gateway_fixture *f, int64_t now)
{
  marjoram_placement_connection_lost (marjoram_gateway_placement (f->gateway),
                                      now, f->seen.address, true);
  gateway_fixture_end (f, now, MARJORAM_HTTP_BROKEN);
}

void
gateway_fixture_leave (struct gateway_fixture *f, int64_t now, const char *id)
{
  struct marjoram_upstream_heartbeat heartbeat
      = marjoram_registry_find (f->registry, id)->heartbeat;

  heartbeat.state = MARJORAM_UPSTREAM_LEAVING;
  heartbeat.sequence++;
  marjoram_registry_update (f->registry, now, &heartbeat, 0);
}

static struct marjoram_http_request *
make_request (struct gateway_fixture *f, const char *path)
{
  struct marjoram_http_request *request = marjoram_alloc (sizeof *request);
  char id[32];

  snprintf (id, sizeof id, "id-%llu", (unsigned long long)++f->calls);
  request->method = marjoram_strdup ("POST");
  request->target = marjoram_strdup (path);
  request->has_body = true;
  request->body = marjoram_bytes_create ("hello", 5);
  marjoram_header_list_add (&request->headers, "Host", "a.example");
  marjoram_header_list_add (&request->headers, "Marjoramproxy-Attempt-Id", id);
  marjoram_header_list_add (&request->headers, "Marjoramproxy-Deadline-Ms",
                            "3000");
  marjoram_header_list_add (&request->headers, "Marjoramproxy-Hold", "x");
  return request;
}

static uint64_t
receive (struct gateway_fixture *f, int64_t now, const char *path,
         bool forwarded, int tokens)
{
  const struct marjoram_forwarded limits
      = { .caller_timeout_ms = FORWARDED_PATIENCE_MS };
  struct marjoram_http_request *request = make_request (f, path);
  char usage[64];

  if (tokens > 0)
    {
      snprintf (usage, sizeof usage, "%d,50", tokens);
      marjoram_header_list_add (&request->headers, "Marjoramproxy-Token-Usage",
                                usage);
    }
  marjoram_gateway_receive (f->gateway, now, f->calls, request,
                            forwarded ? &limits : NULL);
  return f->calls;
}

uint64_t
gateway_fixture_session (struct gateway_fixture *f, int64_t now,
                         const char *path, uint64_t session, int shared)
{
  struct marjoram_http_request *request = make_request (f, path);
  char text[128];

  snprintf (text, sizeof text, "%d,50", shared + 500);
  marjoram_header_list_add (&request->headers, "Marjoramproxy-Token-Usage",
                            text);
  snprintf (text, sizeof text, "%llx:%d,%llx:500", (unsigned long long)session,
            shared, (unsigned long long)f->calls + 1000000);
  marjoram_header_list_add (&request->headers, "Marjoramproxy-Prompt-Prefix",
                            text);
  marjoram_gateway_receive (f->gateway, now, f->calls, request, NULL);
  return f->calls;
}

uint64_t
gateway_fixture_keyed (struct gateway_fixture *f, int64_t now,
                       const char *path, const char *credential)
{
  struct marjoram_http_request *request = make_request (f, path);

  if (credential)
    marjoram_header_list_add (&request->headers, "authorization", credential);
  marjoram_header_list_add (&request->headers, "Marjoramproxy-Tenant",
                            "forged");
  marjoram_gateway_receive (f->gateway, now, f->calls, request, NULL);
  return f->calls;
}

uint64_t
gateway_fixture_forwarded_build (struct gateway_fixture *f, int64_t now,
                                 const char *path, const char *build)
{
  const struct marjoram_forwarded limits
      = { .caller_timeout_ms = FORWARDED_PATIENCE_MS, .build = build };

  marjoram_gateway_receive (f->gateway, now, f->calls + 1,
                            make_request (f, path), &limits);
  return f->calls;
}

uint64_t
gateway_fixture_take_up (struct gateway_fixture *f, int64_t now,
                         const char *path, const char *resumes)
{
  struct marjoram_http_request *request = make_request (f, path);

  marjoram_header_list_add (&request->headers, "Last-Event-Id", "2");
  if (resumes)
    marjoram_header_list_add (&request->headers, "Resumes", resumes);
  marjoram_gateway_receive (f->gateway, now, f->calls, request, NULL);
  return f->calls;
}

uint64_t
gateway_fixture_forwarded_for (struct gateway_fixture *f, int64_t now,
                               const char *path, const char *customer)
{
  const struct marjoram_forwarded limits
      = { .caller_timeout_ms = FORWARDED_PATIENCE_MS, .customer = customer };

  marjoram_gateway_receive (f->gateway, now, f->calls + 1,
                            make_request (f, path), &limits);
  return f->calls;
}

void
gateway_fixture_grant (struct gateway_fixture *f, int64_t now, int64_t units,
                       int64_t wait_ms)
{
  const struct marjoram_quota_grant grant
      = { .customer = (char *)"limited",
          .asked_at = f->seen.asked_at,
          .asked_units = f->seen.asked_units,
          .units = units,
          .wait_ms = wait_ms };

  marjoram_quota_pool_granted (marjoram_gateway_quota_pool (f->gateway), now,
                               "keeper", &grant);
}

uint64_t
gateway_fixture_call (struct gateway_fixture *f, int64_t now, const char *path)
{
  return receive (f, now, path, false, 0);
}

uint64_t
gateway_fixture_prompt (struct gateway_fixture *f, int64_t now,
                        const char *path, int tokens)
{
  return receive (f, now, path, false, tokens);
}

uint64_t
gateway_fixture_forwarded (struct gateway_fixture *f, int64_t now,
                           const char *path)
{
  return receive (f, now, path, true, 0);
}

/* Adds the id of the last attempt's request, as upstreams do.  */
static void
add_own_id (const struct gateway_fixture *f,
            struct marjoram_header_list *headers)
{
  marjoram_header_list_add (headers, "Marjoramproxy-Attempt-Id",
                            f->seen.ids[f->seen.attempt % GATEWAY_IDS_MAX]);
}

static bool
answer_head (struct gateway_fixture *f, int64_t now, int status,
             struct marjoram_header_list *headers)
{
  return f->seen.forwarded
             ? marjoram_gateway_forward_head (f->gateway, now, f->seen.attempt,
                                              status, headers, f->far_build)
             : marjoram_gateway_head (f->gateway, now, f->seen.attempt, status,
                                      headers);
}

bool
gateway_fixture_head (struct gateway_fixture *f, int64_t now, int status,
                      const char *id, bool is_signed, bool not_run)
{
  struct marjoram_header_list headers = { 0 };
  char own[32];
  bool taken;

  snprintf (own, sizeof own, "id-%llu", (unsigned long long)f->calls);
  marjoram_header_list_add (&headers, "Marjoramproxy-Attempt-Id",
                            id ? id : own);
  if (is_signed)
    marjoram_header_list_add (&headers, "Marjoramproxy-Response-Seal", "s");
  if (not_run)
    marjoram_header_list_add (&headers, "Marjoramproxy-Not-Executed", "1");
  taken = answer_head (f, now, status, &headers);
  marjoram_header_list_clear (&headers);
  return taken;
}

bool
gateway_fixture_nameless (struct gateway_fixture *f, int64_t now, int status,
                          const char *name, const char *value)
{
  struct marjoram_header_list headers = { 0 };
  bool taken;

  marjoram_header_list_add (&headers, "Content-Length", "0");
  if (name)
    marjoram_header_list_add (&headers, name, value);
  taken = answer_head (f, now, status, &headers);
  marjoram_header_list_clear (&headers);
  return taken;
}

bool
gateway_fixture_success (struct gateway_fixture *f, int64_t now,
                         const char *name, const char *value)
{
  struct marjoram_header_list headers = { 0 };
  char id[32];
  bool taken;

  snprintf (id, sizeof id, "id-%llu", (unsigned long long)f->calls);
  marjoram_header_list_add (&headers, "Marjoramproxy-Attempt-Id", id);
  marjoram_header_list_add (&headers, "Marjoramproxy-Response-Seal", "s");
  if (name)
    marjoram_header_list_add (&headers, name, value);
  taken = answer_head (f, now, 200, &headers);
  marjoram_header_list_clear (&headers);
  return taken;
}

void
gateway_fixture_data (struct gateway_fixture *f, int64_t now, const char *text)
{
  marjoram_gateway_data (f->gateway, now, f->seen.attempt, text,
                         strlen (text));
}

void
gateway_fixture_end (struct gateway_fixture *f, int64_t now,
                     enum marjoram_http_outcome how)
{
  marjoram_gateway_end (f->gateway, now, f->seen.attempt, how);
}

void
gateway_fixture_refuse (struct gateway_fixture *f, int64_t now, int status,
                        const char *retry_after)
{
  struct marjoram_header_list headers = { 0 };

  add_own_id (f, &headers);
  marjoram_header_list_add (&headers, "Marjoramproxy-Not-Executed", "1");
  if (retry_after)
    marjoram_header_list_add (&headers, "Retry-After", retry_after);
  answer_head (f, now, status, &headers);
  gateway_fixture_end (f, now, MARJORAM_HTTP_COMPLETE);
  marjoram_header_list_clear (&headers);
}
