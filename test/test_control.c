/* Tests for the control interface: marjoramctl commands against a control
   server with a fake host, and calls that must be rejected.  */
#include "suite.h"

#include "cleanup.h"
#include "config_file.h"
#include "control.h"
#include "control_proof.h"
#include "ctl.h"

#include <arpa/inet.h>
#include <event2/thread.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#define SECRET "0123456789abcdef0123456789abcdef"

/* Control address of the fake host.  It depends on the process id so that test
   runs on the same machine don't conflict.  */
static char ip[32];
static char address[48];

enum
{
  PORT = 7901,
  START_WALL = 1000000
};

/* Fake host that runs the control server.  */
static struct
{
  struct marjoram_clock clock;
  int64_t wall_ms;
  struct event_base *base;
  marjoram_control *control;
  pthread_t thread;
  struct marjoram_state *state;
  int applies;
  int drains;
  int authentication_failed;
  uint64_t unanswered;      /* request without an answer yet */
  char last_arguments[256]; /* arguments of the last operation */
} host;

static struct timespec
fake_time (struct marjoram_clock *clock)
{
  (void)clock;
  return (struct timespec){ .tv_sec = host.wall_ms / 1000,
                            .tv_nsec = host.wall_ms % 1000 * 1000000 };
}

static json_t *
fake_status (void *context)
{
  (void)context;
  return json_pack ("{sssIs[{sssb}{sssb}]}", "slot", "ba-1-a", "config_number",
                    (json_int_t)7, "hosts", "slot", "ba-1-b", "alive", 1,
                    "slot", "ba-1-c", "alive", 0);
}

static json_t *
fake_upstreams (void *context)
{
  (void)context;
  return json_pack ("{s[{sss[ss]}]}", "upstreams", "name", "lm-1", "works",
                    "chat", "sum");
}

static json_t *
fake_explain (void *context, const struct marjoram_explain_query *query)
{
  (void)context;
  snprintf (host.last_arguments, sizeof host.last_arguments,
            "%s %s %s %" PRId64 " %" PRIu64, query->caller, query->work,
            query->class, query->deadline_ms, query->prompt_tokens);
  return json_pack ("{ss}", "choice", host.last_arguments);
}

static const struct marjoram_state *
fake_state (void *context)
{
  (void)context;
  return host.state;
}

static char *
fake_counters (void *context)
{
  (void)context;
  return marjoram_strdup ("marjoram_requests_total 5\n");
}

/* Answers a change with the outcome named by its id.  */
static void
answer_change (uint64_t request, const char *id)
{
  static const char *const names[]
      = { "accepted", "same", "conflict", "stale", "invalid" };
  struct marjoram_apply_answer answer = {
    .number = 8, .version = 3, .digest = "d1", .message = "test message"
  };

  if (strcmp (id, "silent") == 0)
    {
      host.unanswered = request;
      return;
    }
  answer.outcome = strcmp (id, "unknown") == 0   ? MARJORAM_APPLY_UNKNOWN
                   : strcmp (id, "not-run") == 0 ? MARJORAM_APPLY_NOT_RUN
                                                 : MARJORAM_APPLY_DECIDED;
  for (int i = 0; i < 5; i++)
    if (strcmp (id, names[i]) == 0)
      answer.result = (enum marjoram_change_result)i;
  marjoram_control_respond (host.control, request, &answer);
}

static void
fake_apply (void *context, uint64_t request, const char *change_id,
            const struct marjoram_file *file)
{
  (void)context;
  host.applies++;
  snprintf (host.last_arguments, sizeof host.last_arguments,
            "%s %s %" PRIu64 " %s", change_id, file->name, file->version,
            file->digest);
  answer_change (request, change_id);
}

static void
fake_replace (void *context, uint64_t request, const char *change_id,
              const char *old, const char *new)
{
  (void)context;
  snprintf (host.last_arguments, sizeof host.last_arguments, "%s %s %s",
            change_id, old, new);
  answer_change (request, change_id);
}

