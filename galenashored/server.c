#include "galenashored/server.h"
#include "common/id.h"
#include "program/program.h"
#include <stdlib.h>
#include <string.h>

/* Whether HOST is this process's own entry in the host list.  */
bool
server_is_self (const struct server *server, const struct config_host *host)
{
  return strcmp (host->name, server->settings->host) == 0;
}

/* Rebuilds the owner candidates from the current configuration.  */
void
server_update_candidates (struct server *server)
{
  const struct config *config = server->config;

  free (server->candidates);
  server->candidates
      = xcalloc (config->host_count + 1, sizeof *server->candidates);
  for (size_t i = 0; i < config->host_count; i++)
    server->candidates[i]
        = (struct owner_candidate){ .host_hash = config->hosts[i].name_hash,
                                    .dc_hash = config->hosts[i].dc_hash };
}

/* Whether HOST may own programs.  */
static bool
is_eligible (const struct server *server, const struct config_host *host)
{
  if (server_is_self (server, host))
    return !server->stopping;
  return !host->leaving && !mesh_is_suspect (server->mesh, host->name)
         && !mesh_is_leaving (server->mesh, host->name);
}

/* Returns the host that owns PROGRAM as far as this host knows, or NULL if no
   host is eligible; the caller then serves the program on this host.  */
const struct config_host *
server_find_owner (struct server *server, const char *program)
{
  const struct config *config = server->config;
  char dc[PROGRAM_ID_BYTES];
  uint64_t home = server->dc_hash;
  int32_t picked;

  if (program_home_dc (program, dc, sizeof dc))
    home = id_hash_text (dc);
  for (size_t i = 0; i < config->host_count; i++)
    server->candidates[i].eligible = is_eligible (server, &config->hosts[i]);
  picked = owner_pick (id_hash_text (program), home, server->candidates,
                       config->host_count);
  return picked >= 0 ? &config->hosts[picked] : NULL;
}

/* Returns the host that runs PROCESS, or NULL.  */
const struct config_host *
server_find_host_of_process (const struct server *server, uint64_t process)
{
  if (process == 0)
    return NULL;
  for (size_t i = 0; i < server->config->host_count; i++)
    if (server->config->hosts[i].process == process)
      return &server->config->hosts[i];
  return NULL;
}
