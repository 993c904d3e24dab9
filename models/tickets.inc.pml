/*
 * Model of tickets with handover. It contains one ticket of one workspace, issued by
 * the first incarnation on host A (OLD). NEW is a second incarnation on host A, SUCC
 * is the successor named in a planned stop. A caller presents the ticket up to
 * RETRIES + 1 times. Each attempt goes through an entry node to any of the three
 * nodes, because the directory of an entry node may be outdated.
 *
 * Calls, answers and handovers can be lost, delayed and reordered: a message can be
 * received at any time or never. Handovers can be duplicated: the message remains in
 * the network after it was received. Other processes may take steps between the
 * check and the execution, and between the execution and its report. OLD and SUCC
 * can crash.
 *
 * Each broken variant defines one fault and includes this file:
 *   FAULT_BOTH_ACCEPT        the stopping node accepts tickets after the handover
 *   FAULT_INCARNATION        a new incarnation accepts tickets of the previous one
 *   FAULT_LOST_CONNECTION    "not run" is reported after a lost connection
 *   FAULT_CONNECT            "not run" is reported because the owner is unreachable
 *   FAULT_FORGET             markers are removed before their ticket expires
 *   FAULT_REACCEPT           a duplicated handover replaces newer state
 *   FAULT_ACCEPTED_FORGOTTEN accepted handovers are forgotten after expiry
 *   FAULT_RUNNING_DROPPED    executions in progress are omitted from the handover
 *   FAULT_UNSENT_HANDOVER    the successor accepts tickets without a handover
 */

#ifndef RETRIES
#define RETRIES 3
#endif

#define OLD 0
#define NEW 1
#define SUCC 2
#define NODES 3

#define UNUSED 0
#define RUNNING 1
#define RAN 2
#define MAY_HAVE_RUN 3

bool alive[NODES];     /* the process is running */
bool holds[NODES];     /* holds the key and markers of OLD's tickets */
bool sealed[NODES];    /* accepts no tickets any more */
bool closed[NODES];    /* starts no new executions */
bool expired[NODES];   /* the ticket has expired by this node's upper bound of OLD's clock */
byte marker[NODES];    /* UNUSED, RUNNING, RAN or MAY_HAVE_RUN */
bool handoverAccepted; /* SUCC has a record of the handover that it accepted */
bool sent;             /* the handover is in the network */
byte handedMarker;     /* marker in the handover */
bool handedExpired;    /* the ticket had expired by OLD's clock at the seal */

byte executions;       /* executions of the action at the upstream */
byte pending;          /* executions checked and not yet run */

chan call[NODES] = [RETRIES + 1] of { byte };

#define accepts(n) (alive[n] && holds[n] && !sealed[n])

/* droppable is true if the marker at node n may be removed. */
#ifdef FAULT_FORGET
#define droppable(n) (marker[n] == RAN || marker[n] == MAY_HAVE_RUN)
#else
#define droppable(n) (expired[n] && (marker[n] == RAN || marker[n] == MAY_HAVE_RUN))
#endif

/* assertOneAcceptor checks that at most one node accepts the ticket. */
inline assertOneAcceptor() {
  assert(accepts(OLD) + accepts(NEW) + accepts(SUCC) <= 1)
}

/* reportNotRun reports "not run" to the caller and checks that this is true. */
inline reportNotRun() {
  assert(executions == 0 && pending == 0)
}

/* decide answers a call at node n, or sets execute if n must run it. */
inline decide(n, execute) {
  execute = false;
  if
  :: !alive[n] ->
#ifdef FAULT_CONNECT
    reportNotRun();
#endif
    skip /* the entry node answers may-have-run: an earlier attempt may have run */
  :: alive[n] && !accepts(n) -> skip /* forwarded, or may-have-run */
  :: accepts(n) && marker[n] != UNUSED -> skip /* replay, wait, or the stored outcome */
  :: accepts(n) && marker[n] == UNUSED && expired[n] -> skip /* may-have-run, expired */
  :: accepts(n) && marker[n] == UNUSED && !expired[n] && closed[n] ->
    reportNotRun()
  :: accepts(n) && marker[n] == UNUSED && !expired[n] && !closed[n] ->
    marker[n] = RUNNING;
    pending++;
    execute = true
  fi
}

