/*
 * Replicas that say in their answers that they leave (decision 9). One ID at one
 * address is used by two processes, one after the other. The first one says that it
 * leaves; its entry in the store is repeated, removed by an outage, and written again.
 *
 * Properties, checked by assertions:
 *   !told[target]           a host that has passed on that a process leaves sends
 *                           nothing new to it, until the host restarts
 *   usable || told[known]   a process that has said nothing can be used
 *
 * The host reads any version of the entry at any time, also older ones, as from a
 * late list or a followed host. Answers are lost, or arrive after the host has read
 * another entry or has restarted.
 *
 * Each macro removes one rule, and run.sh requires a counterexample for it.
 */
#define PROCESSES 2
#ifndef READS
#define READS 4
#endif
#ifndef SENDS
#define SENDS 3
#endif

byte running = 1;          /* the process at the address, or 0 */
bool leaving = false;      /* the running process says that it leaves */
byte entry = 1;            /* the process that the store's entry names, or 0 */
bool written[PROCESSES + 1]; /* versions of the entry that a list may show */

byte known = 0;            /* the process that the host's list names */
bool marked[PROCESSES + 1]; /* processes that the host holds for leaving */
bool told[PROCESSES + 1];  /* processes whose leaving the host has passed on */

/* Each entry is read by one of the host's lists, some time after it was written. */
proctype Platform() {
	leaving = true;
	if
	:: atomic { entry = 0; written[0] = true } /* the lease expires in an outage */
	:: skip
	fi;
	if
	:: entry = 1 /* the entry returns, or is repeated, still without a word of leaving */
	:: skip
	fi;
	atomic { running = 0; leaving = false };
	atomic { running = 2; entry = 2; written[2] = true }
}

inline read() {
	if
	:: written[0] -> known = 0
	:: written[1] -> known = 1
	:: written[2] -> known = 2
	fi;
#ifdef FORGET_WITH_ENTRY
	if
	:: known == 0 -> marked[1] = false; marked[2] = false
	:: else
	fi;
#endif
#ifdef TRUST_ENTRY
	marked[known] = false;
#endif
}

#ifdef BY_ID
#define isMarked(p) (marked[1] || marked[2])
#else
#define isMarked(p) (marked[p]) /* coord/directory/directory.go isLeaving */
#endif

/* send places a request at the known process. Another process at the address
 * answers 421, which tells nothing. */
inline send() {
	target = known;
	if
	:: target != 0 && !isMarked(target) ->
		assert(!told[target]);
		if
		:: running == target && leaving ->
			if
			:: atomic {
#ifndef NO_MARK
				marked[target] = true; /* edge/caller/response.go handleResponse */
#endif
				told[target] = true
			   }
			:: skip /* the answer is lost */
			fi
		:: else
		fi
	:: target != 0 && isMarked(target) ->
		assert(told[target])
	:: else
	fi
}

proctype Host() {
	byte reads = 0, sends = 0, target;
	bool restarted = false;
	do
	:: reads < READS -> atomic { reads++; read() }
	:: sends < SENDS -> atomic { sends++; send() }
	:: !restarted -> atomic {
		restarted = true;
		known = 0;
		marked[1] = false; marked[2] = false;
		told[1] = false; told[2] = false
	   }
	:: reads == READS && sends == SENDS -> break
	od
}

init {
	atomic {
		written[1] = true;
		run Platform();
		run Host()
	}
}
