/* Detects upstreams that have stopped answering without closing their
   connections, as a machine without power or network does, from a second
   source: new connections to their address.  The load that it answers: an
   upstream goes dark while it has many streams, which otherwise wait until TCP
   gives up on their connections.

   An upstream that has sent nothing for a while, although this host waits for
   its answers, is checked with up to two connections.  One that opens, or is
   refused or reset, shows that it is alive, however slow.  An upstream is dark
   if neither is answered and no data arrives meanwhile.  What another host
   reports leads to a check, never to a verdict by itself.

   No verdict is given while most upstreams in use seem dark at once, as then
   the fault is likely to be at this host; if no other is in use, a connection
   to another one is the comparison.  Upstreams that another host reports too
   do not count here: as a zone is lost, hosts that use few of its upstreams
   confirm what others must doubt.

   Pure decision logic: events and the time are passed in, operations are
   called back.  */
#ifndef MARJORAM_UPSTREAM_CHECK_H
#define MARJORAM_UPSTREAM_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct marjoram_upstream_checks marjoram_upstream_checks;

/* Results of a connection that was opened as a check.  */
enum marjoram_probe_result
{
  MARJORAM_PROBE_OPEN,
  MARJORAM_PROBE_REFUSED,   /* or reset */
  MARJORAM_PROBE_NO_ANSWER, /* within the time, or the address has no host */
  MARJORAM_PROBE_FAILED     /* this host could not try */
};

/* An upstream from which this host waits for answers.  */
struct marjoram_awaited_upstream
{
  const char *id;
  int64_t started_at; /* of the instance */
  const char *address;
  int waiting;      /* requests */
  int64_t heard_at; /* last data of any request; 0 if none */
  /* When the first event of one of the requests was expected; 0 if one of them
     has begun.  */
  int64_t due_at;
};

enum marjoram_check_event
{
  MARJORAM_CHECK_BEGUN,
  MARJORAM_CHECK_ALIVE,
  MARJORAM_CHECK_WITHHELD, /* no verdict: this host may be at fault */
  MARJORAM_CHECK_DARK,
  MARJORAM_CHECK_CLEARED /* no longer dark */
};

/* Whether an upstream should get new requests.  */
enum marjoram_silence
{
  MARJORAM_SILENCE_NONE,
  MARJORAM_SILENCE_SUSPECTED, /* only if there is no other */
  MARJORAM_SILENCE_DARK       /* no */
};

struct marjoram_checked_upstream
{
  const char *id;
  int64_t started_at;
  int64_t silent_ms; /* time without data */
  int waiting;       /* requests */
  bool is_told;      /* by another host that it is dark */
};

struct marjoram_upstream_checks_ops
{
  /* Opens a connection to ADDRESS and closes it at once.  Its result is passed
     to marjoram_upstream_checks_probed; MARJORAM_PROBE_NO_ANSWER after
     TIMEOUT_MS of this host's input.  Must not call back before it returns. */
  void (*open) (void *context, uint64_t probe, const char *address,
                int64_t timeout_ms);
  void (*event) (void *context, enum marjoram_check_event event,
                 const struct marjoram_checked_upstream *upstream);
  /* The address of an upstream other than ID that should be alive; null if
     there is none.  */
  const char *(*other) (void *context, const char *id);
  /* Called when that changes.  */
  void (*silence) (void *context, const char *id,
                   enum marjoram_silence silence);
};

/* OPS and CONTEXT are borrowed.  */
marjoram_upstream_checks *marjoram_upstream_checks_create (
    const struct marjoram_upstream_checks_ops *ops, void *context);
/* Calls no operation.  */
void marjoram_upstream_checks_destroy (marjoram_upstream_checks *checks);

/* To be called at least every 25 ms, with all upstreams from which this host
   waits for answers.  Input that arrived within the last LAG_MS may not have
   been processed yet.  Verdicts are given only within this call.  */
void marjoram_upstream_checks_tick (
    marjoram_upstream_checks *checks, int64_t now, int64_t lag_ms,
    const struct marjoram_awaited_upstream *awaited, size_t count);
/* The result of a connection; unknown ones are ignored.  */
void marjoram_upstream_checks_probed (marjoram_upstream_checks *checks,
                                      int64_t now, uint64_t probe,
                                      enum marjoram_probe_result result);
/* Another host reports that the instance of ID that started at STARTED_AT is
   dark.  It is checked at once, also if this host waits for nothing there, as
   otherwise the first requests would be lost.  */
void marjoram_upstream_checks_told (marjoram_upstream_checks *checks,
                                    int64_t now, const char *id,
                                    int64_t started_at, const char *address);
/* A keeper heard dark upstream ID at HEARD_AT.  */
void marjoram_upstream_checks_heard (marjoram_upstream_checks *checks,
                                     int64_t now, const char *id,
                                     int64_t heard_at);
/* Forgets ID, which may be dark: it is gone or has started again.  */
void marjoram_upstream_checks_forget (marjoram_upstream_checks *checks,
                                      int64_t now, const char *id);
/* Forgets all upstreams.  */
void marjoram_upstream_checks_clear (marjoram_upstream_checks *checks,
                                     int64_t now);
/* Calls VISIT for each dark upstream; SILENT_MS is the time since its verdict.
   VISIT may let the upstream be heard or forgotten.  */
void marjoram_upstream_checks_visit_dark (
    marjoram_upstream_checks *checks, int64_t now,
    void (*visit) (void *context,
                   const struct marjoram_checked_upstream *upstream),
    void *context);

#endif
