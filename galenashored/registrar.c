#include "common/id.h"
#include "common/log.h"
#include "galenashored/control_state.h"
#include "policy/holders.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RETRY_DELAY_MS = 250,
  PROCESS_ID_BYTES = 17, /* 16 hexadecimal digits and the terminator */
};

static void
format_process_id (uint64_t process, char out[PROCESS_ID_BYTES])
{
  snprintf (out, PROCESS_ID_BYTES, "%016" PRIx64, process);
}

static json_t *
build_own_host (const struct control *control)
{
  const struct settings *settings = control->settings;
  char process[PROCESS_ID_BYTES];

  format_process_id (control->process, process);
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:b, s:b}", "data_centre",
      settings->data_centre, "peer_address", settings->peer_listen,
      "caller_address", settings->caller_listen, "operator_address",
      settings->operator_listen, "process", process, "has_data_folder",
      settings->data_dir != NULL, "leaving", control->stopping);
}

/* Merges a successful write of this host into the configuration at once. Other
   hosts receive it through their own watches.  */
static void
merge_own_write (struct control *control, const char *kind, const char *name,
                 uint64_t version, json_t *value)
{
  json_t *list
      = json_pack ("[{s:s, s:s, s:I, s:O}]", "kind", kind, "name", name,
                   "version", (json_int_t)version, "data", value);
  if (objects_merge (&control->objects, list))
    control_publish (control);
  json_decref (list);
}

/* Retries later.  Reads the list again if the platform may hold another
   version than the one known here.  */
static void
handle_write_failure (struct control *control, enum platform_status status)
{
  control->registrar.next_try_ms = clock_now_ms () + RETRY_DELAY_MS;
  if (status == PLATFORM_CONFLICT || status == PLATFORM_OUTCOME_UNKNOWN)
    control->sync.needs_list = true;
}

static void
handle_host_written (void *data, const struct platform_response *response)
{
  struct control *control = data;
  struct registrar *registrar = &control->registrar;

  registrar->host_write = NULL;
  if (response->status == PLATFORM_OK)
    merge_own_write (control, "host", control->settings->host,
                     response->version, registrar->host_value);
  else
    handle_write_failure (control, response->status);
  json_decref (registrar->host_value);
  registrar->host_value = NULL;
}

/* Writes this host's object if it differs from the wanted one.  Returns
   whether it is up to date.  */
static bool
reconcile_host (struct control *control)
{
  struct registrar *registrar = &control->registrar;
  const json_t *current
      = objects_find (&control->objects, "host", control->settings->host);
  json_t *wanted;

  if (registrar->host_write)
    return false;
  wanted = build_own_host (control);
  if (current && json_equal (json_object_get (current, "data"), wanted))
    {
      json_decref (wanted);
      return true;
    }
  registrar->host_value = wanted;
  registrar->host_write
      = platform_put (&control->platform, "host", control->settings->host,
                      current ? objects_version (current) : 0, wanted,
                      handle_host_written, control);
  return false;
}

static void
handle_slots_written (void *data, const struct platform_response *response)
{
  struct control *control = data;
  struct registrar *registrar = &control->registrar;

  registrar->slots_write = NULL;
  if (response->status == PLATFORM_OK)
    {
      registrar->releasing_slots = 0;
      merge_own_write (control, "slots", control->settings->data_centre,
                       response->version, registrar->slots_value);
    }
  else
    handle_write_failure (control, response->status);
  json_decref (registrar->slots_value);
  registrar->slots_value = NULL;
}

static void
write_slots (struct control *control, const uint64_t *holders,
             uint64_t version)
{
  struct registrar *registrar = &control->registrar;
  json_t *list = json_array ();
  char text[PROCESS_ID_BYTES];

  for (uint32_t i = 0; i < SLOTS_PER_DC; i++)
    {
      format_process_id (holders[i], text);
      json_array_append_new (list,
                             holders[i] ? json_string (text) : json_null ());
    }
  registrar->slots_value = json_pack ("{s:o}", "holders", list);
  registrar->slots_write = platform_put (
      &control->platform, "slots", control->settings->data_centre, version,
      registrar->slots_value, handle_slots_written, control);
}

static void
read_holders (const json_t *slots, uint64_t *holders)
{
  const json_t *list
      = json_object_get (json_object_get (slots, "data"), "holders");

  for (uint32_t i = 0; i < SLOTS_PER_DC; i++)
    {
      const char *text = json_string_value (json_array_get (list, i));

      holders[i] = text ? strtoull (text, NULL, 16) : 0;
    }
}

/* Fills LIVE with the processes of the hosts in this data centre that have a
   host object.  Returns their count.  */
