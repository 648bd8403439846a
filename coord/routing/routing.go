// Package routing chooses the candidate endpoints of a request. Every gateway
// computes the same candidates from the same pool, whatever it knows about
// load.
package routing

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// None is the index of a missing candidate.
const None = -1

// View is an immutable snapshot of one pool's endpoints.
type View struct {
	names  []string
	usable []bool
	// usableHashes holds only the usable endpoints, to keep Pick's loop short.
	usableHashes []hashedEndpoint
}

type hashedEndpoint struct {
	hash  uint64
	index int
}

// Member is one endpoint of a pool.
type Member struct {
	Name string
	// Usable is false if the endpoint is excluded. A view for new requests
	// excludes it by the state of its zone, host, connection or engine.
	Usable bool
}

// NewView returns a view whose indices follow the order of members.
func NewView(members []Member) *View {
	v := &View{names: make([]string, len(members)), usable: make([]bool, len(members))}
	for i, m := range members {
		v.names[i], v.usable[i] = m.Name, m.Usable
		if m.Usable {
			v.usableHashes = append(v.usableHashes, hashedEndpoint{hash: HashName(m.Name), index: i})
		}
	}
	return v
}

// Len returns the number of endpoints, usable or not.
func (v *View) Len() int { return len(v.names) }

// Name returns the name of the endpoint with the given index.
func (v *View) Name(i int) string { return v.names[i] }

// Usable reports whether the endpoint may be picked.
func (v *View) Usable(i int) bool { return v.usable[i] }

// Keys are the hashes of a request that determine its candidates.
type Keys struct {
	// Prefix is the hash of account, model and the start of the prompt.
	Prefix uint64
	// Fingerprint is the hash of account, model and the whole body.
	Fingerprint uint64
}

// longBodyBytes is the body size above which a prompt counts as long, about
// 65,000 tokens. It is in bytes because gateways learn different token ratios
// and must still compute the same candidates.
const longBodyBytes = 256 << 10

// NewKeys returns the keys of a request. A long prompt gains little from a
// cached prefix, so both of its candidates depend on the fingerprint; the
// prefix key would concentrate an account's long prompts on a few endpoints.
func NewKeys(prefix, fingerprint uint64, bodyBytes int64) Keys {
	if bodyBytes > longBodyBytes {
		prefix = fingerprint
	}
	return Keys{Prefix: prefix, Fingerprint: fingerprint}
}

// Candidates holds the indices of a request's two candidate endpoints, or None.
type Candidates struct {
	Prefix      int
	Fingerprint int
}

// Pick returns the rendezvous winners of both keys among the usable endpoints.
// If both keys have the same winner, the fingerprint's candidate is its
// second-ranked endpoint. Endpoints named in skip, a short list of those that have
// already failed for the request or crashed while they ran it, are ignored.
func (v *View) Pick(k Keys, skip []string) Candidates {
	prefix, first, second := None, None, None
	var prefixScore, firstScore, secondScore uint64
	prefixScorer, fingerprintScorer := newScorer(k.Prefix), newScorer(k.Fingerprint)
	for _, e := range v.usableHashes {
		if len(skip) > 0 && slices.Contains(skip, v.names[e.index]) {
			continue
		}
		if s := prefixScorer.score(e.hash); s >= prefixScore {
			prefix, prefixScore = e.index, s
		}
		s := fingerprintScorer.score(e.hash)
		if s < secondScore {
			continue
		}
		if s >= firstScore {
			second, secondScore = first, firstScore
			first, firstScore = e.index, s
		} else {
			second, secondScore = e.index, s
		}
	}
	if first == prefix {
		first = second
	}
	return Candidates{Prefix: prefix, Fingerprint: first}
}

// scorer computes rendezvous scores for one key. A wide multiplication by a
// factor derived from the key is cheaper per endpoint than a full Mix.
type scorer struct{ key, factor uint64 }

func newScorer(key uint64) scorer { return scorer{key: Mix(key), factor: Mix(^key) | 1} }

func (s scorer) score(hash uint64) uint64 {
	high, low := bits.Mul64(hash^s.key, s.factor)
	return high ^ low
}

