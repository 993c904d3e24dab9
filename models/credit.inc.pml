/*
 * Model of credit, shares, epochs, reclaim and fresh evidence (docs/design.md, 6.2
 * and 6.4) with one share, up to three nodes that also form the panel, and a
 * borrower. A reclaim is a log record that assigns the share anew while its previous
 * holder may still be running. Each step is atomic. A lost message is a step that is never
 * taken, a delayed message is a step that is taken after further ticks (a read of
 * the log has no delay), and a paused node is a node that takes no steps. Timers
 * count down at each tick, so that the state contains no absolute time.
 *
 * Each broken variant defines one fault and includes this file:
 *   FAULT_NO_MAJORITY          a share is in force as soon as its record is folded
 *   FAULT_COUNT_AFTER_CATCH_UP a restarted member counts without reading the log
 *   FAULT_LATE_EVIDENCE        evidence is dated from the end of the probe round
 *   FAULT_NO_WAIT              a new holder does not wait for evidence to lapse
 *   FAULT_SAME_HOST            a restarted holder never waits
 *   FAULT_SKIPPED_RECORD       a holder ignores records that it folded in one step
 *   FAULT_NO_RESERVE           a new holder ignores credit lent by its predecessor
 *   FAULT_PAUSE                a call may be sent any time after its check
 *   FAULT_LATE_CREDIT          credit is dated from the arrival of the answer
 *   FAULT_USE_AFTER_RETURN     a borrower uses credit that it is returning; no
 *                              variant defines it
 */
#ifndef NODES
#define NODES 3
#endif
#define EVIDENCE_TICKS 2  /* ticks for which evidence is valid */
#define CREDIT_TICKS   3  /* ticks for which lent credit is valid */
#define BURST          2  /* calls in a burst; the rate is one call per tick */
#ifndef RECORDS
#define RECORDS 2         /* records that assign the share, after the first one */
#endif
#ifndef CRASHES
#define CRASHES 1         /* crashes of nodes, each followed by a restart */
#endif
#ifndef LOANS
#define LOANS   1         /* loans that can exist at the same time, at most 2 */
#endif
#ifndef LENDING
#define LENDING 1         /* 0: no credit and no calls; only assert_one_user is checked */
#endif
#ifndef PROBES
#define PROBES 1          /* 1: node 0 can get evidence by probing the members */
#endif

#define majority(mask) ((((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1)) >= 2)
#define bit(n) (1 << (n))

/* values of loan_state */
#define LOAN_FREE      0
#define LOAN_REQUESTED 1
#define LOAN_GRANTED   2
#define LOAN_HELD      3 /* by the borrower */
#define LOAN_RETURNING 4 /* the message with the return is in the network */

byte last_record = 0;             /* number of the last record in the log */
byte record_holder[RECORDS + 1];  /* node to which the record assigns the share */
bool holder_crashed[RECORDS + 1]; /* that incarnation of the node has crashed */

byte folded[NODES];        /* last record that the node has folded */
bool counted[NODES];       /* the node counts towards majorities */
byte evidence_left[NODES]; /* ticks until the node's evidence lapses */
byte probe_left[NODES];    /* ticks left of a probe round */
byte probe_answers[NODES]; /* members that answered (bit set) */
byte probe_offset[NODES];  /* highest record in an answer */
byte acks[NODES];          /* members that acknowledged the record which assigns the share (bit set) */
byte wait_left[NODES];     /* after a majority: ticks until the share is in force, plus one */
bool in_force[NODES];      /* the node may use its share while its evidence is valid */
byte level[NODES];         /* credit that the node can use for calls or lend */
byte reserve_left[NODES];  /* ticks for which credit lent by the predecessor is reserved */
bool checked[NODES];       /* a call was checked and is not sent yet (FAULT_PAUSE only) */

byte loan_state[LOANS];      /* LOAN_FREE to LOAN_RETURNING */
byte borrower_left[LOANS];   /* ticks left according to the borrower */
byte borrower_credit[LOANS]; /* credit left at the borrower */
byte lender_left[LOANS];     /* ticks left according to the lender */
byte lender_out[LOANS];      /* credit that the lender counts as lent */
byte lender[LOANS];          /* node that granted the loan */

