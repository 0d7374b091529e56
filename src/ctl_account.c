/* The account command of marjoramctl, which reads the event logs of hosts.  */
#include "ctl_private.h"

#include "account.h"
#include "cleanup.h"

#include <errno.h>
#include <string.h>

/* Log lines of one request, collected from all files.  */
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
add_line (struct found_lines *found, double at, const char *text)
{
  found->items
      = realloc (found->items, (found->count + 1) * sizeof *found->items);
  if (!found->items)
    abort ();
  found->items[found->count++]
      = (struct found_line){ at, marjoram_strdup (text) };
}

static int
compare_times (const void *a_line, const void *b_line)
{
  double a = ((const struct found_line *)a_line)->at;
  double b = ((const struct found_line *)b_line)->at;

  return (a > b) - (a < b);
}

static bool
has_request_id (const struct marjoram_log_line *line, const char *id)
{
  const char *found = marjoram_log_line_get (line, "id");

  return found && strcmp (found, id) == 0;
}

/* Returns the number of lines of IN that are event log lines.  */
static size_t
parse_log (FILE *in, const char *id, marjoram_account *account,
           struct found_lines *found)
{
  marjoram_auto_free char *text = NULL;
  marjoram_auto_free char *copy = NULL;
  size_t size = 0;
  size_t count = 0;

  while (getline (&text, &size, in) >= 0)
    {
      struct marjoram_log_line line;

      free (copy);
      copy = marjoram_strdup (text);
      if (!marjoram_log_line_parse (text, &line))
        continue;
      count++;
      if (!id)
        marjoram_account_add (account, &line);
      else if (has_request_id (&line, id))
        add_line (found, line.at, copy);
    }
  return count;
}

static enum marjoram_ctl_status
parse_log_file (struct marjoram_ctl_call *call, const char *path,
                marjoram_account *account, struct found_lines *found)
{
  bool is_stdin = strcmp (path, "-") == 0;
  FILE *in = is_stdin ? stdin : fopen (path, "r");
  size_t count;

  if (!in)
    {
      fprintf (call->errors, "marjoramctl: %s: %s; give event logs of hosts\n",
               path, strerror (errno));
      return MARJORAM_CTL_USAGE;
    }
  count = parse_log (in, call->options->id, account, found);
  if (!is_stdin)
    fclose (in);
  if (count > 0)
    return MARJORAM_CTL_DONE;
  fprintf (call->errors,
           "marjoramctl: %s: no line of the event log found; give the "
           "standard output of marjoramd\n",
           path);
  return MARJORAM_CTL_REFUSED;
}

static enum marjoram_ctl_status
print_lines (struct marjoram_ctl_call *call, struct found_lines *found)
{
  if (found->count == 0)
    {
      fprintf (
          call->errors,
          "marjoramctl: no line of %s found; give the logs of all hosts for "
          "that time and check them for lines_dropped\n",
          call->options->id);
      return MARJORAM_CTL_REFUSED;
    }
  qsort (found->items, found->count, sizeof *found->items, compare_times);
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
  static const char default_fields[] = "cause,route";
  static const char default_outcome_fields[] = "customer,route";
  const char *fields = call->options->by         ? call->options->by
                       : call->options->outcomes ? default_outcome_fields
                                                 : default_fields;
  marjoram_account *account = marjoram_account_create (fields);
  struct found_lines found = { 0 };
  enum marjoram_ctl_status status = MARJORAM_CTL_DONE;

  if (!account)
    return marjoram_ctl_error (
        call, MARJORAM_CTL_USAGE,
        "--by takes one to six field names, for example cause,route or "
        "second,upstream");
  if (call->options->outcomes)
    marjoram_account_count_outcomes (account);
  for (int i = 0; i < call->arg_count && status == MARJORAM_CTL_DONE; i++)
    status = parse_log_file (call, call->args[i], account, &found);
  if (status == MARJORAM_CTL_DONE && call->options->id)
    status = print_lines (call, &found);
  else if (status == MARJORAM_CTL_DONE)
    marjoram_account_print (account, call->out);
  free (found.items);
  marjoram_account_destroy (account);
  return status;
}
