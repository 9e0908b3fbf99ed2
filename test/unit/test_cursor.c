#include "policy/cursor.h"
#include "suites.h"
#include <string.h>

static const struct cursor sample_cursor = { .program = 1,
                                             .customer = 2,
                                             .branch = 3,
                                             .turn = 4,
                                             .incarnation = 5,
                                             .process = 6,
                                             .history_hash = UINT64_MAX,
                                             .spent_tokens = 8,
                                             .journaled = true };

static struct keyring
keyring_with (uint8_t id, uint8_t fill)
{
  struct keyring keyring = { .count = 1 };

  keyring.keys[0].id = id;
  memset (keyring.keys[0].secret, fill, sizeof keyring.keys[0].secret);
  return keyring;
}

static void
test_open_returns_sealed_fields (void)
{
  struct keyring keyring = keyring_with (1, 7);
  char text[CURSOR_TEXT_BYTES];
  struct cursor opened = { 0 };
  struct error error;

  CU_ASSERT_TRUE (cursor_seal (&keyring, &sample_cursor, text));
  CU_ASSERT_TRUE (cursor_open (&keyring, text, &opened, &error));
  CU_ASSERT_EQUAL (opened.turn, 4);
  CU_ASSERT_EQUAL (opened.history_hash, UINT64_MAX);
  CU_ASSERT_EQUAL (opened.process, 6);
  CU_ASSERT_TRUE (opened.journaled);
}

static void
test_rejects_modified_byte (void)
{
  struct keyring keyring = keyring_with (1, 7);
  char text[CURSOR_TEXT_BYTES];
  struct cursor opened;
  struct error error;

  cursor_seal (&keyring, &sample_cursor, text);
  for (size_t i = 0; i + 1 < strlen (text); i++)
    {
      char kept = text[i];

      text[i] = kept == 'A' ? 'B' : 'A';
      CU_ASSERT_FALSE (cursor_open (&keyring, text, &opened, &error));
      text[i] = kept;
    }
}

static void
test_rejects_malformed_text (void)
{
  struct keyring keyring = keyring_with (1, 7);
  struct cursor opened;
  struct error error;

  CU_ASSERT_FALSE (cursor_open (&keyring, "", &opened, &error));
  CU_ASSERT_FALSE (cursor_open (&keyring, "AAAA", &opened, &error));
  CU_ASSERT_FALSE (cursor_open (&keyring, "!", &opened, &error));
  CU_ASSERT_EQUAL (error.kind, ERROR_BAD_REQUEST);
  CU_ASSERT_EQUAL (error.run, RUN_NOT_RUN);
}

static void
test_key_rotation (void)
{
  struct keyring before = keyring_with (1, 7);
  struct keyring both = before;
  struct keyring swapped;
  struct keyring after = keyring_with (2, 9);
  char old_text[CURSOR_TEXT_BYTES];
  char new_text[CURSOR_TEXT_BYTES];
  struct cursor opened;
  struct error error;

  both.keys[1] = after.keys[0];
  both.count = 2;
  swapped = both;
  swapped.keys[0] = after.keys[0];
  swapped.keys[1] = before.keys[0];
  cursor_seal (&before, &sample_cursor, old_text);
  cursor_seal (&swapped, &sample_cursor, new_text);
  CU_ASSERT_TRUE (cursor_open (&both, old_text, &opened, &error));
  CU_ASSERT_TRUE (cursor_open (&both, new_text, &opened, &error));
  CU_ASSERT_TRUE (cursor_open (&swapped, old_text, &opened, &error));
  CU_ASSERT_FALSE (cursor_open (&after, old_text, &opened, &error));
}

CU_TestInfo cursor_tests[]
    = { { "open returns the sealed fields", test_open_returns_sealed_fields },
        { "rejects a cursor with any byte modified",
          test_rejects_modified_byte },
        { "rejects malformed text", test_rejects_malformed_text },
        { "keys rotate without rejected cursors", test_key_rotation },
        CU_TEST_INFO_NULL };
