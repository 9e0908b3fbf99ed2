/* Authenticated encryption of the frames on a link between hosts, and
   authentication of the hello messages that precede them. */
#ifndef GALENA_PEER_SEAL_H
#define GALENA_PEER_SEAL_H

#include "policy/cursor.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  SEAL_NONCE_BYTES = 24,
  SEAL_KEY_BYTES = 32,
  SEAL_TAG_BYTES = 16,
  SEAL_MAC_BYTES = 32,
};

/* Key and position of the encrypted frames on one link. */
struct seal
{
  uint8_t key[SEAL_KEY_BYTES];
  uint64_t sequence; /* number of frames so far; nonce of the next one */
};

void seal_init (struct seal *seal, const struct keyring_key *fleet_key,
                const uint8_t *initiator_nonce, const uint8_t *acceptor_nonce);
size_t seal_encrypt (struct seal *seal, const void *plain, size_t len,
                     unsigned char *out);
bool seal_decrypt (struct seal *seal, unsigned char *data, size_t len,
                   size_t *plain_len);
void seal_compute_mac (const struct keyring_key *fleet_key, const void *data,
                       size_t len, uint8_t out[SEAL_MAC_BYTES]);
bool seal_verify_mac (const struct keyring_key *fleet_key, const void *data,
                      size_t len, const uint8_t *mac);

#endif
