/* Transfers programs from a stopping host to their next owners. */
#ifndef GALENA_PROGRAM_HANDOVER_H
#define GALENA_PROGRAM_HANDOVER_H

#include "peer/peer.pb-c.h"
#include "program/program.h"

void programs_hand_over (struct programs *programs);
bool programs_are_handed_over (const struct programs *programs);
void handover_tick (struct programs *programs, int64_t now_ms);
void handover_resume (struct programs *programs);
void handover_park (struct programs *programs, struct api_request *request);
const char *handover_host (const struct programs *programs, const char *id);
void handover_release (struct programs *programs);
void handover_take (struct programs *programs,
                    const Peer__ProgramHandover *handover);

#endif
