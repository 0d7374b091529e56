/* Simulated model engine in virtual time, with continuous batching, chunked
   prefill, a bounded prefix cache, priorities and cancellation.  A process can
   hold any number of them.  */
#ifndef MARJORAM_TEST_LIB_BATCH_H
#define MARJORAM_TEST_LIB_BATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct batch_options
{
  int slots;           /* maximum batch size */
  double step_ms;      /* base duration of an iteration */
  double stream_ms;    /* added per decoding stream */
  double prefill_rate; /* tokens per second */
  int chunk;           /* maximum prefill tokens per iteration */
  int cache_tokens;
  double slowness; /* multiplies all durations */
};

struct batch_job
{
  int priority; /* 0 is the highest */
  int prompt;
  int prefix_tokens; /* length of the shared prefix */
  uint64_t prefix;   /* prefix ID, 0 if none */
  int answer;
  void *owner;
  /* Maintained by the engine.  */
  int prefill_left;
  int decode_left;
  bool placed;
  bool prefilled;
  int64_t arrived_us;
  int64_t first_us; /* time of the first token */
};

struct batch_engine;

struct batch_engine *batch_create (const struct batch_options *options);
void batch_destroy (struct batch_engine *engine);
void batch_set_slowness (struct batch_engine *engine, double slowness);
void batch_add (struct batch_engine *engine, int64_t now_us,
                struct batch_job *job);
/* Returns false if the job is not queued or running.  */
bool batch_cancel (struct batch_engine *engine, struct batch_job *job);
/* Runs one iteration starting at NOW_US and calls DONE for each job that
   completes.  Returns its duration in microseconds, or 0 if the engine is
   idle.  */
int64_t batch_step (struct batch_engine *engine, int64_t now_us,
                    void (*done) (void *context, struct batch_job *job),
                    void *context);
int batch_running (const struct batch_engine *engine);
int batch_waiting (const struct batch_engine *engine);
/* Total number of prefill tokens computed.  */
int64_t batch_prefilled (const struct batch_engine *engine);
/* Clears the cache and all jobs, as a restart does.  */
void batch_reset (struct batch_engine *engine);

#endif
