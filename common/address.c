#include "common/address.h"
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_PORT = 65535,
  MAX_PORT_DIGITS = 5,
  MAX_HOST_BYTES = 253, /* of a DNS name */
};

/* Reads the port behind a colon: digits only.  */
static bool
read_port (const char *text, uint16_t *port)
{
  size_t len = strspn (text, "0123456789");
  unsigned long number;

  if (len == 0 || len > MAX_PORT_DIGITS || text[len] != '\0')
    return false;
  number = strtoul (text, NULL, 10);
  if (number > MAX_PORT)
    return false;
  *port = (uint16_t)number;
  return true;
}

/* Splits "IP:port".  Returns false if TEXT has another form.  IP is not
   validated.  */
bool
address_split (const char *text, char ip[INET_ADDRSTRLEN], uint16_t *port)
{
  const char *colon = strrchr (text, ':');
  size_t len;

  if (!colon)
    return false;
  len = (size_t)(colon - text);
  if (len == 0 || len >= INET_ADDRSTRLEN)
    return false;
  memcpy (ip, text, len);
  ip[len] = '\0';
  return read_port (colon + 1, port);
}

/* Whether TEXT is "HOST:port" with a port that can be connected to, and HOST
   is a name, an IPv4 address or an IPv6 address in brackets, so that it can
   stand in a URL.  */
bool
address_is_usable (const char *text)
{
  static const char name_bytes[] = "abcdefghijklmnopqrstuvwxyz"
                                   "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-";
  bool is_bracketed = *text == '[';
  size_t len = is_bracketed ? strspn (text + 1, "0123456789abcdefABCDEF:.")
                            : strspn (text, name_bytes);
  const char *end = text + len + (is_bracketed ? 1 : 0);
  uint16_t port;

  if (len == 0 || len > MAX_HOST_BYTES || (is_bracketed && *end++ != ']'))
    return false;
  return *end == ':' && read_port (end + 1, &port) && port > 0;
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
