/*
 * At most one run of a call that may not be repeated: claim, dispatch, outcome.
 *
 * One idempotency key. CALLS requests carry it, each at its own entry: the caller repeats while
 * the first runs, after a crash, after a refusal. One target with its agent. A paused process is
 * one that the scheduler does not choose, for any length of time. A lost append answer is no event
 * here: no entry relies on the answer, and an append lands at any later time or never.
 *
 * The log is kept as the states that its fold passes through; records without effect leave none.
 */
#ifndef CALLS
#define CALLS 2
#endif
#ifndef OUTAGES
#define OUTAGES 1
#endif
#ifndef ENTRY_CRASHES
#define ENTRY_CRASHES 1
#endif
#ifndef TARGET_CRASHES
#define TARGET_CRASHES 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define MAXLOG 11
#define NOBODY 15

/* Phase of the key. */
#define FREE 0
#define CLAIMED 1
#define DEAD 2      /* tombstoned */
#define DONE 3
#define DOUBT 4
#define AGED 5      /* older than the window: refused for ever */

/* Answers to callers. */
#define NONE 0
#define NOTRUN 1
#define RAN 2
#define UNKNOWN 3

/* What the agent knows of a claim; also its replies. */
#define FRESH 0
#define TOMB 1
#define STARTED 2
#define FINISHED 3
#define LOST 4      /* the target crashed during the run */

byte head;
byte holder[MAXLOG];
byte phase[MAXLOG];
bool logUp = true;

bool claimFlight[CALLS];   /* claim sent to the log and not yet landed */
bool landed[CALLS];
byte landedAt[CALLS];
byte verdictKind[CALLS];   /* OUTCOME, TOMBSTONE or IN_DOUBT sent by entry i, as the phase it asks for */
byte verdictOf[CALLS];

bool dispatchFlight[CALLS];
byte named[CALLS];         /* agent incarnation that the claim names */
byte agent[CALLS];
byte reply[CALLS];
byte question[CALLS];      /* entry i asks about claim question[i] - 1 */
byte knowledge[CALLS];     /* the agent's answer to that */
byte incarnation;

byte answer[CALLS];
bool executed;
byte ranBy;

byte entryCrashes;
byte targetCrashes;
byte outages;

inline push(who, what)
{
    assert(head + 1 < MAXLOG);
    head++;
    holder[head] = who;
    phase[head] = what
}

inline landClaim(c)
{
    if
#ifdef BROKEN_FORGOTTEN_KEY
    :: phase[head] == FREE || phase[head] == DEAD || phase[head] == AGED -> push(c, CLAIMED)
#elif defined(BROKEN_DOUBT_FREES)
    :: phase[head] == FREE || phase[head] == DEAD || phase[head] == DOUBT -> push(c, CLAIMED)
#elif defined(BROKEN_LAST_CLAIM_WINS)
    :: phase[head] == FREE || phase[head] == DEAD || phase[head] == CLAIMED -> push(c, CLAIMED)
#else
    :: phase[head] == FREE || phase[head] == DEAD -> push(c, CLAIMED)
#endif
    :: else
    fi;
    landed[c] = true;
    landedAt[c] = head
}

inline landVerdict(kind, c)
{
    if
    :: holder[head] == c && kind == DEAD && (phase[head] == CLAIMED || phase[head] == DOUBT) -> push(c, DEAD)
    :: holder[head] == c && kind == DONE && (phase[head] == CLAIMED || phase[head] == DOUBT) -> push(c, DONE)
    :: holder[head] == c && kind == DOUBT && phase[head] == CLAIMED -> push(c, DOUBT)
    :: else
    fi
}

/* Outages, and the window passing for a key that is settled. */
active proctype Log()
{
end:
    do
    :: atomic { logUp && outages < OUTAGES -> logUp = false; outages++ }
    :: atomic { !logUp -> logUp = true }
    :: atomic { logUp && (phase[head] == DONE || phase[head] == DOUBT) -> push(NOBODY, AGED) }
    od
}

/* Lands or drops what entry i sent to the log. */
proctype Appends(byte i)
{
end:
    do
    :: atomic { claimFlight[i] && logUp -> claimFlight[i] = false; landClaim(i) }
    :: atomic { claimFlight[i] -> claimFlight[i] = false }
    :: atomic { verdictKind[i] != FREE && logUp ->
        landVerdict(verdictKind[i], verdictOf[i]);
        verdictKind[i] = FREE;
        verdictOf[i] = 0 }
    :: atomic { verdictKind[i] != FREE -> verdictKind[i] = FREE; verdictOf[i] = 0 }
    od
}

inline start(c)
{
    assert(!executed);                 /* at most one execution */
    assert(answer[c] != NOTRUN);       /* "not run" is true */
    executed = true;
    ranBy = c;
    agent[c] = STARTED
}

/* The process beside the target, and the target, as far as claim and entry i are concerned. */
proctype Agent(byte i)
{
end:
    do
    /* The message is lost on its way. */
    :: atomic { dispatchFlight[i] -> dispatchFlight[i] = false }
    :: atomic { dispatchFlight[i] ->
        dispatchFlight[i] = false;
        if
#ifndef BROKEN_ANY_INCARNATION
        :: named[i] != incarnation -> reply[i] = TOMB
#endif
#ifndef BROKEN_TOMBSTONE_IGNORED
        :: agent[i] == TOMB -> reply[i] = TOMB
#endif
        :: else -> start(i)
        fi }
    :: atomic { agent[i] == STARTED -> agent[i] = FINISHED; reply[i] = FINISHED }
    :: atomic { agent[i] == STARTED && targetCrashes < TARGET_CRASHES -> targetCrashes++; agent[i] = LOST; reply[i] = LOST }
    /* Entry i asks about claim question[i] - 1. */
    :: atomic { question[i] != 0 ->
        if
        :: named[question[i] - 1] != incarnation -> knowledge[i] = LOST
        :: named[question[i] - 1] == incarnation && agent[question[i] - 1] == FRESH ->
            agent[question[i] - 1] = TOMB;
            knowledge[i] = TOMB
        :: else -> knowledge[i] = agent[question[i] - 1]
        fi;
        question[i] = 0 }
    od
}

