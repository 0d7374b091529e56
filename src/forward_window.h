/* Limits the requests that this host has forwarded to other regions and that
   have no first event yet.  Load: one region has more demand than capacity
   while others have some left.  Its hosts choose the same region on reports
   that are up to 200 ms old, so that together they exceed what it has left;
   the limit follows what it accepts.

   For each region and service the limit starts low and grows with each request
   that begins in time.  It is halved, at most once a round trip, when a
   request is refused or does not begin in time, and is never below one, so
   that a region that recovers is found again.  After a silence it falls back
   to its lowest value.  Pure decision logic.  */
#ifndef MARJORAM_FORWARD_WINDOW_H
#define MARJORAM_FORWARD_WINDOW_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

typedef struct marjoram_forward_windows marjoram_forward_windows;
struct marjoram_forward_window;

enum
{
  MARJORAM_FORWARD_LIMIT_START = 8, /* requests */
  MARJORAM_FORWARD_LIMIT_MAX = 1024,
  /* Time without a first event or a refusal after which a region where a
     request should have begun counts as silent.  */
  MARJORAM_FORWARD_SILENCE_MS = 1000
};

/* A forwarded request, embedded in the owner's record of it.  Zeroed before
   its first use.  */
struct marjoram_forwarded_request
{
  TAILQ_ENTRY (marjoram_forwarded_request) link;
  struct marjoram_forward_window *window; /* null: not counted */
  int64_t sent_at;
  int64_t expected_ms; /* by the region's offer */
  int64_t usual_at;    /* by then most requests have begun */
  int64_t due_at;      /* its caller needs the first event; not before the
                          usual time */
  bool late;
};

/* What a request needs of a window.  */
struct marjoram_forward_need
{
  /* Its own region may still serve it in time.  Such requests leave half of
     the limit to those that would be refused.  */
  bool optional;
  /* Cost of moving it: the prefill of prompt tokens that are not cached there
     and the transfer of its body.  Requests that cost more than the mean leave
     a quarter of the limit to others.  */
  double move_ms;
};

marjoram_forward_windows *marjoram_forward_windows_create (void);
/* Requests that are counted must not be passed to any function afterwards.  */
void marjoram_forward_windows_destroy (marjoram_forward_windows *windows);

/* Whether a request may be forwarded to REGION now.  */
bool marjoram_forward_windows_has_room (
    const marjoram_forward_windows *windows, int64_t now, const char *region,
    const char *service, const struct marjoram_forward_need *need);
/* REQUEST was forwarded; by the region's offer its first event is expected
   after EXPECTED_MS, and its caller needs it within TIME_LEFT_MS.  Requests
   are counted also when there was no room.  */
void
marjoram_forward_windows_sent (marjoram_forward_windows *windows, int64_t now,
                               const char *region, const char *service,
                               const struct marjoram_forward_need *need,
                               int64_t expected_ms, int64_t time_left_ms,
                               struct marjoram_forwarded_request *request);

/* Each of these ends the counting of REQUEST and does nothing if it is not
   counted.  */
void
marjoram_forwarded_request_began (struct marjoram_forwarded_request *request,
                                  int64_t now);
/* The other region refused it for want of capacity.  */
void
marjoram_forwarded_request_refused (struct marjoram_forwarded_request *request,
                                    int64_t now);
/* It was given up, or the link broke.  */
void
marjoram_forwarded_request_lost (struct marjoram_forwarded_request *request,
                                 int64_t now);
/* It ended without a first event for a reason that says nothing about the
   region's capacity.  */
void marjoram_forwarded_request_cancelled (
    struct marjoram_forwarded_request *request);

/* Finds requests that did not begin in time and silent regions; to be called
   every 25 ms.  */
void marjoram_forward_windows_tick (marjoram_forward_windows *windows,
                                    int64_t now);

typedef void (*marjoram_forward_visit) (void *context, const char *region,
                                        const char *service, int64_t limit,
                                        int64_t in_flight);
void marjoram_forward_windows_visit (const marjoram_forward_windows *windows,
                                     marjoram_forward_visit visit,
                                     void *context);

#endif
