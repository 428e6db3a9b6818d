/*
 * Whole reports and updates of an entry's spending (src/allowance/entrymembership.cpp, docs/design/exchange.md).
 *
 * A sender reports the totals of two customers. A whole report carries both, an update those that a report after its
 * base has changed. Datagrams are lost and overtake each other; the sender restarts; tokens are given back. The receiver
 * acknowledges a report only if it knows the base, and a whole report comes first.
 *
 * Property: what the receiver has charged are the totals of the newest report that it acknowledges, or of a later one
 * that it received.
 */
#ifndef REPORTS
#define REPORTS 4
#endif
#ifndef CHANGES
#define CHANGES 3 /* of a total */
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define MAXTOTAL 2

typedef Totals {
    byte spent[2];
}

Totals total;               /* now */
Totals at[REPORTS + 1];     /* in each report of this incarnation; nothing was spent before the first */
byte sequence = 0;
byte incarnation = 1;
byte changes = 0;
byte restarts = 0;

byte peer = 0;              /* incarnation that the receiver knows; 0: none */
byte heard = 0;             /* newest report received */
byte known = 0;             /* newest report that is acknowledged */
Totals charged;

chan net = [2] of { byte, byte, byte, bool, byte, bool, byte };

byte i, s, b, v0, v1, c, k;
bool h0, h1, differs;

/* Whether a report after the base carries another total than the one before it. */
inline changedSince(customer, base) {
    differs = false;
#ifdef BROKEN_COMPARES_WITH_BASE
    differs = (at[sequence].spent[customer] != at[base].spent[customer]);
#else
    for (k : base + 1 .. sequence) {
        differs = differs || (at[k].spent[customer] != at[k - 1].spent[customer])
    }
    k = 0
#endif
}

inline report(base) {
    sequence++;
    at[sequence].spent[0] = total.spent[0];
    at[sequence].spent[1] = total.spent[1];
    h0 = true;
    h1 = true;
    if
    :: base > 0 ->
        changedSince(0, base);
        h0 = differs;
        changedSince(1, base);
        h1 = differs
    :: else
    fi;
    net!incarnation, sequence, base, h0, total.spent[0], h1, total.spent[1];
    h0 = false;
    h1 = false;
    differs = false
}

inline forgetPeer() {
    charged.spent[0] = 0;
    charged.spent[1] = 0;
#ifndef BROKEN_RESTART_KEEPS_KNOWN
    known = 0;
#endif
    heard = 0
}

inline takeReport() {
    if
#ifndef BROKEN_UPDATE_OF_UNKNOWN_PEER
    :: peer == 0 && b > 0 -> skip
#endif
    :: i < peer -> skip
    :: i == peer && s <= heard -> skip
    :: else ->
        if
        :: peer == 0 && b > 0 -> known = b
        :: i > peer && peer > 0 -> forgetPeer()
        :: else
        fi;
        peer = i;
        heard = s;
        if
        :: h0 -> charged.spent[0] = v0
        :: else
        fi;
        if
        :: h1 -> charged.spent[1] = v1
        :: else
        fi;
        if
#ifdef BROKEN_ACKNOWLEDGES_ALL
        :: true -> known = s
#else
        :: known >= b -> known = s
        :: else
#endif
        fi
    fi
}

/* The property can be compared while the sender still has the reports of that incarnation. */
inline check() {
    if
    :: peer == incarnation && known > 0 && known == heard ->
        assert(charged.spent[0] == at[known].spent[0] && charged.spent[1] == at[known].spent[1])
    :: else
    fi
}

active proctype world() {
    do
    :: atomic { changes < CHANGES && total.spent[0] < MAXTOTAL -> changes++; total.spent[0]++ }
    :: atomic { changes < CHANGES && total.spent[0] > 0 -> changes++; total.spent[0]-- }
    :: atomic { changes < CHANGES && total.spent[1] < MAXTOTAL -> changes++; total.spent[1]++ }
    :: atomic { sequence < REPORTS && nfull(net) -> report(0) }
    :: atomic {
        sequence > 0 && sequence < REPORTS && nfull(net) ->
        select(c : 1 .. sequence);
        report(c);
        c = 0
    }
    :: atomic {
        restarts < RESTARTS && sequence > 0 ->
        restarts++;
        incarnation++;
        sequence = 0;
        total.spent[0] = 0;
        total.spent[1] = 0;
        for (k : 0 .. REPORTS) {
            at[k].spent[0] = 0;
            at[k].spent[1] = 0
        }
        k = 0
    }
    :: atomic {
        nempty(net) ->
        net?i, s, b, h0, v0, h1, v1;
        if
        :: takeReport(); check()
        :: skip /* lost */
        :: nfull(net) -> net!i, s, b, h0, v0, h1, v1 /* overtaken */
        fi;
        i = 0; s = 0; b = 0; h0 = false; v0 = 0; h1 = false; v1 = 0
    }
    :: timeout -> break
    od
}