static void
fake_drain (void *context)
{
  (void)context;
  host.drains++;
}

static void
fake_authentication_failed (void *context)
{
  (void)context;
  host.authentication_failed++;
}

static const struct marjoram_control_ops ops
    = { fake_status,  fake_upstreams, fake_explain,
        fake_state,   fake_counters,  fake_apply,
        fake_replace, fake_drain,     fake_authentication_failed };

static void *
run_event_loop (void *base)
{
  event_base_loop (base, EVLOOP_NO_EXIT_ON_EMPTY);
  return NULL;
}

static void
set_address (void)
{
  unsigned pid = (unsigned)getpid ();

  snprintf (ip, sizeof ip, "127.4.%u.%u", pid >> 8 & 0xff, pid & 0xff);
  snprintf (address, sizeof address, "%s:%d", ip, PORT);
}

static void
start_host (void)
{
  static const struct marjoram_clock_ops clock_ops = { fake_time, fake_time };
  static char slot[] = "ba-1-a";
  static char secret[] = SECRET;
  struct marjoram_settings settings
      = { .slot = slot, .secret = secret, .control_address = address };
  struct marjoram_error err = { 0 };

  host.clock.ops = &clock_ops;
  host.base = event_base_new ();
  host.control = marjoram_control_create (host.base, &host.clock, &settings,
                                          &ops, NULL, &err);
  ck_assert_msg (host.control != NULL, "%s", err.message);
  pthread_create (&host.thread, NULL, run_event_loop, host.base);
}

static void
stop_host (void)
{
  event_base_loopexit (host.base, NULL);
  pthread_join (host.thread, NULL);
  marjoram_control_destroy (host.control);
  event_base_free (host.base);
}

#define SITES_FILE                                                            \
  "[file]\nname = sites\nversion = 2\n[cluster t]\n[region r]\n[zone z]\n"    \
  "region = r\n[slot z-a]\nzone = z\npeer = 127.4.0.1:1\n"                    \
  "entry = 127.4.0.1:2\n"

static char directory[64];
static char secret_path[96];
static char wrong_secret_path[96];
static char valid_path[96];
static char invalid_path[96];

static void
write_file (char path[96], const char *name, const char *text)
{
  FILE *out;

  snprintf (path, 96, "%s/%s", directory, name);
  out = fopen (path, "w");
  ck_assert_ptr_nonnull (out);
  fputs (text, out);
  fclose (out);
}

static void
setup (void)
{
  struct marjoram_file file = { 0 };

  evthread_use_pthreads ();
  marjoram_log_set_level (MARJORAM_LOG_ERROR);
  memset (&host, 0, sizeof host);
  host.wall_ms = START_WALL;
  host.state = marjoram_state_copy (NULL);
  ck_assert (marjoram_config_file_parse ("", SITES_FILE, strlen (SITES_FILE),
                                         &file, NULL));
  marjoram_state_set_file (host.state, &file);
  marjoram_wire_clear (&marjoram_file_layout, &file);
  snprintf (directory, sizeof directory, "/tmp/marjoram-control-XXXXXX");
  ck_assert_ptr_nonnull (mkdtemp (directory));
  umask (077);
  set_address ();
  write_file (secret_path, "secret", SECRET "\n");
  write_file (wrong_secret_path, "other",
              "another secret of thirty-two bytes\n");
  write_file (valid_path, "callers.ini",
              "[file]\nname = callers\nversion = 3\n[caller x]\n"
              "token = 0123456789abcdef\nhome = r\nrate = 1\n");
  write_file (invalid_path, "bad.ini",
              "[file]\nname = callers\nversion = 4\n[caller x]\n"
              "token = 0123456789abcdef\nhome = nowhere\nrate = 1\n");
  start_host ();
}

