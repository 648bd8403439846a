package storewatch

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/placement"
	"siskinstand.example/edge/relay"
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
)

// Following configures how hosts learn changes of the store from the watching hosts of their
// availability zone. The zero value means that each host watches the store itself.
type Following struct {
	// Log passes this host's own changes on to other hosts. It may be nil if Watchers is 0.
	Log    *relay.Log
	Client *relay.Client
	// Watchers is the number of hosts of each availability zone that watch the store; 0
	// means all.
	Watchers int
	// MaxProofAge is the age of a watching host's proof from which its followers no longer
	// rely on it.
	MaxProofAge time.Duration
}

// proofInterval is the longest time between two proofs of a host that others follow. The
// rest of MaxProofAge covers slow responses.
func (f Following) proofInterval() time.Duration { return f.MaxProofAge * 3 / 4 }

// avoidTime is how long a host that could not be followed is not asked again.
const avoidTime = 3 * time.Second

// follower chooses the host that this host follows. All hosts derive the same order of
// watching hosts from the list of hosts, so they need no election, and a host that is wrong
// about it only costs calls to the store.
type follower struct {
	log *relay.Log
	// avoided holds, by name, until when a host is not asked.
	avoided map[string]time.Duration
	// following is the name of the host that was followed last, or empty.
	following string
	// storeFailedAt is the last failure that a followed host has reported.
	storeFailedAt time.Duration
}

func newFollower(c Config) follower {
	f := follower{log: c.Following.Log, avoided: map[string]time.Duration{}}
	if f.log == nil {
		f.log = relay.NewLog()
	}
	return f
}

// followedHost is a host that can be asked for changes.
type followedHost struct{ name, address string }

// hostToFollow returns the watching host to ask, or false if this host has to watch the store
// itself: because it is one of its zone's watching hosts, or because none of them responds.
func (w *Watcher) hostToFollow(now time.Duration) (followedHost, bool) {
	host, ok := w.chooseHost(now)
	if host.name != w.following {
		if ok {
			klog.InfoS("following another host", "host", host.name, "address", host.address, "proof_age_ms", (now - w.proofAt).Milliseconds())
		} else {
			klog.InfoS("watching the store", "followed", w.following, "proof_age_ms", (now - w.proofAt).Milliseconds())
		}
		w.following = host.name
	}
	return host, ok
}

func (w *Watcher) chooseHost(now time.Duration) (followedHost, bool) {
	f := w.config.Following
	if f.Watchers <= 0 || w.config.Peer.Zone == "" || now-w.readAt < startupPeriod {
		return followedHost{}, false
	}
	watching := w.watchingHosts(f.Watchers)
	if slices.Contains(watching, w.config.Name) {
		return followedHost{}, false
	}
	// The hash spreads the followers over the watching hosts.
	first := int(placement.HashID(w.config.Name) % uint64(len(watching)))
	for i := range watching {
		name := watching[(first+i)%len(watching)]
		if now >= w.avoided[name] {
			return followedHost{name, w.hosts[name].Address}, true
		}
	}
	return followedHost{}, false
}

// isFollowed reports whether other hosts are expected to follow this host.
func (w *Watcher) isFollowed() bool {
	n := w.config.Following.Watchers
	if n <= 0 || w.config.Peer.Zone == "" {
		return false
	}
	watching := w.watchingHosts(n + 1)
	return len(watching) > n && slices.Contains(watching[:n], w.config.Name)
}

// watcherCount returns the number of hosts whose watches share the rate of the store: those
// that watch it for their zones, or all if this host is not one of them and yet has to watch.
func (w *Watcher) watcherCount() int {
	n := w.config.Following.Watchers
	if n <= 0 || w.config.Peer.Zone == "" || !slices.Contains(w.watchingHosts(n), w.config.Name) {
		return len(w.hosts)
	}
	zones := map[string]int{}
	count := 0
	for _, peer := range w.hosts {
		if zones[peer.Zone]++; peer.Zone == "" || zones[peer.Zone] <= n {
			count++
		}
	}
	return count
}

// watchingHosts returns the names of up to n hosts of this zone, those with the most
// processor time first.
func (w *Watcher) watchingHosts(n int) []string {
	names := []string{w.config.Name}
	for name, peer := range w.hosts {
		if peer.Zone == w.config.Peer.Zone && name != w.config.Name {
			names = append(names, name)
		}
	}
	cores := func(name string) float64 {
		if name == w.config.Name {
			return w.config.Peer.Cores
		}
		return w.hosts[name].Cores
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(cores(b), cores(a)), cmp.Compare(placement.HashID(a), placement.HashID(b)), cmp.Compare(a, b))
	})
	return names[:min(n, len(names))]
}

// follow asks a watching host once for changes after a revision, and returns the revision to
// continue from. If the host cannot be relied on, it is avoided for avoidTime.
func (w *Watcher) follow(ctx context.Context, host followedHost, after int64) int64 {
	w.log.SetWatching(false)
	maxAge := w.config.Following.MaxProofAge
	changes, err := w.askHost(ctx, host, after)
	if err == nil {
		err = w.applyFollowed(ctx, changes)
	}
	now := bootclock.Now()
	if err == nil && now-changes.ProofAt < maxAge {
		return max(after, changes.Revision)
	}
	if ctx.Err() != nil {
		return after
	}
	w.avoided[host.name] = now + avoidTime
	klog.InfoS("host no longer followed", "host", host.name, "proof_age_ms", (now - w.proofAt).Milliseconds(), "err", err)
	if err != nil {
		return after
	}
	return max(after, changes.Revision)
}

// askHost asks a watching host for changes after a revision. It waits until this host's own
// proof is MaxProofAge old, and for the response: a host that is suspended does not respond,
// and the time that two of them take must not add up.
func (w *Watcher) askHost(ctx context.Context, host followedHost, after int64) (relay.Changes, error) {
	f := w.config.Following
	wait := max(0, f.MaxProofAge-(bootclock.Now()-w.proofAt)) + f.Client.Timeout()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return f.Client.Watch(ctx, host.address, after, f.MaxProofAge)
}

// applyFollowed applies the response of a watching host.
func (w *Watcher) applyFollowed(ctx context.Context, c relay.Changes) error {
	isRecent := bootclock.Now()-c.StoreFailedAt < w.config.Following.MaxProofAge
	if isRecent && c.StoreFailedAt > w.storeFailedAt+failureTolerance {
		w.storeFailedAt = c.StoreFailedAt
		if err := w.config.Sink.RecordStoreFailure(ctx, errFollowedFailed); err != nil {
			return err
		}
	}
	if c.ProofAt <= w.proofAt && len(c.Items) == 0 {
		return nil
	}
	w.proofAt = max(w.proofAt, c.ProofAt)
	w.log.Append(c.Update)
	return w.config.Sink.ApplyChanges(ctx, w.decode(c.Items), c.ProofAt)
}

// failureTolerance is by how much the time of one failure may differ between responses,
// because of the time that they take.
const failureTolerance = 250 * time.Millisecond

var errFollowedFailed = errors.New("a call of the followed host to the store failed")

// updateHosts keeps hosts up to date with a change.
func (w *Watcher) updateHosts(c platform.Change) {
	if c.Kind != platform.ChangePeer {
		return
	}
	if c.Deleted {
		delete(w.hosts, c.Name)
		delete(w.avoided, c.Name)
		return
	}
	w.hosts[c.Name] = c.Peer
}
