/* Cursor: the encrypted and authenticated position of a branch, carried by the
   caller.

   A cursor names the program, branch and turn of the next call, the process
   that may run the call if it is not idempotent, and the history that precedes
   it.  It is opaque to callers.  */
#ifndef GALENA_POLICY_CURSOR_H
#define GALENA_POLICY_CURSOR_H

#include "common/error.h"
#include <stddef.h>
#include <stdint.h>

enum
{
  KEYRING_MAX_KEYS = 4,
  KEYRING_KEY_BYTES = 32,
  CURSOR_TEXT_BYTES = 256,
};

struct keyring_key
{
  uint8_t id;
  uint8_t secret[KEYRING_KEY_BYTES];
};

/* The first key encrypts; all of them decrypt, so that keys can be rotated. */
struct keyring
{
  struct keyring_key keys[KEYRING_MAX_KEYS];
  uint32_t count;
};

struct cursor
{
  uint64_t program;  /* hash of the program id */
  uint64_t customer; /* hash of the customer's name */
  uint32_t branch;
  uint32_t turn;         /* number of the turn that the next call makes */
  uint64_t incarnation;  /* of the program's state in its owner's memory */
  uint64_t process;      /* that holds the program; identifies its journal */
  uint64_t history_hash; /* over all turns before this one */
  uint64_t spent_tokens;
  bool journaled; /* calls are dispatched only after a recorded intent */
};

bool cursor_seal (const struct keyring *keyring, const struct cursor *cursor,
                  char out[CURSOR_TEXT_BYTES]);
bool cursor_open (const struct keyring *keyring, const char *text,
                  struct cursor *cursor, struct error *error);
uint64_t cursor_chain_hash (uint64_t history_hash, const void *turn,
                            size_t len);

#endif
