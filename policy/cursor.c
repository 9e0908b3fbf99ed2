#include "policy/cursor.h"
#include "common/id.h"
#include "policy/galena_cursor.pb-c.h"
#include <sodium.h>
#include <string.h>

/* A cursor is the URL-safe base64 form of: key id, nonce, encrypted body, tag.
 */
enum
{
  KEY_ID_BYTES = 1,
  NONCE_BYTES = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES,
  TAG_BYTES = crypto_aead_xchacha20poly1305_ietf_ABYTES,
  HEAD_BYTES = KEY_ID_BYTES + NONCE_BYTES,
  MAX_BODY_BYTES = 96,
  MAX_RAW_BYTES = HEAD_BYTES + MAX_BODY_BYTES + TAG_BYTES,
};

static const struct keyring_key *
find_key (const struct keyring *keyring, uint8_t id)
{
  for (uint32_t i = 0; i < keyring->count; i++)
    if (keyring->keys[i].id == id)
      return &keyring->keys[i];
  return NULL;
}

/* Writes CURSOR to OUT as text, encrypted with the first key.  Returns false
   if there is no key.  */
bool
cursor_seal (const struct keyring *keyring, const struct cursor *cursor,
             char out[CURSOR_TEXT_BYTES])
{
  Galena__CursorBody body = GALENA__CURSOR_BODY__INIT;
  unsigned char plain[MAX_BODY_BYTES];
  unsigned char raw[MAX_RAW_BYTES];
  unsigned long long sealed_len;
  size_t len;

  if (keyring->count == 0)
    return false;
  body.program = cursor->program;
  body.customer = cursor->customer;
  body.branch = cursor->branch;
  body.turn = cursor->turn;
  body.incarnation = cursor->incarnation;
  body.process = cursor->process;
  body.history_hash = cursor->history_hash;
  body.spent_tokens = cursor->spent_tokens;
  body.journaled = cursor->journaled;
  if (galena__cursor_body__get_packed_size (&body) > sizeof plain)
    return false;
  len = galena__cursor_body__pack (&body, plain);
  raw[0] = keyring->keys[0].id;
  randombytes_buf (raw + KEY_ID_BYTES, NONCE_BYTES);
  crypto_aead_xchacha20poly1305_ietf_encrypt (
      raw + HEAD_BYTES, &sealed_len, plain, len, raw, KEY_ID_BYTES, NULL,
      raw + KEY_ID_BYTES, keyring->keys[0].secret);
  sodium_bin2base64 (out, CURSOR_TEXT_BYTES, raw,
                     HEAD_BYTES + (size_t)sealed_len,
                     sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  return true;
}

static bool
reject (struct error *error)
{
  error_set (error, ERROR_BAD_REQUEST, RUN_NOT_RUN,
             "the cursor is not valid here; send the latest cursor that a "
             "response of this program carried");
  return false;
}

/* Decrypts a cursor made by cursor_seal.  Returns false and sets ERROR if it
   is forged, damaged or encrypted with a retired key.  */
bool
cursor_open (const struct keyring *keyring, const char *text,
             struct cursor *cursor, struct error *error)
{
  unsigned char raw[MAX_RAW_BYTES];
  unsigned char plain[MAX_BODY_BYTES];
  unsigned long long plain_len;
  const struct keyring_key *key;
  Galena__CursorBody *body;
  size_t raw_len;

  if (sodium_base642bin (raw, sizeof raw, text, strlen (text), NULL, &raw_len,
                         NULL, sodium_base64_VARIANT_URLSAFE_NO_PADDING)
          != 0
      || raw_len < HEAD_BYTES + TAG_BYTES)
    return reject (error);
  key = find_key (keyring, raw[0]);
  if (!key
      || crypto_aead_xchacha20poly1305_ietf_decrypt (
             plain, &plain_len, NULL, raw + HEAD_BYTES, raw_len - HEAD_BYTES,
             raw, KEY_ID_BYTES, raw + KEY_ID_BYTES, key->secret)
             != 0)
    return reject (error);
  body = galena__cursor_body__unpack (NULL, (size_t)plain_len, plain);
  if (!body)
    return reject (error);
  *cursor = (struct cursor){
    .program = body->program,
    .customer = body->customer,
    .branch = body->branch,
    .turn = body->turn,
    .incarnation = body->incarnation,
    .process = body->process,
    .history_hash = body->history_hash,
    .spent_tokens = body->spent_tokens,
    .journaled = body->journaled,
  };
  galena__cursor_body__free_unpacked (body, NULL);
  return true;
}

/* Extends the hash chain of a history: returns the hash after TURN.  */
uint64_t
cursor_chain_hash (uint64_t history_hash, const void *turn, size_t len)
{
  return id_hash64 (turn, len, history_hash);
}
