/* An entry node says "not run" because it cannot reach the owner, though an
   earlier attempt with the same ticket may have run there. It must be rejected. */
#define FAULT_CONNECT
#include "tickets.inc.pml"
