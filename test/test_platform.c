/* Tests of parsing and formatting the platform's headers, API calls and
   configuration.  */
#include "suite.h"

#include "platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct marjoram_dialect_ops *dialect;

static void
setup (void)
{
  dialect = marjoram_platform_dialect ()->ops;
}

/* ---- Headers.  ---- */

START_TEST (request_headers_are_parsed)
{
  struct marjoram_header_list headers = { 0 };
  struct marjoram_call_metadata facts;

  marjoram_header_list_add (&headers, "marjoramproxy-attempt-id", "9c41d0");
  marjoram_header_list_add (&headers, "Marjoramproxy-Deadline-Ms", "4000");
  marjoram_header_list_add (&headers, "Marjoramproxy-Token-Usage", "1460,80");
  marjoram_header_list_add (&headers, "Marjoramproxy-Prompt-Prefix",
                            "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  marjoram_header_list_add (&headers, "Marjoramproxy-Length-Hint", "50");
  marjoram_header_list_add (&headers, "Last-Event-Id", "12");
  marjoram_header_list_add (&headers, "Resumes", "9c41cf");
  dialect->read_call (&headers, &facts);
  ck_assert_str_eq (facts.id, "9c41d0");
  ck_assert_int_eq (facts.caller_timeout_ms, 4000);
  ck_assert_int_eq (facts.prompt_tokens, 1460);
  ck_assert_int_eq (facts.answer_tokens_max, 80);
  ck_assert_int_eq (facts.answer_tokens_hint, 50);
  ck_assert_uint_eq (facts.part_count, 3);
  ck_assert_uint_eq (facts.parts[1].id, 0x91bd3f06);
  ck_assert_int_eq (facts.parts[1].tokens, 410);
  ck_assert_str_eq (facts.last_event, "12");
  ck_assert_str_eq (facts.resumes, "9c41cf");
  marjoram_header_list_clear (&headers);
}
END_TEST

/* Guards against a part in the middle of a long prompt being taken for the
   last one.  */
START_TEST (long_prompts_keep_their_last_part)
{
  static const int counts[]
      = { 9, MARJORAM_PROMPT_PARTS_MAX, MARJORAM_PROMPT_PARTS_MAX + 1, 500 };
  const int count = counts[_i];
  const size_t kept = count < MARJORAM_PROMPT_PARTS_MAX
                          ? (size_t)count
                          : (size_t)MARJORAM_PROMPT_PARTS_MAX;
  struct marjoram_header_list headers = { 0 };
  struct marjoram_call_metadata facts;
  char text[8192] = "";

  for (int i = 1; i <= count; i++)
    snprintf (text + strlen (text), sizeof text - strlen (text), "%s%x:%d",
              i > 1 ? "," : "", i, i * 10);
  marjoram_header_list_add (&headers, "Marjoramproxy-Prompt-Prefix", text);
  dialect->read_call (&headers, &facts);
  ck_assert_uint_eq (facts.part_count, kept);
  ck_assert_uint_eq (facts.parts_ignored, (size_t)count - kept);
  for (size_t i = 0; i + 1 < kept; i++)
    ck_assert_uint_eq (facts.parts[i].id, i + 1);
  ck_assert_uint_eq (facts.parts[kept - 1].id, (uint64_t)count);
  ck_assert_int_eq (facts.parts[kept - 1].tokens, INT64_C (10) * count);
  marjoram_header_list_clear (&headers);
}
END_TEST

START_TEST (malformed_request_headers_are_ignored)
{
  static const char *const prompts[] = { "", ":", "x:1", "1:", "1:-5", "1;2" };
  static const char *const usages[] = { "", "a,b", "5", ",", "5," };

  for (size_t i = 0; i < sizeof prompts / sizeof *prompts; i++)
    {
      struct marjoram_header_list headers = { 0 };
      struct marjoram_call_metadata facts;

      marjoram_header_list_add (&headers, "Marjoramproxy-Prompt-Prefix",
                                prompts[i]);
      marjoram_header_list_add (&headers, "Marjoramproxy-Token-Usage",
                                usages[i % 5]);
      marjoram_header_list_add (&headers, "Marjoramproxy-Deadline-Ms", "-3");
      dialect->read_call (&headers, &facts);
      ck_assert_uint_eq (facts.part_count, 0);
      ck_assert_int_eq (facts.prompt_tokens, 0);
      ck_assert_int_eq (facts.caller_timeout_ms, 0);
      marjoram_header_list_clear (&headers);
    }
}
END_TEST

/* A caller sets internal headers to reserve engine memory or to read another
   request's cache.  They must not reach an upstream.  */
START_TEST (internal_headers_are_not_forwarded_to_upstreams)
{
  ck_assert (!dialect->passes_to_upstream ("Marjoramproxy-Hold"));
  ck_assert (!dialect->passes_to_upstream ("marjoramproxy-pin-ms"));
  ck_assert (!dialect->passes_to_upstream ("Marjoramproxy-Kv-Backup"));
  ck_assert (!dialect->passes_to_upstream ("kv-from"));
  ck_assert (!dialect->passes_to_upstream ("Marjoramproxy-Target-Instance"));
  ck_assert (dialect->passes_to_upstream ("Marjoramproxy-Model"));
  ck_assert (dialect->passes_to_upstream ("Marjoramproxy-Attempt-Id"));
  ck_assert (dialect->passes_to_upstream ("X-Anything"));
}
END_TEST

START_TEST (upstream_headers_are_written)
{
  const struct marjoram_run_metadata facts = { .caller_timeout_ms = 1500,
                                               .upstream = "i-7",
                                               .last_event = "12",
                                               .copy_from = "10.0.0.9:80" };
  struct marjoram_header_list headers = { 0 };

  marjoram_header_list_add (&headers, "Last-Event-Id", "3");
  dialect->write_run (&facts, &headers);
  ck_assert_str_eq (marjoram_header_list_get (&headers, "Kv-Fetch"),
                    "10.0.0.9:80");
  ck_assert_str_eq (
      marjoram_header_list_get (&headers, "Marjoramproxy-Deadline-Ms"),
      "1500");
  ck_assert_str_eq (
      marjoram_header_list_get (&headers, "Marjoramproxy-Target-Instance"),
      "i-7");
  ck_assert_str_eq (
      marjoram_header_list_get (&headers, "Marjoramproxy-Request-Urgency"),
      "0");
  ck_assert_uint_eq (marjoram_header_list_count (&headers, "Last-Event-Id"),
                     1);
  ck_assert_str_eq (marjoram_header_list_get (&headers, "Last-Event-Id"),
                    "12");
  marjoram_header_list_clear (&headers);
}
END_TEST

START_TEST (response_headers_are_parsed)
{
  struct marjoram_header_list headers = { 0 };
  struct marjoram_response_metadata facts;

  dialect->read_answer (421, &headers, &facts);
  ck_assert (facts.not_run && facts.wrong_upstream);
  ck_assert_int_eq (facts.cold_ms, -1);
  ck_assert (facts.rate_limit < 0 && facts.refusals_tolerated < 0);
  dialect->read_answer (503, &headers, &facts);
  ck_assert (!facts.not_run && !facts.signed_by_upstream && !facts.leaving);
  marjoram_header_list_add (&headers, "Marjoramproxy-Not-Executed", "1");
  marjoram_header_list_add (&headers, "Marjoramproxy-Response-Seal", "x");
  marjoram_header_list_add (&headers, "Marjoramproxy-Cold-Ms", "700");
  marjoram_header_list_add (&headers, "Server-Limit", "1.25");
  marjoram_header_list_add (&headers, "Server-Brittle", "7");
  marjoram_header_list_add (&headers, "server-leaving", "1");
  dialect->read_answer (503, &headers, &facts);
  ck_assert (facts.not_run && facts.signed_by_upstream && facts.leaving);
  ck_assert_int_eq (facts.cold_ms, 700);
  ck_assert_double_eq (facts.rate_limit, 1.25);
  ck_assert_double_eq (facts.refusals_tolerated, 7);
  marjoram_header_list_clear (&headers);
}
END_TEST

/* Guards against callers that take an upstream's word for that of the host
   they are connected to.  */
START_TEST (words_of_upstreams_are_not_forwarded_to_callers)
{
  ck_assert (!dialect->passes_to_caller ("marjoramproxy-not-executed"));
  ck_assert (!dialect->passes_to_caller ("Server-Leaving"));
  ck_assert (dialect->passes_to_caller ("Marjoramproxy-Response-Seal"));
  ck_assert (dialect->passes_to_caller ("X-Anything"));
}
END_TEST

/* ---- API calls.  ---- */

static bool
read_api_call (const char *method, const char *target, const char *body,
               struct marjoram_api_request *call)
{
  struct marjoram_error err = { 0 };
  bool ok = dialect->read_api_request (method, target, body, strlen (body),
                                       call, &err);

  ck_assert (ok || err.message[0]);
  return ok;
}

#define HEARTBEAT                                                             \
  "{\"service\":\"lm\",\"address\":\"10.0.0.9:8080\",\"zone\":\"za\","        \
  "\"state\":\"%s\",\"slots\":64,\"cold_remaining_ms\":250,\"seq\":4,"        \
  "\"born\":1700000000123,\"version\":\"v1\",\"new\":[1]}"

START_TEST (heartbeat_is_parsed)
{
  struct marjoram_api_request call;
  char body[512];

  snprintf (body, sizeof body, HEARTBEAT, "ready");
  ck_assert (
      read_api_call ("POST", "/-/instances/i-7f/heartbeat", body, &call));
  ck_assert_int_eq (call.kind, MARJORAM_API_HEARTBEAT);
  ck_assert_str_eq (call.heartbeat.id, "i-7f");
  ck_assert_str_eq (call.heartbeat.address, "10.0.0.9:8080");
  ck_assert_str_eq (call.heartbeat.build, "v1");
  ck_assert_int_eq (call.heartbeat.state, MARJORAM_UPSTREAM_READY);
  ck_assert_int_eq (call.heartbeat.started_at, 1700000000123);
  ck_assert_int_eq (call.heartbeat.sequence, 4);
  ck_assert_int_eq (call.heartbeat.cold_ms, 250);
  ck_assert_int_eq (call.heartbeat.ends_ms, -1);
  snprintf (body, sizeof body, HEARTBEAT, "draining");
  ck_assert (
      read_api_call ("POST", "/-/instances/i-7f/heartbeat", body, &call));
  ck_assert_int_eq (call.heartbeat.state, MARJORAM_UPSTREAM_LEAVING);
}
END_TEST

/* Heartbeats with missing or mistyped fields, unknown states or invalid bytes
   must not register an upstream.  */
START_TEST (invalid_heartbeats_are_rejected)
{
  static const char *const bodies[] = {
    "",
    "{",
    "[]",
    "7",
    "null",
    "{}",
    "{\"service\":\"lm\",\"address\":\"10.0.0.9:80\",\"zone\":\"za\","
    "\"state\":\"asleep\",\"seq\":1}",
    "{\"service\":\"lm\",\"address\":\"10.0.0.9:80\",\"zone\":\"za\","
    "\"state\":1,\"seq\":1}",
    "{\"service\":\"lm\",\"address\":\"10.0.0.9\",\"zone\":\"za\","
    "\"state\":\"ready\",\"seq\":1}",
    "{\"service\":\"lm\",\"address\":\"a.example:80\",\"zone\":\"za\","
    "\"state\":\"ready\",\"seq\":1}",
    "{\"service\":[],\"address\":\"10.0.0.9:80\",\"zone\":\"za\","
    "\"state\":\"ready\",\"seq\":1}",
    "{\"service\":\"lm\",\"address\":\"10.0.0.9:80\",\"zone\":\"za\","
    "\"state\":\"ready\",\"seq\":\"1\"}",
    "{\"service\":\"lm\",\"address\":\"10.0.0.9:80\",\"zone\":\"za\","
    "\"state\":\"ready\",\"seq\":1,\"cold_remaining_ms\":\"x\"}",
    "{\"service\":\"lm\",\"address\":\"10.0.0.9:80\",\"zone\":\"za\","
    "\"state\":\"ready\",\"seq\":1e300}",
    "{\"service\":\"lm\",\"address\":\"10.0.0.9:80\",\"zone\":\"za\","
    "\"state\":\"ready\",\"seq\":1,\"version\":1.1}",
    "\xff\xfe",
  };
  struct marjoram_api_request call;

  for (size_t i = 0; i < sizeof bodies / sizeof *bodies; i++)
    ck_assert_msg (!read_api_call ("POST", "/-/instances/i-7f/heartbeat",
                                   bodies[i], &call),
                   "accepted: %s", bodies[i]);
}
END_TEST

START_TEST (deregistration_body_is_optional)
{
  struct marjoram_api_request call;

  ck_assert (
      read_api_call ("POST", "/-/instances/i-7f/deregister", "", &call));
  ck_assert_int_eq (call.kind, MARJORAM_API_HEARTBEAT);
  ck_assert_int_eq (call.heartbeat.state, MARJORAM_UPSTREAM_GONE);
  ck_assert (read_api_call ("POST", "/-/instances/i-7f/deregister",
                            "{\"born\":5}", &call));
  ck_assert_int_eq (call.heartbeat.started_at, 5);
}
END_TEST

START_TEST (other_api_calls_are_parsed)
{
  struct marjoram_api_request call;

  ck_assert (read_api_call (
      "GET", "/-/resolve?name=a.example&region=r1&zone=z1", "", &call));
  ck_assert_int_eq (call.kind, MARJORAM_API_LOOKUP);
  ck_assert_str_eq (call.host, "a.example");
  ck_assert_str_eq (call.region, "r1");
  ck_assert_str_eq (call.zone, "z1");
  ck_assert (read_api_call ("POST", "/-/evacuations/hob-a/begin", "", &call));
  ck_assert_int_eq (call.kind, MARJORAM_API_EVACUATE);
  ck_assert_str_eq (call.zone, "hob-a");
  ck_assert (read_api_call ("POST", "/-/evacuations/hob-a/finish", "", &call));
  ck_assert_int_eq (call.kind, MARJORAM_API_RESTORE);
  ck_assert (read_api_call ("GET", "/-/config/read", "", &call));
  ck_assert_int_eq (call.kind, MARJORAM_API_CONFIG_GET);
  ck_assert (read_api_call ("POST", "/-/config/replace", "", &call));
  ck_assert_int_eq (call.kind, MARJORAM_API_CONFIG_SET);
  ck_assert (read_api_call ("GET", "/-/ready", "", &call));
  ck_assert_int_eq (call.kind, MARJORAM_API_READY);
  ck_assert (read_api_call ("GET", "/-/evacuations/a/b/begin", "", &call));
  ck_assert_int_eq (call.kind, MARJORAM_API_UNKNOWN);
  ck_assert (read_api_call ("POST", "/-/evacuations//begin", "", &call));
  ck_assert_int_eq (call.kind, MARJORAM_API_UNKNOWN);
  ck_assert (read_api_call ("PUT", "/-/config/replace", "", &call));
  ck_assert_int_eq (call.kind, MARJORAM_API_UNKNOWN);
}
END_TEST

START_TEST (lookup_response_is_written)
{
  static const char *const addresses[] = { "10.0.0.1:80", "10.0.0.2:80" };
  char *text = dialect->write_lookup (addresses, 2, 2);

  ck_assert_str_eq (
      text, "{\"addresses\":[\"10.0.0.1:80\",\"10.0.0.2:80\"],\"ttl_s\":2}");
  free (text);
}
END_TEST

/* ---- Configuration.  ---- */

#define CONFIG(routes, services)                                              \
  "{\"version\":7,\"routes\":[" routes "],\"services\":[" services "],"       \
  "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"        \
  "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
#define ROUTE(name, prefix, rest)                                             \
  "{\"name\":\"" name "\",\"host\":\"a.example\",\"path_prefix\":\"" prefix   \
  "\",\"kind\":\"streaming\",\"target_latency_ms\":1500,\"priority\":1,"      \
  "\"max_attempts\":2,\"resumable\":true,\"target_gap_ms\":600,"              \
  "\"home_regions\":[\"r1\",\"r2\"]," rest "}"
#define LM_SERVICE                                                            \
  "{\"name\":\"lm\",\"health_path\":\"/health\",\"max_connections\":370,"     \
  "\"cold_start_s\":3.0,\"cold_per_s\":2.6,"                                  \
  "\"engine\":{\"slots\":64,\"kv_capacity\":232342,"                          \
  "\"kv_token_bytes\":163840,\"link_mbps\":530000.0}}"
#define APP_SERVICE                                                           \
  "{\"name\":\"app\",\"health_path\":\"/health\",\"max_connections\":110}"

static struct marjoram_route_table *
read_config (const char *text, struct marjoram_error *err)
{
  struct marjoram_route_table *table
      = dialect->read_config (text, strlen (text), err);

  if (table && !marjoram_route_table_check (table, err))
    {
      marjoram_route_table_destroy (table);
      return NULL;
    }
  return table;
}

START_TEST (configuration_is_parsed)
{
  struct marjoram_error err = { 0 };
  struct marjoram_route_table *table = read_config (
      CONFIG (ROUTE ("r", "/a/",
                     "\"timeout_ms\":4000,\"weighted_clusters\":"
                     "[{\"service\":\"lm\",\"weight\":90},"
                     "{\"service\":\"app\",\"weight\":10}]"),
              LM_SERVICE "," APP_SERVICE),
      &err);
  const struct marjoram_route_rule *route;
  const struct marjoram_service_rule *service;

  ck_assert_msg (table != NULL, "%s", err.message);
  ck_assert_uint_eq (table->version, 7);
  ck_assert_int_eq (table->callers.idle_timeout_ms, 15000);
  route = marjoram_route_table_find (table, "A.example:80", "/a/b?c=/d/");
  ck_assert_ptr_nonnull (route);
  ck_assert (route->stream && route->resumable);
  ck_assert_int_eq (route->timeout_ms, 4000);
  ck_assert_int_eq (route->objective_ms, 1500);
  ck_assert_uint_eq (route->targets.count, 2);
  ck_assert (marjoram_route_allows (route, "r2"));
  ck_assert (!marjoram_route_allows (route, "r3"));
  ck_assert_uint_eq (
      marjoram_route_table_count_homes (table, "a.example", "r2"), 1);
  ck_assert_uint_eq (
      marjoram_route_table_count_homes (table, "a.example", "r3"), 0);
  ck_assert_uint_eq (
      marjoram_route_table_count_homes (table, "b.example", "r2"), 0);
  ck_assert (marjoram_route_may_repeat (route));
  service = marjoram_route_table_service (table, "lm");
  ck_assert (service->has_engine);
  ck_assert_int_eq (service->cold_ms, 3000);
  ck_assert_int_eq (service->engine.kv_capacity, 232342);
  /* 66,250 MB/s divided by 163,840 bytes per token.  */
  ck_assert (service->engine.copied_per_ms > 404.3
             && service->engine.copied_per_ms < 404.4);
  marjoram_route_table_destroy (table);
}
END_TEST

START_TEST (longest_prefix_wins)
{
  struct marjoram_error err = { 0 };
  struct marjoram_route_table *table = read_config (
      CONFIG (
          ROUTE (
              "short", "/a/",
              "\"timeout_ms\":1,\"service\":\"lm\"") "," ROUTE ("long",
                                                                "/a/b/",
                                                                "\"timeout_"
                                                                "ms\":1,"
                                                                "\"service\":"
                                                                "\"lm\""),
          LM_SERVICE),
      &err);

  ck_assert_str_eq (
      marjoram_route_table_find (table, "a.example", "/a/b/c")->name, "long");
  ck_assert_str_eq (
      marjoram_route_table_find (table, "a.example", "/a/bc")->name, "short");
  ck_assert_ptr_null (marjoram_route_table_find (table, "a.example", "/a"));
  ck_assert_ptr_null (marjoram_route_table_find (table, "b.example", "/a/"));
  ck_assert_ptr_null (
      marjoram_route_table_find (table, "a.example", "/x?/a/b/"));
  marjoram_route_table_destroy (table);
}
END_TEST

START_TEST (keys_are_split_by_weight)
{
  struct marjoram_error err = { 0 };
  struct marjoram_route_table *table
      = read_config (CONFIG (ROUTE ("r", "/a/",
                                    "\"timeout_ms\":1,\"weighted_clusters\":"
                                    "[{\"service\":\"lm\",\"weight\":90},"
                                    "{\"service\":\"app\",\"weight\":10}]"),
                             LM_SERVICE "," APP_SERVICE),
                     &err);
  const struct marjoram_route_rule *route
      = marjoram_route_table_find (table, "a.example", "/a/");
  int lm_count = 0;

  for (int i = 0; i < 10000; i++)
    {
      char key[16];

      snprintf (key, sizeof key, "%d", i);
      lm_count += strcmp (marjoram_route_pick_service (route, key), "lm") == 0;
    }
  ck_assert_int_gt (lm_count, 8800);
  ck_assert_int_lt (lm_count, 9200);
  marjoram_route_table_destroy (table);
}
END_TEST

START_TEST (invalid_configurations_are_rejected)
{
  static const char *const texts[] = {
    "",
    "{\"version\":7,\"routes\":[{\"name\":",
    "{\"version\":7}",
    CONFIG (ROUTE ("r", "/a/", "\"timeout_ms\":0,\"service\":\"lm\""),
            LM_SERVICE),
    CONFIG (ROUTE ("r", "/a/", "\"service\":\"lm\""), LM_SERVICE),
    CONFIG (ROUTE ("r", "/a/", "\"timeout_ms\":1,\"service\":\"none\""),
            LM_SERVICE),
    CONFIG (ROUTE ("r", "/a/", "\"timeout_ms\":1"), LM_SERVICE),
    CONFIG (ROUTE ("r", "/a", "\"timeout_ms\":1,\"service\":\"lm\""),
            LM_SERVICE),
    CONFIG (
        ROUTE ("r", "/a/", "\"timeout_ms\":1,\"service\":\"lm\"") "," ROUTE (
            "s", "/a/", "\"timeout_ms\":1,\"service\":\"lm\""),
        LM_SERVICE),
    CONFIG (ROUTE ("r", "/a/",
                   "\"timeout_ms\":1,\"weighted_clusters\":"
                   "[{\"service\":\"lm\",\"weight\":0}]"),
            LM_SERVICE),
    CONFIG (ROUTE ("r", "/a/", "\"timeout_ms\":1,\"weighted_clusters\":[]"),
            LM_SERVICE),
    CONFIG (ROUTE ("r", "/a/",
                   "\"timeout_ms\":1,\"weighted_clusters\":"
                   "[{\"service\":\"lm\",\"weight\":2},"
                   "{\"service\":\"lm\",\"weight\":-1}]"),
            LM_SERVICE),
    CONFIG ("7", LM_SERVICE),
    CONFIG ("", "{\"name\":1}"),
  };

  for (size_t i = 0; i < sizeof texts / sizeof *texts; i++)
    {
      struct marjoram_error err = { 0 };

      ck_assert_msg (!read_config (texts[i], &err), "accepted: %s", texts[i]);
      ck_assert (err.message[0]);
    }
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("platform");
  TCase *tcase = tcase_create ("platform");

  tcase_add_checked_fixture (tcase, setup, NULL);
  tcase_add_test (tcase, request_headers_are_parsed);
  tcase_add_loop_test (tcase, long_prompts_keep_their_last_part, 0, 4);
  tcase_add_test (tcase, malformed_request_headers_are_ignored);
  tcase_add_test (tcase, internal_headers_are_not_forwarded_to_upstreams);
  tcase_add_test (tcase, upstream_headers_are_written);
  tcase_add_test (tcase, response_headers_are_parsed);
  tcase_add_test (tcase, words_of_upstreams_are_not_forwarded_to_callers);
  tcase_add_test (tcase, heartbeat_is_parsed);
  tcase_add_test (tcase, invalid_heartbeats_are_rejected);
  tcase_add_test (tcase, deregistration_body_is_optional);
  tcase_add_test (tcase, other_api_calls_are_parsed);
  tcase_add_test (tcase, lookup_response_is_written);
  tcase_add_test (tcase, configuration_is_parsed);
  tcase_add_test (tcase, longest_prefix_wins);
  tcase_add_test (tcase, keys_are_split_by_weight);
  tcase_add_test (tcase, invalid_configurations_are_rejected);
  suite_add_tcase (s, tcase);
  return s;
}
