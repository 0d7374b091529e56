/* Internal declarations shared by lib_world.c and lib_world_request.c.  */
#ifndef MARJORAM_TEST_LIB_WORLD_STATE_H
#define MARJORAM_TEST_LIB_WORLD_STATE_H

#include "lib_world.h"
#include "route.h"

enum
{
  WORLD_SLOTS_MAX = 16,
  WORLD_ENGINES_MAX = 64,
  WORLD_CALLERS_MAX = 4096,
  WORLD_US = 1000,        /* microseconds per millisecond */
  WORLD_CALLER_US = 1000, /* one-way latency, caller to host */
  WORLD_ENGINE_US = 200,  /* one-way latency, host to engine */
  WORLD_TICK_MS = 1000
};

struct host
{
  marjoram_members *members;
  marjoram_router *router;
  marjoram_random *random;
  int zone;
  int turn; /* round-robin position */
};

struct engine
{
  char name[32];
  struct batch_engine *batch;
  struct batch_job **ended;
  int ended_count;
  int zone;
  int index;
  bool up;
  bool stepping;
  uint64_t incarnation;
  uint64_t sequence;
  int peak;
};

/* One attempt of a request.  */
struct attempt
{
  struct world_request *request;
  struct batch_job job;
  struct host *first; /* host that received the request */
  struct host *last;  /* host that selected the engine */
  struct engine *engine;
  struct marjoram_query query;
  int number; /* value of request->attempts at the start */
  int64_t began_us;
  struct attempt *next_attempt;
};

struct event
{
  int64_t at_us;
  uint64_t order;
  void (*run) (struct world *world, void *object, int number);
  void *object;
  int number;
};

struct world
{
  struct world_options options;
  marjoram_config *config;
  marjoram_random *random;
  struct host hosts[WORLD_ZONES_MAX][WORLD_SLOTS_MAX];
  struct engine engines[WORLD_ZONES_MAX][WORLD_ENGINES_MAX];
  bool cut[WORLD_ZONES_MAX];
  int zones;
  int slots;
  struct event *events;
  size_t event_count;
  size_t event_capacity;
  uint64_t order;
  int64_t now_us;
  struct attempt *all_attempts;
  int64_t limited[WORLD_CALLERS_MAX];
};

void world_schedule (struct world *world, int64_t at_us,
                     void (*run) (struct world *, void *, int), void *object,
                     int number);
int64_t world_now_ms (const struct world *world);
/* One-way latency between hosts of two zones.  */
int64_t world_link_us (const struct world *world, int a, int b);
bool world_linked (const struct world *world, int a, int b);
/* Sends the next attempt of a request.  */
void world_send (struct world *world, void *request, int tries_so_far);
/* Handles failure of the attempt's engine.  */
void world_failed (struct world *world, struct attempt *attempt);

#endif