// Ranked returns the usable endpoints in rendezvous order of the key, without
// those named in skip. Its scores differ from those of Pick.
func (v *View) Ranked(key uint64, skip []string) []int {
	key = Mix(key)
	list := slices.Clone(v.usableHashes)
	if len(skip) > 0 {
		list = slices.DeleteFunc(list, func(e hashedEndpoint) bool { return slices.Contains(skip, v.names[e.index]) })
	}
	slices.SortFunc(list, func(a, b hashedEndpoint) int { return cmp.Compare(Mix(b.hash^key), Mix(a.hash^key)) })
	order := make([]int, len(list))
	for i, e := range list {
		order[i] = e.index
	}
	return order
}

// Load is the last known load of an endpoint.
type Load struct {
	QueuedTokens int64
	// UnreportedTokens were sent by this gateway since the last report.
	UnreportedTokens int64
	// TokensPerSecond is the prefill rate; 0 means unknown.
	TokensPerSecond int64
}

// Policy configures the order of the two candidates.
type Policy struct {
	// PrefixShare is the share of a prompt, from 0 to 1, expected in the prefix
	// cache of the prefix key's endpoint.
	PrefixShare float64
	// DefaultRate replaces an unknown prefill rate, in tokens per second.
	DefaultRate int64
	// IncludeOwnPrefill adds the prompt's own prefill to the wait, which makes
	// a difference between endpoints of different speed.
	IncludeOwnPrefill bool
}

// PredictWait estimates the time until an endpoint has processed its queue.
func (p Policy) PredictWait(l Load) time.Duration {
	return p.prefillTime(l.QueuedTokens+l.UnreportedTokens, l)
}

func (p Policy) prefillTime(tokens int64, l Load) time.Duration {
	rate := l.TokensPerSecond
	if rate <= 0 {
		rate = max(p.DefaultRate, 1)
	}
	return time.Duration(float64(max(tokens, 0)) / float64(rate) * float64(time.Second))
}

// maxPrefixTokens caps the expected prefix hit. The prefix key covers only the
// first 1,024 bytes, which says little about the rest of a very long prompt;
// without the cap such prompts would wait for one endpoint for seconds.
const maxPrefixTokens = 8_192

// Order returns the candidates sorted by predicted wait less the time that a
// cached prefix saves, shorter first. Ties are broken by the fingerprint, so
// that gateways with equal information do not all prefer the endpoint that last
// reported itself idle. If a candidate is missing, the prefix candidate is returned
// first, even if it is None.
func (p Policy) Order(c Candidates, k Keys, promptTokens int64, prefixLoad, fingerprintLoad Load) (first, second int) {
	if c.Fingerprint == None || c.Prefix == None {
		return c.Prefix, c.Fingerprint
	}
	benefit := p.prefillTime(min(int64(float64(promptTokens)*p.PrefixShare), maxPrefixTokens), prefixLoad)
	if k.Prefix == k.Fingerprint {
		benefit = 0
	}
	waitPrefix := p.PredictWait(prefixLoad) - benefit
	waitFingerprint := p.PredictWait(fingerprintLoad)
	if p.IncludeOwnPrefill {
		waitPrefix += p.prefillTime(promptTokens, prefixLoad)
		waitFingerprint += p.prefillTime(promptTokens, fingerprintLoad)
	}
	if waitPrefix < waitFingerprint || (waitPrefix == waitFingerprint && Mix(k.Fingerprint)&1 == 0) {
		return c.Prefix, c.Fingerprint
	}
	return c.Fingerprint, c.Prefix
}

// Subset returns the names of up to n endpoints to which a gateway keeps
// control streams. Rendezvous hashing by gateway spreads the streams evenly and
// moves few of them when endpoints join or leave.
func Subset(gateway string, endpoints []string, n int) []string {
	if len(endpoints) <= n {
		return endpoints
	}
	key := HashName(gateway)
	type scored struct {
		score uint64
		name  string
	}
	ranked := make([]scored, len(endpoints))
	for i, name := range endpoints {
		ranked[i] = scored{score: Mix(HashName(name) ^ key), name: name}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	subset := make([]string, n)
	for i := range subset {
		subset[i] = ranked[i].name
	}
	return subset
}

// HashName returns the FNV-1a hash of a name with a final mix, because the raw
// FNV values of names that differ in the last character are close together.
func HashName(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h ^= uint64(name[i])
		h *= 1099511628211
	}
	return Mix(h)
}

// Mix is one step of SplitMix64, a bijection in which every input bit affects
// every output bit.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