static void
teardown (void)
{
  const char *const paths[]
      = { secret_path, wrong_secret_path, valid_path, invalid_path };

  stop_host ();
  marjoram_state_destroy (host.state);
  for (size_t i = 0; i < sizeof paths / sizeof *paths; i++)
    unlink (paths[i]);
  rmdir (directory);
}

static struct marjoram_ctl_options
default_options (void)
{
  return (struct marjoram_ctl_options){ .hosts = { address },
                                        .host_count = 1,
                                        .secret_file = secret_path,
                                        .timeout_ms = 20000,
                                        .class = "interactive",
                                        .deadline_ms = "500",
                                        .prompt_tokens = "9",
                                        .caller = "a b&c",
                                        .work = "chat" };
}

static enum marjoram_ctl_status
run_command (const struct marjoram_ctl_options *options, const char *command,
             const char *first, const char *second, char **text)
{
  char *args[] = { (char *)command, (char *)first, (char *)second, NULL };
  size_t size;
  FILE *out = open_memstream (text, &size);
  enum marjoram_ctl_status status = marjoram_ctl_run (
      options, 1 + (first != NULL) + (second != NULL), args, out, out);

  fclose (out);
  return status;
}

static const struct
{
  const char *command;
  const char *operand; /* "good" and "bad" select the files */
  const char *second;
  const char *change_id;
  enum marjoram_ctl_status status;
  const char *expected_text;
  const char *last_arguments;
} command_cases[] = {
  { "status", 0, 0, 0, 0, "hosts:\n  slot    alive\n  ba-1-b  yes\n", 0 },
  { "upstreams", 0, 0, 0, 0, "lm-1  chat,sum", 0 },
  { "counters", 0, 0, 0, 0, "marjoram_requests_total 5\n", 0 },
  { "explain", 0, 0, 0, 0, "choice: a b&c chat",
    "a b&c chat interactive 500 9" },
  { "drain", 0, 0, 0, 0, "draining: yes", 0 },
  { "diff", "good", 0, 0, 0, "+   token = (not shown)\n+   home = r", 0 },
  { "diff", "bad", 0, 0, MARJORAM_CTL_REFUSED, "/bad.ini:4: home of \"x\"",
    0 },
  { "apply", "good", 0, "accepted", 0, "result: accepted",
    "accepted callers 3" },
  { "apply", "good", 0, "same", 0, "result: same", 0 },
  { "apply", "good", 0, "conflict", MARJORAM_CTL_REFUSED, "digest: d1", 0 },
  { "apply", "good", 0, "stale", MARJORAM_CTL_REFUSED, "stale", 0 },
  { "apply", "bad", 0, "invalid", MARJORAM_CTL_REFUSED, "/bad.ini:4: home of",
    0 },
  { "apply", "good", 0, "not-run", MARJORAM_CTL_NOT_RUN, "not-run", 0 },
  { "apply", "good", 0, "unknown", MARJORAM_CTL_UNKNOWN,
    "again with --change-id unknown", 0 },
  { "replace-keeper", "ba-1-a", "ba-1-b", "accepted", 0, "accepted",
    "accepted ba-1-a ba-1-b" },
  { "replace-keeper", "ba 1", "b", 0, MARJORAM_CTL_USAGE, "two slots", 0 },
  { "check", "good", 0, 0, MARJORAM_CTL_REFUSED,
    "/callers.ini:4: home of \"x\" names region \"r\"", 0 },
  { "check", "none", 0, 0, MARJORAM_CTL_REFUSED, "can't open none", 0 },
  { "apply", "none", 0, 0, MARJORAM_CTL_REFUSED, "can't open none", 0 },
  { "apply", 0, 0, 0, MARJORAM_CTL_USAGE, "usage: marjoramctl", 0 },
  { "nonexistent", 0, 0, 0, MARJORAM_CTL_USAGE, "no such command", 0 },
};

