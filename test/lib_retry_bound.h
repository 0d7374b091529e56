/* Records which upstreams asked which hosts to stay away, by Retry-After, and
   counts the requests that arrive all the same.  */
#ifndef MARJORAM_TEST_LIB_RETRY_BOUND_H
#define MARJORAM_TEST_LIB_RETRY_BOUND_H

#include <stdint.h>

enum
{
  /* Requests that may arrive at an upstream after it asked a host to stay
     away.  */
  RETRY_BOUND_REQUESTS_MAX = 2
};

struct retry_bound;

struct retry_bound *retry_bound_create (void);
void retry_bound_destroy (struct retry_bound *bound);
/* At AT_MS, UPSTREAM asks HOST to stay away for MS.  */
void retry_bound_ask (struct retry_bound *bound, int64_t at_ms, int host,
                      int upstream, int64_t ms);
void retry_bound_add_request (struct retry_bound *bound, int64_t at_ms,
                              int host, int upstream);
/* What HOST was asked before counts no longer.  */
void retry_bound_excuse_host (struct retry_bound *bound, int host);
/* What UPSTREAM asked before counts no longer.  */
void retry_bound_excuse_upstream (struct retry_bound *bound, int upstream);
int retry_bound_asked (const struct retry_bound *bound);
/* How often more requests arrived than are allowed.  */
int retry_bound_broken (const struct retry_bound *bound);
/* The most requests that arrived after an upstream asked a host.  */
int retry_bound_worst (const struct retry_bound *bound);

#endif
