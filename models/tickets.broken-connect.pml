/* Fault: an entry node reports "not run" because it cannot reach the owner, although an
   earlier attempt with the same ticket may have run there. */
#define FAULT_CONNECT
#include "tickets.inc.pml"
