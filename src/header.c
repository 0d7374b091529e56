#include "header.h"

#include "frame.h"
#include "state.h"

#include <string.h>
#include <strings.h>
#include <sys/queue.h>

enum
{
  LENGTH_DIGITS_MAX = 18 /* those of a number of 64 bits */
};

bool
marjoram_header_is_forwarded (const char *name)
{
  static const char *const not_forwarded[] = { "Connection",
                                               "Transfer-Encoding",
                                               "Content-Length",
                                               "Keep-Alive",
                                               "Proxy-Connection",
                                               "Upgrade",
                                               "Trailer",
                                               "TE",
                                               "Date",
                                               "Server",
                                               "Host",
                                               "Expect",
                                               "Authorization",
                                               "Idempotency-Key" };

  for (size_t i = 0; i < sizeof not_forwarded / sizeof *not_forwarded; i++)
    if (strcasecmp (name, not_forwarded[i]) == 0)
      return false;
  return strncasecmp (name, "Marjoram-", strlen ("Marjoram-")) != 0;
}

size_t
marjoram_header_count (const struct evkeyvalq *headers, const char *name,
                       const char **value)
{
  const struct evkeyval *header;
  size_t count = 0;

  TAILQ_FOREACH (header, headers, next)
  {
    if (strcasecmp (header->key, name) != 0)
      continue;
    count++;
    if (value)
      *value = header->value;
  }
  return count;
}

bool
marjoram_header_is_length (const char *value)
{
  const size_t digits = strspn (value, "0123456789");

  return digits > 0 && digits <= LENGTH_DIGITS_MAX
         && value[digits + strspn (value + digits, " \t")] == '\0';
}

bool
marjoram_header_is_chunked (const char *value)
{
  static const char chunked[] = "chunked";
  const size_t size = strlen (chunked);

  return strncasecmp (value, chunked, size) == 0
         && value[size + strspn (value + size, " \t")] == '\0';
}

bool
marjoram_headers_fit_frame (const struct evkeyvalq *headers)
{
  const struct evkeyval *header;
  size_t count = 0;

  TAILQ_FOREACH (header, headers, next)
  {
    if (!marjoram_header_is_forwarded (header->key))
      continue;
    if (++count > MARJORAM_HEADERS_MAX
        || strlen (header->key) > MARJORAM_NAME_MAX
        || strlen (header->value) > MARJORAM_HEADER_VALUE_MAX)
      return false;
  }
  return true;
}
