/* Reading of HTTP requests: from a caller's request to a call, from an
   upstream's words to an announcement.  What can be read in two ways is
   refused before it runs.  */
#ifndef MARJORAM_INTAKE_H
#define MARJORAM_INTAKE_H

#include "host.h"

#include <event2/http.h>

/* Whether the request's framing is unambiguous and its Host is there.  */
bool marjoram_intake_framing (struct evhttp_request *request,
                              struct marjoram_error *err);
/* A new call without a number, or null with REASON and ERR set.  */
struct marjoram_call *marjoram_intake_call (struct evhttp_request *request,
                                            enum marjoram_reason *reason,
                                            struct marjoram_error *err);
/* A new announcement, to be freed with marjoram_wire_destroy and its layout,
   or null with ERR set.  */
struct marjoram_announcement *
marjoram_intake_announcement (struct evhttp_request *request,
                              struct marjoram_error *err);

#endif
