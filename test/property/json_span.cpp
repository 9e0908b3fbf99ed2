// Properties of the parts of JSON texts.
#include "properties.h"
#include <algorithm>
#include <cstdlib>
#include <jansson.h>
#include <malloc.h>
#include <rapidcheck.h>
#include <string>
#include <vector>
extern "C"
{
#include "common/json_span.h"
#include "common/object.h"
}

static size_t live_bytes;
static size_t peak_bytes;

static size_t
block_bytes (void *block)
{
  return malloc_usable_size (block) + sizeof (size_t);
}

static void *
counted_malloc (size_t size)
{
  void *block = std::malloc (size);

  live_bytes += block_bytes (block);
  peak_bytes = std::max (peak_bytes, live_bytes);
  return block;
}

static void
counted_free (void *block)
{
  if (block)
    live_bytes -= block_bytes (block);
  std::free (block);
}

// A text of tokens, most of which is no valid JSON.
static std::string
arbitrary_text ()
{
  auto tokens = *rc::gen::container<std::vector<std::string> > (
      rc::gen::element<std::string> (
          "{", "}", "[", "]", ",", ":", "\"", "\\", "\"a\"", "\"metadata\":",
          "\"name\":\"n\"", "\"rev\":7", "\"rev\":1e999", "{\"metadata\":{",
          "}}", "0", "1e999", "99999999999999999999", "-", "true", "null", " ",
          "\n", "\xff", "\xc3\xa9", std::string (1, '\0')));
  std::string text;

  for (const auto &token : tokens)
    text += token;
  return text;
}

static std::string
arbitrary_json (int levels)
{
  int kind = *rc::gen::inRange (0, levels > 0 ? 7 : 5);
  int count = *rc::gen::inRange (0, 12);
  std::string text;

  switch (kind)
    {
    case 0:
      return std::to_string (*rc::gen::arbitrary<int64_t> ());
    case 1:
      return "1.5e-7";
    case 2:
      return "true";
    case 3:
      return "\"\"";
    case 4:
      return "\"" + std::string (static_cast<size_t> (count) * 9, 'x')
             + "\\\"]}\"";
    case 5:
      for (int i = 0; i < count; i++)
        text += (i > 0 ? "," : "") + arbitrary_json (levels - 1);
      return "[" + text + "]";
    default:
      for (int i = 0; i < count; i++)
        text += (i > 0 ? ",\"" : "\"") + std::to_string (i)
                + "\": " + arbitrary_json (levels - 1);
      return "{" + text + "}";
    }
}

static json_span
span_of (const std::string &text)
{
  return { text.data (), text.size () };
}

static bool
check_items ()
{
  return rc::check (
      "items are told apart whatever they contain, and read one by one", [] {
        std::vector<std::string> texts;
        std::string array = " [";
        json_items items;
        size_t count = *rc::gen::inRange<size_t> (0, 6);

        while (texts.size () < count)
          {
            auto text = *rc::gen::inRange (0, 2) ? arbitrary_text ()
                                                 : arbitrary_json (2);
            auto first = text.find_first_not_of (" \n");

            // White space around an item is not part of it.
            if (!json_span_is_whole (span_of (text)))
              text = "\"\xff\"";
            else
              text = text.substr (first,
                                  text.find_last_not_of (" \n") + 1 - first);
            array += (texts.empty () ? "" : " ,\n") + text;
            texts.push_back (text);
          }
        array += "\n]";
        RC_ASSERT (json_span_is_whole (span_of (array)));
        RC_ASSERT (json_span_is_array (span_of (array)));
        json_items_init (&items, span_of (array));
        for (const auto &text : texts)
          {
            RC_ASSERT (json_items_next (&items));
            RC_ASSERT (std::string (items.at.text, items.at.len) == text);
          }
        RC_ASSERT (!json_items_next (&items));
        RC_ASSERT (!items.is_broken);
      });
}

static bool
check_objects ()
{
  return rc::check (
      "arbitrary bytes are read as an object or refused with a reason", [] {
        auto text = *rc::gen::inRange (0, 3) ? arbitrary_text ()
                                             : arbitrary_json (3);
        json_span value;
        object_id id;
        const char *reason;
        json_t *expected = json_loadb (text.data (), text.size (), 0, nullptr);
        json_t *object = object_parse (span_of (text), SIZE_MAX, &reason);

        RC_ASSERT (json_is_object (object));
        RC_ASSERT ((reason == nullptr)
                   == static_cast<bool> (json_is_object (expected)));
        if (!reason)
          RC_ASSERT (json_equal (object, expected));
        if (expected)
          RC_ASSERT (json_span_is_whole (span_of (text)));
        if (json_is_object (expected))
          RC_ASSERT (json_span_member (span_of (text), "metadata", &value)
                     == (json_object_get (expected, "metadata") != nullptr));
        json_span_is_array (span_of (text));
        object_id_read (&id, span_of (text));
        RC_ASSERT (id.revision >= 0);
        object_id_release (&id);
        json_decref (object);
        json_decref (expected);
      });
}

static bool
check_tree_bytes ()
{
  json_malloc_t old_malloc;
  json_free_t old_free;
  bool ok;

  json_get_alloc_funcs (&old_malloc, &old_free);
  json_set_alloc_funcs (counted_malloc, counted_free);
  ok = rc::check ("parsing a tree takes no more than its price", [] {
    auto text = arbitrary_json (4);
    json_t *value;

    if (*rc::gen::inRange (0, 4) == 0)
      {
        auto item = arbitrary_json (1);
        std::string many = item;

        for (int i = *rc::gen::inRange (0, 3000); i > 0; i--)
          many += "," + item;
        text = "[" + many + "]";
      }
    live_bytes = peak_bytes = 0;
    value = json_loadb (text.data (), text.size (), JSON_DECODE_ANY, nullptr);
    RC_ASSERT (value != nullptr);
    RC_ASSERT (peak_bytes <= json_span_tree_bytes (span_of (text)));
    json_decref (value);
    RC_ASSERT (live_bytes == 0);
  });
  json_set_alloc_funcs (old_malloc, old_free);
  return ok;
}

bool
check_json_span ()
{
  return check_items () && check_objects () && check_tree_bytes ();
}
