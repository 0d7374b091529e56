#include "header_list.h"

#include "cleanup.h"

#include <string.h>
#include <strings.h>

enum
{
  INITIAL_CAPACITY = 12
};

static void
ensure_capacity (struct marjoram_header_list *list)
{
  if (list->count < list->capacity)
    return;
  list->capacity = list->capacity ? 2 * list->capacity : INITIAL_CAPACITY;
  list->items = realloc (list->items, list->capacity * sizeof *list->items);
  if (!list->items)
    abort ();
}

void
marjoram_header_list_add_size (struct marjoram_header_list *list,
                               const char *name, const char *value,
                               size_t size)
{
  struct marjoram_header *header;

  ensure_capacity (list);
  header = &list->items[list->count++];
  header->name = marjoram_strdup (name);
  header->value = marjoram_alloc (size + 1);
  memcpy (header->value, value, size);
}

void
marjoram_header_list_add (struct marjoram_header_list *list, const char *name,
                          const char *value)
{
  marjoram_header_list_add_size (list, name, value, strlen (value));
}

void
marjoram_header_list_set (struct marjoram_header_list *list, const char *name,
                          const char *value)
{
  size_t kept = 0;

  for (size_t i = 0; i < list->count; i++)
    {
      if (strcasecmp (list->items[i].name, name) != 0)
        {
          list->items[kept++] = list->items[i];
          continue;
        }
      free (list->items[i].name);
      free (list->items[i].value);
    }
  list->count = kept;
  marjoram_header_list_add (list, name, value);
}

const char *
marjoram_header_list_get (const struct marjoram_header_list *list,
                          const char *name)
{
  for (size_t i = 0; i < list->count; i++)
    if (strcasecmp (list->items[i].name, name) == 0)
      return list->items[i].value;
  return NULL;
}

size_t
marjoram_header_list_count (const struct marjoram_header_list *list,
                            const char *name)
{
  size_t times = 0;

  for (size_t i = 0; i < list->count; i++)
    times += strcasecmp (list->items[i].name, name) == 0;
  return times;
}

static bool
contains_token (const char *text, const char *token)
{
  size_t size = strlen (token);

  while (*text)
    {
      size_t length;

      text += strspn (text, " \t,");
      length = strcspn (text, " \t,");
      if (length == size && strncasecmp (text, token, size) == 0)
        return true;
      text += length;
    }
  return false;
}

bool
marjoram_header_list_has_token (const struct marjoram_header_list *list,
                                const char *name, const char *token)
{
  for (size_t i = 0; i < list->count; i++)
    if (strcasecmp (list->items[i].name, name) == 0
        && contains_token (list->items[i].value, token))
      return true;
  return false;
}

void
marjoram_header_list_clear (struct marjoram_header_list *list)
{
  for (size_t i = 0; i < list->count; i++)
    {
      free (list->items[i].name);
      free (list->items[i].value);
    }
  free (list->items);
  memset (list, 0, sizeof *list);
}

void
marjoram_header_list_move (struct marjoram_header_list *target,
                           struct marjoram_header_list *source)
{
  *target = *source;
  memset (source, 0, sizeof *source);
}

bool
marjoram_header_list_is_hop_by_hop (const struct marjoram_header_list *list,
                                    const char *name)
{
  static const char *const hop_by_hop[] = { "Connection",
                                            "Keep-Alive",
                                            "Proxy-Connection",
                                            "Transfer-Encoding",
                                            "Content-Length",
                                            "TE",
                                            "Trailer",
                                            "Upgrade",
                                            "Expect",
                                            "Proxy-Authenticate",
                                            "Proxy-Authorization" };

  for (size_t i = 0; i < sizeof hop_by_hop / sizeof *hop_by_hop; i++)
    if (strcasecmp (name, hop_by_hop[i]) == 0)
      return true;
  return marjoram_header_list_has_token (list, "Connection", name);
}
