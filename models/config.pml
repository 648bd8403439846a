/*
 * Acceptance and propagation of configuration changes (docs/design.md,
 * section 10). Every editor makes one change. Gateways can restart and read the
 * configuration from the store or from any other gateway.
 *
 * Properties, checked by assertions:
 *   taken[me]                          a change reported as accepted has taken effect
 *   !taken[me], verdict[k] != ...      a change reported as not accepted never takes effect
 *   revision[me] >= floor              a revision in force everywhere is never reverted
 *   changes[me] == revisionChanges[..] a revision has the same content everywhere
 *   (changes[i] & accepted) == accepted  every accepted change is in force at the end
 *   serving[i], revision[i] == newestRevision  every gateway serves the newest revision
 *                                      at the end
 * Spin also checks that no process blocks forever (invalid end states).
 *
 * Assumptions:
 *   A1 a store that is restored at an older revision has lost only revisions
 *      that a running gateway has, and no edit is in progress at that moment;
 *   A2 a process that starts reaches a serving gateway if there is one.
 *
 * Each macro named NO_... removes one rule, and run.sh requires a counterexample
 * for it.
 */
#ifndef EDITORS
#define EDITORS 2
#endif
#ifndef GATEWAYS
#define GATEWAYS 2
#endif
/* Number of latest changes that the head lists (256 in the program). */
#ifndef LISTED
#define LISTED 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define MAX_REVISION 4

mtype = { pending, acceptedVerdict, notAccepted, unknown };
mtype = { none, ok, conflict };

/* The head: its revision, its changes as a bit set, and the editor and changes of
 * each revision. The version of the head's key is its revision. */
byte head;
byte headChanges;
byte author[MAX_REVISION];
byte storedChanges[MAX_REVISION];

/* Compare-and-swap requests in flight: the latest one of each editor, and an
 * earlier one that its editor has stopped waiting for. Both request the same
 * swap. */
bool latestSwap[EDITORS];
bool earlierSwap[EDITORS];
byte base[EDITORS];
byte newChanges[EDITORS];
mtype storeReply[EDITORS] = none;
mtype verdict[EDITORS] = none;

/* The state of each gateway. */
bool serving[GATEWAYS];
byte revision[GATEWAYS];
byte changes[GATEWAYS];

/* History variables that only the properties use, and limits of the model. */
bool taken[EDITORS];
byte accepted;
byte floor;
byte revisionChanges[MAX_REVISION];
byte restarts;
bool restored;
byte newestRevision;
byte newestChanges;

inline apply(k) {
	assert(verdict[k] != notAccepted);
	head = base[k] + 1;
	author[head - 1] = k + 1;
	headChanges = newChanges[k];
	storedChanges[head - 1] = newChanges[k];
	taken[k] = true
}

/* The key-value store, handling the swaps of one editor. */
proctype Store(byte k) {
end:	do
	:: atomic { latestSwap[k] ->
		latestSwap[k] = false;
		if
#ifdef NO_REVISION_CHECK
		:: true -> apply(k); storeReply[k] = ok
#else
		/* Rule: a write specifies the version that it replaces:
		 * adapters/kvstore Client.CompareAndSwap. */
		:: head == base[k] -> apply(k); storeReply[k] = ok
#endif
		:: head != base[k] -> storeReply[k] = conflict
		:: true /* the request is lost */
		fi
	   }
	:: atomic { earlierSwap[k] ->
		earlierSwap[k] = false;
		if
		:: head == base[k] -> apply(k)
		:: head != base[k]
		:: true
		fi
	   }
	od
}

