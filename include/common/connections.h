/* The connections of an HTTP client, and which transfer uses each: HTTP/1.1
   allows one at a time. */
#ifndef GALENA_COMMON_CONNECTIONS_H
#define GALENA_COMMON_CONNECTIONS_H

#include <stdbool.h>

struct connections;
struct connection;

/* A transfer.  Initially all zero; released before it is freed. */
struct connection_user
{
  struct connection *first; /* linked by next_of_user */
};

struct connections *connections_create (void);
void connections_destroy (struct connections *connections);
void connections_add (struct connections *connections, int fd,
                      struct connection_user *user);
void connections_name (struct connections *connections, int fd,
                       const char *ends);
void connections_remove (struct connections *connections, int fd);
struct connection *connections_find (const struct connections *connections,
                                     int fd);
struct connection *
connections_find_ends (const struct connections *connections,
                       const char *ends);
int connection_fd (const struct connection *connection);
struct connection_user *
connection_get_user (const struct connection *connection);
bool connection_take (struct connection *connection,
                      struct connection_user *user);
void connection_leave (struct connection *connection);
void connection_user_release (struct connection_user *user);

#endif