/* server handles the calls that arrive at node n, one execution at a time. */
proctype server(byte n) {
  bool execute;
end:
  do
  :: atomic {
      call[n]?[_] -> call[n]?_;
      decide(n, execute)
    };
    if
    :: !execute -> skip
    :: execute ->
      /* A stop or crash may occur here, between the check and the execution. */
      if
      :: atomic { alive[n] -> /* the upstream refused the call, which proves that it did not run */
          pending--;
          if
          :: marker[n] == RUNNING -> marker[n] = UNUSED; reportNotRun()
          :: else -> skip /* sealed in the meantime and handed over as may-have-run */
          fi
        }
      :: atomic { /* also after a crash: the upstream already has the call */
          executions++;
          pending--;
          assert(executions <= 1)
        };
        if
        :: atomic { alive[n] && marker[n] == RUNNING -> marker[n] = RAN }
        :: atomic { alive[n] && marker[n] == RUNNING -> marker[n] = MAY_HAVE_RUN } /* incomplete answer */
        :: atomic { !(alive[n] && marker[n] == RUNNING) -> skip }
        fi
      fi;
      execute = false
    fi
  od
}

/* caller presents the ticket; an entry node forwards it to any of the nodes. */
proctype caller() {
  byte attempt;
  attempt = 0;
  do
  :: attempt <= RETRIES ->
    attempt++;
    if
    :: call[OLD]!0
    :: call[NEW]!0
    :: call[SUCC]!0
    :: skip /* the call is lost: may-have-run */
    fi;
    if
    :: skip /* the answer arrives, or the caller continues without it */
    :: atomic { /* the connection of the entry node breaks after the call was sent */
#ifdef FAULT_LOST_CONNECTION
        reportNotRun();
#endif
        skip
      }
    fi
  :: attempt > RETRIES -> break
  od
}

/* stop is the planned stop of OLD: close, then seal, at once or later. */
proctype stop() {
end_close:
  atomic { accepts(OLD) -> closed[OLD] = true };
end_seal:
  atomic {
    accepts(OLD) ->
#ifdef FAULT_RUNNING_DROPPED
    handedMarker = (marker[OLD] == RUNNING -> UNUSED : marker[OLD]);
#else
    handedMarker = (marker[OLD] == RUNNING -> MAY_HAVE_RUN : marker[OLD]);
    marker[OLD] = handedMarker;
#endif
    handedExpired = expired[OLD];
#ifdef FAULT_BOTH_ACCEPT
    closed[OLD] = false;
#else
    sealed[OLD] = true;
#endif
    sent = true
  }
}

/* network delivers the handover to SUCC at any time, any number of times. */
proctype network() {
end:
  do
#ifdef FAULT_UNSENT_HANDOVER
  :: atomic { alive[SUCC] && !handoverAccepted -> handoverAccepted = true; holds[SUCC] = true; assertOneAcceptor() }
#endif
  :: atomic {
      sent && alive[SUCC] ->
      if
#ifdef FAULT_REACCEPT
      :: true ->
#else
      :: !handoverAccepted ->
#endif
        handoverAccepted = true;
        holds[SUCC] = true;
        marker[SUCC] = handedMarker;
        expired[SUCC] = handedExpired;
        assertOneAcceptor()
#ifndef FAULT_REACCEPT
      :: handoverAccepted -> skip
#endif
      fi
    }
  :: atomic { sent -> sent = false } /* all copies in the network are lost */
  od
}

/* clocks makes tickets expire and removes markers that may be removed. */
proctype clocks() {
end:
  do
  :: atomic { !expired[OLD] -> expired[OLD] = true }
  :: atomic { holds[SUCC] && !expired[SUCC] -> expired[SUCC] = true }
  :: atomic { droppable(OLD) -> marker[OLD] = UNUSED }
  :: atomic { droppable(SUCC) -> marker[SUCC] = UNUSED }
#ifdef FAULT_ACCEPTED_FORGOTTEN
  :: atomic {
      handoverAccepted && expired[SUCC] && marker[SUCC] != RUNNING ->
      handoverAccepted = false;
      holds[SUCC] = false;
      marker[SUCC] = UNUSED
    }
#endif
  od
}

/* crash ends the process of OLD or SUCC, which loses its state. */
proctype crash() {
end:
  do
  :: atomic { alive[OLD] -> alive[OLD] = false; holds[OLD] = false; marker[OLD] = UNUSED }
  :: atomic { alive[SUCC] -> alive[SUCC] = false; holds[SUCC] = false; marker[SUCC] = UNUSED }
  od
}

/* restart starts the new incarnation after the process of OLD has ended. */
proctype restart() {
end:
  atomic {
    !alive[OLD] ->
    alive[NEW] = true;
#ifdef FAULT_INCARNATION
    holds[NEW] = true;
#endif
    assertOneAcceptor()
  }
}

init {
  atomic {
    alive[OLD] = true;
    holds[OLD] = true;
    alive[SUCC] = true;
    run server(OLD);
    run server(NEW);
    run server(SUCC);
    run caller();
    run stop();
    run network();
    run clocks();
    run crash();
    run restart()
  }
}
