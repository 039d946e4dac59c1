/* grant.inc with retention, snapshots and readers that fall behind.

   Mutants, each of which must fail:
     STALE_SNAP   a reader takes over a snapshot that does not cover what it missed
     NO_LOST      a reader that the retention passed goes on as if nothing was missed */

#define MAXLOG 4
#define AGES
#include "grant.inc"
