/* Fault: a duplicated handover replaces newer state of the successor. */
#define FAULT_REACCEPT
#include "tickets.inc.pml"
