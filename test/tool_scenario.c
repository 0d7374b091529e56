/* Runs one scenario: a Lua script that starts programs connected through
   relays, sends requests and checks the responses.  This file provides the
   system functions; test/scenarios/prelude.lua builds the scenario functions
   on top of them.  All started processes are killed on exit.  */
#include "cleanup.h"
#include "clock.h"
#include "lib_answer.h"
#include "lib_call.h"
#include "lib_process.h"
#include "lib_relay.h"
#include "lib_steady.h"
#include "random.h"

#include <event2/event.h>
#include <ftw.h>
#include <getopt.h>
#include <jansson.h>
#include <lauxlib.h>
#include <libgen.h>
#include <lualib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum
{
  PATH_SIZE = 4096,
  ARGUMENTS_MAX = 64,
  HEADERS_MAX = 32,
  CALL_TIMEOUT_MS = 30000,
  LIMIT_MS = 120000, /* default of --limit */
  MSEC_PER_SEC = 1000,
  NETWORK = 20 /* relays and programs listen in 127.20.0.0/16 */
};

static struct event_base *base;
static marjoram_random *source;
static int64_t limit_ms;
static int64_t allowed_ms = LIMIT_MS;
static struct event *pause_end;
static struct relay_link *slow_link; /* slow link of this scenario, or NULL */

static int64_t
now_ms (void)
{
  return marjoram_clock_now (marjoram_clock_system ());
}

/* Processes.  */

/* spawn (arguments, log): returns the process ID.  */
static int
verb_spawn (lua_State *lua)
{
  char *argv[ARGUMENTS_MAX + 1] = { NULL };
  lua_Integer count = luaL_len (lua, 1);
  pid_t pid;

  luaL_argcheck (lua, count > 0 && count <= ARGUMENTS_MAX, 1, "length");
  for (lua_Integer i = 0; i < count; i++)
    {
      lua_geti (lua, 1, i + 1);
      argv[i] = (char *)luaL_tolstring (lua, -1, NULL);
    }
  pid = process_start (argv, luaL_checkstring (lua, 2));
  if (pid < 0)
    return luaL_error (lua, "cannot start %s", argv[0]);
  lua_pushinteger (lua, pid);
  return 1;
}

static int
signal_number (const char *name)
{
  static const struct
  {
    const char *name;
    int number;
  } signals[] = { { "kill", SIGKILL },
                  { "stop", SIGSTOP },
                  { "continue", SIGCONT },
                  { "terminate", SIGTERM },
                  { "hangup", SIGHUP } };

  for (size_t i = 0; i < sizeof signals / sizeof signals[0]; i++)
    if (strcmp (signals[i].name, name) == 0)
      return signals[i].number;
  return 0;
}

/* signal (pid, name).  */
static int
verb_signal (lua_State *lua)
{
  pid_t pid = (pid_t)luaL_checkinteger (lua, 1);
  int status;

  int number = signal_number (luaL_checkstring (lua, 2));

  luaL_argcheck (lua, number != 0, 2, "unknown signal");
  if (!process_ended (pid, &status))
    kill (pid, number);
  return 0;
}

/* ended (pid): returns the exit status, or nil while the process runs.  */
static int
verb_ended (lua_State *lua)
{
  int status;

  if (process_ended ((pid_t)luaL_checkinteger (lua, 1), &status))
    lua_pushinteger (lua, status);
  else
    lua_pushnil (lua);
  return 1;
}

/* Relays.  */

/* relay (address, target): returns a relay, or nil if the address is in
   use.  */
static int
verb_relay (lua_State *lua)
{
  struct relay *made = relay_create (base, luaL_checkstring (lua, 1),
                                     luaL_checkstring (lua, 2));

  if (made)
    lua_pushlightuserdata (lua, made);
  else
    lua_pushnil (lua);
  return 1;
}

/* Attaches RELAY to the slow link, creating it on first use.  */
static void
attach_to_slow_link (struct relay *relay, lua_Integer bytes_per_second,
                     bool at_target)
{
  if (!slow_link)
    slow_link = relay_link_create (bytes_per_second);
  relay_set_link (relay, slow_link, at_target);
}

