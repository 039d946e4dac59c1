/* One key whose entry drains or dies: handover, agents that remember, and the truth
   of "not run".

   The owner starts the key at an agent. It may die at any moment, or drain: refuse
   what is new, wait until nothing is in progress, hand its keys over, and end. The
   peer answers submissions meanwhile: it forwards while the owner lives, then uses
   the handover, then asks the agent. A ticket and a granted plain key look the same
   here: both have one owner for good.

   Checked: the key starts at most once; "not run" for good is said only of a key
   that has not started and never does; an answer under the key is the one that the
   upstream gave.

   Mutants, each of which must fail:
     EARLY_HANDOVER  the owner hands over while a start may be on its way
     LATE_ADMIT      the owner takes a new key after its handover
     NO_FLOOR        the handover does not say which keys may have been forgotten
     SEND_AGAIN      the peer starts the key itself once its owner is gone
     AGENT_NO        an agent that does not know the key is taken for "not run" */

mtype = { absent, queued, sent, ended };

mtype table = absent;    /* the owner's memory of the key */
bool owner_up = true;
bool draining = false;
bool handed = false;     /* the handover has arrived at the peer, whole */
bool handed_key = false; /* with the key's answer */
bool floor_above = false;/* the key lies below the handover's floor */

bool on_way = false;     /* a start on its way to the agent */
bool at_agent = false;   /* running there */
bool agent_knows = false;
bool agent_done = false; /* and remembers the answer */
byte starts = 0;
bool final_no = false;

inline start_now() { starts++; assert(starts <= 1); assert(!final_no) }

proctype owner() {
  do
  :: d_step { owner_up && table == absent && !floor_above &&
#ifdef LATE_ADMIT
       true
#else
       !draining
#endif
       -> table = queued }
  :: d_step { owner_up && table == queued -> table = sent; on_way = true }
  :: d_step { owner_up && table == sent && agent_done -> table = ended }
  /* the key leaves the window, and the floor rises above it */
  :: d_step { owner_up && table == ended -> table = absent; floor_above = true }
  :: d_step { owner_up && !draining -> draining = true }
  :: d_step { owner_up && draining && !handed &&
#ifdef EARLY_HANDOVER
       true
#else
       table != queued && table != sent
#endif
       -> handed = true; handed_key = (table == ended) }
  :: d_step { owner_up && draining && handed && table != queued && table != sent -> owner_up = false }
  :: d_step { owner_up -> owner_up = false }      /* dies */
  :: !owner_up -> break
  od
}

proctype agent() {
  do
  :: d_step { on_way -> on_way = false; at_agent = true; agent_knows = true; start_now() }
  :: d_step { on_way && !owner_up -> on_way = false }   /* lost with the link */
  :: d_step { at_agent -> at_agent = false; agent_done = true }
  :: d_step { agent_knows && !at_agent -> agent_knows = false; agent_done = false } /* forgets, or is replaced */
  od
}

proctype peer() {
  do
  :: d_step { !owner_up && handed && handed_key -> assert(starts == 1) } /* the answer */
#ifdef NO_FLOOR
  :: d_step { !owner_up && handed && !handed_key && !final_no -> final_no = true; assert(starts == 0) }
#else
  :: d_step { !owner_up && handed && !handed_key && !floor_above && !final_no -> final_no = true; assert(starts == 0) }
#endif
  :: d_step { !owner_up && !handed && agent_knows && agent_done -> assert(starts == 1) }
#ifdef AGENT_NO
  :: d_step { !owner_up && !handed && !agent_knows && !final_no -> final_no = true; assert(starts == 0) }
#endif
#ifdef SEND_AGAIN
  :: d_step { !owner_up && !handed && !agent_knows -> start_now() }
#endif
  od
}

init { atomic { run owner(); run agent(); run peer() } }
