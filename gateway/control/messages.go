package control

import (
	"siskinstand.example/adapters/hostlist"
	"siskinstand.example/coord/membership"
	"siskinstand.example/gateway/sidecar"
)

// message is implemented by the types sent to the control goroutine.
type message interface{ isMessage() }

// hostsChanged contains an update of the host list.
type hostsChanged struct{ update hostlist.Update }

// configChanged is sent when the source may have a new configuration.
type configChanged struct{}

// reportReceived contains the state that a sidecar reported on its control
// stream.
type reportReceived struct {
	endpoint    *sidecar.Endpoint
	incarnation uint64
	state       membership.State
}

// endpointResponded is sent when an endpoint has responded to a request.
type endpointResponded struct{ endpoint *sidecar.Endpoint }

// endpointUnreachable is sent when a dial failed or a connection broke.
type endpointUnreachable struct{ endpoint *sidecar.Endpoint }

// streamEnded is sent when a control stream has ended.
type streamEnded struct {
	endpoint *sidecar.Endpoint
	err      error
}

func (hostsChanged) isMessage()        {}
func (configChanged) isMessage()       {}
func (reportReceived) isMessage()      {}
func (endpointResponded) isMessage()   {}
func (endpointUnreachable) isMessage() {}
func (streamEnded) isMessage()         {}
