/*
 * Load and unload orders of an agent to its one target.
 *
 * Items 0 and 1 are models, item 2 is an adapter; each takes one unit of memory, and the target has
 * room for two. The target carries out one order for a model at a time; an order for an adapter does
 * not keep it busy. Orders are carried out late, in any order, or never, and answers are lost. The
 * target may restart under the same name, empty and with its sequence anew, and the agent may restart
 * and know nothing. An order that can be carried out no longer is one that has left the network: time
 * limits are modelled as that event, since both ends of a limit rest on it.
 */
#define ITEMS 3
#define ADAPTER 2
#define ROOM 2
#define SLOTS 3
#ifndef ORDERS
#define ORDERS 3
#endif
#ifndef LIVES
#define LIVES 2
#endif
#ifndef AGENTS
#define AGENTS 2
#endif
#define FIRST_SEQUENCE 2  /* of the first lifetime, so that few orders reach it again in the next */
#define NOBODY 9
#define NOTHING 0
#define LOAD 1
#define UNLOAD 2
#define ACCEPTED 1
#define HOLDS 2
#define CONFLICT 3

/* The target. */
byte life;
byte sequence;
bool held[ITEMS];
byte running;           /* LOAD or UNLOAD of a model in progress */
byte runningItem;

/* Orders, on their way while sent[s]; doubt[s] is the agent's memory of them. */
bool sent[SLOTS];
byte kind[SLOTS];
byte item[SLOTS];
byte expected[SLOTS];
byte by[SLOTS];
byte toLife[SLOTS];     /* lifetime that the sender knew */
bool doubt[SLOTS];
bool earlier[SLOTS];    /* sent to an earlier lifetime, as the agent knows */
bool answered[SLOTS];   /* has had its effect, if any */
byte orders;

/* The agent. */
byte agent;
byte awaiting = NOBODY; /* slot of the order in transit */
byte answer;
bool known;
bool needsReport;
byte knownLife;
byte knownSequence;
bool knownHeld[ITEMS];
bool mayLoad[ITEMS];         /* own loads of models, of which one is in progress */
bool mayUnload;           /* likewise an unload */
bool foreign;             /* an order of somebody else is in progress */
bool predecessor;         /* an order of an earlier agent may still be carried out */

/* The report that is being read. */
bool reading;
bool old;               /* begun before the last order was accepted */
bool late;              /* begun before the last outcome that needs a newer report */
byte readLife;
byte readSequence;
bool readHeld[ITEMS];
bool readBusy;
bool readGone[SLOTS];   /* the order could be carried out no longer when the read began */
bool readPredecessorGone;

inline clearSlot(s)
{
    kind[s] = NOTHING;
    item[s] = 0;
    expected[s] = 0;
    by[s] = 0;
    toLife[s] = 0;
    earlier[s] = false;
    answered[s] = false
}

inline tell(s, what)
{
    if
    :: awaiting == s -> answer = what
    :: else
    fi
}

inline carryOut(s)
{
    if
#ifndef BROKEN_NO_PRECONDITION
    :: expected[s] != sequence -> tell(s, CONFLICT)
#endif
    :: else ->
        if
        :: item[s] != ADAPTER && running != NOTHING -> tell(s, CONFLICT)
        :: else ->
            if
            :: (kind[s] == LOAD && held[item[s]]) || (kind[s] == UNLOAD && !held[item[s]]) -> tell(s, HOLDS)
            :: else ->
                sequence++;
                tell(s, ACCEPTED);
                if
                :: item[s] == ADAPTER -> held[ADAPTER] = (kind[s] == LOAD)
                :: else ->
                    running = kind[s];
                    runningItem = item[s]
                fi;
                assert(held[0] + held[1] + held[2] + (running == LOAD && !held[runningItem]) <= ROOM)
            fi
        fi
    fi
}

#define LANDS(s) d_step { sent[s] -> sent[s] = false; carryOut(s) }
#define VANISHES(s) d_step { sent[s] -> sent[s] = false }

proctype Target()
{
end:
    do
    :: LANDS(0)
    :: LANDS(1)
    :: LANDS(2)
    :: VANISHES(0)
    :: VANISHES(1)
    :: VANISHES(2)
    :: d_step { running != NOTHING -> held[runningItem] = (running == LOAD); running = NOTHING; runningItem = 0 }
    :: d_step { life < LIVES - 1 ->
        life++;
        sequence = 0;
        held[0] = false;
        held[1] = false;
        held[2] = false;
        running = NOTHING;
        runningItem = 0 }
    od
}