START_TEST (runs_commands)
{
  struct marjoram_ctl_options options = default_options ();
  const char *operand = command_cases[_i].operand;
  marjoram_auto_free char *text = NULL;
  enum marjoram_ctl_status status;

  if (operand && strcmp (operand, "good") == 0)
    operand = valid_path;
  else if (operand && strcmp (operand, "bad") == 0)
    operand = invalid_path;
  options.change_id = command_cases[_i].change_id;
  status = run_command (&options, command_cases[_i].command, operand,
                        command_cases[_i].second, &text);
  ck_assert_msg (status == command_cases[_i].status, "status %d: %s",
                 (int)status, text);
  ck_assert_msg (strstr (text, command_cases[_i].expected_text) != NULL,
                 "got %s", text);
  if (command_cases[_i].last_arguments)
    ck_assert_int_eq (strncmp (host.last_arguments,
                               command_cases[_i].last_arguments,
                               strlen (command_cases[_i].last_arguments)),
                      0);
}
END_TEST

START_TEST (prints_json_and_generates_change_ids)
{
  struct marjoram_ctl_options options = default_options ();
  marjoram_auto_free char *text = NULL;
  marjoram_auto_free char *apply_text = NULL;
  json_t *object;

  options.json = true;
  ck_assert_int_eq (run_command (&options, "status", NULL, NULL, &text), 0);
  object = json_loads (text, 0, NULL);
  ck_assert_int_eq (
      json_integer_value (json_object_get (object, "config_number")), 7);
  json_decref (object);
  ck_assert_int_eq (
      run_command (&options, "apply", valid_path, NULL, &apply_text), 0);
  ck_assert_int_eq (strncmp (apply_text, "change id: ", 11), 0);
  ck_assert_int_eq (
      strncmp (apply_text + 11, host.last_arguments, MARJORAM_NONCE_TEXT), 0);
}
END_TEST

/* A command must not run twice: after a lost response no other host may be
   tried.  */
START_TEST (tries_next_host_only_if_unreachable)
{
  struct marjoram_ctl_options options = default_options ();
  marjoram_auto_free char *text = NULL;
  marjoram_auto_free char *first_text = NULL;
  marjoram_auto_free char *none = NULL;

  options.host_count = 2;
  options.hosts[0] = "127.4.0.9:7999";
  options.hosts[1] = address;
  options.change_id = "accepted";
  ck_assert_int_eq (run_command (&options, "apply", valid_path, NULL, &text),
                    MARJORAM_CTL_DONE);
  ck_assert_ptr_nonnull (strstr (text, "no answer from 127.4.0.9:7999"));
  options.hosts[0] = address;
  options.change_id = "silent";
  options.timeout_ms = 300;
  host.applies = 0;
  ck_assert_int_eq (
      run_command (&options, "apply", valid_path, NULL, &first_text),
      MARJORAM_CTL_UNKNOWN);
  ck_assert_ptr_nonnull (strstr (first_text, "again with --change-id silent"));
  ck_assert_int_eq (host.applies, 1);
  options.host_count = 1;
  options.hosts[0] = "127.4.0.9:7999";
  ck_assert_int_eq (run_command (&options, "apply", valid_path, NULL, &none),
                    MARJORAM_CTL_UNREACHABLE);
}
END_TEST

START_TEST (rejects_wrong_secret)
{
  struct marjoram_ctl_options options = default_options ();
  marjoram_auto_free char *text = NULL;

  options.secret_file = wrong_secret_path;
  ck_assert_int_eq (run_command (&options, "drain", NULL, NULL, &text),
                    MARJORAM_CTL_UNREACHABLE);
  ck_assert_ptr_nonnull (strstr (text, "doesn't prove"));
  ck_assert_int_eq (host.drains, 0);
}
END_TEST

