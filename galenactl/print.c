#include "galenactl/command.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_COLUMNS = 16,
  JSON_INDENT_WIDTH = 2,
};

/* Prints VALUE as indented JSON.  */
void
ctl_print_json (const json_t *value)
{
  char *text
      = json_dumps (value, JSON_INDENT (JSON_INDENT_WIDTH) | JSON_ENCODE_ANY);

  puts (text ? text : "null");
  free (text);
}

static const char *
get_cell (const json_t *row, size_t column)
{
  const char *text = json_string_value (json_array_get (row, column));

  return text ? text : "";
}

/* Prints ROWS, arrays of strings, as aligned columns with the header TITLES.
 */
void
ctl_print_table (const char *const *titles, size_t columns, const json_t *rows)
{
  size_t widths[MAX_COLUMNS] = { 0 };
  size_t i;
  json_t *row;

  for (size_t c = 0; c < columns && c < MAX_COLUMNS; c++)
    {
      widths[c] = strlen (titles[c]);
      json_array_foreach (rows, i, row) if (strlen (get_cell (row, c))
                                            > widths[c]) widths[c]
          = strlen (get_cell (row, c));
    }
  for (size_t c = 0; c < columns; c++)
    printf ("%-*s%s", (int)widths[c], titles[c],
            c + 1 < columns ? "  " : "\n");
  json_array_foreach (rows, i, row) for (size_t c = 0; c < columns; c++)
      printf ("%-*s%s", (int)widths[c], get_cell (row, c),
              c + 1 < columns ? "  " : "\n");
}
