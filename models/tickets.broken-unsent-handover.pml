/* Fault: the successor accepts tickets before it has received the handover. The checker
   must reject it. */
#define FAULT_UNSENT_HANDOVER
#include "tickets.inc.pml"
