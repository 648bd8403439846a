/*
 * Acceptance and spread of configuration changes (docs/design.md, section 10).
 * Every editor makes one change; every gateway can restart and learn from the
 * store or from any other gateway.
 *
 * Properties, checked by assertions:
 *   taken[me]                          an editor told "accepted" is right
 *   !taken[me], verdict[me] != ...     an editor told "not accepted" is right
 *   revision[me] >= floor              a revision in force everywhere never reverts
 *   changes[me] == line[..]            a revision has the same content everywhere
 *   (changes[i] & accepted) == accepted  every accepted change is in force at the end
 * Spin also checks that no process waits forever (invalid end states).
 *
 * Assumptions:
 *   A1 a store that comes back older has lost only revisions that a running
 *      gateway holds, and no edit is under way at that moment;
 *   A2 a process that starts reaches a serving gateway if there is one.
 *
 * A define named NO_... removes one rule; run.sh requires a counterexample for
 * each.
 */
#ifndef EDITORS
#define EDITORS 2
#endif
#ifndef GATEWAYS
#define GATEWAYS 2
#endif
/* Number of changes that the head lists (256 in the program). */
#ifndef LISTED
#define LISTED 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define MAX_REVISION 4

mtype = { pending, acceptedVerdict, notAccepted, unknown };
mtype = { none, ok, conflict };

/* The head: revision, its changes as a bit set, and the change of each
 * revision. The key's version is the revision. */
byte head;
byte headChanges;
byte author[MAX_REVISION];
byte stored[MAX_REVISION];

/* Swaps in flight: the latest one of each editor, and one whose sender stopped
 * waiting. Both are the same swap. */
bool fresh[EDITORS];
bool stale[EDITORS];
byte base[EDITORS];
byte content[EDITORS];
mtype answer[EDITORS] = none;
mtype verdict[EDITORS] = none;

/* The gateways. */
bool serving[GATEWAYS];
byte revision[GATEWAYS];
byte changes[GATEWAYS];

/* What happened, for the properties only. */
bool taken[EDITORS];
byte accepted;
byte floor;
byte line[MAX_REVISION];
byte restarts;
bool restored;
byte newestRevision;
byte newestChanges;

inline apply(k) {
	assert(verdict[k] != notAccepted);
	head = base[k] + 1;
	author[head - 1] = k + 1;
	headChanges = content[k];
	stored[head - 1] = content[k];
	taken[k] = true
}

/* The key-value store as one editor sees it. */
proctype Store(byte k) {
end:	do
	:: atomic { fresh[k] ->
		fresh[k] = false;
		if
#ifdef NO_REVISION_CHECK
		:: true -> apply(k); answer[k] = ok
#else
		/* Rule: a write names the version that it replaces:
		 * kvstore.Store.CompareAndSwap. */
		:: head == base[k] -> apply(k); answer[k] = ok
#endif
		:: head != base[k] -> answer[k] = conflict
		:: true /* the request is lost */
		fi
	   }
	:: atomic { stale[k] ->
		stale[k] = false;
		if
		:: head == base[k] -> apply(k)
		:: head != base[k]
		:: true
		fi
	   }
	od
}

