/*
 * Authority over the replicas of one model: grant, revoke, release, expire.
 *
 * Two hosts, each with memory for either this model or one other item; one replica is decided. Two
 * planners propose from a state that may lag; the fold of the log judges each proposal by the
 * revision it was based on. An agent loads under a grant that it has read, however old, and releases
 * after the unload. Any process may be paused anywhere; appends and orders land late or never, and
 * nothing relies on the answer of an append. Engine 0 ignores old fencing numbers, engine 1 refuses
 * them.
 */
#define HOSTS 2
#define REPLICAS 1
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef OTHERS
#define OTHERS 0
#endif
#ifndef DROPS
#define DROPS 1
#endif
#ifndef REVISIONS
#define REVISIONS 3
#endif

/* Standing of a host in the fold. */
#define OUT 0
#define HELD 1
#define REVOKED 2

/* Proposals on their way to the log. */
#define NOTHING 0
#define GRANT 1
#define REVOKE 2
#define EXPIRE 3

#define AT(r, h) standing[(r) * HOSTS + (h)]
#define FENCE(r, h) fence[(r) * HOSTS + (h)]

byte head;                             /* revision: records that had an effect */
byte standing[(REVISIONS + 1) * HOSTS];
byte fence[(REVISIONS + 1) * HOSTS];   /* revision of the last grant of the host */

byte proposal[2];
byte proposedFor[2];
byte basedOn[2];
byte releasing[HOSTS];                 /* fencing number of a release on its way; 0 for none */
bool dropped[HOSTS];                   /* the host list has dropped the host for long enough */
byte drops;
bool stopped[HOSTS];                   /* the agent has noticed that it is cut off and has unloaded */

byte floor[HOSTS];                     /* grants up to this number are not used any more */
byte restarts;
byte others;
bool loadFlight[HOSTS];
byte loadFencing[HOSTS];
bool unloadFlight[HOSTS];
bool otherLoadFlight[HOSTS];
bool loaded[HOSTS];
bool otherLoaded[HOSTS];
byte engineFencing[HOSTS];

inline push(h, what)
{
    head++;
    AT(head, h) = what;
    AT(head, 1 - h) = AT(head - 1, 1 - h);
    FENCE(head, h) = (what == HELD -> head : FENCE(head - 1, h));
    FENCE(head, 1 - h) = FENCE(head - 1, 1 - h)
}

inline holders(n)
{
    n = (AT(head, 0) != OUT -> 1 : 0) + (AT(head, 1) != OUT -> 1 : 0)
}

inline forget(p)
{
    proposal[p] = NOTHING;
    proposedFor[p] = 0;
    basedOn[p] = 0
}

/* Lands or drops what planner p has sent; the fold judges it. */
proctype Proposals(byte p)
{
    byte n;
end:
    do
    :: d_step { proposal[p] != NOTHING -> forget(p) }
    :: d_step { proposal[p] != NOTHING && head < REVISIONS ->
        holders(n);
        if
#if defined(BROKEN_NO_COUNT)
        :: proposal[p] == GRANT && AT(head, proposedFor[p]) == OUT -> push(proposedFor[p], HELD)
#elif defined(BROKEN_REVOKED_IS_FREE)
        :: proposal[p] == GRANT && basedOn[p] == head && AT(head, 0) != HELD && AT(head, 1) != HELD -> push(proposedFor[p], HELD)
#else
        :: proposal[p] == GRANT && basedOn[p] == head && n < REPLICAS -> push(proposedFor[p], HELD)
#endif
        :: proposal[p] == REVOKE && AT(head, proposedFor[p]) == HELD -> push(proposedFor[p], REVOKED)
        :: proposal[p] == EXPIRE && basedOn[p] == head && AT(head, proposedFor[p]) != OUT -> push(proposedFor[p], OUT)
        :: else
        fi;
        forget(p);
        n = 0 }
    od
}

/* Lands or drops the release of host h. */
proctype Releases(byte h)
{
end:
    do
    :: d_step { releasing[h] != 0 -> releasing[h] = 0 }
    :: d_step { releasing[h] != 0 && head < REVISIONS ->
        if
#ifdef BROKEN_RELEASE_OF_ANY_GRANT
        :: AT(head, h) != OUT -> push(h, OUT)
#else
        :: AT(head, h) != OUT && FENCE(head, h) == releasing[h] -> push(h, OUT)
#endif
        :: else
        fi;
        /* The same release may land a second time later. */
        if
        :: true -> releasing[h] = 0
        :: true
        fi }
    od
}

/* Proposes from the state at this moment; the proposal lands any number of records later. */
proctype Planner(byte me)
{
end:
    do
    :: d_step { proposal[me] == NOTHING && AT(head, 0) == OUT -> proposal[me] = GRANT; basedOn[me] = head }
    :: d_step { proposal[me] == NOTHING && AT(head, 1) == OUT ->
        proposal[me] = GRANT;
        proposedFor[me] = 1;
        basedOn[me] = head }
    :: d_step { proposal[me] == NOTHING && AT(head, 0) == HELD -> proposal[me] = REVOKE; basedOn[me] = head }
    :: d_step { proposal[me] == NOTHING && AT(head, 1) == HELD ->
        proposal[me] = REVOKE;
        proposedFor[me] = 1;
        basedOn[me] = head }
    /* Well over the time after which a holder that is cut off has stopped by itself. */
#ifdef BROKEN_EXPIRE_BEFORE_STOP
    :: d_step { proposal[me] == NOTHING && dropped[0] && AT(head, 0) != OUT -> proposal[me] = EXPIRE; basedOn[me] = head }
#else
    :: d_step { proposal[me] == NOTHING && dropped[0] && stopped[0] && AT(head, 0) != OUT ->
        proposal[me] = EXPIRE;
        basedOn[me] = head }
#endif
    od
}

