/* Credit is dated from when the answer arrives. */
#define N 2
#define PROBES 0
#define RECORDS 1
#define CRASHES 0
#define LATE_DATE
#include "credit.inc.pml"