/* relay_set (relay, word, milliseconds, bytes per second or lost packets per
   1,000).  "rate" attaches the relay to the slow link for outgoing connections
   of the link's host, "rate_in" for incoming ones.  The first call sets the
   rate.  */
static int
verb_relay_set (lua_State *lua)
{
  enum
  {
    DELAY = RELAY_REFUSE + 1,
    LOSS,
    RATE,
    RATE_IN,
    CHANGES
  };
  static const char *const words[]
      = { "pass",    "hold", "hold_answers", "refuse",        "delay",
          "loss",    "rate", "rate_in",      "silence",       "stall",
          "release", "drop", "downgrade",    "copy_refusals", NULL };
  static void (*const changes[]) (struct relay *)
      = { relay_silence, relay_stall,     relay_release,
          relay_drop,    relay_downgrade, relay_copy_refusals };
  struct relay *changed = lua_touserdata (lua, 1);
  int word = luaL_checkoption (lua, 2, NULL, words);

  if (word <= RELAY_REFUSE)
    relay_set_mode (changed, (enum relay_mode)word);
  else if (word == DELAY)
    relay_set_delay (changed, luaL_checkinteger (lua, 3));
  else if (word == LOSS)
    relay_set_loss (changed, (int)luaL_checkinteger (lua, 3),
                    marjoram_random_below (source, UINT32_MAX));
  else if (word < CHANGES)
    attach_to_slow_link (changed, luaL_checkinteger (lua, 3), word == RATE_IN);
  else
    changes[word - CHANGES](changed);
  return 0;
}

/* relay_counts (relay): returns total connections and bytes forwarded.  */
static int
verb_relay_counts (lua_State *lua)
{
  const struct relay *asked = lua_touserdata (lua, 1);

  lua_pushinteger (lua, (lua_Integer)relay_connections (asked));
  lua_pushinteger (lua, (lua_Integer)relay_bytes (asked));
  return 2;
}

/* Calls.  */

static const char *
text_field (lua_State *lua, const char *name, size_t *size)
{
  const char *text;

  lua_getfield (lua, 1, name); /* still referenced by the table */
  text = lua_tolstring (lua, -1, size);
  lua_pop (lua, 1);
  return text;
}

static size_t
read_headers (lua_State *lua, struct call_header *headers)
{
  size_t count = 0;

  lua_getfield (lua, 1, "headers");
  if (lua_istable (lua, -1))
    for (lua_pushnil (lua); lua_next (lua, -2) && count < HEADERS_MAX;
         lua_pop (lua, 1))
      headers[count++] = (struct call_header){ lua_tostring (lua, -2),
                                               lua_tostring (lua, -1) };
  return count;
}

/* call {address, method, path, headers, body, timeout}: returns a call.
   Without a method, BODY is sent as raw bytes.  */
static int
verb_call (lua_State *lua)
{
  struct call_header headers[HEADERS_MAX];
  struct call_request request = { .headers = headers };

  request.address = text_field (lua, "address", NULL);
  request.method = text_field (lua, "method", NULL);
  request.path = text_field (lua, "path", NULL);
  request.body = text_field (lua, "body", &request.size);
  luaL_argcheck (lua, request.address, 1, "missing address");
  lua_getfield (lua, 1, "timeout");
  request.timeout_ms = luaL_optinteger (lua, -1, CALL_TIMEOUT_MS);
  request.header_count = read_headers (lua, headers);
  lua_pushlightuserdata (lua, call_start (base, &request));
  return 1;
}

/* answer (call): returns nil while in progress, then whole, status, body.  */
static int
verb_answer (lua_State *lua)
{
  struct call *asked = lua_touserdata (lua, 1);
  const char *body;
  size_t size;

  if (!call_done (asked))
    return 0;
  body = call_body (asked, &size);
  lua_pushboolean (lua, call_whole (asked));
  lua_pushinteger (lua, call_status (asked));
  lua_pushlstring (lua, body ? body : "", size);
  return 3;
}

