/* Stands in for a model engine in virtual time: continuous batching, chunked
   prefill, a prefix cache of limited size, priorities, cancelling.  One
   process holds as many as a benchmark wants.  */
#ifndef MARJORAM_TEST_LIB_BATCH_H
#define MARJORAM_TEST_LIB_BATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct batch_options
{
  int slots;           /* requests in one batch */
  double step_ms;      /* one iteration of an empty batch */
  double stream_ms;    /* more for each stream that decodes */
  double prefill_rate; /* tokens a second */
  int chunk;           /* most prefill tokens in one iteration */
  int cache_tokens;
  double slowness; /* factor of all times */
};

struct batch_job
{
  int priority; /* 0 goes first */
  int prompt;
  int prefix_tokens; /* of the prompt */
  uint64_t prefix;   /* which prefix */
  int answer;
  void *owner;
  /* Kept by the engine.  */
  int prefill_left;
  int decode_left;
  bool placed;
  bool prefilled;
  int64_t arrived_us;
  int64_t first_us; /* first token */
};

struct batch_engine;

struct batch_engine *batch_create (const struct batch_options *options);
void batch_destroy (struct batch_engine *engine);
void batch_slow (struct batch_engine *engine, double slowness);
void batch_add (struct batch_engine *engine, int64_t now_us,
                struct batch_job *job);
/* False if it is not there any more.  */
bool batch_cancel (struct batch_engine *engine, struct batch_job *job);
/* Runs one iteration that starts now; returns how long it takes, or 0 if there
   is nothing to do.  The jobs that end with it are handed to DONE.  */
int64_t batch_step (struct batch_engine *engine, int64_t now_us,
                    void (*done) (void *context, struct batch_job *job),
                    void *context);
int batch_running (const struct batch_engine *engine);
int batch_waiting (const struct batch_engine *engine);
/* All prefill tokens computed so far.  */
int64_t batch_prefilled (const struct batch_engine *engine);
/* Forgets the cache and all jobs, as a restart does.  */
void batch_reset (struct batch_engine *engine);

#endif
