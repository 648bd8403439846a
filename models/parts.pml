/*
 * Refusal of a prompt part that crashes the replicas (docs/models.md). Each host
 * keeps the crashes that it counts against the part, the strikes, and reports them
 * to the other hosts.
 *
 * Properties, checked by assertions:
 *   lateSends <= 3              requests with the part that hosts send after the
 *                               contact time that begins with the last of the
 *                               first CRASHES crashes
 *   informed[me] <= 1 + OTHER   of these crashes, the ones that a process sees of
 *                               requests that it sent while it knew a strike
 *
 * The strikes and clearances that a process knows only grow. A message is therefore
 * any part of what hosts have reported so far; it may arrive at any time and more
 * than once, or be lost. The end of the contact time is one step, in Touch. It
 * comes when the live hosts know the same strikes and the store holds those of each
 * host that refuses the part.
 *
 * Each macro named NO_... removes one rule, and run.sh requires a counterexample
 * for it.
 */
#ifndef HOSTS
#define HOSTS 3
#endif
#ifndef FLIGHTS
#define FLIGHTS 2 /* requests with the part that a host has in flight at most */
#endif
#ifndef CRASHES
#define CRASHES 3 /* crashes by the part until the contact time begins */
#endif
#ifndef SEEN
#define SEEN 2 /* strikes among them that live hosts know at least */
#endif
#ifndef ENDS
#define ENDS 1 /* processes that end and start again */
#endif
#ifndef OTHER
#define OTHER 1 /* strikes for another reason, before the part turns deadly */
#endif

#define STRIKE(i) (1 << (i))
/* Strike 0 has another reason, those from CRASHES + 1 on are late. */
#define LAST_STRIKE (CRASHES + 4)

#define OPEN(h) (strikes[h] & ~cleared[h])
#define TWO(s) (((s) & ((s) - 1)) != 0)
#ifdef NO_MERGE_REFUSAL
#define REFUSED(h) TWO(own[h] & ~cleared[h])
#else
#define REFUSED(h) TWO(OPEN(h)) /* coord/suspect/parts.go Status */
#endif
#ifdef NO_ISOLATION
#define ISOLATED(h) true
#else
#define ISOLATED(h) (OPEN(h) == 0 || flights[h] == 0) /* edge/control/parts.go judgeParts */
#endif

bool deadly = false, touch = false;
byte others = 0, ends = 0, crashes = 0, lateCrashes = 0, lateSends = 0;

short strikes[HOSTS]; /* strikes that the host knows */
short cleared[HOSTS]; /* strikes lifted by a finished request */
bool serving[HOSTS];
byte flights[HOSTS]; /* requests sent that have not ended */
bool informedFlight[HOSTS]; /* one of them was sent while a strike was known */
byte informed[HOSTS];
#ifdef NO_MERGE_REFUSAL
short own[HOSTS]; /* strikes of the host's own requests */
#endif
#ifdef NO_FINISH
short knownAtSend[HOSTS];
#endif

/* A request that began to write before the part turned deadly, and the strikes
 * that its host, number 0, knew when it received the first event. */
bool writing = false;
short knownBefore = 0;

/* What hosts have reported, and what the store holds. */
short saidStrikes = 0, saidCleared = 0, storeStrikes = 0, storeCleared = 0;
#define UNSTORED(h) ((strikes[h] & ~storeStrikes) != 0 || (cleared[h] & ~storeCleared) != 0)

/* A host reports its strikes and clearances in the step in which it learns them. A
 * report that is sent later is one that arrives later. */
inline strike(h, i) {
	strikes[h] = strikes[h] | STRIKE(i);
	saidStrikes = saidStrikes | STRIKE(i)
}

inline clear(h, which) {
	cleared[h] = cleared[h] | (which);
	saidCleared = saidCleared | (which)
}

inline send(h) {
	if
	:: touch -> lateSends++
	:: else
	fi;
	assert(lateSends <= 3);
	if
	:: OPEN(h) != 0 -> informedFlight[h] = true
	:: else
	fi;
#ifdef NO_FINISH
	knownAtSend[h] = strikes[h];
#endif
	flights[h]++
}

inline land(h) {
	flights[h]--;
	if
	:: flights[h] == 0 -> informedFlight[h] = false
	:: else
	fi
}

/* Numbers a crash. Those between the last of the first crashes and the first late
 * request share one number, so hosts know no more strikes than in the code. */
inline number(id) {
	if
	:: crashes < CRASHES -> crashes++; id = crashes
	:: crashes == CRASHES && lateSends == 0 -> id = CRASHES
	:: else ->
		if
		:: lateCrashes < LAST_STRIKE - CRASHES -> lateCrashes++
		:: else
		fi;
		id = CRASHES + lateCrashes
	fi
}

