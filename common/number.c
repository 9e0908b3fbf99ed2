#include "common/number.h"

/* The smallest double above INT64_MAX; INT64_MIN is one, too.  */
static const double INT64_END = 9223372036854775808.0;

/* Returns NUMBER cut off towards zero, INT64_MIN or INT64_MAX if it is out of
   range, and 0 if it is none: the result of a cast would depend on the
   processor.  */
int64_t
number_to_int64 (double number)
{
  if (number >= INT64_END)
    return INT64_MAX;
  if (number < -INT64_END)
    return INT64_MIN;
  return number == number ? (int64_t)number : 0;
}

/* Returns a JSON number cut off towards zero, or FALLBACK if VALUE, which may
   be NULL, is not a number.  */
int64_t
number_from_json (const json_t *value, int64_t fallback)
{
  if (json_is_integer (value))
    return json_integer_value (value);
  return json_is_real (value) ? number_to_int64 (json_real_value (value))
                              : fallback;
}

/* Returns the member NAME of OBJECT, cut off to 0 to MAX, or 0 if there is no
   such number.  */
int64_t
number_read_count (const json_t *object, const char *name, int64_t max)
{
  int64_t number = number_from_json (json_object_get (object, name), 0);

  return number < 0 ? 0 : number > max ? max : number;
}
