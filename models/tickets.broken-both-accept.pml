/* Fault: the stopping node continues to accept tickets after the handover. The checker
   must reject it. */
#define FAULT_BOTH_ACCEPT
#include "tickets.inc.pml"
