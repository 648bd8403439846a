/*
 * Claims and dispatch of calls that must run at most once (docs/design.md,
 * sections 4 and 9). There is one idempotency key, and every gateway receives
 * one copy of the call with this key.
 *
 * Properties, checked by assertions:
 *   runs <= 1                       the call runs at most once
 *   !toldNotRun[..]                 an attempt reported as not_run never starts
 *   !dispatched[..]                 an attempt that has started is not reported as not_run
 *   !answeredNotRun[..]             a call never starts after its caller was told not_run
 *   now <= DEADLINE + START_LIMIT   no call starts later than START_LIMIT after its deadline
 *   holder != me                    a gateway recognizes its own claim
 * Spin also checks that no process blocks forever (invalid end states).
 *
 * Time is a counter that may advance between any two steps, so a gateway can
 * pause at any point for any duration. The last check of a sidecar and its
 * dispatch are one step: in the program, a pause between them must be shorter
 * than EXPIRY minus the sum of the other bounds, which is 22 h with the default
 * settings.
 *
 * Each macro named NO_... removes one rule, and run.sh requires a counterexample
 * for it.
 */
#ifndef REQUESTS
#define REQUESTS 2
#endif
#ifndef SIDECARS
#define SIDECARS 2
#endif

/* The unit of time is the caller's resend window. All copies of the call arrive
 * and all their deadlines end within it. EXPIRY must exceed
 * DEADLINE + START_LIMIT. */
#define DEADLINE 0    /* end of the resend window and of every deadline */
#define START_LIMIT 1 /* maximum time between Admitted and Start */
#define EXPIRY 2      /* age at which a claim expires */
#ifndef LAST_TICK
#define LAST_TICK 2
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

#define CLAIM_HELD (state != none && state != released && now < claimTime + EXPIRY)

#define ID(r, s) ((r) * SIDECARS + (s))

mtype = { offer, start, cancel, query, admitted, refused, mayHaveRun, ran };
mtype = { none, claimed, released, done };
mtype = { ok, conflict };
/* Phases of an attempt at its sidecar: ended is refused or cancelled before the
 * dispatch; unaccounted is completed, or interrupted by a crash of the sidecar. */
mtype = { idle, queued, waiting, running, ended, unaccounted };

chan toSidecar[REQUESTS * SIDECARS] = [3] of { mtype };
chan toGateway[REQUESTS * SIDECARS] = [4] of { mtype };
bool connectionBroken[REQUESTS * SIDECARS];
bool detached[REQUESTS * SIDECARS];

byte now;
byte crashes;

/* The claim log of the key. Each append increments the version of the chunk. */
byte version;
byte holder = 255;
mtype state = none;
byte claimTime;

/* The write that each gateway has in flight. A write may take effect after its
 * sender has stopped waiting for the answer. */
mtype pendingState[REQUESTS] = none;
byte expectedVersion[REQUESTS];
mtype storeReply[REQUESTS] = none;

/* History variables that only the properties use. */
byte runs;
bool dispatched[REQUESTS * SIDECARS];
bool toldNotRun[REQUESTS * SIDECARS];
bool answeredNotRun[REQUESTS];

proctype Clock() {
	do
	:: now < LAST_TICK -> now++
	:: now == LAST_TICK -> break
	od
}

/* The key-value store, handling the writes of one gateway: adapters/kvstore
 * Client.CompareAndSwap. */
proctype Store(byte r) {
end:	do
	:: atomic { pendingState[r] != none ->
		if
#ifdef NO_COMPARE_AND_SWAP
		:: true ->
#else
		:: version == expectedVersion[r] ->
#endif
			version++;
			storeReply[r] = ok;
			if
			:: pendingState[r] == claimed -> holder = r; state = claimed; claimTime = now
			:: pendingState[r] != claimed && holder == r -> state = pendingState[r]
			:: else
			fi
		:: version != expectedVersion[r] -> storeReply[r] = conflict
		:: true -> skip /* the request is lost */
		fi;
		pendingState[r] = none;
		expectedVersion[r] = 0
	   }
	od
}

/* Replies to a gateway that has detached from the attempt are dropped. */
inline reply(m) {
	if
	:: !detached[id] -> toGateway[id] ! m
	:: else
	fi
}

inline dispatch(r, id) {
	assert(!toldNotRun[id]);
	assert(!answeredNotRun[r]);
	assert(now <= DEADLINE + START_LIMIT);
	dispatched[id] = true;
	runs++;
	assert(runs <= 1);
	phase = running
}

/* The attempt of one request at one sidecar, which owns the endpoint. A crash
 * ends a single stream in this model. A real crash ends all streams of the
 * sidecar; in the model this takes one crash for each stream, up to CRASHES. */