/* Sends TEXT and returns the status code of the response, 0 if none.  */
static int
send_raw_request (const char *text, bool wait)
{
  struct sockaddr_in server = { .sin_family = AF_INET,
                                .sin_port = htons (PORT),
                                .sin_addr = { .s_addr = inet_addr (ip) } };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  char answer[512] = "";
  int status = 0;

  ck_assert_int_eq (connect (fd, (struct sockaddr *)&server, sizeof server),
                    0);
  ck_assert_int_eq (send (fd, text, strlen (text), 0), (ssize_t)strlen (text));
  if (wait && recv (fd, answer, sizeof answer - 1, 0) > 0)
    sscanf (answer, "HTTP/1.1 %d", &status);
  close (fd);
  return status;
}

/* Formats a signed drain request for SLOT at TIME.  */
static void
format_signed_drain (char text[512], const char *slot, int64_t time,
                     const char *nonce)
{
  struct marjoram_control_call call = { .method = "POST",
                                        .target = "/control/drain",
                                        .slot = slot,
                                        .sent = time,
                                        .nonce = nonce,
                                        .body = "" };
  char signature[MARJORAM_PROOF_TEXT + 1];

  marjoram_control_call_sign (SECRET, &call, signature);
  snprintf (text, 512,
            "POST /control/drain HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
            "Marjoram-Time: %" PRId64 "\r\nMarjoram-Nonce: %s\r\n"
            "Marjoram-Proof: %s\r\n\r\n",
            time, nonce, signature);
}

#define NONCE "00112233445566778899aabbccddee0"

/* A recorded drain must not be replayable on the same host, on another host or
   after a restart, and unsigned calls must be rejected.  */
START_TEST (rejects_replayed_and_unsigned_calls)
{
  char text[512];

  ck_assert_int_eq (
      send_raw_request ("POST /control/drain HTTP/1.1\r\nHost: x\r\n"
                        "Content-Length: 0\r\nMarjoram-Nonce: " NONCE
                        "0\r\nMarjoram-Time: 1000000\r\n\r\n",
                        true),
      401);
  ck_assert_int_eq (host.authentication_failed, 1);
  format_signed_drain (text, "ba-1-b", START_WALL, NONCE "1");
  ck_assert_int_eq (send_raw_request (text, true), 401);
  format_signed_drain (text, "ba-1-a", START_WALL, NONCE "2");
  ck_assert_int_eq (host.drains, 0);
  ck_assert_int_eq (send_raw_request (text, true), 200);
  ck_assert_int_eq (send_raw_request (text, true), 401);
  ck_assert_int_eq (host.drains, 1);
  stop_host ();
  host.wall_ms += 1;
  start_host ();
  ck_assert_int_eq (send_raw_request (text, true), 401);
  format_signed_drain (text, "ba-1-a", host.wall_ms, NONCE "3");
  host.wall_ms += MARJORAM_REPLAY_WINDOW_MS + 1;
  ck_assert_int_eq (send_raw_request (text, true), 401);
  ck_assert_int_eq (host.drains, 1);
}
END_TEST

START_TEST (rejects_malformed_calls)
{
  static const struct
  {
    const char *text;
    int status;
  } calls[] = {
    { "GET /control/status HTTP/1.1\r\nHost: x\r\n\r\n", 400 },
    { "GET /control/nothing HTTP/1.1\r\nHost: x\r\nMarjoram-Nonce: " NONCE
      "0\r\n\r\n",
      404 },
    { "GET /control/status?%zz HTTP/1.1\r\nHost: x\r\nMarjoram-Nonce: " NONCE
      "0\r\n\r\n",
      401 },
    { "PUT /control/status HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
      501 },
    { "nonsense\r\n\r\n", 400 },
  };

  for (size_t i = 0; i < sizeof calls / sizeof *calls; i++)
    {
      int status = send_raw_request (calls[i].text, true);

      ck_assert_msg (status == calls[i].status, "%s got %d", calls[i].text,
                     status);
    }
}
END_TEST

/* The outcome of an apply must not be written to a connection that the client
   has closed.  */
