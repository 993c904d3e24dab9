/* Fault: the successor accepts tickets before it has received the handover. */
#define FAULT_UNSENT_HANDOVER
#include "tickets.inc.pml"
