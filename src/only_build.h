/* What a keeper says of the builds that a service has had.  That there was one
   build only rests on what was not heard, so all keepers that may have heard
   more must say so too.  Pure decision logic.  */
#ifndef MARJORAM_ONLY_BUILD_H
#define MARJORAM_ONLY_BUILD_H

#include "host_list.h"
#include "registry.h"

struct marjoram_only_build
{
  const char *build; /* null if there were several, or it is not known */
  uint64_t keepers;  /* that must say the same, this one included */
};

/* The build that SERVICE has had since SINCE.  A keeper that is lost need not
   be asked once its upstreams report to others; as long as they don't, they
   may be cut off together with it and have others beside them.  */
struct marjoram_only_build
marjoram_only_build_find (marjoram_registry *registry,
                          marjoram_host_list *hosts, int64_t now,
                          const char *service, int64_t since);

#endif
