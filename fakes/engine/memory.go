package engine

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	engineapi "siskinstand.example/adapters/engine"
)

// blockBytes is the size of a cache block, in bytes of the prompt. A block has
// 256 tokens.
const blockBytes = 256 * promptBytesPerToken

// blockTokens is the size of a cache block in tokens.
const blockTokens = blockBytes / promptBytesPerToken

// cachedPrefix holds the blocks that one prompt added to the prefix cache. They
// may continue the blocks of another cachedPrefix.
type cachedPrefix struct {
	id       string
	owner    string
	blocks   []uint64
	lastUsed time.Time
}

func (p *cachedPrefix) tokens() int64 { return int64(len(p.blocks)) * blockTokens }

type hold struct {
	tokens  int64
	expires time.Time
}

// memory accounts for the engine's memory in tokens. Cached prefixes are evicted
// whenever the memory is needed for something else.
type memory struct {
	totalTokens   int64
	runningTokens int64
	nextID        int
	blocks        map[uint64]*cachedPrefix
	prefixes      map[string]*cachedPrefix
	holds         map[string]hold
	// transfers holds exports and imports by ID, including the exports that
	// simulate leaks.
	transfers map[string]engineapi.Allocation
}

func newMemory(total int64) *memory {
	return &memory{
		totalTokens: total, blocks: map[uint64]*cachedPrefix{}, prefixes: map[string]*cachedPrefix{},
		holds: map[string]hold{}, transfers: map[string]engineapi.Allocation{},
	}
}

// unevictableTokens returns the memory used by running requests, holds and
// transfers. It removes expired holds.
func (m *memory) unevictableTokens(now time.Time) int64 {
	sum := m.runningTokens
	for id, h := range m.holds {
		if !now.Before(h.expires) {
			delete(m.holds, id)
			continue
		}
		sum += h.tokens
	}
	for _, a := range m.transfers {
		sum += a.Tokens
	}
	return sum
}

func (m *memory) cachedTokens() int64 { return int64(len(m.blocks)) * blockTokens }

// reserve allocates tokens to a running request and evicts the least recently
// used prefixes if needed. It reports false if there is not enough memory.
func (m *memory) reserve(tokens int64, now time.Time) bool {
	unevictable := m.unevictableTokens(now)
	if unevictable+tokens > m.totalTokens {
		return false
	}
	m.evictDownTo(m.totalTokens - unevictable - tokens)
	m.runningTokens += tokens
	return true
}

// evictDownTo evicts the least recently used prefixes until at most limit tokens
// are cached.
func (m *memory) evictDownTo(limit int64) {
	for m.cachedTokens() > limit {
		var oldest *cachedPrefix
		for _, p := range m.prefixes {
			if oldest == nil || p.lastUsed.Before(oldest.lastUsed) {
				oldest = p
			}
		}
		m.removePrefix(oldest)
	}
}

func (m *memory) removePrefix(p *cachedPrefix) {
	for _, b := range p.blocks {
		delete(m.blocks, b)
	}
	delete(m.prefixes, p.id)
}

// setHold adds or renews a hold. It reports false if there is not enough memory.
func (m *memory) setHold(id string, tokens int64, timeToLive time.Duration, now time.Time) bool {
	free := m.totalTokens - m.unevictableTokens(now) + m.holds[id].tokens
	if tokens > free {
		return false
	}
	m.evictDownTo(free - tokens)
	m.holds[id] = hold{tokens: tokens, expires: now.Add(timeToLive)}
	return true
}

// cachedPrefixTokens returns the number of leading tokens of a prompt that are
// cached, and marks their blocks as used.
func (m *memory) cachedPrefixTokens(blocks []uint64, now time.Time) int64 {
	var found int64
	for _, b := range blocks {
		p, ok := m.blocks[b]
		if !ok {
			break
		}
		p.lastUsed = now
		found++
	}
	return found * blockTokens
}

// cachePrompt caches the blocks of a completed prompt that are not cached yet,
// unless they need more memory than is free or evictable.
func (m *memory) cachePrompt(owner string, blocks []uint64, now time.Time) {
	free := m.totalTokens - m.unevictableTokens(now)
	p := &cachedPrefix{id: fmt.Sprintf("prefix-%d", m.nextID), owner: owner, lastUsed: now}
	for _, b := range blocks {
		if _, ok := m.blocks[b]; !ok {
			p.blocks = append(p.blocks, b)
		}
	}
	if len(p.blocks) == 0 || p.tokens() > free {
		return
	}
	m.evictDownTo(free - p.tokens())
	m.nextID++
	m.prefixes[p.id] = p
	for _, b := range p.blocks {
		m.blocks[b] = p
	}
}

// addLeak simulates a leak as an export that nobody frees.
func (m *memory) addLeak(owner string, tokens int64) {
	id := fmt.Sprintf("leak-%d", m.nextID)
	m.nextID++
	m.transfers[id] = engineapi.Allocation{ID: id, Kind: engineapi.AllocationExport, Owner: owner, Tokens: tokens}
}

// addTransfer adds or replaces an export or import. It reports false if there is
// not enough memory.
func (m *memory) addTransfer(a engineapi.Allocation, now time.Time) bool {
	free := m.totalTokens - m.unevictableTokens(now) + m.transfers[a.ID].Tokens
	if a.Tokens > free {
		return false
	}
	m.evictDownTo(free - a.Tokens)
	m.transfers[a.ID] = a
	return true
}

// free releases the prefix, hold or transfer with an ID.
func (m *memory) free(id string) {
	if p, ok := m.prefixes[id]; ok {
		m.removePrefix(p)
	}
	delete(m.holds, id)
	delete(m.transfers, id)
}

// allocations returns the cached prefixes, holds and transfers.
func (m *memory) allocations() []engineapi.Allocation {
	var list []engineapi.Allocation
	for _, p := range m.prefixes {
		list = append(list, engineapi.Allocation{ID: p.id, Kind: engineapi.AllocationPrefix, Owner: p.owner, Tokens: p.tokens()})
	}
	for id, h := range m.holds {
		list = append(list, engineapi.Allocation{ID: id, Kind: engineapi.AllocationHold, Owner: id, Tokens: h.tokens})
	}
	for _, a := range m.transfers {
		list = append(list, a)
	}
	return list
}

// blockHashes returns, for each complete block of the prompt, the hash of the
// prompt up to the end of that block.
func blockHashes(prompt string) []uint64 {
	digest := xxhash.New()
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = digest.WriteString(prompt[end-blockBytes : end])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