proctype Owner(byte r; byte id) {
	mtype phase = idle;
	byte admittedTime;
end:	do
	:: atomic { phase == idle && toSidecar[id] ? [offer] -> toSidecar[id] ? offer; phase = queued }
	   /* Rule: only the owner decides whether an offer is admitted, when the
	    * offer is in its queue: sidecar/control offerMessage.apply,
	    * admission.Queue.Admit. */
	:: atomic { phase == queued ->
		if
		:: phase = waiting; admittedTime = now; reply(admitted)
		:: phase = ended; reply(refused)
		fi
	   }
	   /* Rule: a call starts only if Start arrives within START_LIMIT after
	    * Admitted, measured by the owner's monotonic clock: sidecar/control
	    * Loop.checkDispatch. */
	:: atomic { phase == waiting && toSidecar[id] ? [start] -> toSidecar[id] ? start;
		if
#ifndef NO_START_LIMIT
		:: now > admittedTime + START_LIMIT -> phase = ended; reply(refused)
		:: else -> dispatch(r, id)
#else
		:: true -> dispatch(r, id)
#endif
		fi
	   }
#ifndef NO_START_LIMIT
	:: atomic { phase == waiting && now > admittedTime + START_LIMIT ->
		phase = ended; reply(refused) }
#endif
	   /* Rule: a cancelled, expired or refused offer never starts:
	    * sidecar/control Loop.cancelUndispatched, Loop.refuse,
	    * Loop.checkDispatch. */
	:: atomic { (phase == queued || phase == waiting) && toSidecar[id] ? [cancel] -> toSidecar[id] ? cancel;
		phase = ended; reply(refused)
	   }
	:: atomic { phase == running && toSidecar[id] ? [cancel] -> toSidecar[id] ? cancel; reply(mayHaveRun) }
	:: atomic { phase == ended && nempty(toSidecar[id]) ->
		if
#ifndef NO_REFUSAL_MARK
		:: toSidecar[id] ? start
#else
		:: toSidecar[id] ? start -> dispatch(r, id)
#endif
		:: toSidecar[id] ? cancel
		:: toSidecar[id] ? query -> reply(refused)
		fi
	   }
	:: atomic { phase == running -> reply(ran); phase = unaccounted }
	   /* The sidecar crashes before or after the dispatch. The messages on its
	    * connections are lost. */
	:: atomic { phase != idle && phase != unaccounted && crashes < CRASHES ->
		crashes++;
		connectionBroken[id] = true;
		admittedTime = 0;
		phase = unaccounted;
		do
		:: toSidecar[id] ? _
		:: empty(toSidecar[id]) -> break
		od;
		do
		:: toGateway[id] ? _
		:: empty(toGateway[id]) -> break
		od
	   }
	   /* Rule: a restarted sidecar answers may_have_run for an attempt that its
	    * predecessor may have dispatched: sidecar/control
	    * Loop.reconcileBeforeServing, Loop.checkOffer. The gateway comes to the
	    * same verdict without asking: gateway/dispatch
	    * attemptState.handleStreamError. */
	:: atomic { phase == unaccounted && nempty(toSidecar[id]) ->
		if
		:: toSidecar[id] ? start
		:: toSidecar[id] ? cancel
		:: toSidecar[id] ? query ->
#ifndef NO_SUCCESSOR_CARE
			reply(mayHaveRun)
#else
			reply(refused)
#endif
		fi
	   }
	od
}

/* The gateway detaches from the attempt and discards its replies. */
inline detach() {
	detached[id] = true;
	do
	:: toGateway[id] ? _
	:: empty(toGateway[id]) -> break
	od;
	id = ID(me, 0); started = false; cancelled = false; queried = false
}

