/* One reclaim with lending and a lossy borrower. */
#define RECORDS 1
#define PROBES 0
#define CRASHES 0
#include "credit.inc.pml"
