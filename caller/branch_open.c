#include "caller/body.h"
#include "caller/routes.h"

struct branch_body
{
  int64_t branch;
  bool fork;
};

static const struct field branch_fields[] = {
  { .name = "branch",
    .type = FIELD_INT64,
    .offset = offsetof (struct branch_body, branch),
    .required = true,
    .min = 1,
    .max = PROGRAM_MAX_BRANCHES - 1,
    .remedy = "choose a number for the branch" },
  { .name = "fork",
    .type = FIELD_BOOL,
    .offset = offsetof (struct branch_body, fork) },
};

enum
{
  FIELD_COUNT = sizeof branch_fields / sizeof *branch_fields,
};

/* POST /v1/programs/ID/branches opens a branch, for example for a sub-agent,
   at the position of the request's cursor.  */
void
handle_branch_open (struct api_request *request)
{
  struct branch_body body = { 0 };
  struct call_spec spec = { .kind = CALL_BRANCH, .idempotent = true };
  json_t *root = NULL;
  struct error error;
  bool ok = body_parse (request, &root, &error)
            && fields_read (root, branch_fields, FIELD_COUNT, "branch", &body,
                            &error);

  json_decref (root);
  if (!ok)
    {
      /* fields_read reports faults as errors of the settings.  */
      if (error.kind == ERROR_SETTINGS)
        error.kind = ERROR_BAD_REQUEST;
      api_respond_error (request, &error);
      return;
    }
  spec.new_branch = (uint32_t)body.branch;
  spec.fork = body.fork;
  call_submit (request, &spec, request->args[0]);
}
