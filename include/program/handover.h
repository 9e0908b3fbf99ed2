/* Hands programs over from a stopping host to their next owners: writes the
   new owner to the journal, sends it the program and forwards requests that
   still arrive here. */
#ifndef GALENA_PROGRAM_HANDOVER_H
#define GALENA_PROGRAM_HANDOVER_H

#include "peer/peer.pb-c.h"
#include "program/program.h"

void handover_start_all (struct programs *programs);
bool handover_is_complete (const struct programs *programs);
void handover_tick (struct programs *programs, int64_t now_ms);
void handover_resume_requests (struct programs *programs);
void handover_queue_request (struct programs *programs,
                             struct api_request *request);
const char *handover_target (const struct programs *programs, const char *id);
void handover_release (struct programs *programs);
void handover_receive (struct programs *programs,
                       const Peer__ProgramHandover *handover);

#endif
