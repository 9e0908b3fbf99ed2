/* Plain stand-ins for library macros that cppcheck cannot see into. */
#define PROTOBUF_C_VERSION_NUMBER 1004001
#define PROTOBUF_C_MIN_COMPILER_VERSION 1000000
#define json_array_foreach(array, i, item)                                    \
  for (i = 0; (item = json_array_get (array, i)); i++)
#define json_object_foreach(object, key, item)                                \
  for (key = json_object_next (object);                                       \
       key && (item = json_object_get (object, key)); key = NULL)
#define json_object_foreach_safe(object, next, key, item)                     \
  for (next = json_object_iter (object), key = json_object_next (object);     \
       key && (item = json_object_get (object, key)); key = NULL)