/* The host list drops host 0, which may be alive. */
active proctype HostList()
{
end:
    do
    :: d_step { drops < DROPS && !dropped[0] -> drops++; dropped[0] = true }
    od
}

inline check(h)
{
    assert(loaded[0] + loaded[1] <= REPLICAS);    /* no more loaded than decided */
    assert(!(loaded[h] && otherLoaded[h]))        /* memory is not overcommitted */
}

proctype Engine(byte h; bool checksFencing)
{
end:
    do
    :: atomic { loadFlight[h] ->
        if
        :: checksFencing && loadFencing[h] < engineFencing[h]
        :: else -> loaded[h] = true; engineFencing[h] = loadFencing[h]; check(h)
        fi;
        loadFlight[h] = false;
        loadFencing[h] = 0 }
    :: atomic { unloadFlight[h] && !loadFlight[h] -> loaded[h] = false; unloadFlight[h] = false }
    :: atomic { otherLoadFlight[h] -> otherLoadFlight[h] = false; otherLoaded[h] = true; check(h) }
    :: atomic { otherLoaded[h] -> otherLoaded[h] = false }
    od
}

/* The process beside the engine; waits for the answer of each order. */
proctype Agent(byte h)
{
    byte seen;
    byte grant;              /* fencing number of the load that is counted in the ledger */
    bool counted = false;

end:
    do
    :: d_step { seen < head -> seen++ }
    /* First demand, under the grant that this agent knows. */
    :: atomic { AT(seen, h) == HELD && FENCE(seen, h) > floor[h] && !counted && !stopped[h] && !otherLoaded[h] && !otherLoadFlight[h] ->
        counted = true;
        grant = FENCE(seen, h) }
        /* A pause may lie here. */
        ;
        atomic { loadFlight[h] = true; loadFencing[h] = grant };
        if
        :: !loadFlight[h]
        :: atomic { restarts < RESTARTS -> goto restart }
        fi
    /* Another item takes the memory when the ledger has room. */
    :: atomic { !counted && !otherLoaded[h] && !otherLoadFlight[h] && !stopped[h] && others < OTHERS ->
        others++;
        otherLoadFlight[h] = true }
        ;
        if
        :: !otherLoadFlight[h]
        :: atomic { restarts < RESTARTS -> goto restart }
        fi
    :: atomic { counted && (AT(seen, h) == REVOKED || grant <= floor[h]) ->
        unloadFlight[h] = true }
#ifndef BROKEN_RELEASE_BEFORE_UNLOAD
        ;
        if
        :: !unloadFlight[h]
        :: atomic { restarts < RESTARTS -> goto restart }
        fi
#endif
        ;
        atomic { counted = false; releasing[h] = grant; grant = 0 }
    /* Never loaded, or the release was lost, or the grant is not used any more. */
    :: atomic { !counted && releasing[h] == 0 && (AT(seen, h) == REVOKED || (AT(seen, h) == HELD && FENCE(seen, h) <= floor[h])) ->
        releasing[h] = FENCE(seen, h) }
    /*
     * Cut off from the log: unloads, and uses none of its grants again, since an expiry that rests on
     * this stop may land after the return.
     */
    :: atomic { dropped[h] && !stopped[h] -> unloadFlight[h] = true }
        ;
        if
        :: !unloadFlight[h]
        :: atomic { restarts < RESTARTS -> goto restart }
        fi;
        atomic { counted = false; grant = 0; stopped[h] = true }
    :: atomic { stopped[h] && seen == head && dropped[h] ->
        dropped[h] = false;
        stopped[h] = false;
#ifndef BROKEN_RESUMES_OLD_GRANT
        floor[h] = FENCE(seen, h)
#endif
       }
    :: atomic { restarts < RESTARTS -> goto restart }
    od;

    /* Killed and replaced. Orders and releases of the former incarnation may still take effect. */
restart:
    atomic { restarts++; counted = false; grant = 0 };
#ifdef BROKEN_RESTART_ASSUMES_EMPTY
    skip;
#else
    atomic { !loadFlight[h] && !unloadFlight[h] && !otherLoadFlight[h] -> counted = loaded[h]; grant = engineFencing[h] };
#endif
#ifdef BROKEN_RESTART_READS_BEHIND
    /* State of a peer that lags. */
    atomic { seen = 0; floor[h] = 0 };
#elif defined(BROKEN_RESTART_USES_OLD_GRANT)
    atomic { seen = head };
#else
    atomic { seen = head; floor[h] = FENCE(head, h) };
#endif
    goto end
}

init
{
    atomic {
        run Proposals(0);
        run Proposals(1);
        run Releases(0);
        run Releases(1);
        run Planner(0);
        run Planner(1);
        run Engine(0, false);
        run Engine(1, true);
        run Agent(0);
        run Agent(1)
    }
}
