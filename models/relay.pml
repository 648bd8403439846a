/*
 * Proofs of configuration that a follower gets from a watching host
 * (docs/platform.md, how hosts learn changes). One change is accepted by the
 * store at any time.
 *
 * Property, checked by an assertion:
 *   proof <= changedAt || knows    a host that claims to have known the newest
 *                                  configuration after the change knows the change
 *
 * Time is a counter that may advance between any two steps, so every message can
 * take any time and each host can be suspended at any point. Hosts use only
 * differences of their own clocks, so one counter stands for all clocks.
 *
 * Each macro named NO_... removes one rule, and run.sh requires a counterexample
 * for it.
 */
#ifndef LAST_TICK
#define LAST_TICK 4
#endif
#ifndef ROUNDS
#define ROUNDS 2 /* questions of each host */
#endif

byte now = 0;
bool changed = false;
byte changedAt = 0;

/* What the watching host has read, and its proof. Both change in one step. */
bool watcherKnows = false;
byte watcherProof = 0;

proctype Clock() {
	do
	:: now < LAST_TICK -> now++
	:: break
	od
}

proctype Store() {
	atomic { changed = true; changedAt = now }
}

proctype Watcher() {
	byte round, sent;
	bool answer;
	for (round : 1 .. ROUNDS) {
		sent = now;
		answer = changed; /* the store answers */
		atomic {
			watcherKnows = watcherKnows || answer;
#ifdef NO_CALL_TIME
			watcherProof = now
#else
			watcherProof = sent /* edge/storewatch/watcher.go watch */
#endif
		}
	}
}

proctype Follower() {
	byte round, sent, asked, watcherProofRead, responded;
	int asOf;
	int proof = 0;
	bool knows = false, answer;
	for (round : 1 .. ROUNDS) {
		sent = now;
		asked = now; /* the watching host receives the question */
#ifdef NO_CONSISTENT_READ
		answer = watcherKnows;
		watcherProofRead = watcherProof;
#else
		atomic { answer = watcherKnows; watcherProofRead = watcherProof } /* edge/relay/log.go read */
#endif
		responded = now;
		/* The follower receives the time for which the question was held,
		 * responded - asked, and the age responded - watcherProofRead. */
		atomic {
#ifdef NO_QUESTION_TIME
			asOf = now - (responded - watcherProofRead);
#else
			asOf = sent + (responded - asked) - (responded - watcherProofRead); /* edge/relay/client.go changes */
#endif
			knows = knows || answer;
			if
			:: asOf > proof -> proof = asOf
			:: else
			fi;
			assert(!changed || proof <= changedAt || knows)
		}
	}
}

init {
	atomic { run Clock(); run Store(); run Watcher(); run Follower() }
}
