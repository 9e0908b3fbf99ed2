/* The pipeline's step that decides whether a program may begin, with what this
   host knows about the service's load; see policy/admission.h.  It concerns
   only turns whose caller states the program's deadline. */
#ifndef GALENA_REQUEST_ADMISSION_STEP_H
#define GALENA_REQUEST_ADMISSION_STEP_H

#include "common/buffer_budget.h"
#include "common/error.h"
#include "common/log.h"
#include "policy/admission.h"
#include "request/pool.h"
#include "request/routing.h"

struct admission_step;
struct request_input;

/* Predicts how long a request to SERVICE takes until its first event; negative
   if that is unknown. */
typedef int64_t admission_predictor (void *data, const char *service,
                                     int64_t now_ms);

struct admission_step_options
{
  struct pool *pool;
  const struct buffer_budget *buffers; /* may be NULL */
  admission_predictor *predict;        /* may be NULL */
  void *data;
};

/* A turn that is about to be sent for the first time.  Nothing is owned. */
struct admission_ask
{
  const char *service;
  const char *customer; /* NULL on open routes */
  uint64_t program;     /* hash of its id; 0 for none */
  bool begins_program;
  int64_t request_left_ms; /* until the request's deadline */
  int64_t program_left_ms; /* until the program's deadline */
  struct log_ids ids;
};

/* What admission would decide on a turn, and by what. */
struct admission_preview
{
  bool is_admitted;
  bool is_hopeless;  /* the deadline is shorter than any answer takes */
  bool lacks_memory; /* this host holds too much for slow readers */
  struct admission_load load;
  struct admission_decision decision;
};

struct admission_step *
admission_step_create (const struct admission_step_options *options);
void admission_step_destroy (struct admission_step *step);
struct admission *admission_step_policy (const struct admission_step *step);
void admission_step_apply (struct admission_step *step,
                           const struct routing *routing);
bool admission_step_is_first (struct admission_step *step,
                              const struct request_input *input,
                              uint64_t program, int64_t now_ms);
bool admission_step_admit (struct admission_step *step,
                           const struct admission_ask *ask, int64_t now_ms,
                           struct error *error);
struct admission_preview
admission_step_preview (const struct admission_step *step,
                        const struct admission_ask *ask, int64_t now_ms);
int32_t admission_step_priority (const struct admission_step *step,
                                 const struct admission_turn *turn);
int64_t admission_step_least_ms (const struct admission_step *step,
                                 const char *service, int64_t now_ms);
void admission_step_record_first_event (struct admission_step *step,
                                        const char *service,
                                        int64_t first_event_ms,
                                        int64_t now_ms);
void admission_step_record_end (struct admission_step *step,
                                const char *service, int64_t held_ms);
struct admission_load admission_step_load (const struct pool *pool,
                                           const char *service,
                                           int64_t now_ms);

#endif
