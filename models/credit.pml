/* One reclaim of the share, with lending and a borrower whose messages can be lost. */
#define RECORDS 1
#define PROBES 0
#define CRASHES 0
#include "credit.inc.pml"
