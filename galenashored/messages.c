#include "galenashored/messages.h"
#include <stdlib.h>

/* Frees MESSAGE and everything that it still owns.  */
void
traffic_message_destroy (struct traffic_message *message)
{
  config_destroy (message->config);
  free (message->name);
  buf_release (&message->frame);
  free (message);
}

/* Frees MESSAGE and everything that it still owns.  */
void
control_message_destroy (struct control_message *message)
{
  free (message->name);
  free (message->text);
  buf_release (&message->frame);
  free (message);
}