/* Sets newestPeerRevision to the newest revision that a serving gateway reports. */
inline readGatewayRevisions() {
	newestPeerRevision = 0;
	i = 0;
	do
	:: i < GATEWAYS ->
		if
		:: serving[i] && revision[i] > newestPeerRevision -> newestPeerRevision = revision[i]
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

/* An operator who makes one change with siskinctl. */
proctype Editor(byte me) {
	byte i;
	byte newestPeerRevision;
	bool mayHaveSwapped; /* an earlier swap of this change may have taken effect */

	/* Rule: an edit specifies the revision that it is based on, and is refused if
	 * a gateway has a newer revision than the store. config.PlanEdit checks the
	 * base and siskinctl app.checkStoreNotOlder the gateways; siskinctl/editor
	 * Apply does not ask the gateways (docs/models.md). */
	atomic {
		verdict[me] = pending;
		base[me] = head;
		newChanges[me] = headChanges | (1 << me);
		readGatewayRevisions();
		if
#ifndef NO_GATEWAY_CHECK
		:: newestPeerRevision > head -> verdict[me] = notAccepted; goto finished
		:: else -> newestPeerRevision = 0
#else
		:: true -> newestPeerRevision = 0
#endif
		fi
	}
swap:
	atomic {
		/* A retry requests the same write, so one earlier request represents
		 * any number of them. */
		earlierSwap[me] = earlierSwap[me] || latestSwap[me];
		latestSwap[me] = true;
		storeReply[me] = none
	}
	atomic {
		if
		:: storeReply[me] == ok -> goto accept
#ifndef NO_CONFLICT_READ_BACK
		/* Rule: the head is also read after a conflict if an earlier swap may
		 * have taken effect: siskinctl/editor swapHead. */
		:: storeReply[me] == conflict && mayHaveSwapped -> goto readBack
		:: storeReply[me] == conflict && !mayHaveSwapped -> goto refuse
#else
		:: storeReply[me] == conflict -> goto refuse
#endif
		:: true -> mayHaveSwapped = true; goto readBack
		fi
	}
readBack:
	/* Rule: the head is read after a lost answer: siskinctl/editor
	 * resolveSwap. */
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
		/* Rule: the outcome of a change is unknown if the head may no longer
		 * list the change: config.Head.Resolve. */
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
	atomic { storeReply[me] = none; mayHaveSwapped = false }
}

/* Gateway me puts revision r with the changes c into force. */
inline activate(r, c) {
	revision[me] = r;
	changes[me] = c;
	serving[me] = true;
	if
	:: r > 0 && revisionChanges[r - 1] == 0 -> revisionChanges[r - 1] = c
	:: else
	fi;
	assert(r == 0 || changes[me] == revisionChanges[r - 1]);
	assert(revision[me] >= floor);
	if
	:: r > newestRevision -> newestRevision = r; newestChanges = c
	:: else
	fi;
	updateFloor()
}

/* Updates floor, the highest revision that has been in force, or superseded, at
 * every serving gateway at once. */
inline updateFloor() {
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

/* The other gateways from the point of view of gateway me. With two gateways
 * PREVIOUS is the same as NEXT. */
#define NEXT ((me + 1) % GATEWAYS)
#define PREVIOUS ((me + GATEWAYS - 1) % GATEWAYS)
#define CAN_PULL(g) (serving[me] && serving[g] && revision[g] > revision[me])
#define HOLDS_NEWEST(g) (serving[g] && revision[g] == newestRevision)
#define CAN_START_FROM(g) (!serving[me] && serving[g] && revision[g] >= head)

proctype Gateway(byte me) {
	byte i;
	byte lowest;
end:	do
	/* Rule: a process only changes to a higher revision, even if the store is
	 * restored at an older one: config.Active.ActivateIfNewer, gateway/kvstore
	 * Reader.updateStoreOlderAlarm. */
#ifndef NO_MONOTONIC
	:: atomic { serving[me] && head > revision[me] -> activate(head, headChanges) }
#else
	:: atomic { serving[me] && head != revision[me] -> activate(head, headChanges) }
#endif
	/* Rule: of two peers, the one with the lower revision pulls from the other:
	 * gossip.State.HandleMessage, gateway/peer Node.exchange,
	 * config.Active.ChangesSince. */
#ifndef NO_EXCHANGE
	:: atomic { CAN_PULL(NEXT) -> activate(revision[NEXT], changes[NEXT]) }
	:: atomic { CAN_PULL(PREVIOUS) -> activate(revision[PREVIOUS], changes[PREVIOUS]) }
#endif
	:: atomic { serving[me] && restarts < RESTARTS ->
		/* A1: the store or another gateway has the newest revision. */
		if
		:: head >= newestRevision || HOLDS_NEWEST(NEXT) || HOLDS_NEWEST(PREVIOUS)
		fi;
		restarts++;
		serving[me] = false; revision[me] = 0; changes[me] = 0 }
	/* Rule: a process that starts takes the newer one of the configurations of a
	 * serving gateway and of the store. It does not serve if it reaches neither:
	 * gateway/peer Node.pullSnapshot, config.Active.ActivateIfNewer. */
#ifndef NO_PEER_FIRST
	:: atomic { CAN_START_FROM(NEXT) -> activate(revision[NEXT], changes[NEXT]) }
	:: atomic { CAN_START_FROM(PREVIOUS) -> activate(revision[PREVIOUS], changes[PREVIOUS]) }
	:: atomic { !serving[me] && serving[NEXT] && head > revision[NEXT] -> activate(head, headChanges) }
	:: atomic { !serving[me] && !serving[NEXT] && !serving[PREVIOUS] -> activate(head, headChanges) }
#else
	:: atomic { !serving[me] -> activate(head, headChanges) }
#endif
	od
}

#define EDIT_FINISHED(k) (verdict[k] != pending && !latestSwap[k] && !earlierSwap[k])
#if EDITORS == 2
#define ALL_EDITS_FINISHED (EDIT_FINISHED(0) && EDIT_FINISHED(1))
#else
#define ALL_EDITS_FINISHED (EDIT_FINISHED(0) && EDIT_FINISHED(1) && EDIT_FINISHED(2))
#endif
#if GATEWAYS == 2
#define HEAD_IN_FORCE ((serving[0] && revision[0] >= head) || (serving[1] && revision[1] >= head))
#else
#define HEAD_IN_FORCE ((serving[0] && revision[0] >= head) || (serving[1] && revision[1] >= head) || (serving[2] && revision[2] >= head))
#endif

/* The store is restored at an older head (A1), and may return to the newer head
 * afterwards. */
proctype Restore() {
	byte savedHead;
	byte savedChanges;
end:	do
	:: atomic { !restored && head > 0 && ALL_EDITS_FINISHED && HEAD_IN_FORCE ->
		restored = true;
		if
		:: savedHead = head; savedChanges = headChanges
		:: true
		fi;
		head--;
		headChanges = (head > 0 -> storedChanges[head - 1] : 0)
	   }
	:: atomic { savedHead > 0 && head < savedHead ->
		head = savedHead; headChanges = savedChanges; savedHead = 0; savedChanges = 0 }
	od
}

/* At the end, when no other process can make a step, every gateway serves the
 * newest revision, in which every accepted change is in force. */
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
