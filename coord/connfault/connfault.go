// Package connfault decides what the failure of one connection to a replica says about the
// replica and about the other connections to it.
//
// A failed connection alone tells little. A refusal comes from the kernel of a machine whose
// process has ended, or from one whose process accepts a limited number of connections. An
// opening without an answer is a full accept queue, a frozen process, a frozen machine or a
// lost link. The signs from the other connections of this host distinguish these cases:
//
//	failure     sign of life   in progress                     idle    new requests here          other hosts
//	refused     open or heard  go on                           kept    at the limit               not told
//	refused     none           ended by the replica's kernel   closed  none until a probe succeeds  told
//	unanswered  heard          go on                           kept    at the limit               not told
//	unanswered  none           go on; move if they can         closed  none until a probe succeeds  told
//	no_route    heard          go on                           kept    at the limit               not told
//	no_route    none           go on; move after ListenTime    closed  none until a probe succeeds  told
//	reset       open or heard  go on                           kept    at the limit               not told
//	reset       none           go on                           kept    the response was broken    not told
//	local       any            go on                           kept    unchanged                  not told
//	late        heard          go on                           kept    at the limit               not told
//	late        none           go on; move after ListenTime    closed  none until a probe succeeds  told
//	cancelled   any            go on                           kept    unchanged                  not told
//
// A request in progress never ends because another connection failed. It ends by what happens
// on its own connection: bytes, a close or reset, or a timeout of TCP. The only exception is a
// request that may run again and for which another replica and a connection to it are ready.
//
// An open connection is a sign of life after a refusal or reset, since a process that ends
// closes its connections. It is none if the opening got no answer: connections to a machine
// that is cut off stay open.
//
// An opening without an answer takes its timeout, in which a working replica is heard. An error
// such as "no route to host" comes at once, so what was heard shortly before it counts, and
// nothing is moved until nothing was heard for as long after it. The same holds for a timeout that
// was noticed late: this host was held up, and may not have read what has arrived.
package connfault

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"syscall"
)

// Failure is how a connection to a replica failed.
type Failure string

// Failures.
const (
	// Refused means that the replica's host rejected the opening.
	Refused Failure = "refused"
	// Unanswered means that the opening got no answer within the connect timeout.
	Unanswered Failure = "unanswered"
	// NoRoute means that this host's system or a router reported at once that the replica can't be
	// reached, or gave another error that says nothing certain about the replica.
	NoRoute Failure = "no_route"
	// Late means that the timeout of an opening was noticed so late that this host must have been
	// held up.
	Late Failure = "late"
	// Reset means that a new connection ended before any byte of a response.
	Reset Failure = "reset"
	// Local means that this host lacks the resources for a connection.
	Local Failure = "local"
	// Cancelled means that the request or probe ended first.
	Cancelled Failure = "cancelled"
	// Other is the failure of something else than a connection.
	Other Failure = "other"
)

// localErrors are errors of an opening that are caused by a shortage on this host.
var localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

var failuresByError = map[Failure][]error{
	Local:      localErrors,
	Refused:    {syscall.ECONNREFUSED},
	Reset:      {syscall.ECONNRESET, syscall.ECONNABORTED, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF},
	NoRoute:    {syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.ENETDOWN, syscall.EPERM, syscall.EACCES},
	Unanswered: {syscall.ETIMEDOUT, os.ErrDeadlineExceeded, context.DeadlineExceeded},
}

// FailureOf returns the failure that an error of a connection means, or Other.
func FailureOf(err error) Failure {
	for f, list := range failuresByError {
		if slices.ContainsFunc(list, func(e error) bool { return errors.Is(err, e) }) {
			return f
		}
	}
	return Other
}

// Signs are the signs of life of a replica on the other connections of this host to it.
type Signs struct {
	// Open is set if a connection that was open before the failed one is still open.
	Open bool
	// Heard is set if bytes have arrived on one since the failed one was begun.
	Heard bool
}

// State is what is known about a replica after a failure.
type State string

// States.
const (
	// Unknown means that the failure says nothing about the replica.
	Unknown State = "unknown"
	// AtLimit means that the replica works but accepts no further connections at present.
	AtLimit State = "at_limit"
	// Unreachable means that the replica cannot be reached until a probe succeeds.
	Unreachable State = "unreachable"
)

// Effect is what follows from a failure.
type Effect struct {
	// State decides about new requests of this host. Other hosts are told of Unreachable.
	State State
	// CloseIdle closes the idle connections to the replica.
	CloseIdle bool
	// MoveSilent offers the requests in progress that have received nothing since the failed
	// connection was begun to move to another replica.
	MoveSilent bool
	// Listen delays CloseIdle and MoveSilent. They are cancelled if anything arrives meanwhile.
	Listen bool
}

// Judge returns the effect of a failure, as in the table of the package. Other counts as NoRoute.
func Judge(f Failure, s Signs) Effect {
	isAlive := s.Heard || s.Open && (f == Refused || f == Reset)
	switch {
	case f == Local || f == Cancelled:
		return Effect{State: Unknown}
	case isAlive:
		return Effect{State: AtLimit}
	case f == Reset:
		return Effect{State: Unknown}
	}
	return Effect{State: Unreachable, CloseIdle: true, MoveSilent: f != Refused, Listen: LeavesNoTime(f)}
}

// LeavesNoTime reports whether a failure leaves this host no time to hear the replica.
func LeavesNoTime(f Failure) bool { return f == NoRoute || f == Late || f == Other }

// Error is the failure of a connection with its effect.
type Error struct {
	Failure Failure
	Signs   Signs
	Effect  Effect
	Err     error
}

// NewError returns the error of a failure whose effect is that of Judge.
func NewError(f Failure, s Signs, err error) *Error {
	return &Error{Failure: f, Signs: s, Effect: Judge(f, s), Err: err}
}

// Error formats the failure, the state of the replica and the underlying error.
func (e *Error) Error() string {
	return fmt.Sprintf("connection %s (replica %s): %v", e.Failure, e.Effect.State, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// ReplicaState returns the state of the replica.
func (e *Error) ReplicaState() State { return e.Effect.State }

// MayBeTurnedAway reports whether an error may mean that a replica has no room for a further
// connection. A host without another connection can't tell that from the end of the replica. No
// answer counts only where connections are scarce: elsewhere, the network is the likelier cause.
func MayBeTurnedAway(err error, isScarce bool) bool {
	var e *Error
	if !errors.As(err, &e) {
		return err != nil && StateOf(err) == AtLimit
	}
	return e.Failure == Refused || e.Failure == Reset || e.Failure == Unanswered && isScarce || e.Effect.State == AtLimit
}

// StateOf returns the ReplicaState of the first error in err's tree that has one, and Unreachable
// if there is none.
func StateOf(err error) State {
	var e interface{ ReplicaState() State }
	if errors.As(err, &e) {
		return e.ReplicaState()
	}
	return Unreachable
}
