/* Table-driven validation and decoding of JSON objects into structs. */
#ifndef GALENA_COMMON_FIELDS_H
#define GALENA_COMMON_FIELDS_H

#include "common/error.h"
#include <jansson.h>
#include <stddef.h>

enum field_type
{
  FIELD_STRING,  /* char *, owned by the struct */
  FIELD_INT64,   /* int64_t within [min, max] */
  FIELD_MILLI,   /* int64_t, thousandths of a number; min and max as well */
  FIELD_BOOL,    /* bool */
  FIELD_STRINGS, /* struct strings, owned by the struct */
  FIELD_JSON,    /* json_t *, a reference owned by the struct */
};

struct strings
{
  char **items;
  size_t count;
};

struct field
{
  const char *name;
  enum field_type type;
  size_t offset;
  bool required;
  int64_t min;
  int64_t max;
  const char *remedy; /* advice in the error for a missing field, or NULL */
};

json_t *fields_load_file (const char *path, struct error *error);
bool fields_read (const json_t *object, const struct field *fields,
                  size_t count, const char *where, void *out,
                  struct error *error);
void fields_release (const struct field *fields, size_t count, void *out);
void strings_release (struct strings *strings);
void strings_add (struct strings *strings, const char *item);
void strings_copy (struct strings *to, const struct strings *from);
bool strings_contain (const struct strings *strings, const char *item);

#endif
