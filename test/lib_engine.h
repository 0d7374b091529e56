/* Fake model engine: runs in continuous batching, prefix cache, fault
   injection and a history file of run events.  */
#ifndef MARJORAM_TEST_ENGINE_H
#define MARJORAM_TEST_ENGINE_H

#include "lib_announce.h"
#include "lib_answer.h"

#include <event2/http.h>
#include <stdint.h>
#include <sys/queue.h>

enum
{
  NAME_SIZE = 160,
  PREFIX_BYTES = 256,
  BYTES_PER_TOKEN = 4,
  SERVICE_TOKENS = 4,
  LATE_MS = 100,   /* maximum backlog of steps made up after a late timer */
  KEEP_MS = 10000, /* retention of completed runs for resumption */
  SLOW_FACTOR = 20,
  CACHE_MAX = 4096,
  CRASH_STATUS = 9
};

/* Faults that can be injected into a run.  */
enum fault
{
  FAULT_NONE,
  FAULT_CUT_LENGTH,   /* half the body after a full Content-Length */
  FAULT_CUT_CHUNKS,   /* half the body, chunked, without the final chunk */
  FAULT_CUT_BARE,     /* half the body, neither Content-Length nor chunked */
  FAULT_TWO_FRAMINGS, /* both Content-Length and Transfer-Encoding */
  FAULT_TWO_LENGTHS,  /* two different Content-Length headers */
  FAULT_DOUBLE,       /* response sent twice */
  FAULT_SILENT,       /* runs but never responds */
  FAULT_SLOW,         /* runs SLOW_FACTOR times slower */
  FAULT_REFUSE,       /* 503 that does not say whether the request ran */
  FAULT_REFUSE_NOT_RUN,
  FAULT_EXIT_AFTER, /* completes the run, then exits before responding */
  FAULT_CRASH,      /* exits during the run */
  FAULT_COUNT
};

enum run_state
{
  RUN_WAITING,
  RUN_RUNNING,
  RUN_DONE,
  RUN_ENDED /* cancelled or aborted by a fault */
};

struct run
{
  TAILQ_ENTRY (run) active; /* queued or running */
  STAILQ_ENTRY (run) kept;  /* ended, available for resumption */
  struct engine *engine;
  enum run_state state;
  enum fault fault;
  char id[NAME_SIZE];
  char key[NAME_SIZE];
  char digest[FAKE_DIGEST_SIZE];
  char *answer;
  size_t size;
  size_t ready; /* bytes of the answer generated so far */
  bool stream;
  bool chunked; /* the current reader gets a chunked response */
  bool replied; /* response headers were sent to the reader */
  int priority;
  int tokens;
  int produced;
  int64_t prefill_us;
  int64_t gone_ms; /* when the reader disconnected, 0 while connected */
  int64_t done_ms;
  struct evhttp_request *reader;
  size_t offset; /* offset of the next byte to send */
};

TAILQ_HEAD (active_runs, run);
STAILQ_HEAD (kept_runs, run);

struct options
{
  const char *name;
  const char *zone;
  const char *listen;
  const char *address; /* address to announce */
  const char *entries;
  const char *works;
  const char *loadable; /* models that can be loaded on request */
  const char *history;
  const char *crash_on;
  const char *fault;
  bool service;
  bool fences;
  bool resume;
  int slots;
  int lease_ms;
  int token_ms;
  int prefill_us;
  int work_ms;
  int linger_ms;
  int lag_ms;
  int cache_size;
  int cache_ms;  /* interval of cache events */
  int cache_gap; /* every cache_gap-th event is dropped */
  int load_ms;
  int store_busy; /* number of load requests to reject with 429 */
};

struct engine
{
  struct options options;
  struct event_base *base;
  struct evhttp *http;
  struct event *step;
  struct event *lag;
  struct event *cache_event;
  announcer *announcer;
  struct active_runs active;
  struct kept_runs kept;
  int64_t incarnation;
  int running, waiting;
  int reported_running, reported_waiting;
  uint64_t fence;
  char loading[NAME_SIZE];    /* model being loaded */
  char loaded[4 * NAME_SIZE]; /* models loaded on request, each followed by a
                                 comma */
  struct event *load_end;
  int history_fd;
  int64_t stepped_ms; /* time up to which steps have run */
  bool stopping;
  /* Fault injected into the next FAULT_LEFT runs (all if negative) whose body
     contains FAULT_MATCH.  */
  enum fault fault;
  int fault_left;
  char fault_match[NAME_SIZE];
  /* Prefix hashes, least recently used first.  */
  uint64_t cache[CACHE_MAX];
  int cached;
  json_t *cache_added;
  json_t *cache_removed;
  json_int_t cache_sequence;
  json_t *barred; /* request IDs that must not start any more */
};

int64_t engine_now (void);

/* Appends one line to the history file with a single write.  */
void engine_record (struct engine *engine, const char *event, const char *id,
                    const char *key, const char *digest, json_int_t number);
void engine_record_run (struct run *run, const char *event);

/* Injects the fault NAME (none if NULL) into the next COUNT runs, all if
   negative, whose body contains MATCH.  */
void engine_set_fault (struct engine *engine, const char *name, int count,
                       const char *match);
enum fault engine_pick_fault (struct engine *engine, const char *text);

/* Returns whether the prefix of PROMPT was cached, and caches it as most
   recently used.  */
bool engine_cache_use (struct engine *engine, const char *prompt);
/* Timer callback: reports cache changes to an entry host.  */
void engine_report_cache (evutil_socket_t fd, short what, void *context);

/* Queues RUN and takes ownership of it.  */
void engine_add (struct run *run, struct evhttp_request *reader);
/* Sends the answer of RUN from byte OFFSET on as the response to REQUEST,
   chunked or with Content-Length.  */
void engine_attach (struct run *run, struct evhttp_request *request,
                    size_t offset, bool chunked);
void engine_deliver (struct run *run);
struct run *engine_find (struct engine *engine, const char *id);
/* Timer callback: runs one step for each token interval elapsed, so that late
   timers do not slow the engine down.  */
void engine_step (evutil_socket_t fd, short what, void *context);

#endif
