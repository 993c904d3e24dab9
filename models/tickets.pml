/* The ticket protocol as internal/ticket implements it. It must verify. */
#include "tickets.inc.pml"
