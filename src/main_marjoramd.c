/* marjoramd: parses the options and runs the daemon.  */
#include "daemon.h"
#include "gateway_daemon.h"
#include "builtin_dialect.h"
#include "platform.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#ifndef MARJORAM_VERSION
#define MARJORAM_VERSION "0.1.0"
#endif

enum exit_status
{
  EXIT_DONE = 0,
  EXIT_REFUSED = 1, /* invalid settings or address in use */
  EXIT_USAGE = 2,
  EXIT_UNFINISHED = 3 /* stopped with unfinished requests */
};

static const char usage[]
    = "usage: marjoramd --settings FILE [--check]\n"
      "  -s, --settings FILE  this host's settings (see marjoramd.ini(5))\n"
      "  -c, --check          check the settings and exit\n"
      "  -h, --help           show this text\n"
      "  -V, --version        show the version\n";

static int
run (const struct marjoram_settings *settings, const char *path)
{
  struct marjoram_error err = { 0 };
  marjoram_daemon *daemon;
  char name[128];
  bool finished;

  snprintf (name, sizeof name, "marjoramd %s", settings->slot);
  marjoram_log_open (name, settings->log_level);
  daemon = marjoram_daemon_create (settings, path, &err);
  if (!daemon)
    {
      fprintf (stderr, "marjoramd: %s\n", err.message);
      return EXIT_REFUSED;
    }
  finished = marjoram_daemon_run (daemon);
  marjoram_daemon_destroy (daemon);
  return finished ? EXIT_DONE : EXIT_UNFINISHED;
}

static int
run_gateway (struct marjoram_gateway_settings *settings, const char *path)
{
  struct marjoram_error err = { 0 };
  marjoram_gateway_daemon *daemon = marjoram_gateway_daemon_create (
      settings, path, marjoram_builtin_dialect (marjoram_platform_dialect ()),
      &err);
  bool finished;

  if (!daemon)
    {
      fprintf (stderr, "marjoramd: %s\n", err.message);
      return EXIT_REFUSED;
    }
  finished = marjoram_gateway_daemon_run (daemon);
  marjoram_gateway_daemon_destroy (daemon);
  return finished ? EXIT_DONE : EXIT_UNFINISHED;
}

/* Loads the settings of a host in the role entry or keeper and runs it.  */
static int
load_and_run_gateway (const char *path, bool check_only)
{
  struct marjoram_error err = { 0 };
  char *faults = NULL;
  struct marjoram_gateway_settings *settings
      = marjoram_gateway_settings_load (path, &faults, &err);

  if (!settings)
    {
      fprintf (stderr, "%s\n", faults ? faults : err.message);
      free (faults);
      return EXIT_REFUSED;
    }
  if (!check_only)
    return run_gateway (settings, path);
  printf ("%s: no fault found\n", path);
  marjoram_gateway_settings_destroy (settings);
  return EXIT_DONE;
}

static int
load_and_run (const char *path, bool check_only)
{
  struct marjoram_error err = { 0 };
  char *faults = NULL;
  struct marjoram_settings *settings
      = marjoram_settings_load (path, &faults, &err);
  int status = EXIT_DONE;

  if (!settings)
    {
      fprintf (stderr, "%s\n", faults ? faults : err.message);
      free (faults);
      return EXIT_REFUSED;
    }
  if (check_only)
    printf ("%s: no fault found\n", path);
  else
    status = run (settings, path);
  marjoram_settings_destroy (settings);
  return status;
}

int
main (int argc, char **argv)
{
  static const struct option options[]
      = { { "settings", required_argument, NULL, 's' },
          { "check", no_argument, NULL, 'c' },
          { "help", no_argument, NULL, 'h' },
          { "version", no_argument, NULL, 'V' },
          { NULL, 0, NULL, 0 } };
  const char *path = NULL;
  bool check_only = false;
  int option;

  while ((option = getopt_long (argc, argv, "s:chV", options, NULL)) != -1)
    switch (option)
      {
      case 's':
        path = optarg;
        break;
      case 'c':
        check_only = true;
        break;
      case 'h':
        fputs (usage, stdout);
        return EXIT_DONE;
      case 'V':
        printf ("marjoramd %s\n", MARJORAM_VERSION);
        return EXIT_DONE;
      default:
        fputs (usage, stderr);
        return EXIT_USAGE;
      }
  if (!path || optind < argc)
    {
      fputs (usage, stderr);
      return EXIT_USAGE;
    }
  if (marjoram_gateway_settings_detect (path))
    return load_and_run_gateway (path, check_only);
  return load_and_run (path, check_only);
}
