/*
 * The agreed state as a fold over a log that forgets, with snapshots.
 *
 * The state is one key (absent, granted, withdrawn) and one declaration with a revision. Two operators
 * race with changes based on the same revision; every record may land twice, since a lost answer makes
 * its author append it again. A snapshot writer may lag by any number of records between making a
 * snapshot and its landing. The log forgets its oldest record at any moment. One reader starts afresh,
 * one may sleep through the retention; both may take the other's state instead.
 */
#ifndef RECORDS
#define RECORDS 4
#endif
#ifndef SNAPSHOTS
#define SNAPSHOTS 1
#endif
#define READERS 2

#define GRANT 1
#define WITHDRAW 2
#define CHANGE 3      /* of the declaration, by operator 0 or 1 */
#define SNAPSHOT 4

#define ABSENT 0
#define GRANTED 1
#define WITHDRAWN 2

#define NOWHERE 15    /* a reader without state */

byte head;                    /* next offset of the log */
byte first;                   /* oldest offset that the log keeps */
byte kind[RECORDS];
byte author[RECORDS];         /* of a change; its id */
byte base[RECORDS];           /* of a change; of a snapshot: the offset it stands for */
byte snapKey[RECORDS];
byte snapValue[RECORDS];
byte snapAt[2];               /* offsets of snapshots, or NOWHERE */

/* The state after all records before each offset, as a process that never sleeps folds it. */
byte trueKey[RECORDS + 1];
byte trueValue[RECORDS + 1];
byte applied[2];              /* times that the change of each operator took effect */

byte pos[READERS];
byte key[READERS];
byte value[READERS];          /* revision of the declaration */

inline foldInto(o, k, v)
{
    if
#ifdef BROKEN_GRANT_REVIVES
    :: kind[o] == GRANT -> k = GRANTED
#else
    :: kind[o] == GRANT && k == ABSENT -> k = GRANTED
#endif
    :: kind[o] == WITHDRAW -> k = WITHDRAWN
#ifdef BROKEN_NO_BASE_REVISION
    :: kind[o] == CHANGE -> v++
#else
    :: kind[o] == CHANGE && base[o] == v -> v++
#endif
    :: else
    fi
}

inline land(what, who, onto)
{
    kind[head] = what;
    author[head] = who;
    base[head] = onto;
    trueKey[head + 1] = trueKey[head];
    trueValue[head + 1] = trueValue[head];
    foldInto(head, trueKey[head + 1], trueValue[head + 1]);
    if
    :: what == CHANGE && trueValue[head + 1] != trueValue[head] -> applied[who]++
    :: else
    fi;
    /* Of two changes on one revision one wins, and once. */
    assert(applied[0] + applied[1] <= 1);
    /* A withdrawn key stays withdrawn. */
    assert(trueKey[head] != WITHDRAWN || trueKey[head + 1] == WITHDRAWN);
    head++
}

/* Grants a key and withdraws it; each record may land twice, the grant also after the withdrawal. */
active proctype KeyOperator()
{
end:
    d_step { head < RECORDS -> land(GRANT, 0, 0) };
endWithdraw:
    d_step { head < RECORDS -> land(WITHDRAW, 0, 0) };
endAgain:
    if
    :: d_step { head < RECORDS -> land(GRANT, 0, 0) }
    :: d_step { head < RECORDS -> land(WITHDRAW, 0, 0) }
    :: true
    fi
}

/* Both base their change on revision 0; that of operator 0 may land twice. */
proctype Operator(byte me)
{
end:
    d_step { head < RECORDS -> land(CHANGE, me, 0) };
endAgain:
    if
    :: d_step { me == 0 && head < RECORDS -> land(CHANGE, me, 0) }
    :: true
    fi
}

active proctype Retention()
{
end:
    do
    :: first < head -> first++
    od
}

