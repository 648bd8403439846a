package control

import (
	"maps"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/directory"
	"siskinstand.example/coord/placement"
	"siskinstand.example/platform"
)

// applyStoreUpdate applies a response of the store to the control state.
func (l *Loop) applyStoreUpdate(now time.Duration, m storeUpdate) {
	if l.View().StoreUnavailable {
		klog.InfoS("store available again", "lost_ms", (now - l.storeUnavailableSince).Milliseconds())
	}
	lastSeen := l.lastProof(now)
	if m.full {
		l.removeMissing(now, lastSeen, m.list)
	}
	for _, c := range m.list {
		l.applyChange(now, lastSeen, c)
	}
	l.forgetRemovedReplicas(now)
	l.retainConnections(now)
	l.updateReplicaGauges(now)
	l.updateForwarding()
	l.updateView(func(v *View) {
		v.StoreUnavailable = false
		v.Proof = v.Proof.Update(m.asOf)
		v.ReplicaCount = l.directory.Len()
	})
	if l.View().Catalog == nil {
		return
	}
	select {
	case <-l.configured:
	default:
		close(l.configured)
	}
}

// lastProof returns the time at which the control state was last known to be the newest.
func (l *Loop) lastProof(now time.Duration) time.Duration {
	age, ok := l.View().Proof.Age(now)
	if !ok {
		return now
	}
	return now - age
}

// removeMissing removes replicas, evacuations, refused parts and peers that are missing from a
// complete list. They existed at lastSeen. After a store outage, the directory keeps the
// replicas for a while.
func (l *Loop) removeMissing(now, lastSeen time.Duration, list []platform.Change) {
	replicas, zones, peers := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, c := range list {
		switch c.Kind {
		case platform.ChangeReplica:
			replicas[c.Name] = true
		case platform.ChangeEvacuation:
			zones[c.Name] = true
		case platform.ChangePeer:
			peers[c.Name] = true
		}
	}
	l.removeMissingParts(now, list)
	l.directory.RetainOnly(now, lastSeen, replicas)
	for _, z := range l.directory.EvacuatedZones() {
		if !zones[z] {
			l.directory.SetEvacuated(z, false)
		}
	}
	for name := range l.peers {
		if !peers[name] {
			l.removePeer(name)
		}
	}
}

// forgetRemovedReplicas deletes the state of replicas that are no longer in the directory.
func (l *Loop) forgetRemovedReplicas(now time.Duration) {
	version := l.directory.Version(now)
	if version == l.retainedVersion {
		return
	}
	l.retainedVersion = version
	known, shortIDs, zones := map[string]bool{}, map[uint32]bool{}, map[string]bool{}
	for r := range l.directory.All(now) {
		known[r.ID], shortIDs[placement.ShortID(r.ID)], zones[r.Zone] = true, true, true
	}
	l.health.Retain(known)
	l.ledger.RetainReplicas(shortIDs)
	if l.config.Speeds != nil {
		l.config.Speeds.Retain(shortIDs, len(zones))
	}
	maps.DeleteFunc(l.coldPlacements, func(id string, _ []time.Duration) bool { return !known[id] })
}

// retainConnections makes this host close idle connections to replicas that get no new requests.
func (l *Loop) retainConnections(now time.Duration) {
	if l.config.ConnectionLimits == nil {
		return
	}
	version := l.directory.Version(now)
	if version == l.connectionsVersion {
		return
	}
	l.connectionsVersion = version
	l.config.ConnectionLimits.RetainIdle(l.directory.Addresses(now))
}

// updateReplicaGauges sets the gauges of replicas that have said that they leave or that have
// asked for a pause. The end of a pause shows with the next response of the store.
func (l *Loop) updateReplicaGauges(now time.Duration) {
	if l.config.Scope == nil {
		return
	}
	leaving, paused := l.directory.CountWithdrawn(now)
	l.config.Scope.Gauge("leaving_replicas").Update(float64(leaving))
	l.config.Scope.Gauge("paused_replicas").Update(float64(paused))
}