START_TEST (survives_disconnected_client)
{
  struct marjoram_ctl_options options = default_options ();
  marjoram_auto_free char *first_text = NULL;
  marjoram_auto_free char *text = NULL;

  options.change_id = "silent";
  options.timeout_ms = 200;
  ck_assert_int_eq (
      run_command (&options, "apply", valid_path, NULL, &first_text),
      MARJORAM_CTL_UNKNOWN);
  stop_host ();
  start_host ();
  ck_assert_int_eq (run_command (&options, "apply", valid_path, NULL, &text),
                    MARJORAM_CTL_UNKNOWN);
  event_base_loopexit (host.base, NULL);
  pthread_join (host.thread, NULL);
  answer_change (host.unanswered, "accepted");
  answer_change (host.unanswered, "accepted");
  pthread_create (&host.thread, NULL, run_event_loop, host.base);
  free (text);
  options.timeout_ms = 20000;
  ck_assert_int_eq (run_command (&options, "status", NULL, NULL, &text), 0);
}
END_TEST

START_TEST (accepts_each_call_once)
{
  marjoram_replays *replays = marjoram_replays_create (START_WALL);
  const int64_t window = MARJORAM_REPLAY_WINDOW_MS;
  const struct
  {
    int64_t wall_ms;
    int64_t sent;
    const char *nonce;
    enum marjoram_replay_verdict verdict;
  } calls[] = {
    { 0, -1, NONCE "0", MARJORAM_REPLAY_EXPIRED },
    { 0, window + 1, NONCE "0", MARJORAM_REPLAY_EARLY },
    { 0, window, NONCE "0", MARJORAM_REPLAY_FRESH },
    { 0, window, NONCE "0", MARJORAM_REPLAY_REUSED },
    { 2 * window, window, NONCE "0", MARJORAM_REPLAY_REUSED },
    { 2 * window + 1, window, NONCE "0", MARJORAM_REPLAY_EXPIRED },
    { 2 * window + 1, window + 1, NONCE "1", MARJORAM_REPLAY_FRESH },
    /* Expired nonces stay invalid after the clock is set back.  */
    { 0, window, NONCE "0", MARJORAM_REPLAY_EXPIRED },
  };

  for (size_t i = 0; i < sizeof calls / sizeof *calls; i++)
    ck_assert_msg (
        marjoram_replays_check (replays, START_WALL + calls[i].wall_ms,
                                START_WALL + calls[i].sent, calls[i].nonce)
            == calls[i].verdict,
        "call %zu", i);
  ck_assert_uint_eq (marjoram_replays_count (replays), 1);
  marjoram_replays_destroy (replays);
}
END_TEST

START_TEST (shows_differences_without_tokens)
{
  marjoram_auto_free char *text = marjoram_config_file_diff (
      "[caller x]\ntoken = old\nrate = 1\n[caller y]\nrate = 2\n",
      "[region r]\n[caller x]\nrate = 3\ntoken = new\nburst = 4\n");

  ck_assert_str_eq (text, "  [caller x]\n-   token = (not shown)\n"
                          "-   rate = 1\n+   rate = 3\n"
                          "+   token = (not shown)\n+   burst = 4\n"
                          "- [caller y]\n-   rate = 2\n+ [region r]\n");
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("control");
  TCase *c = tcase_create ("control");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_loop_test (c, runs_commands, 0,
                       sizeof command_cases / sizeof *command_cases);
  tcase_add_test (c, prints_json_and_generates_change_ids);
  tcase_add_test (c, tries_next_host_only_if_unreachable);
  tcase_add_test (c, rejects_wrong_secret);
  tcase_add_test (c, rejects_replayed_and_unsigned_calls);
  tcase_add_test (c, rejects_malformed_calls);
  tcase_add_test (c, survives_disconnected_client);
  tcase_add_test (c, accepts_each_call_once);
  tcase_add_test (c, shows_differences_without_tokens);
  suite_add_tcase (s, c);
  return s;
}
