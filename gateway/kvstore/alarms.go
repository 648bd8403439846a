// Package kvstore is the gateway's side of the platform's key-value store: the
// zone's configuration reader and the claim log.
package kvstore

import (
	"slices"
	"strings"
	"sync"

	"k8s.io/klog/v2"
)

// AlarmName names a condition that an operator has to look at.
type AlarmName string

// The alarms.
const (
	// AlarmStoreOlder: the store holds an older revision than the one in force.
	AlarmStoreOlder AlarmName = "config_store_older"
	// AlarmUnreadable: this build cannot read the store's or a peer's revision.
	AlarmConfigUnreadable AlarmName = "config_unreadable"
	// AlarmStoreDown: the zone's reader gets no answer from the store.
	AlarmStoreDown AlarmName = "store_down"
	// AlarmIdentity: the host list and the settings name this gateway
	// differently, or another process has its identifier.
	AlarmGatewayIdentity AlarmName = "gateway_identity"
)

// Alarm is a raised alarm. Count is the number of times it was raised.
type Alarm struct {
	Name    AlarmName
	Message string
	Count   int64
}

// Alarms holds the raised alarms of a process. It is safe for concurrent use.
type Alarms struct {
	mu     sync.Mutex
	raised map[AlarmName]Alarm
}

// Raise raises an alarm and logs it when it is new or its message changes.
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

// Clear ends an alarm.
func (a *Alarms) Clear(name AlarmName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.raised[name]; ok {
		delete(a.raised, name)
		klog.InfoS("alarm cleared", "alarm", name)
	}
}

// List returns the raised alarms by name.
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
