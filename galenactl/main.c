#include "galenactl/command.h"
#include "galenashored/settings.h"
#include <curl/curl.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char DEFAULT_OPERATOR_ADDRESS[] = "127.0.0.1:9090";

/* Sorted by name. */
static const struct ctl_command commands[] = {
  { "apply", "-f FILE", ctl_apply },
  { "counters", "", ctl_counters },
  { "customer", "list | show NAME | set NAME FIELD=VALUE... | delete NAME",
    ctl_customer },
  { "diff", "-f FILE", ctl_diff },
  { "drain", "HOST | endpoint NAME", ctl_drain },
  { "dump", "[--programs]", ctl_dump },
  { "endpoint", "list | show NAME | set NAME FIELD=VALUE... | delete NAME",
    ctl_endpoint },
  { "evacuate", "list | set DATA-CENTRE | end DATA-CENTRE", ctl_evacuate },
  { "explain-route", "ADDRESS METHOD HOST-NAME PATH [OPTION...]",
    ctl_explain_route },
  { "fleet-key", "[--add FILE]", ctl_fleet_key },
  { "host", "list | remove NAME", ctl_host },
  { "key", "create CUSTOMER | list | withdraw ID [--here]", ctl_key },
  { "program", "list | show ID | cancel ID", ctl_program },
  { "route", "list | show NAME | set NAME FIELD=VALUE... | delete NAME",
    ctl_route },
  { "status", "", ctl_status },
  { "template", "list | show NAME | set NAME FIELD=VALUE... | delete NAME",
    ctl_template },
  { "wait", "[--revision N] [--timeout-s S]", ctl_wait },
};

enum
{
  COMMAND_COUNT = sizeof commands / sizeof *commands,
};

static int
compare_command (const void *name, const void *command)
{
  return strcmp (name, ((const struct ctl_command *)command)->name);
}

static void
print_commands (void)
{
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    fprintf (stderr, "  galenactl %s %s\n", commands[i].name,
             commands[i].usage);
}

/* Prints the usage of COMMAND and returns the exit status for it.  */
int
ctl_usage (const char *command, const char *usage)
{
  fprintf (stderr, "galenactl: usage: galenactl %s %s\n", command, usage);
  return CTL_USAGE;
}

static int
run_command (struct ctl *ctl, int argc, char **argv)
{
  const struct ctl_command *command;

  if (argc < 1)
    {
      fputs ("galenactl: missing command; use one of:\n", stderr);
      print_commands ();
      return CTL_USAGE;
    }
  command = bsearch (argv[0], commands, COMMAND_COUNT, sizeof *commands,
                     compare_command);
  if (command)
    return command->run (ctl, argc - 1, argv + 1);
  fprintf (stderr, "galenactl: unknown command \"%s\"; use one of:\n",
           argv[0]);
  print_commands ();
  return CTL_USAGE;
}

/* Sets OPTION, unless it was given, from the environment variable VARIABLE, or
   to FALLBACK if that is not set.  */
static void
set_default (char **option, const char *variable, const char *fallback)
{
  const char *value = getenv (variable);

  if (!*option)
    *option = xstrdup (value ? value : fallback);
}

static bool
read_operator_key (struct ctl *ctl, const char *path)
{
  struct error error;

  if (!path)
    return true;
  ctl->operator_key = settings_read_text (path, true, &error);
  if (!ctl->operator_key)
    {
      fprintf (stderr, "galenactl: %s\n", error.message);
      return false;
    }
  ctl->operator_key[strcspn (ctl->operator_key, "\r\n")] = '\0';
  return true;
}

int
main (int argc, char **argv)
{
  struct ctl ctl = { 0 };
  gboolean show_version = FALSE;
  gboolean as_json = FALSE;
  char *key_file = NULL;
  GOptionEntry entries[] = {
    { "platform", 'p', 0, G_OPTION_ARG_STRING, &ctl.platform_url,
      "URL of the platform's object API (or GALENA_PLATFORM)", "URL" },
    { "operator", 'o', 0, G_OPTION_ARG_STRING, &ctl.operator_address,
      "Operator listener of a host (or GALENA_OPERATOR)", "IP:PORT" },
    { "operator-key-file", 'k', 0, G_OPTION_ARG_FILENAME, &key_file,
      "File that holds the operator key (or GALENA_OPERATOR_KEY_FILE)",
      "FILE" },
    { "operator-ca", 0, 0, G_OPTION_ARG_FILENAME, &ctl.operator_ca,
      "Use TLS to operator listeners and trust the certificates in FILE",
      "FILE" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &as_json,
      "Print JSON instead of tables", NULL },
    { "version", 'V', 0, G_OPTION_ARG_NONE, &show_version,
      "Print the version and exit", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *context
      = g_option_context_new ("COMMAND... - control galenashore");
  GError *problem = NULL;
  int status = CTL_USAGE;

  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_strict_posix (context, TRUE);
  if (!g_option_context_parse (context, &argc, &argv, &problem))
    {
      fprintf (stderr, "galenactl: %s; see --help\n", problem->message);
      g_error_free (problem);
      goto out;
    }
  if (show_version)
    {
      puts ("galenactl " GALENA_VERSION);
      status = CTL_OK;
      goto out;
    }
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    goto out;
  ctl.json = as_json;
  set_default (&ctl.platform_url, "GALENA_PLATFORM", "http://127.0.0.1:7000");
  set_default (&ctl.operator_address, "GALENA_OPERATOR",
               DEFAULT_OPERATOR_ADDRESS);
  if (read_operator_key (&ctl, key_file ? key_file
                                        : getenv ("GALENA_OPERATOR_KEY_FILE")))
    status = run_command (&ctl, argc - 1, argv + 1);
out:
  g_option_context_free (context);
  g_free (key_file);
  free (ctl.platform_url);
  free (ctl.operator_address);
  free (ctl.operator_key);
  g_free (ctl.operator_ca);
  return status;
}
