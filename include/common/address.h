/* Socket addresses in the form "IP:port". */
#ifndef GALENA_COMMON_ADDRESS_H
#define GALENA_COMMON_ADDRESS_H

#include "common/error.h"
#include <netinet/in.h>
#include <stdbool.h>

bool address_parse (const char *text, struct sockaddr_in *address);
bool address_split (const char *text, char ip[INET_ADDRSTRLEN],
                    uint16_t *port);
bool address_is_usable (const char *text);
bool address_validate (const char *name, const char *value, bool is_required,
                       struct error *error);

#endif
