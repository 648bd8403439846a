package control

import (
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/directory"
	"siskinstand.example/coord/placement"
	"siskinstand.example/platform"
)

// apply takes over what the store answered.
func (l *Loop) apply(now time.Duration, m changes) {
	if l.View().StoreLost {
		klog.InfoS("store answers again", "lost_ms", (now - l.lastLoss).Milliseconds())
	}
	if m.full {
		l.replace(now, m.list)
	}
	for _, c := range m.list {
		l.change(now, c)
	}
	l.update(func(v *View) {
		v.StoreLost = false
		if m.proof {
			v.Proof = v.Proof.Update(m.asOf)
		}
		v.Replicas = l.directory.Len()
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

// replace drops what a complete list no longer names.
func (l *Loop) replace(now time.Duration, list []platform.Change) {
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
	l.directory.RetainOnly(now, replicas)
	for _, z := range l.directory.EvacuatedZones() {
		if !zones[z] {
			l.directory.SetEvacuated(z, false)
		}
	}
	for name := range l.peers {
		if !peers[name] {
			l.dropPeer(name)
		}
	}
}

func (l *Loop) change(now time.Duration, c platform.Change) {
	switch c.Kind {
	case platform.ChangeConfig:
		l.configure(c)
	case platform.ChangeEvacuation:
		klog.V(1).InfoS("evacuation", "zone", c.Name, "evacuated", !c.Deleted, "store_revision", c.Revision)
		l.directory.SetEvacuated(c.Name, !c.Deleted)
	case platform.ChangeReplica:
		l.changeReplica(now, c)
	case platform.ChangePeer:
		if c.Deleted {
			l.dropPeer(c.Name)
			return
		}
		if c.Name != l.config.Name {
			klog.V(1).InfoS("peer", "peer", c.Name, "address", c.Peer.Address)
			l.peers[c.Name] = c.Peer
			l.whole = 0 // the new host needs all rows
			l.changed(soon)
		}
	}
}

func (l *Loop) configure(c platform.Change) {
	if c.Deleted || c.Config == nil {
		return
	}
	old := l.View().Catalog
	if old != nil && c.Config.Version() < old.Version() {
		klog.ErrorS(nil, "configuration is older than the one in force", "version", c.Config.Version(), "in_force", old.Version())
		return
	}
	routes, services, accounts := c.Config.Counts()
	klog.V(1).InfoS("configuration in force", "version", c.Config.Version(), "store_revision", c.Revision, "routes", routes, "services", services, "accounts", accounts)
	l.models = map[string]placement.Model{}
	for _, s := range c.Config.Services() {
		if s.Engine != nil {
			l.models[s.Name] = placement.NewModel(*s.Engine)
		}
	}
	l.update(func(v *View) { v.Catalog = c.Config })
}

func (l *Loop) changeReplica(now time.Duration, c platform.Change) {
	if c.Deleted {
		l.directory.Remove(now, c.Name)
		l.ledger.RemoveReplica(c.Name)
		klog.V(1).InfoS("replica gone", "replica", c.Name, "store_revision", c.Revision)
		return
	}
	r := c.Replica
	entry := directory.Replica{ID: r.ID, Service: r.Service, Address: r.Address, Zone: r.Zone, Slots: r.Slots, Draining: r.Draining, StartUnixMs: r.Born}
	if r.ColdFor > 0 {
		entry.ColdUntil = now + r.ColdFor
	}
	if l.directory.Put(entry) {
		l.health.Reset(r.ID)
		l.ledger.RemoveReplica(r.ID)
	}
	klog.V(1).InfoS("replica", "replica", r.ID, "service", r.Service, "zone", r.Zone, "draining", r.Draining, "cold_ms", r.ColdFor.Milliseconds(), "store_revision", c.Revision)
}

func (l *Loop) dropPeer(name string) {
	if _, ok := l.peers[name]; !ok {
		return
	}
	klog.V(1).InfoS("peer gone", "peer", name)
	delete(l.peers, name)
	l.ledger.RemovePeer(name)
}

// lose records that the store does not answer.
func (l *Loop) lose(now time.Duration, err error) {
	l.directory.RecordOutage(now)
	if l.View().StoreLost {
		return
	}
	l.lastLoss = now
	age, _ := l.View().Proof.Age(now)
	klog.InfoS("store lost", "err", err, "proof_age_ms", age.Milliseconds())
	l.update(func(v *View) { v.StoreLost = true })
}
