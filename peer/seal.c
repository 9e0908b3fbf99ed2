#include "peer/seal.h"
#include <sodium.h>
#include <string.h>

/* Derives the session key of a link from the fleet key and the nonces of both
   sides.  One key is enough because only the initiator sends frames.  */
void
seal_init (struct seal *seal, const struct keyring_key *fleet_key,
           const uint8_t *initiator_nonce, const uint8_t *acceptor_nonce)
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, fleet_key->secret, KEYRING_KEY_BYTES,
                           sizeof seal->key);
  crypto_generichash_update (&state, initiator_nonce, SEAL_NONCE_BYTES);
  crypto_generichash_update (&state, acceptor_nonce, SEAL_NONCE_BYTES);
  crypto_generichash_final (&state, seal->key, sizeof seal->key);
  seal->sequence = 0;
}

static void
next_nonce (struct seal *seal, unsigned char *nonce)
{
  memset (nonce, 0, crypto_aead_chacha20poly1305_IETF_NPUBBYTES);
  memcpy (nonce, &seal->sequence, sizeof seal->sequence);
  seal->sequence++;
}

/* Encrypts LEN bytes into OUT, which must have room for LEN + SEAL_TAG_BYTES.
   Returns the length of the ciphertext.  */
size_t
seal_encrypt (struct seal *seal, const void *plain, size_t len,
              unsigned char *out)
{
  unsigned char nonce[crypto_aead_chacha20poly1305_IETF_NPUBBYTES];
  unsigned long long out_len;

  next_nonce (seal, nonce);
  crypto_aead_chacha20poly1305_ietf_encrypt (out, &out_len, plain, len, NULL,
                                             0, NULL, nonce, seal->key);
  return (size_t)out_len;
}

/* Decrypts in place.  Returns false when authentication fails or the frame is
   out of sequence.  */
bool
seal_decrypt (struct seal *seal, unsigned char *data, size_t len,
              size_t *plain_len)
{
  unsigned char nonce[crypto_aead_chacha20poly1305_IETF_NPUBBYTES];
  unsigned long long out_len;

  if (len < SEAL_TAG_BYTES)
    return false;
  next_nonce (seal, nonce);
  if (crypto_aead_chacha20poly1305_ietf_decrypt (
          data, &out_len, NULL, data, len, NULL, 0, nonce, seal->key)
      != 0)
    return false;
  *plain_len = (size_t)out_len;
  return true;
}

/* Computes the MAC of a hello message.  */
void
seal_compute_mac (const struct keyring_key *fleet_key, const void *data,
                  size_t len, uint8_t out[SEAL_MAC_BYTES])
{
  crypto_generichash (out, SEAL_MAC_BYTES, data, len, fleet_key->secret,
                      KEYRING_KEY_BYTES);
}

/* Returns whether MAC is the MAC of a hello message under FLEET_KEY.  */
bool
seal_verify_mac (const struct keyring_key *fleet_key, const void *data,
                 size_t len, const uint8_t *mac)
{
  uint8_t expected[SEAL_MAC_BYTES];

  seal_compute_mac (fleet_key, data, len, expected);
  return sodium_memcmp (expected, mac, sizeof expected) == 0;
}