/* header (call, name): returns a response header or nil.  */
static int
verb_header (lua_State *lua)
{
  lua_pushstring (lua, call_header_value (lua_touserdata (lua, 1),
                                          luaL_checkstring (lua, 2)));
  return 1;
}

/* received (call): returns the number of body bytes received so far.  */
static int
verb_received (lua_State *lua)
{
  size_t size;

  call_body (lua_touserdata (lua, 1), &size);
  lua_pushinteger (lua, (lua_Integer)size);
  return 1;
}

/* hang_up (call): closes the connection.  */
static int
verb_hang_up (lua_State *lua)
{
  call_destroy (lua_touserdata (lua, 1));
  return 0;
}

/* Steady callers.  */

/* steady {address, start, number, callers, pause}: starts and returns steady
   callers.  */
static int
verb_steady (lua_State *lua)
{
  struct steady_options options = { 0 };

  options.address = text_field (lua, "address", NULL);
  options.start = text_field (lua, "start", NULL);
  options.number = text_field (lua, "number", NULL);
  luaL_argcheck (lua, options.address && options.start && options.number, 1,
                 "missing address, start or number");
  lua_getfield (lua, 1, "callers");
  options.callers = (int)luaL_checkinteger (lua, -1);
  lua_getfield (lua, 1, "pause");
  options.pause_ms = luaL_checkinteger (lua, -1);
  lua_pushlightuserdata (lua, steady_start (base, source, &options));
  return 1;
}

/* steady_counts (callers): returns a table of counts.  */
static int
verb_steady_counts (lua_State *lua)
{
  const struct steady_counts *counts = steady_counts (lua_touserdata (lua, 1));

  lua_newtable (lua);
  lua_pushinteger (lua, counts->served);
  lua_setfield (lua, -2, "served");
  lua_pushinteger (lua, counts->refused);
  lua_setfield (lua, -2, "refused");
  lua_pushinteger (lua, counts->lost);
  lua_setfield (lua, -2, "lost");
  lua_pushinteger (lua, counts->idle);
  lua_setfield (lua, -2, "idle");
  lua_pushinteger (lua, counts->away);
  lua_setfield (lua, -2, "away");
  return 1;
}

/* steady_end (callers).  */
static int
verb_steady_end (lua_State *lua)
{
  steady_destroy (lua_touserdata (lua, 1));
  return 0;
}

/* Digests, expected responses and JSON.  */

/* digest (method, path, body): returns the digest that a fake upstream
   computes for this request.  */
static int
verb_digest (lua_State *lua)
{
  char digest[FAKE_DIGEST_SIZE];
  size_t size;
  const char *body = luaL_checklstring (lua, 3, &size);

  fake_digest (digest, luaL_checkstring (lua, 1), luaL_checkstring (lua, 2),
               body, size);
  lua_pushstring (lua, digest);
  return 1;
}

/* right_answer (digest, tokens, stream): returns the expected body.  */
static int
verb_right_answer (lua_State *lua)
{
  marjoram_auto_free char *text
      = fake_answer (luaL_checkstring (lua, 1),
                     (int)luaL_checkinteger (lua, 2), lua_toboolean (lua, 3));

  lua_pushstring (lua, text);
  return 1;
}

static void push_json (lua_State *lua, json_t *value);

static void
push_members (lua_State *lua, json_t *value)
{
  const char *name;
  json_t *member;
  size_t index;

  lua_newtable (lua);
  json_object_foreach (value, name, member)
  {
    push_json (lua, member);
    lua_setfield (lua, -2, name);
  }
  json_array_foreach (value, index, member)
  {
    push_json (lua, member);
    lua_seti (lua, -2, (lua_Integer)index + 1);
  }
}

static void
push_json (lua_State *lua, json_t *value)
{
  if (json_is_object (value) || json_is_array (value))
    push_members (lua, value);
  else if (json_is_string (value))
    lua_pushstring (lua, json_string_value (value));
  else if (json_is_integer (value))
    lua_pushinteger (lua, json_integer_value (value));
  else if (json_is_real (value))
    lua_pushnumber (lua, json_real_value (value));
  else if (json_is_boolean (value))
    lua_pushboolean (lua, json_is_true (value));
  else
    lua_pushnil (lua);
}

