/* Commands of marjoramctl that read the event logs of hosts.  */
#include "ctl_private.h"

#include "account.h"
#include "cleanup.h"

#include <errno.h>
#include <string.h>

/* Lines that tell of one request, from all files, in the order of their
   times.  */
struct found_line
{
  double at;
  char *text;
};

struct found_lines
{
  struct found_line *items;
  size_t count;
};

static void
keep_line (struct found_lines *found, double at, const char *text)
{
  found->items
      = realloc (found->items, (found->count + 1) * sizeof *found->items);
  if (!found->items)
    abort ();
  found->items[found->count++]
      = (struct found_line){ at, marjoram_strdup (text) };
}

static int
by_time (const void *one, const void *other)
{
  double a = ((const struct found_line *)one)->at;
  double b = ((const struct found_line *)other)->at;

  return (a > b) - (a < b);
}

static bool
is_of (const struct marjoram_log_line *line, const char *id)
{
  const char *found = marjoram_log_line_get (line, "id");

  return found && strcmp (found, id) == 0;
}

/* Returns how many of its lines are lines of the log.  */
static size_t
read_lines (FILE *in, const char *id, marjoram_account *account,
            struct found_lines *found)
{
  marjoram_auto_free char *text = NULL;
  marjoram_auto_free char *whole = NULL;
  size_t size = 0;
  size_t count = 0;

  while (getline (&text, &size, in) >= 0)
    {
      struct marjoram_log_line line;

      free (whole);
      whole = marjoram_strdup (text);
      if (!marjoram_log_line_read (text, &line))
        continue;
      count++;
      if (!id)
        marjoram_account_add (account, &line);
      else if (is_of (&line, id))
        keep_line (found, line.at, whole);
    }
  return count;
}

static enum marjoram_ctl_status
read_file (struct marjoram_ctl_call *call, const char *path,
           marjoram_account *account, struct found_lines *found)
{
  bool is_input = strcmp (path, "-") == 0;
  FILE *in = is_input ? stdin : fopen (path, "r");
  size_t count;

  if (!in)
    {
      fprintf (call->errors, "marjoramctl: %s: %s; give logs of hosts\n", path,
               strerror (errno));
      return MARJORAM_CTL_USAGE;
    }
  count = read_lines (in, call->options->id, account, found);
  if (!is_input)
    fclose (in);
  if (count > 0)
    return MARJORAM_CTL_DONE;
  fprintf (call->errors,
           "marjoramctl: %s: no line of the event log in it; give what "
           "marjoramd wrote to its standard output\n",
           path);
  return MARJORAM_CTL_REFUSED;
}

static enum marjoram_ctl_status
print_found (struct marjoram_ctl_call *call, struct found_lines *found)
{
  if (found->count == 0)
    {
      fprintf (call->errors,
               "marjoramctl: no line of %s; give the logs of all hosts of "
               "that time, and look for lines_dropped\n",
               call->options->id);
      return MARJORAM_CTL_REFUSED;
    }
  qsort (found->items, found->count, sizeof *found->items, by_time);
  for (size_t i = 0; i < found->count; i++)
    {
      fputs (found->items[i].text, call->out);
      free (found->items[i].text);
    }
  return MARJORAM_CTL_DONE;
}

enum marjoram_ctl_status
marjoram_ctl_account (struct marjoram_ctl_call *call)
{
  static const char by_default[] = "cause,route";
  const char *by = call->options->by ? call->options->by : by_default;
  marjoram_account *account = marjoram_account_create (by);
  struct found_lines found = { 0 };
  enum marjoram_ctl_status status = MARJORAM_CTL_DONE;

  if (!account)
    return marjoram_ctl_complain (
        call, MARJORAM_CTL_USAGE,
        "--by takes one to six names, for example cause,route or "
        "second,upstream");
  for (int i = 0; i < call->arg_count && status == MARJORAM_CTL_DONE; i++)
    status = read_file (call, call->args[i], account, &found);
  if (status == MARJORAM_CTL_DONE && call->options->id)
    status = print_found (call, &found);
  else if (status == MARJORAM_CTL_DONE)
    marjoram_account_print (account, call->out);
  free (found.items);
  marjoram_account_destroy (account);
  return status;
}
