/* Routes in the INI format, and the administrative requests for them.  */
#include "suite.h"

#include "cleanup.h"
#include "builtin_dialect.h"
#include "platform.h"
#include "route_file.h"

#include <string.h>

#define ROUTES_SECTION "[routes]\nversion = 12\n"
#define APP_SECTION "[service app]\nhealth_path = /health\n"
#define ROUTE_SECTION(kind, services)                                         \
  "[route status]\nhost = boards.example\nprefix = /status/\nkind = " kind    \
  "\ntimeout_ms = 4000\nservices = " services "\n"

static struct marjoram_route_table *
read_table (const char *text, struct marjoram_error *err)
{
  struct marjoram_route_table *table
      = marjoram_route_file_read (text, strlen (text), err);

  if (table && marjoram_route_table_check (table, err))
    return table;
  marjoram_route_table_destroy (table);
  return NULL;
}

START_TEST (routes_are_read)
{
  struct marjoram_error err = { 0 };
  struct marjoram_route_table *table = read_table (
      ROUTES_SECTION
      "[callers]\nbody_bytes = 1000\n" APP_SECTION
      "[service lm]\nengine = yes\nengine_slots = 64\nengine_tokens = 250000\n"
      "copied_per_ms = 404.5\ncold_ms = 3000\ncold_per_s = 2.5\n"
      "[route ask]\nhost = boards.example\nprefix = /ask/\n"
      "kind = resumable-stream\ntimeout_ms = 9000\nobjective_ms = 800\n"
      "gap_ms = 600\npriority = 1\nmax_upstreams = 2\n"
      "services = lm:9, app:1\nhomes = r1, r2\n" ROUTE_SECTION ("idempotent",
                                                                "app"),
      &err);
  const struct marjoram_route_rule *route;
  const struct marjoram_route_target *targets;
  const struct marjoram_service_rule *service;

  ck_assert_msg (table != NULL, "%s", err.message);
  ck_assert_uint_eq (table->version, 12);
  ck_assert_int_eq (table->callers.body_bytes, 1000);
  ck_assert_int_eq (table->callers.head_bytes, 16384);
  route = marjoram_route_table_find (table, "boards.example", "/ask/now?x");
  ck_assert (route->stream && route->resumable && !route->idempotent);
  ck_assert_int_eq (route->timeout_ms, 9000);
  ck_assert_int_eq (route->objective_ms, 800);
  ck_assert_int_eq (route->gap_ms, 600);
  ck_assert_int_eq (route->priority, 1);
  ck_assert_int_eq (route->max_upstreams, 2);
  ck_assert (marjoram_route_allows (route, "r2"));
  ck_assert (!marjoram_route_allows (route, "r3"));
  targets = route->targets.items;
  ck_assert_uint_eq (route->targets.count, 2);
  ck_assert_str_eq (targets[0].service, "lm");
  ck_assert_int_eq (targets[0].weight, 9);
  route = marjoram_route_table_find (table, "boards.example", "/status/1");
  ck_assert (route->idempotent && !route->stream);
  ck_assert_int_eq (route->max_upstreams, 1);
  service = marjoram_route_table_service (table, "lm");
  ck_assert (service->has_engine);
  ck_assert_int_eq (service->engine.slots, 64);
  ck_assert_int_eq (service->engine.kv_capacity, 250000);
  ck_assert (service->engine.copied_per_ms > 404);
  ck_assert_int_eq (service->cold_ms, 3000);
  marjoram_route_table_destroy (table);
}
END_TEST

