/* Two reclaims, which can overlap, with a crash and restart, without lending. */
#define LENDING 0
#include "credit.inc.pml"