/* json (text): returns the parsed value, or nil if TEXT is not valid
   JSON.  */
static int
verb_json (lua_State *lua)
{
  json_t *value
      = json_loads (luaL_checkstring (lua, 1), JSON_DECODE_ANY, NULL);

  push_json (lua, value);
  json_decref (value);
  return 1;
}

/* Time and randomness.  */

/* now (): returns the time in milliseconds.  */
static int
verb_now (lua_State *lua)
{
  lua_pushinteger (lua, now_ms ());
  return 1;
}

static void
ignore_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  (void)context;
}

/* turn (milliseconds): runs the event loop once, or for the given time.  */
static int
verb_turn (lua_State *lua)
{
  int64_t ms = luaL_checkinteger (lua, 1);
  struct timeval wait = { ms / 1000, ms % 1000 * 1000L };

  event_add (pause_end, &wait);
  event_base_loop (base, EVLOOP_ONCE);
  if (now_ms () > limit_ms)
    return luaL_error (lua, "scenario exceeded its time limit of %d s",
                       (int)(allowed_ms / MSEC_PER_SEC));
  return 0;
}

/* random (n): returns an integer from 1 to n.  */
static int
verb_random (lua_State *lua)
{
  lua_pushinteger (lua, 1
                            + (lua_Integer)marjoram_random_below (
                                source, (uint32_t)luaL_checkinteger (lua, 1)));
  return 1;
}

/* Files.  */

/* make_folder (path): creates a directory.  */
static int
verb_make_folder (lua_State *lua)
{
  if (mkdir (luaL_checkstring (lua, 1), 0700))
    return luaL_error (lua, "cannot create directory %s",
                       lua_tostring (lua, 1));
  return 0;
}

/* make_private (path): makes a file accessible to its owner only.  */
static int
verb_make_private (lua_State *lua)
{
  if (chmod (luaL_checkstring (lua, 1), 0600))
    return luaL_error (lua, "cannot change permissions of %s",
                       lua_tostring (lua, 1));
  return 0;
}

static int
remove_one (const char *path, const struct stat *stat, int kind,
            struct FTW *where)
{
  (void)stat;
  (void)kind;
  (void)where;
  return remove (path);
}

/* remove_all (path): removes a directory recursively.  */
static int
verb_remove_all (lua_State *lua)
{
  nftw (luaL_checkstring (lua, 1), remove_one, 16, FTW_DEPTH | FTW_PHYS);
  return 0;
}

static const luaL_Reg verbs[] = { { "spawn", verb_spawn },
                                  { "signal", verb_signal },
                                  { "ended", verb_ended },
                                  { "relay", verb_relay },
                                  { "relay_set", verb_relay_set },
                                  { "relay_counts", verb_relay_counts },
                                  { "call", verb_call },
                                  { "answer", verb_answer },
                                  { "header", verb_header },
                                  { "received", verb_received },
                                  { "hang_up", verb_hang_up },
                                  { "steady", verb_steady },
                                  { "steady_counts", verb_steady_counts },
                                  { "steady_end", verb_steady_end },
                                  { "digest", verb_digest },
                                  { "right_answer", verb_right_answer },
                                  { "json", verb_json },
                                  { "now", verb_now },
                                  { "turn", verb_turn },
                                  { "random", verb_random },
                                  { "make_folder", verb_make_folder },
                                  { "make_private", verb_make_private },
                                  { "remove_all", verb_remove_all },
                                  { NULL, NULL } };

static void
set_text (lua_State *lua, const char *name, const char *value)
{
  lua_pushstring (lua, value);
  lua_setfield (lua, -2, name);
}

