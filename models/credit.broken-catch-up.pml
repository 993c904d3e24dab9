/* Fault: a restarted member counts towards majorities after it has caught up from
   another member instead of the log. */
#define LENDING 0
#define RECORDS 1
#define FAULT_COUNT_AFTER_CATCH_UP
#include "credit.inc.pml"