/* A gateway that handles one copy of the call. */
proctype Gateway(byte me) {
	byte s;
	byte id = ID(me, 0);
	byte readVersion;
	bool started;
	bool cancelled;
	bool queried;

	/* Rule: the claim is in the store before the call is dispatched. Claims are
	 * unique because the gateway that appends one has read every unexpired chunk
	 * and does a compare-and-swap on the tail that it read: gateway/dispatch
	 * Dispatcher.runClaimed, gateway/kvstore partition.commit,
	 * claim.Log.PlanWrite. */
#ifdef NO_CLAIM_FIRST
	goto attempt;
#endif
readLog:
	atomic {
		if
		:: CLAIM_HELD ->
			if
#ifdef NO_CLAIM_IDENTIFIER
			:: state == claimed && storeReply[me] != none -> goto attempt
#endif
#ifndef NO_OWN_CLAIM
			:: holder == me -> goto attempt
#endif
			:: else -> assert(holder != me); goto finished /* may_have_run or the recorded answer */
			fi
		:: !CLAIM_HELD -> readVersion = version
		:: goto unavailable /* the store does not answer */
		fi
	}
	atomic { pendingState[me] = claimed; expectedVersion[me] = readVersion; storeReply[me] = none }
	/* Rule: after a lost answer the gateway reads the log again and looks for the
	 * identifier of its claim. It repeats the swap if the tail is unchanged:
	 * gateway/kvstore partition.write and partition.catchUp,
	 * claim.Log.Decide. */
	atomic {
		if
		:: storeReply[me] == ok -> goto attempt
		:: storeReply[me] == conflict -> goto readLog
#ifndef NO_READ_BACK
		:: true -> goto readLog
#else
		:: true -> goto attempt
#endif
		fi
	}
unavailable:
	/* Rule: without a confirmed claim the call is refused before dispatch. A
	 * claim that may have taken effect is released: gateway/dispatch
	 * Dispatcher.runClaimed, gateway/peer Node.releaseLater,
	 * claim.Log.Decide. */
	if
	:: goto release
	:: goto finishNotRun
	fi;

attempt:
	atomic { id = ID(me, s); started = false; cancelled = false; queried = false; toSidecar[id] ! offer }
	do
	:: atomic { toGateway[id] ? [admitted] -> toGateway[id] ? admitted }
	   if
	   /* Rule: the gateway compares the deadline with its monotonic clock
	    * directly before it sends Start, and may still pause in between. In the
	    * program, gateway/dispatch attemptState.handleAdmitted makes the
	    * comparison before it sends a body that did not fit into the offer, and
	    * then sends Start; see docs/models.md. */
#ifndef NO_DEADLINE_CHECK
	   :: atomic { now <= DEADLINE && !cancelled && !connectionBroken[id] }
#else
	   :: atomic { !cancelled && !connectionBroken[id] }
#endif
	      atomic {
		if
		:: !connectionBroken[id] -> toSidecar[id] ! start; started = true
		:: else
		fi
	      }
	   :: else
	   fi
	:: atomic { toGateway[id] ? [refused] -> toGateway[id] ? refused; goto notRun }
	:: atomic { toGateway[id] ? [mayHaveRun] -> toGateway[id] ? mayHaveRun; goto finished }
	:: atomic { toGateway[id] ? [ran] -> toGateway[id] ? ran; goto record }
	:: atomic { !cancelled && !connectionBroken[id] -> cancelled = true; toSidecar[id] ! cancel }
	   /* Rule: if the connection breaks after anything was written to it, or the
	    * gateway stops waiting after it has sent Start, the verdict is
	    * may_have_run, the claim is not released and there is no second attempt:
	    * gateway/dispatch attemptState.handleStreamError,
	    * verdict.Verdict.CanRetry. */
	:: atomic { connectionBroken[id] || started ->
#ifndef NO_OWNER_CONFIRMATION
		goto finished
#else
		goto notRun
#endif
	   }
	:: atomic { connectionBroken[id] && !queried -> queried = true; toSidecar[id] ! query }
	od
notRun:
	/* Rule: the verdict is not_run only if the owner confirmed it. Only then may
	 * the gateway try the next sidecar or release the claim: gateway/dispatch
	 * attemptState.handleSidecarFailure, execution.awaitRetry,
	 * Dispatcher.runClaimed. */
	atomic {
		assert(!dispatched[id]);
		toldNotRun[id] = true;
		detach();
		s++;
		if
		:: s < SIDECARS -> goto attempt
		:: else -> s = 0
		fi
	}
release:
	atomic {
		if
		:: state == claimed && holder == me -> readVersion = version
		:: else -> goto finishNotRun
		fi
	}
	atomic { pendingState[me] = released; expectedVersion[me] = readVersion; storeReply[me] = none }
	atomic {
		if
		:: storeReply[me] == conflict -> goto release
		:: storeReply[me] == ok
		:: true /* the release or its answer is lost or delayed; the key may stay claimed */
		fi
	}
finishNotRun:
	atomic { answeredNotRun[me] = true; goto finished }
record:
	atomic {
		if
		:: state == claimed && holder == me ->
			pendingState[me] = done; expectedVersion[me] = version; storeReply[me] = none
		:: true
		fi
	}
finished:
	atomic { detach(); readVersion = 0; s = 0; storeReply[me] = none }
}

init {
	byte r;
	byte s;
	atomic {
		run Clock();
		for (r : 0 .. (REQUESTS - 1)) {
			for (s : 0 .. (SIDECARS - 1)) {
				run Owner(r, ID(r, s))
			}
			run Store(r);
			run Gateway(r)
		}
	}
}
