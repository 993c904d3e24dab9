/* A call is charged when it is checked and runs any time later. */
#define N 2
#define PROBES 0
#define RECORDS 1
#define CRASHES 0
#define PAUSE
#include "credit.inc.pml"
