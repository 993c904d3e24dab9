/* A restarted member counts after catching up from another member. */
#define LENDING 0
#define RECORDS 1
#define COUNT_AFTER_CATCH_UP
#include "credit.inc.pml"
