package replica

import (
	"errors"
	"io"
	"net"

	"siskinstand.example/coord/responsehead"
)

// Fault says why the bytes of a replica are no acceptable response.
type Fault string

// The faults. FaultNone is that of a connection that failed without one, and of no error.
const (
	FaultNone Fault = ""
	// FaultHead is a head that breaks the rules of HTTP/1.
	FaultHead Fault = "head"
	// FaultBody is a body that breaks them, such as chunks without a size.
	FaultBody Fault = "body"
	// FaultCut is a response that ended early.
	FaultCut Fault = "cut"
	// FaultEndless is a head or body beyond a limit.
	FaultEndless Fault = "endless"
	// FaultOtherRequest is a response to another request.
	FaultOtherRequest Fault = "other_request"
	// FaultNotOwn is a success without the replica's stamp, or with a body that is encoded or does
	// not continue the stream.
	FaultNotOwn Fault = "not_own"
)

var faultsByError = map[error]Fault{
	responsehead.ErrMalformed: FaultHead,
	errHeadTooLong:            FaultEndless,
	errChunkOverhead:          FaultEndless,
	errLongDiscard:            FaultEndless,
	errUnmatchedResponse:      FaultOtherRequest,
	errConflictingIDs:         FaultOtherRequest,
	errAnonymousResponse:      FaultOtherRequest,
	io.ErrUnexpectedEOF:       FaultCut,
}

// FaultOf returns the fault of a response, by the error of Do or Read.
func FaultOf(err error) Fault {
	for target, fault := range faultsByError {
		if errors.Is(err, target) {
			return fault
		}
	}
	var opError *net.OpError
	if err == nil || errors.Is(err, io.EOF) || errors.As(err, &opError) {
		return FaultNone
	}
	return FaultBody
}