static uint32_t
list_live_processes (const struct control *control, uint64_t *live)
{
  uint32_t count = 0;
  const char *key;
  json_t *object;

  json_object_foreach (control->objects.by_key, key, object)
  {
    const json_t *data = json_object_get (object, "data");
    const char *dc = json_string_value (json_object_get (data, "data_centre"));
    const char *process
        = json_string_value (json_object_get (data, "process"));

    if (strncmp (key, "host/", strlen ("host/")) == 0 && dc && process
        && !json_is_true (json_object_get (object, "deleted"))
        && strcmp (dc, control->settings->data_centre) == 0
        && count < HOLDERS_MAX_HOSTS)
      live[count++] = strtoull (process, NULL, 16);
  }
  return count;
}

/* Releases slots in two steps: the traffic thread stops using them first, and
   only then are they cleared in the table.  Starts the first step for the bit
   set RELEASE unless it has been started.  Returns whether it is complete.  */
static bool
start_or_check_release (struct control *control, uint64_t release)
{
  struct registrar *registrar = &control->registrar;

  if (registrar->releasing_slots != release)
    {
      registrar->releasing_slots = release;
      control_publish (control);
      registrar->release_sequence = 0;
      return false;
    }
  return registrar->release_sequence > 0
         && control->applied_sequence >= registrar->release_sequence;
}

/* Writes the slot table if this host must release or claim slots in it.  */
static void
reconcile_slots (struct control *control)
{
  struct registrar *registrar = &control->registrar;
  const json_t *slots = objects_find (&control->objects, "slots",
                                      control->settings->data_centre);
  uint64_t holders[SLOTS_PER_DC] = { 0 };
  uint64_t live[HOLDERS_MAX_HOSTS];
  uint32_t live_count = list_live_processes (control, live);
  struct holders_plan plan;

  if (registrar->slots_write)
    return;
  /* A host writes its host object before it claims a slot.  With every change
     up to the table's version, all its holders are therefore known; without
     them a live holder could be mistaken for a dead one.  */
  if (slots && objects_version (slots) > control->sync.seen_revision)
    return;
  if (slots)
    read_holders (slots, holders);
  plan = holders_plan (holders, SLOTS_PER_DC, control->process, live,
                       live_count, control->stopping);
  if (plan.release && !start_or_check_release (control, plan.release))
    return;
  if (!plan.release && !plan.claim)
    return;
  for (uint32_t i = 0; i < SLOTS_PER_DC; i++)
    {
      if (plan.release & (UINT64_C (1) << i))
        holders[i] = 0;
      if (plan.claim & (UINT64_C (1) << i))
        holders[i] = control->process;
    }
  write_slots (control, holders, slots ? objects_version (slots) : 0);
}

/* Reconciles this host's object and its slots with the platform.  */
void
registrar_tick (struct control *control, int64_t now_ms)
{
  if (!control->sync.loaded || !control->sync.platform_reachable
      || now_ms < control->registrar.next_try_ms)
    return;
  if (reconcile_host (control))
    reconcile_slots (control);
}

/* Clears the slots being released in CONFIG, which is sent to traffic.  */
void
registrar_clear_released_slots (struct control *control, struct config *config)
{
  struct registrar *registrar = &control->registrar;

  for (size_t i = 0; i < config->slot_table_count; i++)
    {
      if (strcmp (config->slots[i].data_centre, control->settings->data_centre)
          != 0)
        continue;
      for (uint32_t j = 0; j < SLOTS_PER_DC; j++)
        if (registrar->releasing_slots & (UINT64_C (1) << j))
          config->slots[i].holders[j] = 0;
    }
  if (registrar->releasing_slots)
    registrar->release_sequence = control->sequence + 1;
}

/* Whether this host holds no slots.  */
bool
registrar_holds_no_slots (const struct control *control)
{
  const json_t *slots = objects_find (&control->objects, "slots",
                                      control->settings->data_centre);
  uint64_t holders[SLOTS_PER_DC] = { 0 };

  if (slots)
    read_holders (slots, holders);
  for (uint32_t i = 0; i < SLOTS_PER_DC; i++)
    if (holders[i] == control->process)
      return false;
  return true;
}

/* Cancels pending writes.  */
void
registrar_release (struct control *control)
{
  struct registrar *registrar = &control->registrar;

  if (registrar->host_write)
    fetch_cancel (registrar->host_write);
  if (registrar->slots_write)
    fetch_cancel (registrar->slots_write);
  json_decref (registrar->host_value);
  json_decref (registrar->slots_value);
  *registrar = (struct registrar){ 0 };
}