proctype Host(byte me) {
	byte id = 0;
end:	do
	/* Before the part turns deadly. */
	:: atomic {
		me == 0 && !deadly && serving[me] && !writing && !REFUSED(me) ->
		writing = true;
		knownBefore = strikes[me]
	   }
	:: atomic {
		!deadly && serving[me] && others < OTHER ->
		others++;
		strike(me, 0)
	   }
	/* The request finishes, before or after. It proves nothing about crashes that
	 * came after its first event. */
	:: atomic {
		me == 0 && writing ->
		writing = false;
#ifdef NO_EVENT_ORDER
		clear(me, strikes[me]);
#else
		clear(me, knownBefore); /* coord/suspect/parts.go RecordAnswer, for refused parts */
#endif
		knownBefore = 0
	   }

	/* Requests with the deadly part. */
	:: atomic {
		deadly && serving[me] && !REFUSED(me) && flights[me] < FLIGHTS && ISOLATED(me) ->
		send(me)
	   }
	:: atomic {
		flights[me] > 0 -> /* the replica crashes */
		if
		:: informedFlight[me] && crashes < CRASHES -> informed[me]++
		:: else
		fi;
		assert(informed[me] <= 1 + OTHER);
		number(id);
		strike(me, id);
#ifdef NO_MERGE_REFUSAL
		own[me] = own[me] | STRIKE(id);
#endif
		id = 0;
		land(me)
	   }
	:: atomic {
		flights[me] > 0 && !touch -> /* it crashes, and the host does not count it */
		number(id);
		id = 0;
		land(me)
	   }
	:: atomic {
		flights[me] > 0 -> /* the client leaves, or the replica rejects the request */
#ifdef NO_FINISH
		clear(me, knownAtSend[me]); /* edge/control/place.go handleSendEnded does not */
#endif
		land(me)
	   }

	/* Messages and the store. */
	:: atomic {
		serving[me] && (saidStrikes & ~strikes[me]) != 0 ->
		do
		:: (saidStrikes & ~strikes[me] & STRIKE(id)) != 0 -> break
		:: id < LAST_STRIKE && (saidStrikes & ~strikes[me]) >= STRIKE(id + 1) -> id++
		od;
		strikes[me] = strikes[me] | STRIKE(id); /* coord/suspect/part_reports.go Apply */
		id = 0
	   }
	:: atomic {
		serving[me] && (saidCleared & ~cleared[me]) != 0 ->
		cleared[me] = cleared[me] | saidCleared
	   }
	:: atomic {
		serving[me] && REFUSED(me) && UNSTORED(me) ->
		storeStrikes = storeStrikes | strikes[me];
		storeCleared = storeCleared | cleared[me]
	   }

	/* The process ends and starts again. */
	:: atomic {
		serving[me] && ends < ENDS ->
		ends++;
		serving[me] = false;
		strikes[me] = 0; cleared[me] = 0; flights[me] = 0;
		informedFlight[me] = false; informed[me] = 0;
		if
		:: me == 0 -> writing = false; knownBefore = 0
		:: else
		fi;
#ifdef NO_MERGE_REFUSAL
		own[me] = 0;
#endif
#ifdef NO_FINISH
		knownAtSend[me] = 0;
#endif
	   }
	:: atomic {
		!serving[me] ->
#ifndef NO_STORE_READ
		strikes[me] = storeStrikes; /* edge/control/part_store.go applyCrashPart */
		cleared[me] = storeCleared;
#endif
		serving[me] = true
	   }
	od
}

proctype Deadly() {
	atomic { deadly = true }
}

/* The end of the contact time. */
proctype Touch() {
	short all = 0;
	byte i, count = 0;
	bool delivered = true;
end:	do
	:: atomic {
		crashes == CRASHES ->
		all = 0; count = 0; delivered = true;
		for (i : 0 .. HOSTS - 1) {
			if
			:: serving[i] -> all = all | strikes[i]
			:: else
			fi
		}
		for (i : 0 .. HOSTS - 1) {
			if
			:: serving[i] && strikes[i] != all -> delivered = false
			:: serving[i] && REFUSED(i) && (strikes[i] & ~storeStrikes) != 0 -> delivered = false
			:: else
			fi
		}
		for (i : 1 .. CRASHES) {
			if
			:: (all & STRIKE(i)) != 0 -> count++
			:: else
			fi
		}
		i = 0;
		if
		:: delivered && count >= SEEN -> all = 0; count = 0; touch = true; break
		:: else -> all = 0; count = 0; delivered = true
		fi
	   }
	od
}

init {
	byte h;
	atomic {
		for (h : 0 .. HOSTS - 1) { serving[h] = true; run Host(h) }
		h = 0;
		run Deadly();
		run Touch()
	}
}
