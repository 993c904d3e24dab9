/* Executions under way are left out of the handover. It must be rejected. */
#define FAULT_RUNNING_DROPPED
#include "tickets.inc.pml"
