/*
 * Claims and dispatch of calls that may not be repeated (docs/design.md,
 * sections 4 and 9). One key; every gateway receives one copy of the call.
 *
 * Properties, checked by assertions:
 *   runs <= 1                       the call runs at most once
 *   !toldNotRun[..]                 an attempt reported as not_run never starts
 *   !answeredNotRun[..]             a caller told not_run is right
 *   now <= DEADLINE + START_LIMIT   no call starts after its deadline and the Start limit
 *   holder != me                    a gateway never mistakes its own claim for another's
 * Spin also checks that no process waits forever (invalid end states).
 *
 * Time is a counter that may advance between any two steps, so every gateway
 * can pause anywhere for any time. A sidecar's check and its dispatch are one
 * step: a pause between them must stay below EXPIRY minus the sum of the other
 * bounds, which is 22 h with the defaults.
 *
 * A define named NO_... removes one rule; run.sh requires a counterexample for
 * each.
 */
#ifndef REQUESTS
#define REQUESTS 2
#endif
#ifndef SIDECARS
#define SIDECARS 2
#endif

/* The unit of time is the caller's resend window, in which all copies of the
 * call and their deadlines fall; EXPIRY must exceed their sum with START_LIMIT. */
#define DEADLINE 0    /* end of the resend window and of every deadline */
#define START_LIMIT 1 /* time between Admitted and Start */
#define EXPIRY 2      /* age at which a claim is forgotten */
#ifndef LAST_TICK
#define LAST_TICK 2
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

#define HELD (state != none && state != released && now < claimTime + EXPIRY)

#define ID(r, s) ((r) * SIDECARS + (s))

mtype = { offer, start, cancel, ask, admitted, refused, mayrun, ran };
mtype = { none, claimed, released, done };
mtype = { ok, conflict };
mtype = { idle, queued, waiting, running, over, lost };

chan up[REQUESTS * SIDECARS] = [3] of { mtype };
chan down[REQUESTS * SIDECARS] = [4] of { mtype };
bool broken[REQUESTS * SIDECARS];
bool gone[REQUESTS * SIDECARS];

byte now;
byte crashes;

/* The claim log of the key. A chunk's version grows with each append. */
byte version;
byte holder = 255;
mtype state = none;
byte claimTime;

/* The write that a gateway has in flight. A write may take effect after its
 * sender stopped waiting. */
mtype writeState[REQUESTS] = none;
byte writeVersion[REQUESTS];
mtype answer[REQUESTS] = none;

/* What happened, for the properties only. */
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

/* The key-value store as one gateway sees it: kvstore.Store.CompareAndSwap. */
proctype Store(byte r) {
end:	do
	:: atomic { writeState[r] != none ->
		if
#ifdef NO_COMPARE_AND_SWAP
		:: true ->
#else
		:: version == writeVersion[r] ->
#endif
			version++;
			answer[r] = ok;
			if
			:: writeState[r] == claimed -> holder = r; state = claimed; claimTime = now
			:: writeState[r] != claimed && holder == r -> state = writeState[r]
			:: else
			fi
		:: version != writeVersion[r] -> answer[r] = conflict
		:: true -> skip /* the request is lost */
		fi;
		writeState[r] = none;
		writeVersion[r] = 0
	   }
	od
}

