/* Fault: a duplicated handover replaces newer state of the successor. The checker must
   reject it. */
#define FAULT_REACCEPT
#include "tickets.inc.pml"
