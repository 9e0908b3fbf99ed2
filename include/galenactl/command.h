/* Declarations shared by the commands of galenactl. */
#ifndef GALENA_GALENACTL_COMMAND_H
#define GALENA_GALENACTL_COMMAND_H

#include "common/buf.h"
#include "common/error.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  CTL_OK = 0,
  CTL_FAILED = 1,
  CTL_USAGE = 2,
};

/* Global options, given before the command. */
struct ctl
{
  char *platform_url;
  char *operator_address;
  char *operator_key;
  char *operator_ca; /* CA file; enables TLS to operator listeners */
  bool json;
};

/* An entry of the command table, which is sorted by name. */
struct ctl_command
{
  const char *name;
  const char *usage;
  int (*run) (struct ctl *ctl, int argc, char **argv);
};

int ctl_usage (const char *command, const char *usage);
int ctl_fail (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
void ctl_print_json (const json_t *value);

/* An HTTP response.  The status is 0 if none arrived. */
struct ctl_response
{
  long status;
  bool sent;    /* part of the request may have been sent */
  json_t *body; /* owned; NULL if there is none or it is not JSON */
};

struct ctl_response ctl_request (const char *method, const char *url,
                                 const char *bearer, const char *ca_file,
                                 const json_t *body);
struct ctl_response ctl_request_operator (const struct ctl *ctl,
                                          const char *address,
                                          const char *method,
                                          const char *path);

/* Access to the platform's objects. */
json_t *ctl_list (const struct ctl *ctl, const char *kinds);
json_t *ctl_get (const struct ctl *ctl, const char *kind, const char *name);
bool ctl_put (const struct ctl *ctl, const char *kind, const char *name,
              uint64_t version, const json_t *data, uint64_t *new_version);
bool ctl_delete (const struct ctl *ctl, const char *kind, const char *name,
                 uint64_t version);
uint64_t ctl_version (const json_t *object);

/* Prints a table.  A row is an array of strings. */
void ctl_print_table (const char *const *titles, size_t columns,
                      const json_t *rows);

int ctl_apply (struct ctl *ctl, int argc, char **argv);
int ctl_counters (struct ctl *ctl, int argc, char **argv);
int ctl_customer (struct ctl *ctl, int argc, char **argv);
int ctl_diff (struct ctl *ctl, int argc, char **argv);
int ctl_drain (struct ctl *ctl, int argc, char **argv);
int ctl_dump (struct ctl *ctl, int argc, char **argv);
int ctl_endpoint (struct ctl *ctl, int argc, char **argv);
int ctl_evacuate (struct ctl *ctl, int argc, char **argv);
int ctl_explain_route (struct ctl *ctl, int argc, char **argv);
int ctl_fleet_key (struct ctl *ctl, int argc, char **argv);
int ctl_host (struct ctl *ctl, int argc, char **argv);
int ctl_key (struct ctl *ctl, int argc, char **argv);
int ctl_program (struct ctl *ctl, int argc, char **argv);
int ctl_route (struct ctl *ctl, int argc, char **argv);
int ctl_status (struct ctl *ctl, int argc, char **argv);
int ctl_template (struct ctl *ctl, int argc, char **argv);
int ctl_wait (struct ctl *ctl, int argc, char **argv);

#endif
