/* Fault: executions in progress are omitted from the handover. The checker must reject
   it. */
#define FAULT_RUNNING_DROPPED
#include "tickets.inc.pml"
