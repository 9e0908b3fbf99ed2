#include "common/connections.h"
#include "common/buf.h"
#include <glib.h>
#include <stdlib.h>

/* An open socket.  Owned by the table. */
struct connection
{
  int fd;
  char *ends;                   /* addresses of both; NULL until connected */
  struct connection_user *user; /* NULL while it is idle */
  struct connection *next_of_user;
};

struct connections
{
  GHashTable *by_fd;
  GHashTable *by_ends; /* those that have a name */
};

/* Creates an empty table.  */
struct connections *
connections_create (void)
{
  struct connections *connections = xcalloc (1, sizeof *connections);

  connections->by_fd = g_hash_table_new (NULL, NULL);
  connections->by_ends = g_hash_table_new (g_str_hash, g_str_equal);
  return connections;
}

/* Frees the table, whose users must have been released.  */
void
connections_destroy (struct connections *connections)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, connections->by_fd);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct connection *connection = value;

      connection_leave (connection);
      free (connection->ends);
      free (connection);
    }
  g_hash_table_destroy (connections->by_fd);
  g_hash_table_destroy (connections->by_ends);
  free (connections);
}

/* Returns the connection of the socket FD, or NULL.  */
struct connection *
connections_find (const struct connections *connections, int fd)
{
  return g_hash_table_lookup (connections->by_fd, GINT_TO_POINTER (fd));
}

/* Returns the connection between ENDS, or NULL.  */
struct connection *
connections_find_ends (const struct connections *connections, const char *ends)
{
  return g_hash_table_lookup (connections->by_ends, ends);
}

/* Adds the socket FD, which USER has opened.  */
void
connections_add (struct connections *connections, int fd,
                 struct connection_user *user)
{
  struct connection *connection = xcalloc (1, sizeof *connection);

  connections_remove (connections, fd);
  connection->fd = fd;
  g_hash_table_insert (connections->by_fd, GINT_TO_POINTER (fd), connection);
  connection_take (connection, user);
}

/* Sets the addresses between which the socket FD is connected.  */
void
connections_name (struct connections *connections, int fd, const char *ends)
{
  struct connection *connection = connections_find (connections, fd);

  if (!connection || connection->ends)
    return;
  connection->ends = xstrdup (ends);
  g_hash_table_replace (connections->by_ends, connection->ends, connection);
}

/* Removes the socket FD, which is about to be closed.  */
void
connections_remove (struct connections *connections, int fd)
{
  struct connection *connection = connections_find (connections, fd);

  if (!connection)
    return;
  connection_leave (connection);
  g_hash_table_remove (connections->by_fd, GINT_TO_POINTER (fd));
  if (connection->ends
      && connections_find_ends (connections, connection->ends) == connection)
    g_hash_table_remove (connections->by_ends, connection->ends);
  free (connection->ends);
  free (connection);
}

int
connection_fd (const struct connection *connection)
{
  return connection->fd;
}

/* Returns the transfer that uses CONNECTION, or NULL.  */
struct connection_user *
connection_get_user (const struct connection *connection)
{
  return connection->user;
}

/* Makes USER the user of CONNECTION.  Returns false if there is another one,
   which then stays.  */
bool
connection_take (struct connection *connection, struct connection_user *user)
{
  if (connection->user)
    return connection->user == user;
  connection->user = user;
  connection->next_of_user = user->first;
  user->first = connection;
  return true;
}

/* Makes CONNECTION idle.  */
void
connection_leave (struct connection *connection)
{
  struct connection **link;

  if (!connection->user)
    return;
  link = &connection->user->first;
  while (*link != connection)
    link = &(*link)->next_of_user;
  *link = connection->next_of_user;
  connection->next_of_user = NULL;
  connection->user = NULL;
}

/* Makes all connections of USER idle.  */
void
connection_user_release (struct connection_user *user)
{
  while (user->first)
    connection_leave (user->first);
}
