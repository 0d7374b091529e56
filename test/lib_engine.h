/* The batch of a stand-in model engine: its runs, its prefix cache, the faults
   that a test switched on, and the history of every start and end.  */
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
  LATE_MS = 100,   /* no more than this is made up for */
  KEEP_MS = 10000, /* an answer can be asked for again */
  SLOW_FACTOR = 20,
  CACHE_MAX = 4096,
  CRASH_STATUS = 9
};

/* What goes wrong with a run.  */
enum fault
{
  FAULT_NONE,
  FAULT_CUT_LENGTH,   /* half the body after a declared length */
  FAULT_CUT_CHUNKS,   /* half the body in chunks, no final one */
  FAULT_CUT_BARE,     /* half the body, no length and no chunks */
  FAULT_TWO_FRAMINGS, /* a length and chunks at once */
  FAULT_TWO_LENGTHS,  /* two lengths that differ */
  FAULT_DOUBLE,       /* the answer is sent twice */
  FAULT_SILENT,       /* runs, and never answers */
  FAULT_SLOW,         /* runs twenty times slower */
  FAULT_REFUSE,       /* 503 without a word whether it ran */
  FAULT_REFUSE_NOT_RUN,
  FAULT_EXIT_AFTER, /* runs to its end and dies before answering */
  FAULT_CRASH,      /* dies while running */
  FAULT_COUNT
};

enum run_state
{
  RUN_WAITING,
  RUN_RUNNING,
  RUN_DONE,
  RUN_ENDED /* cancelled, or broken off by a fault */
};

struct run
{
  TAILQ_ENTRY (run) active; /* waiting or running */
  STAILQ_ENTRY (run) kept;  /* has ended, may be asked for again */
  struct engine *engine;
  enum run_state state;
  enum fault fault;
  char id[NAME_SIZE];
  char key[NAME_SIZE];
  char digest[STAND_IN_DIGEST_SIZE];
  char *answer;
  size_t size;
  size_t ready; /* bytes of the answer that are there */
  bool stream;
  bool chunked; /* to the present reader */
  bool replied; /* the reader has got its head */
  int priority;
  int tokens;
  int produced;
  int64_t prefill_us;
  int64_t gone_ms; /* since when nobody reads; 0 if someone does */
  int64_t done_ms;
  struct evhttp_request *reader;
  size_t offset; /* of the reader's next byte */
};

TAILQ_HEAD (active_runs, run);
STAILQ_HEAD (kept_runs, run);

struct options
{
  const char *name;
  const char *zone;
  const char *listen;
  const char *address; /* that is announced */
  const char *entries;
  const char *works;
  const char *loadable; /* models that it loads on order */
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
  int cache_ms;  /* between cache events */
  int cache_gap; /* each so manieth event is lost */
  int load_ms;
  int store_busy; /* so many orders are answered 429 */
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
  char loading[NAME_SIZE];    /* the model that is being loaded */
  char loaded[4 * NAME_SIZE]; /* those loaded on order, each with a comma */
  struct event *load_end;
  int history_fd;
  int64_t stepped_ms; /* steps are done up to this time */
  bool stopping;
  /* The fault of the next FAULT_LEFT runs, all if below zero, whose body
     contains FAULT_MATCH.  */
  enum fault fault;
  int fault_left;
  char fault_match[NAME_SIZE];
  /* Prefixes, the longest unused first.  */
  uint64_t cache[CACHE_MAX];
  int cached;
  json_t *cache_added;
  json_t *cache_removed;
  json_int_t cache_sequence;
  json_t *barred; /* ids that may never start */
};

int64_t engine_now (void);

/* Appends one line to the history file, in one write.  */
void engine_record (struct engine *engine, const char *event, const char *id,
                    const char *key, const char *digest, json_int_t number);
void engine_record_run (struct run *run, const char *event);

/* NAME is one of the faults' words, null for none; it strikes the next COUNT
   runs, all if below zero, whose body contains MATCH.  */
void engine_set_fault (struct engine *engine, const char *name, int count,
                       const char *match);
enum fault engine_pick_fault (struct engine *engine, const char *text);

/* Whether PROMPT's prefix was cached; it is afterwards.  */
bool engine_cache_use (struct engine *engine, const char *prompt);
/* Tells an entry host what changed; for a timer.  */
void engine_cache_tell (evutil_socket_t fd, short what, void *context);

/* Queues RUN, which owns its memory from now on.  */
void engine_add (struct run *run, struct evhttp_request *reader);
/* REQUEST gets the answer from byte OFFSET on, in chunks or in one piece.  */
void engine_attach (struct run *run, struct evhttp_request *request,
                    size_t offset, bool chunked);
void engine_deliver (struct run *run);
struct run *engine_find (struct engine *engine, const char *id);
/* One token for each running request and each token time that has passed, so
   that a late timer does not slow the engine down; for a timer.  */
void engine_step (evutil_socket_t fd, short what, void *context);

#endif
