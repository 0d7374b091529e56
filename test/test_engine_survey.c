/* Tests queries for cached prompt parts, over loopback to a stub engine.  */
#include "suite.h"

#include "cleanup.h"
#include "engine_survey.h"
#include "http_server.h"
#include "platform.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  LIMIT_MS = 8000,
  TIMEOUT_S = 16,
  LARGE_BYTES = 2 * 1024 * 1024 /* over the limit of an answer */
};

static struct event_base *base;
static marjoram_http_server *engine;
static marjoram_engine_survey *survey;
static char address[64];
static const char *answer;
static bool without_end; /* more than ANSWER is announced */
static int query_count;
static int reported;
static size_t reported_count;
static struct marjoram_prompt_part first_reported;

static void
on_request (void *context, uint64_t call,
            struct marjoram_http_request *request)
{
  struct marjoram_header_list headers = { 0 };

  (void)context;
  ck_assert_str_eq (request->target, "/-/kv-list");
  query_count++;
  marjoram_http_server_head (engine, call, 200, &headers,
                             without_end ? INT32_MAX
                                         : (int64_t)strlen (answer));
  marjoram_http_server_data (engine, call, answer, strlen (answer));
  if (!without_end)
    marjoram_http_server_end (engine, call);
  marjoram_http_request_destroy (request);
}

static void
on_gone (void *context, uint64_t call)
{
  (void)context;
  (void)call;
}

static void
on_rejected (void *context, int status, const char *why)
{
  (void)context;
  (void)status;
  (void)why;
}

static const struct marjoram_http_server_ops server_ops
    = { .request = on_request, .gone = on_gone, .rejected = on_rejected };

static void
on_kept (void *context, const char *id,
         const struct marjoram_prompt_part *parts, size_t count)
{
  (void)context;
  ck_assert_str_eq (id, "e1");
  reported++;
  reported_count = count;
  if (count > 0)
    first_reported = parts[0];
}

static const struct marjoram_engine_survey_ops survey_ops
    = { .cached = on_kept };

static void
setup (void)
{
  struct marjoram_error err = { 0 };

  signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  query_count = reported = 0;
  for (int port = 20200; port < 20300 && !engine; port++)
    {
      snprintf (address, sizeof address, "127.78.%d.%d:%d",
                (int)(getpid () / 250 % 250), (int)(getpid () % 250) + 1,
                port);
      engine = marjoram_http_server_create (base, marjoram_clock_system (),
                                            address, &server_ops, NULL, &err);
    }
  ck_assert_msg (engine != NULL, "%s", err.message);
  survey = marjoram_engine_survey_create (base, marjoram_clock_system (),
                                          marjoram_platform_dialect (),
                                          &survey_ops, NULL);
}

static void
teardown (void)
{
  marjoram_engine_survey_destroy (survey);
  marjoram_http_server_destroy (engine);
  engine = NULL;
  event_base_loop (base, EVLOOP_NONBLOCK);
  event_base_free (base);
}

static void
run_until (bool (*done) (void))
{
  struct marjoram_clock *clock = marjoram_clock_system ();
  int64_t end = marjoram_clock_now (clock) + LIMIT_MS;

  while (!done ())
    {
      ck_assert (marjoram_clock_now (clock) < end);
      event_base_loop (base, EVLOOP_NONBLOCK);
      marjoram_engine_survey_tick (survey);
    }
}

static bool
is_reported (void)
{
  return reported > 0;
}

static bool
is_over (void)
{
  return marjoram_engine_survey_pending (survey) == 0;
}

/* Guards against repeated prefill of cached parts after all hosts have
   restarted.  */
START_TEST (cached_parts_are_reported)
{
  answer = "{\"epoch\":1,\"next\":9,\"held\":[[\"\",\"5c1e07a2\",800,\"m\"],"
           "[\"\",\"91bd3f06\",410,\"m\"]]}";
  marjoram_engine_survey_query (survey, "e1", address);
  marjoram_engine_survey_query (survey, "e1", address);
  run_until (is_reported);
  ck_assert_int_eq (query_count, 1);
  ck_assert_uint_eq (reported_count, 2);
  ck_assert_uint_eq (first_reported.id, 0x5c1e07a2);
  ck_assert_int_eq (first_reported.tokens, 800);
}
END_TEST

/* Guards against malformed entries that invalidate the whole response.  */
START_TEST (malformed_entries_are_skipped)
{
  answer = "{\"held\":[[\"\",\"zz\",800,\"m\"],7,[\"\",\"1f\",\"x\"],"
           "[\"\",\"1f\",0],[\"\",\"2f\",5,\"m\"]]}";
  marjoram_engine_survey_query (survey, "e1", address);
  run_until (is_reported);
  ck_assert_uint_eq (reported_count, 1);
  ck_assert_uint_eq (first_reported.id, 0x2f);
}
END_TEST

START_TEST (response_without_list_is_ignored)
{
  answer = "[]";
  marjoram_engine_survey_query (survey, "e1", address);
  run_until (is_over);
  ck_assert_int_eq (reported, 0);
}
END_TEST

/* Guards against a query that stays pending when the engine is unreachable. */
START_TEST (unreachable_engine_ends_query)
{
  marjoram_http_server_destroy (engine);
  engine = NULL;
  marjoram_engine_survey_query (survey, "e1", address);
  run_until (is_over);
  ck_assert_int_eq (reported, 0);
}
END_TEST

/* Guards against queries that last as long as an engine sends bytes or keeps
   the connection open.  */
START_TEST (query_without_end_is_given_up)
{
  const bool is_silent = _i == 1;
  const int64_t begun = marjoram_clock_now (marjoram_clock_system ());

  without_end = true;
  answer = is_silent ? "" : marjoram_alloc (LARGE_BYTES + 1);
  if (!is_silent)
    memset ((char *)answer, ' ', LARGE_BYTES);
  marjoram_engine_survey_query (survey, "e1", address);
  run_until (is_over);
  ck_assert_int_eq (reported, 0);
  if (!is_silent)
    ck_assert_int_lt (marjoram_clock_now (marjoram_clock_system ()),
                      begun + LIMIT_MS / 2);
  without_end = false;
}
END_TEST

/* Guards against a host that opens a connection to each engine at once.  */
START_TEST (queries_are_paced)
{
  enum
  {
    ENGINES = 1000,
    PER_TICK_MAX = 4
  };
  char id[16];

  answer = "[]";
  for (int i = 0; i < ENGINES; i++)
    {
      snprintf (id, sizeof id, "e%d", i);
      marjoram_engine_survey_query (survey, id, address);
    }
  ck_assert_uint_le (marjoram_engine_survey_pending (survey), PER_TICK_MAX);
  run_until (is_over);
  ck_assert_int_le (query_count, PER_TICK_MAX);
  marjoram_engine_survey_query (survey, "another", address);
  run_until (is_over);
  ck_assert_int_eq (query_count, PER_TICK_MAX + 1);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("engine_survey");
  TCase *c = tcase_create ("engine_survey");

  tcase_set_timeout (c, TIMEOUT_S);
  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, cached_parts_are_reported);
  tcase_add_test (c, malformed_entries_are_skipped);
  tcase_add_test (c, response_without_list_is_ignored);
  tcase_add_test (c, unreachable_engine_ends_query);
  tcase_add_loop_test (c, query_without_end_is_given_up, 0, 2);
  tcase_add_test (c, queries_are_paced);
  suite_add_tcase (s, c);
  return s;
}
