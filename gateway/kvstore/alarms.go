// Package kvstore implements the gateway features that rely on the platform's
// key-value store: the configuration reader of an availability zone, the claim
// log and the weight-load budget.
package kvstore

import (
	"slices"
	"strings"
	"sync"

	"k8s.io/klog/v2"
)

// AlarmName identifies a condition that needs an operator's attention.
type AlarmName string

// Alarm names as reported in the gateway's status.
const (
	// AlarmStoreOlder means that the store holds an older configuration
	// revision than the one in force.
	AlarmStoreOlder AlarmName = "config_store_older"
	// AlarmConfigUnreadable means that this build cannot read the configuration
	// of the store or of a peer.
	AlarmConfigUnreadable AlarmName = "config_unreadable"
	// AlarmStoreDown means that the zone's configuration reader cannot renew its
	// lease in the store.
	AlarmStoreDown AlarmName = "store_down"
	// AlarmGatewayIdentity means that the host list and the settings have
	// different names for this gateway, or that another process uses its
	// identifier.
	AlarmGatewayIdentity AlarmName = "gateway_identity"
)

// Alarm is an active alarm. Count is the number of times it has been raised
// since it was last cleared.
type Alarm struct {
	Name    AlarmName
	Message string
	Count   int64
}

// Alarms holds the active alarms of a process. It is safe for concurrent use.
type Alarms struct {
	mu     sync.Mutex
	raised map[AlarmName]Alarm
}

// Raise activates an alarm, and logs it if it is new or its message has changed.
func (a *Alarms) Raise(name AlarmName, message string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.raised == nil {
		a.raised = map[AlarmName]Alarm{}
	}
	old := a.raised[name]
	a.raised[name] = Alarm{Name: name, Message: message, Count: old.Count + 1}
	if old.Message != message {
		klog.ErrorS(nil, "alarm raised", "alarm", name, "message", message)
	}
}

// Clear deactivates an alarm and logs the change if it was active.
func (a *Alarms) Clear(name AlarmName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.raised[name]; ok {
		delete(a.raised, name)
		klog.InfoS("alarm cleared", "alarm", name)
	}
}

// List returns the active alarms, sorted by name.
func (a *Alarms) List() []Alarm {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []Alarm
	for _, alarm := range a.raised {
		list = append(list, alarm)
	}
	slices.SortFunc(list, func(x, y Alarm) int { return strings.Compare(string(x.Name), string(y.Name)) })
	return list
}
