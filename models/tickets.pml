/* The ticket protocol as implemented in internal/ticket. It must verify. */
#include "tickets.inc.pml"
