/* Fault: executions in progress are omitted from the handover. */
#define FAULT_RUNNING_DROPPED
#include "tickets.inc.pml"
