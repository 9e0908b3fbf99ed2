#include "soak/fleet.h"
#include "common/buf.h"
#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  MAX_ARGUMENTS = 8,
};

/* Returns whether HOST stores the ledger.  */
bool
fleet_is_keeper (int host)
{
  return host >= FLEET_ENTRIES;
}

/* Writes the name of HOST: e1, e2, ... or k1, k2, ...  */
void
fleet_host_name (int host, char out[FLEET_NAME_BYTES])
{
  if (fleet_is_keeper (host))
    snprintf (out, FLEET_NAME_BYTES, "k%d", host - FLEET_ENTRIES + 1);
  else
    snprintf (out, FLEET_NAME_BYTES, "e%d", host + 1);
}

/* Returns the data centre of entry host or endpoint INDEX.  */
const char *
fleet_data_centre (int index)
{
  static const char *const names[] = { "dc-a", "dc-b" };

  return names[index % 2];
}

static pid_t
spawn (char *const arguments[], const char *log)
{
  pid_t pid = fork ();
  int fd;

  if (pid != 0)
    return pid;
  fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2 (fd, STDOUT_FILENO);
  dup2 (fd, STDERR_FILENO);
  execv (arguments[0], arguments);
  _exit (EXIT_FAILURE);
}

static void
start_standin (struct fleet *fleet, int index)
{
  char *program = xasprintf ("%s/standin/standin", fleet->build);
  char *port = xasprintf ("%d", fleet->base_port + index);
  char *log = xasprintf ("%s/standin-%d.log", fleet->directory, index);
  char mode[] = "--mode";
  char port_option[] = "--port";
  char objects[] = "objects";
  char endpoint[] = "endpoint";
  char work_option[] = "--work-ms";
  char work[] = "10";
  char *arguments[MAX_ARGUMENTS]
      = { program,     mode, index == 0 ? objects : endpoint,
          port_option, port, work_option,
          work,        NULL };

  fleet->standins[index]
      = (struct fleet_process){ .pid = spawn (arguments, log) };
  free (program);
  free (port);
  free (log);
}

/* Starts the mock store and the mock endpoints.  */
void
fleet_start_standins (struct fleet *fleet)
{
  for (int i = 0; i <= FLEET_ENDPOINTS; i++)
    start_standin (fleet, i);
}

static void
write_settings (const struct fleet *fleet, int host, bool is_first,
                const char *path)
{
  static const char *const keeper_centres[] = { "dc-a", "dc-b", "dc-c" };
  int base = fleet->base_port;
  FILE *file = fopen (path, "w");
  char name[FLEET_NAME_BYTES];

  if (!file)
    return;
  fleet_host_name (host, name);
  fprintf (file,
           "{\"host\": \"%s\", \"data_centre\": \"%s\", \"role\": \"%s\", "
           "\"caller_listen\": \"127.0.0.1:%d\", "
           "\"peer_listen\": \"127.0.0.1:%d\", "
           "\"metrics_listen\": \"127.0.0.1:%d\", "
           "\"health_listen\": \"127.0.0.1:%d\", "
           "\"store_address\": \"127.0.0.1:%d\", "
           "\"seeds\": [\"127.0.0.1:%d\", \"127.0.0.1:%d\"], "
           "\"data_dir\": \"%s/data-%s\", \"stop_grace_s\": 8, "
           "\"evacuate_within_ms\": 5000, \"cold_overrun\": 1.5, "
           "\"cold_slack\": 5, "
           "\"first_start\": %s}\n",
           name,
           fleet_is_keeper (host) ? keeper_centres[(host - FLEET_ENTRIES) % 3]
                                  : fleet_data_centre (host),
           fleet_is_keeper (host) ? "keeper" : "entry",
           base + FLEET_CALLER_PORT + host, base + FLEET_PEER_PORT + host,
           base + FLEET_METRICS_PORT + host, base + FLEET_HEALTH_PORT + host,
           base + FLEET_PROXY_PORT, base + FLEET_PEER_PORT,
           base + FLEET_PEER_PORT + 1, fleet->directory, name,
           is_first ? "true" : "false");
  fclose (file);
}

/* Starts HOST.  IS_FIRST is true on the first start of the whole system.  */
void
fleet_start_host (struct fleet *fleet, int host, bool is_first)
{
  char name[FLEET_NAME_BYTES];
  char *program = xasprintf ("%s/galenashored/galenashored", fleet->build);
  char *settings;
  char *log;
  char platform[] = "--on-platform";
  char settings_option[] = "--settings";

  fleet_host_name (host, name);
  settings = xasprintf ("%s/%s.json", fleet->directory, name);
  log = xasprintf ("%s/%s.log", fleet->directory, name);
  write_settings (fleet, host, is_first, settings);
  {
    char *arguments[MAX_ARGUMENTS]
        = { program, platform, settings_option, settings, NULL };

    fleet->hosts[host]
        = (struct fleet_process){ .pid = spawn (arguments, log) };
  }
  free (program);
  free (settings);
  free (log);
}

/* Sends SIGNAL to a child process that is still running.  */
void
fleet_signal (struct fleet_process *process, int signal)
{
  if (process->pid <= 0)
    return;
  process->paused = signal == SIGSTOP;
  process->stop_requested
      = process->stop_requested || signal == SIGTERM || signal == SIGKILL;
  kill (process->pid, signal);
}

/* Kills a process and waits for it.  */
void
fleet_kill (struct fleet_process *process)
{
  if (process->pid <= 0)
    return;
  fleet_signal (process, SIGKILL);
  waitpid (process->pid, NULL, 0);
  process->pid = 0;
}

/* Returns whether the process has exited; STATUS is as for waitpid.  */
bool
fleet_has_exited (struct fleet_process *process, int *status)
{
  if (process->pid <= 0 || waitpid (process->pid, status, WNOHANG) <= 0)
    return false;
  process->pid = 0;
  return true;
}

static void
delete_files (const char *path)
{
  DIR *dir = opendir (path);
  const struct dirent *entry;

  while (dir && (entry = readdir (dir)))
    unlinkat (dirfd (dir), entry->d_name, 0);
  if (dir)
    closedir (dir);
}

/* Deletes the data files of a stopped host, those of kept turns included.  */
void
fleet_delete_data (const struct fleet *fleet, int host)
{
  char name[FLEET_NAME_BYTES];
  char *directory;
  char *turns;

  fleet_host_name (host, name);
  directory = xasprintf ("%s/data-%s", fleet->directory, name);
  turns = xasprintf ("%s/turns", directory);
  delete_files (directory);
  delete_files (turns);
  free (directory);
  free (turns);
}

/* Kills every process.  */
void
fleet_kill_all (struct fleet *fleet)
{
  for (int i = 0; i < FLEET_HOSTS; i++)
    fleet_kill (&fleet->hosts[i]);
  for (int i = 0; i <= FLEET_ENDPOINTS; i++)
    fleet_kill (&fleet->standins[i]);
}