/* Newest revision that a serving gateway reports, in `peer`. */
inline askGateways() {
	peer = 0;
	i = 0;
	do
	:: i < GATEWAYS ->
		if
		:: serving[i] && revision[i] > peer -> peer = revision[i]
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

/* One operator with siskinctl. */
proctype Editor(byte me) {
	byte i;
	byte peer;
	bool doubtful; /* an earlier swap of this change has an unknown outcome */

	/* Rule: an edit names the revision it was based on; it is refused if a
	 * gateway has a newer revision than the store: config.PlanEdit for the
	 * base; siskinctl/editor Apply does not ask the gateways (docs/models.md). */
	atomic {
		verdict[me] = pending;
		base[me] = head;
		content[me] = headChanges | (1 << me);
		askGateways();
		if
#ifndef NO_GATEWAY_CHECK
		:: peer > head -> verdict[me] = notAccepted; goto finished
		:: else -> peer = 0
#else
		:: true -> peer = 0
#endif
		fi
	}
swap:
	atomic {
		/* The repeated swap is the same write, so one stale copy stands for
		 * any number of them. */
		stale[me] = stale[me] || fresh[me];
		fresh[me] = true;
		answer[me] = none
	}
	atomic {
		if
		:: answer[me] == ok -> goto accept
#ifndef NO_CONFLICT_READ_BACK
		/* Rule: a conflict after an unknown outcome is read back too:
		 * siskinctl/editor swapHead. */
		:: answer[me] == conflict && doubtful -> goto readBack
		:: answer[me] == conflict && !doubtful -> goto refuse
#else
		:: answer[me] == conflict -> goto refuse
#endif
		:: true -> doubtful = true; goto readBack
		fi
	}
readBack:
	/* Rule: after a lost answer the head is read: siskinctl/editor resolve. */
#ifdef NO_READ_BACK
	if
	:: goto accept
	:: goto refuse
	fi;
#endif
	atomic {
		if
		:: head > base[me] && author[base[me]] == me + 1 && head - base[me] <= LISTED -> goto accept
		:: head > base[me] && author[base[me]] != me + 1 && head - base[me] <= LISTED -> goto refuse
		/* Rule: a change that the list may have dropped has an unknown outcome:
		 * config.Head.Resolve. */
#ifndef NO_LIST_BOUND
		:: head > base[me] && head - base[me] > LISTED -> goto giveUp
#else
		:: head > base[me] && head - base[me] > LISTED -> goto refuse
#endif
		:: head <= base[me] -> goto swap
		:: true -> goto giveUp /* the store does not answer */
		fi
	}
accept:
	atomic {
		assert(taken[me]);
		verdict[me] = acceptedVerdict;
		accepted = accepted | (1 << me);
		goto finished
	}
refuse:
	atomic { assert(!taken[me]); verdict[me] = notAccepted; goto finished }
giveUp:
	verdict[me] = unknown;
finished:
	atomic { answer[me] = none; doubtful = false }
}

/* Gateway me puts a revision into force. */
inline install(r, c) {
	revision[me] = r;
	changes[me] = c;
	serving[me] = true;
	if
	:: r > 0 && line[r - 1] == 0 -> line[r - 1] = c
	:: else
	fi;
	assert(r == 0 || changes[me] == line[r - 1]);
	assert(revision[me] >= floor);
	if
	:: r > newestRevision -> newestRevision = r; newestChanges = c
	:: else
	fi;
	settle()
}

/* The floor is the newest revision that was in force at every serving gateway. */
inline settle() {
	lowest = 255;
	i = 0;
	do
	:: i < GATEWAYS ->
		if
		:: serving[i] && revision[i] < lowest -> lowest = revision[i]
		:: else
		fi;
		i++
	:: else -> break
	od;
	if
	:: lowest != 255 && lowest > floor -> floor = lowest
	:: else
	fi;
	i = 0; lowest = 0
}

/* The other gateways as seen from gateway me; LAST is NEXT with two gateways. */
#define NEXT ((me + 1) % GATEWAYS)
#define LAST ((me + GATEWAYS - 1) % GATEWAYS)
#define PULLS(g) (serving[me] && serving[g] && revision[g] > revision[me])
#define HOLDS_NEWEST(g) (serving[g] && revision[g] == newestRevision)
#define STARTS_FROM(g) (!serving[me] && serving[g] && revision[g] >= head)

proctype Gateway(byte me) {
	byte i;
	byte lowest;
end:	do
	/* Rule: a process only moves to a higher revision, also when the store
	 * comes back older: config.InForce.Advance, gateway/kvstore
	 * Reader.checkAge. */
#ifndef NO_MONOTONIC
	:: atomic { serving[me] && head > revision[me] -> install(head, headChanges) }
#else
	:: atomic { serving[me] && head != revision[me] -> install(head, headChanges) }
#endif
	/* Rule: whichever peer is behind pulls: spread.State.Heard,
	 * gateway/peer Node.exchange, config.InForce.Since. */
#ifndef NO_EXCHANGE
	:: atomic { PULLS(NEXT) -> install(revision[NEXT], changes[NEXT]) }
	:: atomic { PULLS(LAST) -> install(revision[LAST], changes[LAST]) }
#endif
	:: atomic { serving[me] && restarts < RESTARTS ->
		/* A1: the newest revision is never lost everywhere. */
		if
		:: head >= newestRevision || HOLDS_NEWEST(NEXT) || HOLDS_NEWEST(LAST)
		fi;
		restarts++;
		serving[me] = false; revision[me] = 0; changes[me] = 0 }
	/* Rule: a process that starts takes the newer of what a serving gateway
	 * and the store have; it serves nothing if it reaches neither:
	 * gateway/peer Node.pullSnapshot, config.InForce.Advance. */
#ifndef NO_PEER_FIRST
	:: atomic { STARTS_FROM(NEXT) -> install(revision[NEXT], changes[NEXT]) }
	:: atomic { STARTS_FROM(LAST) -> install(revision[LAST], changes[LAST]) }
	:: atomic { !serving[me] && serving[NEXT] && head > revision[NEXT] -> install(head, headChanges) }
	:: atomic { !serving[me] && !serving[NEXT] && !serving[LAST] -> install(head, headChanges) }
#else
	:: atomic { !serving[me] -> install(head, headChanges) }
#endif
	od
}

#define QUIET(k) (verdict[k] != pending && !fresh[k] && !stale[k])
#if EDITORS == 2
#define ALL_QUIET (QUIET(0) && QUIET(1))
#else
#define ALL_QUIET (QUIET(0) && QUIET(1) && QUIET(2))
#endif
#if GATEWAYS == 2
#define HEAD_IS_HELD ((serving[0] && revision[0] >= head) || (serving[1] && revision[1] >= head))
#else
#define HEAD_IS_HELD ((serving[0] && revision[0] >= head) || (serving[1] && revision[1] >= head) || (serving[2] && revision[2] >= head))
#endif

/* The store comes back at an older head (A1), and possibly forward again. */
proctype Restore() {
	byte savedHead;
	byte savedChanges;
end:	do
	:: atomic { !restored && head > 0 && ALL_QUIET && HEAD_IS_HELD ->
		restored = true;
		if
		:: savedHead = head; savedChanges = headChanges
		:: true
		fi;
		head--;
		headChanges = (head > 0 -> stored[head - 1] : 0)
	   }
	:: atomic { savedHead > 0 && head < savedHead ->
		head = savedHead; headChanges = savedChanges; savedHead = 0; savedChanges = 0 }
	od
}

/* At the end, when nothing else can move, every gateway has every accepted
 * change. */
proctype Monitor() {
	byte i;
	timeout ->
	do
	:: i < GATEWAYS ->
		assert(serving[i]);
		assert(revision[i] == newestRevision);
		assert((changes[i] & accepted) == accepted);
		i++
	:: else -> break
	od
}

init {
	byte n;
	atomic {
		for (n : 0 .. (EDITORS - 1)) {
			run Store(n);
			run Editor(n)
		}
		for (n : 0 .. (GATEWAYS - 1)) {
			serving[n] = true;
			run Gateway(n)
		}
		run Restore();
		run Monitor()
	}
}
