#include "common/address.h"
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_PORT = 65535,
};

/* Splits "IP:port".  Returns false if TEXT has another form.  IP is not
   validated.  */
bool
address_split (const char *text, char ip[INET_ADDRSTRLEN], uint16_t *port)
{
  const char *colon = strrchr (text, ':');
  size_t len;
  char *end;
  long number;

  if (!colon)
    return false;
  len = (size_t)(colon - text);
  if (len == 0 || len >= INET_ADDRSTRLEN)
    return false;
  memcpy (ip, text, len);
  ip[len] = '\0';
  number = strtol (colon + 1, &end, 10);
  if (*end || end == colon + 1 || number < 0 || number > MAX_PORT)
    return false;
  *port = (uint16_t)number;
  return true;
}

/* Parses "IP:port" into a socket address.  */
bool
address_parse (const char *text, struct sockaddr_in *address)
{
  char ip[INET_ADDRSTRLEN];
  uint16_t port;

  if (!address_split (text, ip, &port))
    return false;
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons (port);
  return inet_pton (AF_INET, ip, &address->sin_addr) == 1;
}

/* Validates that VALUE of the setting NAME has the form "IP:port".  NULL is
   valid unless the setting is required.  Returns false and sets ERROR if the
   value is invalid.  */
bool
address_validate (const char *name, const char *value, bool is_required,
                  struct error *error)
{
  struct sockaddr_in address;

  if (value ? address_parse (value, &address) : !is_required)
    return true;
  error_set (error, ERROR_SETTINGS, RUN_NOT_RUN,
             "settings: \"%s\" is \"%s\"; use the form IP:port, such as "
             "127.0.0.1:8080",
             name, value ? value : "missing");
  return false;
}