/* A reply to a gateway that no longer listens is dropped. */
inline reply(m) {
	if
	:: !gone[id] -> down[id] ! m
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
 * ends one stream here; a real crash ends all streams of the sidecar, which is
 * a special case. */
proctype Owner(byte r; byte id) {
	mtype phase = idle;
	byte admittedTime;
end:	do
	:: atomic { phase == idle && up[id] ? [offer] -> up[id] ? offer; phase = queued }
	   /* Rule: the owner decides, in its queue, whether the offer is admitted:
	    * sidecar/control offerMessage.apply, admission.Queue.Admit. */
	:: atomic { phase == queued ->
		if
		:: phase = waiting; admittedTime = now; reply(admitted)
		:: phase = over; reply(refused)
		fi
	   }
	   /* Rule: a call starts only if Start arrives within the limit after
	    * Admitted, on the owner's monotonic clock: sidecar/control
	    * Loop.mayStart. */
	:: atomic { phase == waiting && up[id] ? [start] -> up[id] ? start;
		if
#ifndef NO_START_LIMIT
		:: now > admittedTime + START_LIMIT -> phase = over; reply(refused)
		:: else -> dispatch(r, id)
#else
		:: true -> dispatch(r, id)
#endif
		fi
	   }
#ifndef NO_START_LIMIT
	:: atomic { phase == waiting && now > admittedTime + START_LIMIT ->
		phase = over; reply(refused) }
#endif
	   /* Rule: a cancelled, expired or refused offer never starts:
	    * sidecar/control Loop.drop, Loop.refuse, Loop.mayStart. */
	:: atomic { (phase == queued || phase == waiting) && up[id] ? [cancel] -> up[id] ? cancel;
		phase = over; reply(refused)
	   }
	:: atomic { phase == running && up[id] ? [cancel] -> up[id] ? cancel; reply(mayrun) }
	:: atomic { phase == over && nempty(up[id]) ->
		if
#ifndef NO_REFUSAL_MARK
		:: up[id] ? start
#else
		:: up[id] ? start -> dispatch(r, id)
#endif
		:: up[id] ? cancel
		:: up[id] ? ask -> reply(refused)
		fi
	   }
	:: atomic { phase == running -> reply(ran); phase = lost }
	   /* The sidecar crashes before or after it dispatched; what its old
	    * connections carried is gone. */
	:: atomic { phase != idle && phase != lost && crashes < CRASHES ->
		crashes++;
		broken[id] = true;
		admittedTime = 0;
		phase = lost;
		do
		:: up[id] ? _
		:: empty(up[id]) -> break
		od;
		do
		:: down[id] ? _
		:: empty(down[id]) -> break
		od
	   }
	   /* Rule: a successor answers may_have_run for an attempt that it cannot
	    * account for: sidecar/control Loop.reconcile, Loop.gate; the gateway
	    * concludes it alone in gateway/dispatch attemptState.broken. */
	:: atomic { phase == lost && nempty(up[id]) ->
		if
		:: up[id] ? start
		:: up[id] ? cancel
		:: up[id] ? ask ->
#ifndef NO_SUCCESSOR_CARE
			reply(mayrun)
#else
			reply(refused)
#endif
		fi
	   }
	od
}

/* The gateway stops listening to the attempt. */
inline leave() {
	gone[id] = true;
	do
	:: down[id] ? _
	:: empty(down[id]) -> break
	od;
	id = ID(me, 0); started = false; cancelled = false; asked = false
}

/* One gateway with one copy of the call. */
proctype Gateway(byte me) {
	byte s;
	byte id = ID(me, 0);
	byte seen;
	bool started;
	bool cancelled;
	bool asked;

	/* Rule: the claim is in the store before the call is dispatched, and a
	 * claim is unique because its appender has read every unexpired chunk and
	 * swaps on the tail that it read: gateway/dispatch Dispatcher.runClaimed,
	 * gateway/kvstore partition.commit, claim.Log.Plan. */
#ifdef NO_CLAIM_FIRST
	goto attempt;
#endif
readLog:
	atomic {
		if
		:: HELD ->
			if
#ifdef NO_CLAIM_IDENTIFIER
			:: state == claimed && answer[me] != none -> goto attempt
#endif
#ifndef NO_OWN_CLAIM
			:: holder == me -> goto attempt
#endif
			:: else -> assert(holder != me); goto finished /* may_have_run or the recorded answer */
			fi
		:: !HELD -> seen = version
		:: goto unavailable /* the store does not answer */
		fi
	}
	atomic { writeState[me] = claimed; writeVersion[me] = seen; answer[me] = none }
	/* Rule: a lost answer is resolved by reading back the identifier; the same
	 * swap is repeated if the tail has not moved: gateway/kvstore
	 * partition.reset and partition.refresh, claim.Log.Decide. */
	atomic {
		if
		:: answer[me] == ok -> goto attempt
		:: answer[me] == conflict -> goto readLog
#ifndef NO_READ_BACK
		:: true -> goto readLog
#else
		:: true -> goto attempt
#endif
		fi
	}
unavailable:
	/* Rule: without a confirmed claim the call is refused before dispatch, and
	 * a claim that may have taken effect is released: gateway/dispatch
	 * Dispatcher.runClaimed, gateway/peer Node.abandon, claim.Log.Decide. */
	if
	:: goto release
	:: goto finishNotRun
	fi;

attempt:
	atomic { id = ID(me, s); started = false; cancelled = false; asked = false; up[id] ! offer }
	do
	:: atomic { down[id] ? [admitted] -> down[id] ? admitted }
	   if
	   /* Rule: the gateway compares its deadline with its monotonic clock
	    * directly before it sends Start; it may still pause after that. The
	    * place for it is gateway/dispatch attemptState.admit; docs/models.md
	    * says what is missing there. */
#ifndef NO_DEADLINE_CHECK
	   :: atomic { now <= DEADLINE && !cancelled && !broken[id] }
#else
	   :: atomic { !cancelled && !broken[id] }
#endif
	      atomic {
		if
		:: !broken[id] -> up[id] ! start; started = true
		:: else
		fi
	      }
	   :: else
	   fi
	:: atomic { down[id] ? [refused] -> down[id] ? refused; goto notRun }
	:: atomic { down[id] ? [mayrun] -> down[id] ? mayrun; goto finished }
	:: atomic { down[id] ? [ran] -> down[id] ? ran; goto record }
	:: atomic { !cancelled && !broken[id] -> cancelled = true; up[id] ! cancel }
	   /* Rule: a broken connection after anything was written is
	    * may_have_run, without release or second attempt: gateway/dispatch
	    * attemptState.broken, verdict.Verdict.CanRepeat. */
	:: atomic { broken[id] || started ->
#ifndef NO_OWNER_CONFIRMATION
		goto finished
#else
		goto notRun
#endif
	   }
	:: atomic { broken[id] && !asked -> asked = true; up[id] ! ask }
	od
notRun:
	/* Rule: not_run is given only on the owner's word; only then may the next
	 * sidecar be tried or the claim be released: gateway/dispatch
	 * attemptState.failed, execution.again, Dispatcher.runClaimed. */
	atomic {
		assert(!dispatched[id]);
		toldNotRun[id] = true;
		leave();
		s++;
		if
		:: s < SIDECARS -> goto attempt
		:: else -> s = 0
		fi
	}
release:
	atomic {
		if
		:: state == claimed && holder == me -> seen = version
		:: else -> goto finishNotRun
		fi
	}
	atomic { writeState[me] = released; writeVersion[me] = seen; answer[me] = none }
	atomic {
		if
		:: answer[me] == conflict -> goto release
		:: answer[me] == ok
		:: true /* the release is lost or late; the key stays claimed */
		fi
	}
finishNotRun:
	atomic { answeredNotRun[me] = true; goto finished }
record:
	atomic {
		if
		:: state == claimed && holder == me ->
			writeState[me] = done; writeVersion[me] = version; answer[me] = none
		:: true
		fi
	}
finished:
	atomic { leave(); seen = 0; s = 0; answer[me] = none }
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
