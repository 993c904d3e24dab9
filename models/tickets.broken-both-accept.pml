/* Fault: the stopping node continues to accept tickets after the handover. */
#define FAULT_BOTH_ACCEPT
#include "tickets.inc.pml"