/* Fills the Lua table "system" with functions and parameters.  */
static void
open_system (lua_State *lua, const char *programs, const char *folder,
             uint64_t seed)
{
  char network[PATH_SIZE];
  int pid = (int)getpid ();

  /* Each runner uses its own loopback address, so that concurrent runs can
     use the same ports.  */
  snprintf (network, sizeof network, "127.%d.%d.%d", NETWORK, pid / 250 % 250,
            1 + pid % 250);
  luaL_newlib (lua, verbs);
  set_text (lua, "programs", programs);
  set_text (lua, "folder", folder);
  set_text (lua, "address", network);
  lua_pushinteger (lua, (lua_Integer)seed);
  lua_setfield (lua, -2, "seed");
  lua_setglobal (lua, "system");
}

static int
with_trace (lua_State *lua)
{
  luaL_traceback (lua, lua, lua_tostring (lua, 1), 1);
  return 1;
}

static bool
run_file (lua_State *lua, const char *path)
{
  bool good;

  lua_pushcfunction (lua, with_trace);
  good = luaL_loadfile (lua, path) == LUA_OK
         && lua_pcall (lua, 0, 0, -2) == LUA_OK;
  if (!good)
    fprintf (stderr, "%s\n", lua_tostring (lua, -1));
  lua_settop (lua, 0);
  return good;
}

/* Runs prelude.lua, PATH and ending.lua.  The preludes are in
   VERBS_FOLDER.  */
static bool
run_scenario (const char *path, const char *verbs_folder, const char *programs,
              const char *folder, uint64_t seed)
{
  lua_State *lua = luaL_newstate ();
  char prelude[PATH_SIZE];
  char ending[PATH_SIZE];
  bool good;

  snprintf (prelude, sizeof prelude, "%s/prelude.lua", verbs_folder);
  snprintf (ending, sizeof ending, "%s/ending.lua", verbs_folder);
  luaL_openlibs (lua);
  open_system (lua, programs, folder, seed);
  good = run_file (lua, prelude) && run_file (lua, path)
         && run_file (lua, ending);
  process_kill_all ();
  lua_close (lua);
  return good;
}

static void
show_logs (const char *folder)
{
  fprintf (stderr, "files of this run are kept in %s\n", folder);
}

static const struct option long_options[]
    = { { "seed", required_argument, NULL, 's' },
        { "keep", no_argument, NULL, 'k' },
        { "prelude", required_argument, NULL, 'p' },
        { "limit", required_argument, NULL, 'l' },
        { NULL, 0, NULL, 0 } };

int
main (int argc, char **argv)
{
  char folder[] = "/tmp/marjoram-scenario-XXXXXX";
  char programs[PATH_SIZE] = "";
  marjoram_auto_free char *copy = NULL;
  const char *verbs_folder = NULL;
  uint64_t seed = 1;
  bool keep = false;
  bool good;
  int option;

  while ((option = getopt_long (argc, argv, "", long_options, NULL)) != -1)
    if (option == 's')
      seed = strtoull (optarg, NULL, 10);
    else if (option == 'k')
      keep = true;
    else if (option == 'p')
      verbs_folder = optarg;
    else if (option == 'l')
      allowed_ms = strtoll (optarg, NULL, 10) * MSEC_PER_SEC;
    else
      return EXIT_FAILURE;
  if (optind + 1 != argc || !realpath (argv[0], programs) || !mkdtemp (folder))
    {
      fprintf (stderr, "usage: tool_scenario [--seed N] [--keep] [--limit "
                       "SECONDS] [--prelude "
                       "FOLDER] FILE\n");
      return EXIT_FAILURE;
    }
  signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  pause_end = event_new (base, -1, 0, ignore_timer, NULL);
  source = marjoram_random_create (seed);
  limit_ms = now_ms () + allowed_ms;
  copy = marjoram_strdup (argv[optind]);
  good = run_scenario (argv[optind],
                       verbs_folder ? verbs_folder : dirname (copy),
                       dirname (programs), folder, seed);
  if (!good || keep)
    show_logs (folder);
  else
    nftw (folder, remove_one, 16, FTW_DEPTH | FTW_PHYS);
  printf ("%s %s seed %llu\n", good ? "PASS" : "FAIL", argv[optind],
          (unsigned long long)seed);
  fflush (NULL);
  _exit (good ? EXIT_SUCCESS : EXIT_FAILURE); /* skips cleanup */
}
