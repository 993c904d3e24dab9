/* The successor accepts tickets before it has received the handover. It must be rejected. */
#define FAULT_UNSENT_HANDOVER
#include "tickets.inc.pml"