byte window_left = BURST;  /* calls allowed by rate and burst; checks the limit in every time window */
byte crashes = 0;
byte n; byte m; byte k; byte x; /* scratch; n and m are nodes, k is a loan, x is any value */

#define holder(i) (record_holder[folded[i]] == (i) && !holder_crashed[folded[i]])
#define may_use(i) (holder(i) && in_force[i] && evidence_left[i] > 0)
#define assert_one_user() \
    assert(!(may_use(0) && may_use(1)) && !(NODES > 2 && (may_use(1) || may_use(0)) && may_use(NODES - 1)))

/* use_credit sends one call and checks the limit. */
inline use_credit() { assert(window_left > 0); window_left-- }

/* count_out sets x to the credit that node i counts as lent or reserved. */
inline count_out(i) {
    x = (reserve_left[i] > 0 -> BURST : 0);
    k = 0;
    do
    :: k < LOANS -> x = x + ((lender_left[k] > 0 && lender[k] == i) -> lender_out[k] : 0); k++
    :: else -> k = 0; break
    od
}

/* drop_loans removes the loans of node i from its accounts. */
inline drop_loans(i) {
    k = 0;
    do
    :: k < LOANS ->
        if
        :: lender[k] == i -> lender_left[k] = 0; lender_out[k] = 0
        :: else
        fi;
        k++
    :: else -> k = 0; break
    od
}

/* fold makes node i fold all records with numbers up to "to". */
inline fold(i, to) {
    if
    :: folded[i] < to ->
        x = folded[i]; /* the last record folded before this step */
        folded[i] = to;
        acks[i] = 0; wait_left[i] = 0;
        if
#ifndef FAULT_SKIPPED_RECORD
        /* A record folded in the same step may have assigned the share to another node. */
        :: in_force[i] && (!holder(i) || to > x + 1) ->
#else
        :: in_force[i] && !holder(i) ->
#endif
             in_force[i] = false; level[i] = 0; reserve_left[i] = 0; drop_loans(i)
        :: else
        fi;
        x = 0
    :: else
    fi
}

/* activate puts the share into force at node i, and reserves the credit that its
 * predecessor may have lent. */
inline activate(i) {
    in_force[i] = true; level[i] = 0; acks[i] = 0; wait_left[i] = 0;
#ifndef FAULT_NO_RESERVE
    reserve_left[i] = (LENDING -> CREDIT_TICKS : 0)
#else
    reserve_left[i] = 0
#endif
}

/* tick advances all timers by one and adds one call to the window and, with lending,
 * to the level of each node in force. */
inline tick() {
    n = 0;
    do
    :: n < NODES ->
        count_out(n);
        if
        :: LENDING && in_force[n] && level[n] + x < BURST -> level[n]++
        :: else
        fi;
        evidence_left[n] = (evidence_left[n] > 0 -> evidence_left[n] - 1 : 0);
        probe_left[n] = (probe_left[n] > 0 -> probe_left[n] - 1 : 0);
        if
        :: probe_left[n] == 0 -> probe_answers[n] = 0; probe_offset[n] = 0
        :: else
        fi;
        wait_left[n] = (wait_left[n] > 1 -> wait_left[n] - 1 : wait_left[n]);
        reserve_left[n] = (LENDING && reserve_left[n] > 0 -> reserve_left[n] - 1 : 0);
        n++
    :: else -> n = 0; break
    od;
    do
    :: k < LOANS ->
        borrower_left[k] = (borrower_left[k] > 0 -> borrower_left[k] - 1 : 0);
        lender_left[k] = (lender_left[k] > 0 -> lender_left[k] - 1 : 0);
        if
        :: lender_left[k] == 0 -> lender_out[k] = 0
        :: else
        fi;
#ifndef FAULT_LATE_CREDIT
        if
        :: borrower_left[k] == 0 && loan_state[k] != LOAN_RETURNING ->
            loan_state[k] = LOAN_FREE; borrower_credit[k] = 0
        :: else
        fi;
#else
        if
        :: borrower_left[k] == 0 && loan_state[k] == LOAN_HELD ->
            loan_state[k] = LOAN_FREE; borrower_credit[k] = 0
        :: else
        fi;
#endif
        k++
    :: else -> k = 0; break
    od;
    window_left = (window_left < BURST -> window_left + 1 : BURST)
}