func (l *Loop) applyChange(now, lastSeen time.Duration, c platform.Change) {
	switch c.Kind {
	case platform.ChangeConfig:
		l.applyConfig(c)
	case platform.ChangeEvacuation:
		klog.V(1).InfoS("zone evacuation changed", "zone", c.Name, "evacuated", !c.Deleted, "store_revision", c.Revision)
		l.directory.SetEvacuated(c.Name, !c.Deleted)
	case platform.ChangeReplica:
		l.applyReplica(now, lastSeen, c)
	case platform.ChangeCrashPart:
		l.applyCrashPart(now, c)
	case platform.ChangeCrashRequest:
		l.applyCrashRequest(now, c)
	case platform.ChangePeer:
		if c.Deleted {
			l.removePeer(c.Name)
			return
		}
		if c.Name != l.config.Name {
			klog.V(1).InfoS("peer added or changed", "peer", c.Name, "address", c.Peer.Address)
			if old, ok := l.peers[c.Name]; !ok || old != c.Peer {
				if ok && old.Incarnation != c.Peer.Incarnation {
					l.removeHostFromSections(c.Name) // restarted
				}
				l.peers[c.Name] = c.Peer
				l.forwarding.isOutdated = true
				delete(l.lastSequences, c.Name)
			}
			l.lastFullReport = 0 // the new host needs a full report
			l.scheduleReport(reportSoon)
		}
	}
}

func (l *Loop) applyConfig(c platform.Change) {
	if c.Deleted || c.Config == nil {
		return
	}
	old := l.View().Catalog
	if old != nil && c.Config.Version() < old.Version() {
		klog.ErrorS(nil, "ignoring a configuration older than the one in force", "version", c.Config.Version(), "in_force", old.Version())
		return
	}
	routes, services, accounts := c.Config.Counts()
	klog.V(1).InfoS("configuration in force", "version", c.Config.Version(), "store_revision", c.Revision, "routes", routes, "services", services, "accounts", accounts)
	l.ranked.services = nil // it holds the delays of the old configuration
	l.models = map[string]placement.Model{}
	for _, s := range c.Config.Services() {
		if s.Engine != nil {
			l.models[s.Name] = placement.NewModel(*s.Engine)
		}
	}
	l.updateView(func(v *View) { v.Catalog = c.Config })
}

func (l *Loop) applyReplica(now, lastSeen time.Duration, c platform.Change) {
	if c.Deleted {
		keep := l.directory.Remove(now, lastSeen, c.Name)
		l.ledger.RemoveReplica(c.Name)
		klog.V(1).InfoS("replica entry deleted", "replica", c.Name, "store_revision", c.Revision, "proof_age_ms", (now - lastSeen).Milliseconds(), "kept_ms", keep.Milliseconds())
		return
	}
	r := c.Replica
	entry := directory.Replica{ID: r.ID, Service: r.Service, Address: r.Address, Zone: r.Zone, Slots: r.Slots, Draining: r.Draining, StartUnixMs: r.StartUnixMs}
	if r.ColdTimeLeft > 0 {
		entry.ColdUntil = now + r.ColdTimeLeft
	}
	l.resetSpeed(now, entry)
	if l.directory.Put(entry) {
		l.health.Reset(r.ID)
		l.ledger.RemoveReplica(r.ID)
	}
	klog.V(1).InfoS("replica added or changed", "replica", r.ID, "service", r.Service, "zone", r.Zone, "draining", r.Draining, "cold_ms", r.ColdTimeLeft.Milliseconds(), "store_revision", c.Revision)
}

func (l *Loop) removePeer(name string) {
	if _, ok := l.peers[name]; !ok {
		return
	}
	klog.V(1).InfoS("peer removed", "peer", name)
	delete(l.peers, name)
	delete(l.lastSequences, name)
	l.forwarding.isOutdated = true
	l.ledger.RemovePeer(name)
	l.removeHostFromSections(name)
}

// markStoreUnavailable records that a read or watch of the store failed, at this host or at
// the one that it follows.
func (l *Loop) markStoreUnavailable(now time.Duration, err error) {
	l.directory.RecordOutage(now)
	if l.View().StoreUnavailable {
		return
	}
	l.storeUnavailableSince = now
	age, _ := l.View().Proof.Age(now)
	klog.InfoS("store unavailable", "err", err, "proof_age_ms", age.Milliseconds())
	l.updateView(func(v *View) { v.StoreUnavailable = true })
}