START_TEST (faults_name_line_and_remedy)
{
  static const struct
  {
    const char *text;
    const char *expected;
  } cases[] = {
    { APP_SECTION ROUTE_SECTION ("idempotent", "app"),
      "add a section [routes]" },
    { ROUTES_SECTION APP_SECTION ROUTE_SECTION ("sometimes", "app"),
      "routes:8" },
    { ROUTES_SECTION APP_SECTION ROUTE_SECTION ("idempotent", "app:x"),
      "write NAME or NAME:NUMBER" },
    { ROUTES_SECTION APP_SECTION ROUTE_SECTION ("idempotent", "nobody"),
      "nobody" },
    { ROUTES_SECTION APP_SECTION ROUTE_SECTION ("idempotent", "app:0"),
      "weight" },
    { ROUTES_SECTION APP_SECTION "[engine e]\nslots = 1\n",
      "unknown section [engine]" },
    { ROUTES_SECTION "[service app]\nhealth = /h\n", "routes:4" },
    { ROUTES_SECTION APP_SECTION ROUTE_SECTION ("idempotent", "app")
          ROUTE_SECTION ("idempotent", "app"),
      "status" },
    { "[routes]\nversion = 0\n", "routes:2" },
    { "[routes", "routes:1" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct marjoram_error err = { 0 };

      ck_assert_msg (!read_table (cases[i].text, &err), "accepted: %s",
                     cases[i].text);
      ck_assert_msg (strstr (err.message, cases[i].expected) != NULL,
                     "%s: told %s", cases[i].text, err.message);
    }
}
END_TEST

/* Hosts are compared case-insensitively, prefixes case-sensitively; the
   message names the routes in file order.  */
START_TEST (duplicate_routes_are_refused)
{
#define ROUTE_AT(name, host, prefix)                                          \
  "[route " name "]\nhost = " host "\nprefix = " prefix "\n"                  \
  "kind = idempotent\ntimeout_ms = 4000\nservices = app\n"
  static const char same[]
      = ROUTES_SECTION APP_SECTION ROUTE_AT ("z", "b.example", "/x/")
          ROUTE_AT ("m", "c.example", "/x/")
              ROUTE_AT ("a", "B.example", "/x/");
  static const char apart[]
      = ROUTES_SECTION APP_SECTION ROUTE_AT ("z", "b.example", "/x/")
          ROUTE_AT ("m", "c.example", "/x/")
              ROUTE_AT ("a", "B.example", "/X/");
  struct marjoram_error err = { 0 };
  struct marjoram_route_table *table = read_table (apart, &err);

  ck_assert_msg (table != NULL, "%s", err.message);
  marjoram_route_table_destroy (table);
  ck_assert (!read_table (same, &err));
  ck_assert_msg (strstr (err.message, "routes z and a have the same host"),
                 "%s", err.message);
}
END_TEST

/* Keepers accept both formats and reject other input.  */
START_TEST (both_formats_are_accepted)
{
  static const char json[]
      = "{\"version\":3,\"routes\":[],\"services\":[],\"limits\":{"
        "\"max_header_bytes\":1,\"max_body_bytes\":1,"
        "\"header_timeout_ms\":1,\"idle_timeout_ms\":1}}";
  static const char ini_text[] = "\n; Ours.\n" ROUTES_SECTION APP_SECTION;
  const struct marjoram_dialect *dialect
      = marjoram_builtin_dialect (marjoram_platform_dialect ());
  struct marjoram_error err = { 0 };
  struct marjoram_route_table *table
      = dialect->ops->read_config (ini_text, strlen (ini_text), &err);

  ck_assert_uint_eq (table->version, 12);
  marjoram_route_table_destroy (table);
  table = dialect->ops->read_config (json, strlen (json), &err);
  ck_assert_msg (table != NULL, "%s", err.message);
  ck_assert_uint_eq (table->version, 3);
  marjoram_route_table_destroy (table);
  ck_assert_ptr_null (dialect->ops->read_config ("routes", 6, &err));
}
END_TEST

static enum marjoram_api_request_kind
kind_of (const char *method, const char *target,
         struct marjoram_api_request *ask)
{
  const struct marjoram_dialect *dialect
      = marjoram_builtin_dialect (marjoram_platform_dialect ());

  ck_assert (
      dialect->ops->read_api_request (method, target, "", 0, ask, NULL));
  return ask->kind;
}

START_TEST (own_calls_are_read)
{
  struct marjoram_api_request ask;

  ck_assert_int_eq (kind_of ("GET", "/gateway/routes", &ask),
                    MARJORAM_API_CONFIG_GET);
  ck_assert_int_eq (kind_of ("PUT", "/gateway/routes", &ask),
                    MARJORAM_API_CONFIG_SET);
  ck_assert_int_eq (kind_of ("POST", "/gateway/routes", &ask),
                    MARJORAM_API_UNKNOWN);
  ck_assert_int_eq (kind_of ("PUT", "/gateway/evacuations/za", &ask),
                    MARJORAM_API_EVACUATE);
  ck_assert_str_eq (ask.zone, "za");
  ck_assert_int_eq (kind_of ("DELETE", "/gateway/evacuations/za", &ask),
                    MARJORAM_API_RESTORE);
  ck_assert_int_eq (kind_of ("GET", "/gateway/evacuations/za", &ask),
                    MARJORAM_API_UNKNOWN);
  ck_assert_int_eq (kind_of ("GET", "/-/ready", &ask), MARJORAM_API_READY);
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("route_file");
  TCase *tests = tcase_create ("route_file");

  tcase_add_test (tests, routes_are_read);
  tcase_add_test (tests, faults_name_line_and_remedy);
  tcase_add_test (tests, duplicate_routes_are_refused);
  tcase_add_test (tests, both_formats_are_accepted);
  tcase_add_test (tests, own_calls_are_read);
  suite_add_tcase (all, tests);
  return all;
}