inline forgetRunning()
{
    mayLoad[0] = false;
    mayLoad[1] = false;
    mayUnload = false
}

inline noteRunning(s)
{
    if
    :: item[s] == ADAPTER
    :: item[s] != ADAPTER && kind[s] == UNLOAD -> mayUnload = true
#ifndef BROKEN_LATE_ORDER_NOT_HELD
    :: item[s] != ADAPTER && kind[s] == LOAD -> mayLoad[item[s]] = true
#else
    :: item[s] != ADAPTER && kind[s] == LOAD -> mayUnload = true
#endif
    fi
}

inline explain(s)
{
    if
    :: doubt[s] && expected[s] == knownSequence -> explained = true; noteRunning(s)
    :: else
    fi
}

inline outdate(s)
{
    earlier[s] = earlier[s] || doubt[s]
}

inline forgetSettled(s)
{
    if
    :: doubt[s] && awaiting != s && (answered[s] || readGone[s]) -> doubt[s] = false; clearSlot(s)
    :: else
    fi
}

inline adopt()
{
    known = true;
    knownLife = readLife;
    knownSequence = readSequence;
    knownHeld[0] = readHeld[0];
    knownHeld[1] = readHeld[1];
    knownHeld[2] = readHeld[2];
    if
    :: !readBusy -> forgetRunning(); foreign = false
#ifndef BROKEN_FOREIGN_IGNORED
    :: readBusy && !mayLoad[0] && !mayLoad[1] && !mayUnload -> foreign = true
#endif
    :: else
    fi;
    needsReport = needsReport && late;
    predecessor = predecessor && !readPredecessorGone;
    forgetSettled(0);
    forgetSettled(1);
    forgetSettled(2)
}

/* What has advanced beyond the accepted orders is explained by a doubt, or is somebody else's. */
inline takeReport()
{
    if
    :: !known || readLife != knownLife ->
        outdate(0);
        outdate(1);
        outdate(2);
        forgetRunning();
        foreign = false;
        adopt()
    :: known && readLife == knownLife && old
    :: else ->
        if
        :: readSequence > knownSequence ->
            explained = false;
            explain(0);
            explain(1);
            explain(2);
#ifndef BROKEN_FOREIGN_IGNORED
            foreign = foreign || !explained || readSequence > knownSequence + 1 || predecessor
#endif
        :: else
        fi;
        adopt()
    fi;
    reading = false;
    explained = false;
    old = false;
    late = false;
    readLife = 0;
    readSequence = 0;
    readHeld[0] = false;
    readHeld[1] = false;
    readHeld[2] = false;
    readBusy = false;
    readGone[0] = false;
    readGone[1] = false;
    readGone[2] = false;
    readPredecessorGone = false
}

#define OF_PREDECESSOR(s) (sent[s] && by[s] != agent)

inline beginRead()
{
    reading = true;
    readLife = life;
    readSequence = sequence;
    readHeld[0] = held[0];
    readHeld[1] = held[1];
    readHeld[2] = held[2];
    readBusy = (running != NOTHING);
    readGone[0] = !sent[0];
    readGone[1] = !sent[1];
    readGone[2] = !sent[2];
    readPredecessorGone = !OF_PREDECESSOR(0) && !OF_PREDECESSOR(1) && !OF_PREDECESSOR(2)
}

inline takeAnswer()
{
    s = awaiting;
    awaiting = NOBODY;
    if
    :: answer == ACCEPTED && !earlier[s] ->
        doubt[s] = false;
        if
        :: knownSequence == expected[s] ->
            knownSequence++;
            old = reading;
            if
            :: item[s] == ADAPTER && kind[s] == LOAD -> knownHeld[ADAPTER] = true
#ifdef BROKEN_UNLOAD_FREES_AT_ONCE
            :: kind[s] == UNLOAD -> knownHeld[item[s]] = false; noteRunning(s)
#endif
            :: else -> noteRunning(s)
            fi
        :: else
        fi;
        clearSlot(s)
    :: answer == HOLDS || (answer == ACCEPTED && earlier[s]) ->
        answered[s] = true;
        needsReport = true;
        old = reading;
        late = reading
    :: answer == CONFLICT ->
        doubt[s] = false;
        clearSlot(s);
        needsReport = true;
        late = reading
    fi;
    answer = 0;
    s = 0
}

