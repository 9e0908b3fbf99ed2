/* Programs handed from a stopping host to their next owners. */
#ifndef GALENA_PROGRAM_HANDOVER_H
#define GALENA_PROGRAM_HANDOVER_H

#include "peer/peer.pb-c.h"
#include "program/program.h"

void programs_hand_over (struct programs *programs);
bool programs_are_handed_over (const struct programs *programs);
void handover_take (struct programs *programs,
                    const Peer__ProgramHandover *handover);

#endif