/* crash ends the process of node i and starts a new incarnation without state. */
inline crash(i) {
    crashes++;
    x = 0;
    do
    :: x <= last_record -> holder_crashed[x] = holder_crashed[x] || record_holder[x] == i; x++
    :: else -> x = 0; break
    od;
    folded[i] = 0; counted[i] = false; evidence_left[i] = 0;
    probe_left[i] = 0; probe_answers[i] = 0; probe_offset[i] = 0; acks[i] = 0; wait_left[i] = 0;
    in_force[i] = false; level[i] = 0; reserve_left[i] = 0; checked[i] = false;
    drop_loans(i)
}

/* restarted is true if node i may use the share immediately because an earlier
 * incarnation on the same host held it. This is limited to an incarnation that held
 * the share since the first record: otherwise it is not known whether the holder
 * before that incarnation had stopped. */
#ifndef FAULT_SAME_HOST
#define restarted(i) (folded[i] == 1 && record_holder[1] == (i) && \
    record_holder[0] == (i) && holder_crashed[0])
#else
#define restarted(i) (folded[i] > 0 && record_holder[folded[i]] == (i) && \
    record_holder[folded[i] - 1] == (i) && holder_crashed[folded[i] - 1])
#endif

active proctype system() {
    atomic {
        record_holder[0] = 0; in_force[0] = true;
        counted[0] = true; counted[1] = true; counted[NODES - 1] = true
    }
end:
    do
    :: atomic { tick(); assert_one_user() }

    :: atomic { last_record < RECORDS -> last_record++;
        if
        :: record_holder[last_record] = 0
        :: record_holder[last_record] = 1
        :: NODES > 2 -> record_holder[last_record] = NODES - 1
        fi }
    :: atomic { crashes < CRASHES ->
        if
        :: crash(0)
        :: crash(1)
        :: NODES > 2 -> crash(NODES - 1)
        fi }

    /* steps of one node */
    :: atomic {
        if
        :: n = 0
        :: n = 1
        :: NODES > 2 -> n = NODES - 1
        fi;
        if
        :: last_record <= RECORDS -> /* always true: the node reads the log to its head */
            fold(n, last_record); counted[n] = true; evidence_left[n] = EVIDENCE_TICKS
        :: PROBES && n == 0 && probe_left[n] == 0 -> /* sends probes to the members */
            probe_left[n] = EVIDENCE_TICKS; probe_offset[n] = folded[n];
            probe_answers[n] = (counted[n] -> bit(n) : 0)
        :: probe_left[n] > 0 && probe_offset[n] > folded[n] -> /* catches up from a member */
            fold(n, probe_offset[n])
        :: probe_left[n] > 0 && majority(probe_answers[n]) && folded[n] >= probe_offset[n] ->
            /* the round is complete; evidence is dated from its start */
#ifdef FAULT_LATE_EVIDENCE
            evidence_left[n] = EVIDENCE_TICKS;
#else
            evidence_left[n] = (evidence_left[n] > probe_left[n] -> evidence_left[n] : probe_left[n]);
#endif
            probe_left[n] = 0; probe_answers[n] = 0; probe_offset[n] = 0
#ifdef FAULT_COUNT_AFTER_CATCH_UP
        :: !counted[n] && counted[0] -> fold(n, folded[0]); counted[n] = true
#endif
        :: holder(n) && !in_force[n] && wait_left[n] == 0 && majority(acks[n]) -> /* starts to wait */
            acks[n] = 0;
#ifdef FAULT_NO_WAIT
            wait_left[n] = 1
#else
            wait_left[n] = EVIDENCE_TICKS + 1
#endif
        :: holder(n) && !in_force[n] && wait_left[n] == 1 -> activate(n)
        :: holder(n) && !in_force[n] && restarted(n) -> activate(n)
#ifdef FAULT_NO_MAJORITY
        :: holder(n) && !in_force[n] -> activate(n)
#endif
#ifdef FAULT_PAUSE
        :: may_use(n) && level[n] > 0 && !checked[n] -> level[n]--; checked[n] = true
        :: checked[n] -> checked[n] = false; use_credit()
#else
        :: may_use(n) && level[n] > 0 -> level[n]--; use_credit()
#endif
        :: else
        fi;
        assert_one_user(); n = 0 }

    /* member m answers a probe of node n, or acknowledges the record of node n */
    :: atomic {
        if
        :: n = 0
        :: n = 1
        :: NODES > 2 -> n = NODES - 1
        fi;
        if
        :: m = 0
        :: m = 1
        :: NODES > 2 -> m = NODES - 1
        fi;
        if
        :: counted[m] && n != m && probe_left[n] > 0 -> probe_answers[n] = probe_answers[n] | bit(m);
            probe_offset[n] = (probe_offset[n] > folded[m] -> probe_offset[n] : folded[m])
        :: counted[m] && holder(n) && !in_force[n] && wait_left[n] == 0 && folded[m] >= folded[n] ->
            acks[n] = acks[n] | bit(m)
        :: else
        fi;
        n = 0; m = 0 }

    /* loans */
    :: atomic {
#if LOANS > 1
        if
        :: k = 0
        :: k = 1
        fi;
#endif
        if
        :: LENDING && loan_state[k] == LOAN_FREE && lender_left[k] == 0 ->
            loan_state[k] = LOAN_REQUESTED; borrower_left[k] = CREDIT_TICKS
        :: loan_state[k] == LOAN_REQUESTED -> /* the request arrives at a node */
            if
            :: n = 0
            :: n = 1
            :: NODES > 2 -> n = NODES - 1
            fi;
            if
            :: may_use(n) && level[n] > 0 && lender_left[k] == 0 ->
                if
                :: x = 1
                :: x = level[n]
                fi;
                level[n] = level[n] - x; borrower_credit[k] = x; lender_out[k] = x;
                lender[k] = n; lender_left[k] = CREDIT_TICKS; loan_state[k] = LOAN_GRANTED
            :: else
            fi;
            n = 0
        :: loan_state[k] == LOAN_GRANTED -> /* the credit arrives at the borrower */
            loan_state[k] = LOAN_HELD;
#ifdef FAULT_LATE_CREDIT
            borrower_left[k] = CREDIT_TICKS
#endif
        :: loan_state[k] == LOAN_HELD && borrower_credit[k] > 0 -> borrower_credit[k]--; use_credit()
        :: loan_state[k] == LOAN_HELD && lender_left[k] > 0 && lender_out[k] > borrower_credit[k] ->
            lender_out[k] = borrower_credit[k] /* the borrower's use is reported to the lender */
        :: loan_state[k] == LOAN_HELD && borrower_credit[k] > 0 -> /* the borrower returns the rest */
            loan_state[k] = LOAN_RETURNING
#ifdef FAULT_USE_AFTER_RETURN
        :: loan_state[k] == LOAN_RETURNING && borrower_credit[k] > 0 && borrower_left[k] > 0 ->
            borrower_credit[k]--; use_credit()
#endif
        :: loan_state[k] == LOAN_RETURNING -> /* the return arrives; after the end of the loan the credit counts as used */
            if
            :: lender_left[k] > 0 ->
                level[lender[k]] = level[lender[k]] +
                    (lender_out[k] < borrower_credit[k] -> lender_out[k] : borrower_credit[k])
            :: else
            fi;
            loan_state[k] = LOAN_FREE; borrower_credit[k] = 0; borrower_left[k] = 0;
            lender_out[k] = 0; lender_left[k] = 0
        :: loan_state[k] == LOAN_RETURNING -> /* the return is lost */
            loan_state[k] = LOAN_FREE; borrower_credit[k] = 0; borrower_left[k] = 0
        :: else
        fi;
        k = 0; x = 0 }
    od
}
