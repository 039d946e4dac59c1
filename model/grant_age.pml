/* grant.inc with retention, snapshots, and readers that fall behind.

   Mutants, each of which must fail:
     STALE_SNAP   a reader restores a snapshot that does not cover the records it missed
     NO_LOST      a reader continues although retention removed records that it has not read */

#define MAXLOG 4
#define AGES
#include "grant.inc"
