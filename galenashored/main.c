#include "common/stop_signals.h"
#include "galenashored/control.h"
#include "platform/node.h"
#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

enum
{
  EXIT_USAGE = 2,
};

static void
raise_open_files_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

/* Runs the mode that schedules agent programs.  Returns the exit status.  */
static int
run_scheduler (const char *path, bool check_only)
{
  struct settings settings;
  struct error error;
  int status;

  if (!settings_load (&settings, path, &error))
    {
      fprintf (stderr, "galenashored: %s\n", error.message);
      settings_release (&settings);
      return EXIT_USAGE;
    }
  if (check_only)
    {
      puts ("the settings are valid");
      settings_release (&settings);
      return EXIT_SUCCESS;
    }
  log_init (settings.host, settings.level);
  raise_open_files_limit ();
  status = control_run (&settings);
  settings_release (&settings);
  return status;
}

/* Runs the mode of --on-platform.  Returns the exit status.  */
static int
run_on_platform (const char *path, bool check_only)
{
  struct platform_settings settings;
  struct error error;
  int status = EXIT_SUCCESS;

  if (!platform_settings_load (&settings, path, &error))
    {
      fprintf (stderr, "galenashored: %s\n", error.message);
      platform_settings_release (&settings);
      return EXIT_USAGE;
    }
  log_init (settings.host, settings.level);
  if (check_only)
    puts ("the settings are valid");
  else
    {
      raise_open_files_limit ();
      status = node_run (&settings, path);
    }
  platform_settings_release (&settings);
  return status;
}

int
main (int argc, char **argv)
{
  char *path = NULL;
  gboolean show_version = FALSE;
  gboolean check_only = FALSE;
  gboolean on_platform = FALSE;
  GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
      "Read the settings from FILE", "FILE" },
    { "on-platform", 0, 0, G_OPTION_ARG_NONE, &on_platform,
      "Run as a host of the users' platform", NULL },
    { "check-settings", 0, 0, G_OPTION_ARG_NONE, &check_only,
      "Check the settings and exit", NULL },
    { "version", 'V', 0, G_OPTION_ARG_NONE, &show_version,
      "Print the version and exit", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *context;
  GError *parse_error = NULL;
  int status = EXIT_USAGE;

  stop_signals_block ();
  context = g_option_context_new ("- schedules agent programs");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &parse_error))
    {
      fprintf (stderr, "galenashored: %s; see --help\n", parse_error->message);
      g_error_free (parse_error);
    }
  else if (show_version)
    {
      puts ("galenashored " GALENA_VERSION);
      status = EXIT_SUCCESS;
    }
  else if (argc > 1)
    fprintf (stderr, "galenashored: unexpected argument \"%s\"; see --help\n",
             argv[1]);
  else if (on_platform && !path && !getenv (PLATFORM_SETTINGS_VARIABLE))
    fputs ("galenashored: no settings file; use --settings FILE or "
           "set " PLATFORM_SETTINGS_VARIABLE "\n",
           stderr);
  else if (!path && !on_platform)
    fputs ("galenashored: no settings file; use --settings FILE\n", stderr);
  else if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    fputs ("galenashored: cannot initialise libsodium or libcurl\n", stderr);
  else
    {
      signal (SIGPIPE, SIG_IGN);
      if (on_platform)
        status = run_on_platform (
            path ? path : getenv (PLATFORM_SETTINGS_VARIABLE), check_only);
      else
        status = run_scheduler (path, check_only);
    }
  g_option_context_free (context);
  g_free (path);
  return status;
}
