/* One key whose entry drains or crashes: the handover, the agents' records of keys, and
   the correctness of "not run".

   The owner starts the key at an agent. It may crash at any time, or drain: reject new
   submissions, wait until nothing is in progress, send a handover with its keys, and end.
   Meanwhile a peer answers submissions: it forwards them while the owner is up. After
   that it uses the handover, or queries the agent if it received no handover. A ticket
   and a granted plain key are the same here, since both have one owner permanently.

   Checked: the key starts at most once; a permanent "not run" is reported only for a key
   that has not started and never does; an answer under the key is the one that the
   upstream gave.

   Mutants, each of which must fail:
     EARLY_HANDOVER  the owner sends the handover while a start may be in transit
     LATE_ADMIT      the owner admits a new key after its handover
     NO_FLOOR        the handover does not state which keys may have been forgotten
     SEND_AGAIN      the peer starts the key itself after its owner has gone
     AGENT_NO        the peer reports "not run" because the agent has no record of the key */

mtype = { absent, queued, sent, ended };

mtype key_state = absent;         /* the key's state in the owner's table */
bool owner_up = true;
bool draining = false;
bool handover_received = false;   /* the peer has received the complete handover */
bool handover_has_answer = false; /* the handover contains the key's answer */
bool below_floor = false;         /* the key is older than the handover's floor */

bool start_in_transit = false; /* a start message is in transit to the agent */
bool running_at_agent = false; /* the task runs at the agent */
bool agent_has_key = false;    /* the agent has a record of the key */
bool agent_has_answer = false; /* that record holds the answer */
byte starts = 0;
bool reported_not_run = false; /* as the permanent answer */

inline start_task() { starts++; assert(starts <= 1); assert(!reported_not_run) }

proctype owner() {
  do
  :: d_step { owner_up && key_state == absent && !below_floor &&
#ifdef LATE_ADMIT
       true
#else
       !draining
#endif
       -> key_state = queued }
  :: d_step { owner_up && key_state == queued -> key_state = sent; start_in_transit = true }
  :: d_step { owner_up && key_state == sent && agent_has_answer -> key_state = ended }
  /* the key leaves the key window, and the floor rises above it */
  :: d_step { owner_up && key_state == ended -> key_state = absent; below_floor = true }
  :: d_step { owner_up && !draining -> draining = true }
  :: d_step { owner_up && draining && !handover_received &&
#ifdef EARLY_HANDOVER
       true
#else
       key_state != queued && key_state != sent
#endif
       -> handover_received = true; handover_has_answer = (key_state == ended) }
  :: d_step { owner_up && draining && handover_received && key_state != queued && key_state != sent -> owner_up = false }
  :: d_step { owner_up -> owner_up = false }      /* crashes */
  :: !owner_up -> break
  od
}

proctype agent() {
  do
  :: d_step { start_in_transit -> start_in_transit = false; running_at_agent = true; agent_has_key = true; start_task() }
  :: d_step { start_in_transit && !owner_up -> start_in_transit = false }   /* lost with the link */
  :: d_step { running_at_agent -> running_at_agent = false; agent_has_answer = true }
  :: d_step { agent_has_key && !running_at_agent -> agent_has_key = false; agent_has_answer = false } /* forgets the key, or is replaced */
  od
}

proctype peer() {
  do
  :: d_step { !owner_up && handover_received && handover_has_answer -> assert(starts == 1) } /* returns the answer */
#ifdef NO_FLOOR
  :: d_step { !owner_up && handover_received && !handover_has_answer && !reported_not_run -> reported_not_run = true; assert(starts == 0) }
#else
  :: d_step { !owner_up && handover_received && !handover_has_answer && !below_floor && !reported_not_run -> reported_not_run = true; assert(starts == 0) }
#endif
  :: d_step { !owner_up && !handover_received && agent_has_key && agent_has_answer -> assert(starts == 1) }
#ifdef AGENT_NO
  :: d_step { !owner_up && !handover_received && !agent_has_key && !reported_not_run -> reported_not_run = true; assert(starts == 0) }
#endif
#ifdef SEND_AGAIN
  :: d_step { !owner_up && !handover_received && !agent_has_key -> start_task() }
#endif
  od
}

init { atomic { run owner(); run agent(); run peer() } }
