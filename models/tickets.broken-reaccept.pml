/* A duplicated handover replaces the newer state of the successor. It must be rejected. */
#define FAULT_REACCEPT
#include "tickets.inc.pml"
