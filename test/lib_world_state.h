/* The inside of lib_world, shared by its two files.  */
#ifndef MARJORAM_TEST_LIB_WORLD_STATE_H
#define MARJORAM_TEST_LIB_WORLD_STATE_H

#include "lib_world.h"
#include "route.h"

enum
{
  WORLD_SLOTS_MAX = 16,
  WORLD_ENGINES_MAX = 64,
  WORLD_CALLERS_MAX = 4096,
  WORLD_US = 1000,        /* in a millisecond */
  WORLD_CALLER_US = 1000, /* one way, caller to host */
  WORLD_ENGINE_US = 200,  /* one way, host to engine */
  WORLD_TICK_MS = 1000
};

struct host
{
  marjoram_members *members;
  marjoram_router *router;
  marjoram_random *random;
  int zone;
  int turn; /* round robin */
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

/* One try of one request at one engine.  */
struct attempt
{
  struct world_request *request;
  struct batch_job job;
  struct host *first; /* the host that the caller asked */
  struct host *last;  /* the host that chose the engine */
  struct engine *engine;
  struct marjoram_query query;
  int number; /* the request's attempts when it began */
  int64_t began_us;
  struct attempt *next_made;
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
  struct attempt *made;
  int64_t limited[WORLD_CALLERS_MAX];
};

void world_schedule (struct world *world, int64_t at_us,
                     void (*run) (struct world *, void *, int), void *object,
                     int number);
int64_t world_now_ms (const struct world *world);
/* One way between hosts of two zones.  */
int64_t world_link_us (const struct world *world, int a, int b);
bool world_linked (const struct world *world, int a, int b);
/* The caller's next try of a request.  */
void world_send (struct world *world, void *request, int tries_so_far);
/* An attempt's engine has died.  */
void world_failed (struct world *world, struct attempt *attempt);

#endif
