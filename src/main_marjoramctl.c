/* marjoramctl: parses the options and runs one command.  */
#include "marjoram.h"

#include "ini_key.h"

#include <errno.h>
#include <getopt.h>
#include <stdlib.h>

enum
{
  OPTION_SETTINGS = 256,
  OPTION_HOST,
  OPTION_SECRET_FILE,
  OPTION_JSON,
  OPTION_CHANGE_ID,
  OPTION_TIMEOUT_MS,
  OPTION_CALLER,
  OPTION_WORK,
  OPTION_CLASS,
  OPTION_DEADLINE_MS,
  OPTION_PROMPT_TOKENS,
  OPTION_BY,
  OPTION_ID,
  OPTION_OUTCOMES,
  OPTION_HELP,
  OPTION_VERSION
};

static const struct option long_options[] = {
  { "settings", required_argument, NULL, OPTION_SETTINGS },
  { "host", required_argument, NULL, OPTION_HOST },
  { "secret-file", required_argument, NULL, OPTION_SECRET_FILE },
  { "json", no_argument, NULL, OPTION_JSON },
  { "change-id", required_argument, NULL, OPTION_CHANGE_ID },
  { "timeout-ms", required_argument, NULL, OPTION_TIMEOUT_MS },
  { "caller", required_argument, NULL, OPTION_CALLER },
  { "work", required_argument, NULL, OPTION_WORK },
  { "class", required_argument, NULL, OPTION_CLASS },
  { "deadline-ms", required_argument, NULL, OPTION_DEADLINE_MS },
  { "prompt-tokens", required_argument, NULL, OPTION_PROMPT_TOKENS },
  { "by", required_argument, NULL, OPTION_BY },
  { "id", required_argument, NULL, OPTION_ID },
  { "outcomes", no_argument, NULL, OPTION_OUTCOMES },
  { "help", no_argument, NULL, OPTION_HELP },
  { "version", no_argument, NULL, OPTION_VERSION },
  { NULL, 0, NULL, 0 },
};

static void
print_help (void)
{
  printf ("usage: marjoramctl [OPTION]... COMMAND [OPERAND]...\n\n"
          "Commands:\n");
  marjoram_ctl_help (stdout);
  printf ("\nHost selection:\n"
          "  --settings FILE       daemon settings to read address and "
          "secret from\n"
          "  --host IP:PORT        control address; repeat to try several in "
          "turn\n"
          "  --secret-file FILE    the owner's secret\n"
          "\nOther options:\n"
          "  --json                print JSON\n"
          "  --change-id ID        for apply and replace-keeper: resend a "
          "change\n"
          "  --timeout-ms N        response timeout (20000)\n"
          "  --caller NAME --work NAME [--class interactive|overnight]\n"
          "  [--deadline-ms N] [--prompt-tokens N]\n"
          "                        the request to explain\n"
          "  --by FIELD,...        for account: fields to group by "
          "(cause,route)\n"
          "  --outcomes            for account: all outcomes by customer and "
          "route\n"
          "  --id ID               for account: show all lines of one "
          "request\n"
          "  --help, --version\n"
          "\nExit status: 0 done, 1 refused, 2 usage, 3 host unreachable, "
          "4 outcome unknown,\n5 not run.  See marjoramctl(1).\n");
}

static int
usage_error (const char *what)
{
  fprintf (stderr, "marjoramctl: %s; see --help\n", what);
  return MARJORAM_CTL_USAGE;
}

static bool
parse_timeout (const char *text, int64_t *timeout)
{
  char *end;

  errno = 0;
  *timeout = strtoll (text, &end, 10);
  return errno == 0 && end > text && *end == 0 && *timeout > 0
         && *timeout <= INT32_MAX;
}

/* Returns the exit status, or -1 to continue.  */
static int
parse_option (struct marjoram_ctl_options *options, int option)
{
  switch (option)
    {
    case OPTION_SETTINGS:
      options->settings = optarg;
      return -1;
    case OPTION_HOST:
      if (options->host_count == MARJORAM_CTL_HOSTS_MAX)
        return usage_error ("too many --host options");
      options->hosts[options->host_count++] = optarg;
      return -1;
    case OPTION_SECRET_FILE:
      options->secret_file = optarg;
      return -1;
    case OPTION_JSON:
      options->json = true;
      return -1;
    case OPTION_CHANGE_ID:
      options->change_id = optarg;
      return marjoram_name_valid (optarg, true)
                 ? -1
                 : usage_error ("--change-id takes at most 48 letters, digits "
                                "and ._-");
    case OPTION_TIMEOUT_MS:
      return parse_timeout (optarg, &options->timeout_ms)
                 ? -1
                 : usage_error ("--timeout-ms takes a positive integer");
    case OPTION_CALLER:
      options->caller = optarg;
      return -1;
    case OPTION_WORK:
      options->work = optarg;
      return -1;
    case OPTION_CLASS:
      options->class = optarg;
      return -1;
    case OPTION_DEADLINE_MS:
      options->deadline_ms = optarg;
      return -1;
    case OPTION_PROMPT_TOKENS:
      options->prompt_tokens = optarg;
      return -1;
    case OPTION_BY:
      options->by = optarg;
      return -1;
    case OPTION_ID:
      options->id = optarg;
      return -1;
    case OPTION_OUTCOMES:
      options->outcomes = true;
      return -1;
    case OPTION_HELP:
      print_help ();
      return MARJORAM_CTL_DONE;
    case OPTION_VERSION:
      printf ("marjoramctl %s\n", marjoram_version ());
      return MARJORAM_CTL_DONE;
    default:
      return usage_error ("unknown option or missing value");
    }
}

int
main (int argc, char **argv)
{
  struct marjoram_ctl_options options
      = { .timeout_ms = MARJORAM_CTL_TIMEOUT_MS,
          .class = "interactive",
          .deadline_ms = "30000",
          .prompt_tokens = "1000" };
  int option;

  while ((option = getopt_long (argc, argv, "", long_options, NULL)) != -1)
    {
      int status = parse_option (&options, option);

      if (status >= 0)
        return status;
    }
  return marjoram_ctl_run (&options, argc - optind, argv + optind, stdout,
                           stderr);
}
