/* Two concurrent reclaims with a crash and restart, without lending. */
#define LENDING 0
#include "credit.inc.pml"