/* Makes a snapshot of what it has folded; the record lands later. */
active proctype SnapshotWriter()
{
    byte at;
    byte k;
    byte v;
    byte asOf;
    byte made;
end:
    do
    :: d_step { at < head && at >= first -> foldInto(at, k, v); at++ }
    :: atomic { made < SNAPSHOTS && head < RECORDS -> made++; asOf = at }
        ;
        /* A pause may lie here, while other records land. */
        if
        :: d_step { head < RECORDS ->
            snapAt[made - 1] = head;
            snapKey[head] = k;
            snapValue[head] = v;
#ifdef BROKEN_SNAPSHOT_OF_HEAD
            land(SNAPSHOT, 0, head)
#else
            land(SNAPSHOT, 0, asOf)
#endif
           }
        :: true
        fi
    od
}

inline adopt(r, k, v, at)
{
    key[r] = k;
    value[r] = v;
    pos[r] = at
}

/* All readers agree with the one that never sleeps. */
inline check(r)
{
    assert(pos[r] == NOWHERE || (key[r] == trueKey[pos[r]] && value[r] == trueValue[pos[r]]))
}

/* A snapshot that the log still keeps, and whose following records it keeps too. */
#define KEPT(s) (snapAt[s] != NOWHERE && snapAt[s] >= first)
#ifdef BROKEN_STEPS_BACK
#define USABLE(s) (KEPT(s) && base[snapAt[s]] >= first)
#elif defined(BROKEN_FORGOTTEN_RECORDS)
#define USABLE(s) (KEPT(s) && (pos[me] == NOWHERE || (pos[me] < first && base[snapAt[s]] > pos[me])))
#else
#define USABLE(s) (KEPT(s) && base[snapAt[s]] >= first && (pos[me] == NOWHERE || (pos[me] < first && base[snapAt[s]] > pos[me])))
#endif

inline takeSnapshot(r, o)
{
#ifdef BROKEN_READS_ON_AFTER_SNAPSHOT
    adopt(r, snapKey[o], snapValue[o], o + 1);
#elif defined(BROKEN_FORGOTTEN_RECORDS)
    adopt(r, snapKey[o], snapValue[o], base[o]);
    if
    :: base[o] < first -> pos[r] = first
    :: else
    fi;
#else
    adopt(r, snapKey[o], snapValue[o], base[o]);
#endif
    check(r);
    /* Nothing reverts. */
    assert(before == NOWHERE || pos[r] >= before);
    before = 0;
    assert(!sawWithdrawn || key[r] == WITHDRAWN);
    sawWithdrawn = (key[r] == WITHDRAWN)
}

proctype Reader(byte me; bool fresh)
{
    byte before;
    bool sawWithdrawn = false;

    if
    :: fresh -> pos[me] = NOWHERE
    :: else
    fi;
end:
    do
    :: d_step { pos[me] != NOWHERE && pos[me] < head && pos[me] >= first ->
        foldInto(pos[me], key[me], value[me]);
        pos[me]++;
        check(me);
        assert(!sawWithdrawn || key[me] == WITHDRAWN);
        sawWithdrawn = (key[me] == WITHDRAWN) }
    :: d_step { USABLE(0) -> before = pos[me]; takeSnapshot(me, snapAt[0]) }
    :: d_step { USABLE(1) -> before = pos[me]; takeSnapshot(me, snapAt[1]) }
#ifdef BROKEN_EMPTY_START
    :: d_step { pos[me] == NOWHERE -> adopt(me, ABSENT, 0, first); check(me) }
#endif
    /* The state of a peer that is further. */
    :: d_step { pos[1 - me] != NOWHERE && (pos[me] == NOWHERE || pos[1 - me] > pos[me]) ->
        adopt(me, key[1 - me], value[1 - me], pos[1 - me]);
        check(me);
        assert(!sawWithdrawn || key[me] == WITHDRAWN);
        sawWithdrawn = (key[me] == WITHDRAWN) }
    od
}

init
{
    atomic {
        snapAt[0] = NOWHERE;
        snapAt[1] = NOWHERE;
        run Operator(0);
        run Operator(1);
        run Reader(0, false);
        run Reader(1, true)
    }
}
