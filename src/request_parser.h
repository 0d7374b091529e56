/* Parsing of HTTP requests: callers' requests into calls, upstreams'
   announcements.  Ambiguous requests are refused.  */
#ifndef MARJORAM_REQUEST_PARSER_H
#define MARJORAM_REQUEST_PARSER_H

#include "host.h"

#include <event2/http.h>

/* Checks that the framing is unambiguous and the Host header is present.  */
bool marjoram_request_parser_check_framing (struct evhttp_request *request,
                                            struct marjoram_error *err);
/* A new call without a number, or null with REASON and ERR set.  */
struct marjoram_call *
marjoram_request_parser_call (struct evhttp_request *request,
                              enum marjoram_reason *reason,
                              struct marjoram_error *err);
/* A new announcement, to be freed with marjoram_wire_destroy and its layout,
   or null with ERR set.  */
struct marjoram_announcement *
marjoram_request_parser_announcement (struct evhttp_request *request,
                                      struct marjoram_error *err);

#endif