/* The agent is killed and replaced: it remembers nothing and sends no reply. */
active proctype Restart()
{
    byte i;
end:
    do
    :: d_step { incarnation < RESTARTS -> incarnation++;
        i = 0;
        do
        :: i < CALLS -> agent[i] = FRESH; i++
        :: else -> break
        od;
        i = 0 }
    od
}

inline tell(what)
{
    assert(what != NOTRUN || !(executed && ranBy == me));
    answer[me] = what
}

/* The recorded outcome is that of the one run. */
inline tellOutcome(c)
{
    assert(executed && ranBy == c);
    answer[me] = RAN
}

inline record(kind, c)
{
    verdictKind[me] = kind;
    verdictOf[me] = c
}

/* One request at one entry. */
proctype Entry(byte me)
{
    byte at;
    byte held;
    bool asked;

look:
    do
    :: atomic { logUp && at < head -> at++ }
    :: atomic { entryCrashes < ENTRY_CRASHES -> entryCrashes++; goto dead }
    :: atomic { phase[at] == FREE || phase[at] == DEAD ->
        /* The host list lags: the claim may name the former incarnation. */
        if
        :: named[me] = incarnation
        :: incarnation > 0 -> named[me] = 0
        fi;
        claimFlight[me] = true;
        goto claiming }
    :: atomic { phase[at] == FREE || phase[at] == DEAD -> tell(NOTRUN); goto dead }
    :: atomic { phase[at] != FREE && phase[at] != DEAD -> goto follow }
    od;

claiming:
    do
    :: atomic { logUp && at < head -> at++ }
    :: atomic { entryCrashes < ENTRY_CRASHES -> entryCrashes++; goto dead }
    :: atomic { holder[at] == me && phase[at] == CLAIMED -> goto won }
    :: atomic { landed[me] && at >= landedAt[me] && holder[at] != me -> goto follow }
    /* Another entry had the agent tombstone it. */
    :: atomic { landed[me] && at >= landedAt[me] && holder[at] == me && phase[at] == DEAD -> tell(NOTRUN); goto dead }
#ifdef BROKEN_ANSWER_TRUSTED
    :: atomic { landed[me] -> goto won }
#endif
#ifndef BROKEN_WAITS_FOR_LOG
    /* The deadline: the claim may still land, and this entry never dispatches it. */
    :: atomic { tell(NOTRUN); goto abandoned }
#endif
    od;

won:
    /* A pause may lie here; the agent's gate judges what is dispatched after it. */
    if
    :: atomic { dispatchFlight[me] = true }
    :: atomic { tell(NOTRUN); record(DEAD, me); goto dead }
    :: atomic { entryCrashes < ENTRY_CRASHES -> entryCrashes++; goto dead }
    fi;

dispatched:
    if
    :: atomic { reply[me] == FINISHED -> tellOutcome(me); record(DONE, me); goto dead }
    :: atomic { reply[me] == TOMB -> tell(NOTRUN); record(DEAD, me); goto dead }
    :: atomic { reply[me] == LOST -> tell(UNKNOWN); record(DOUBT, me); goto dead }
#ifdef BROKEN_OUTCOME_GUESSED
    :: atomic { true -> tellOutcome(me); record(DONE, me); goto dead }
#elif defined(BROKEN_SILENCE_IS_NOT_RUN)
    :: atomic { true -> tell(NOTRUN); record(DEAD, me); goto dead }
#elif defined(BROKEN_WAITS_FOR_TARGET)
#else
    :: atomic { true -> tell(UNKNOWN); record(DOUBT, me); goto dead }
#endif
    :: atomic { entryCrashes < ENTRY_CRASHES -> entryCrashes++; goto dead }
    fi;

follow:
    /* Another claim holds the key: its outcome is waited for, or the agent is asked. */
    do
    :: atomic { logUp && at < head -> at++ }
    :: atomic { phase[at] == DONE -> tellOutcome(holder[at]); goto dead }
    :: atomic { phase[at] == AGED -> tell(NOTRUN); goto dead }
    :: atomic { (phase[at] == CLAIMED || phase[at] == DOUBT) && holder[at] != me && !asked ->
        asked = true;
        held = holder[at];
        question[me] = held + 1 }
    :: atomic { knowledge[me] == TOMB -> knowledge[me] = FRESH; record(DEAD, held) }
    :: atomic { knowledge[me] == FINISHED -> knowledge[me] = FRESH; record(DONE, held); tellOutcome(held); goto dead }
    :: atomic { tell(UNKNOWN); goto dead }
    od;

abandoned:
    /* The claim shows up after its caller was told "not run". */
endAbandoned:
    do
    :: atomic { logUp && at < head -> at++ }
    :: atomic { holder[at] == me && phase[at] == CLAIMED ->
#ifdef BROKEN_LATE_DISPATCH
        goto won
#else
        record(DEAD, me); goto dead
#endif
       }
    od;

dead:
    at = 0;
    held = 0;
    asked = false
}

init
{
    byte i;
    atomic {
        holder[0] = NOBODY;
        i = 0;
        do
        :: i < CALLS -> run Appends(i); run Agent(i); run Entry(i); i++
        :: else -> break
        od
    }
}