#define TO_EARLIER_LIFE(s) (OF_PREDECESSOR(s) && toLife[s] != life)
/* A young lifetime: one that began after the predecessor may have sent an order. */
#define PREDECESSOR_TO_EARLIER_LIFE (TO_EARLIER_LIFE(0) || TO_EARLIER_LIFE(1) || TO_EARLIER_LIFE(2))

/* Loads that may follow the next order: of an earlier lifetime, one for each sequence to come. */
inline countLater()
{
    later = 0;
#ifndef BROKEN_EARLIER_LIFETIME_FORGOTTEN
    s = knownSequence + 1;
    do
    :: s < ORDERS + FIRST_SEQUENCE ->
        if
        :: (doubt[0] && !answered[0] && kind[0] == LOAD && expected[0] == s) ||
            (doubt[1] && !answered[1] && kind[1] == LOAD && expected[1] == s) ||
            (doubt[2] && !answered[2] && kind[2] == LOAD && expected[2] == s) -> later++
        :: else
        fi;
        s++
    :: else -> break
    od;
    s = 0;
#endif
#ifndef BROKEN_PREDECESSOR_FORGOTTEN
    later = later + (predecessor && PREDECESSOR_TO_EARLIER_LIFE)
#endif
}

#define KNOWN_LOAD(i) (knownHeld[i] || mayLoad[i])

inline send(s, what, i)
{
    orders++;
    sent[s] = true;
    kind[s] = what;
    item[s] = i;
    expected[s] = knownSequence;
    by[s] = agent;
    toLife[s] = knownLife;
    doubt[s] = true;
    readGone[s] = false;
    awaiting = s
}

inline forgetDoubt(s)
{
    doubt[s] = false;
    earlier[s] = false;
    answered[s] = false
}

inline restart()
{
    agent++;
    predecessor = true;
    awaiting = NOBODY;
    answer = 0;
    known = false;
    needsReport = false;
    knownLife = 0;
    knownSequence = 0;
    knownHeld[0] = false;
    knownHeld[1] = false;
    knownHeld[2] = false;
    forgetRunning();
    foreign = false;
    reading = false;
    old = false;
    late = false;
    forgetDoubt(0);
    forgetDoubt(1);
    forgetDoubt(2)
}

#define FREE(s) (!sent[s] && !doubt[s])

inline sendInFreeSlot(what, i)
{
    if
    :: FREE(0) -> send(0, what, i)
    :: !FREE(0) && FREE(1) -> send(1, what, i)
    :: else -> send(2, what, i)
    fi
}

#define BUSY (mayLoad[0] || mayLoad[1] || mayUnload)
#define MAY_ORDER(i) (known && !needsReport && !foreign && awaiting == NOBODY && orders < ORDERS && (FREE(0) || FREE(1) || FREE(2)) && (i == ADAPTER || !BUSY))
#define LOADS(i) d_step { MAY_ORDER(i) && !KNOWN_LOAD(i) -> countLater(); if :: KNOWN_LOAD(0) + KNOWN_LOAD(1) + knownHeld[2] + later + 1 <= ROOM -> sendInFreeSlot(LOAD, i) :: else fi; later = 0 }
#define UNLOADS(i) d_step { MAY_ORDER(i) && knownHeld[i] -> sendInFreeSlot(UNLOAD, i) }
#define FORGETS(s) d_step { doubt[s] && !sent[s] && awaiting != s -> doubt[s] = false; clearSlot(s) }

proctype Agent()
{
    byte s;
    byte later;
    bool explained;
end:
    do
#ifdef SHORT_READS
    :: d_step { beginRead(); takeReport() }
#else
    :: d_step { !reading -> beginRead() }
    :: d_step { reading -> takeReport() }
#endif
    :: d_step { answer != 0 -> takeAnswer() }
    :: d_step { awaiting != NOBODY -> awaiting = NOBODY; answer = 0; needsReport = true; late = reading }
#ifdef BROKEN_FORGOTTEN_UNSEEN
    :: FORGETS(0)
    :: FORGETS(1)
    :: FORGETS(2)
#endif
    :: LOADS(0)
    :: LOADS(1)
    :: LOADS(2)
    :: UNLOADS(0)
    :: UNLOADS(1)
    :: UNLOADS(2)
    :: d_step { agent < AGENTS - 1 -> restart() }
    od
}

init
{
    atomic {
        sequence = FIRST_SEQUENCE;
        if
        :: held[0] = true; held[1] = true
        :: skip
        fi;
        run Target();
        run Agent()
    }
}
