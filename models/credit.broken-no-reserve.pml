/* A successor ignores credit that its predecessor lent. */
#define N 3
#define PROBES 0
#define RECORDS 1
#define CRASHES 0
#define NO_RESERVE
#include "credit.inc.pml"
