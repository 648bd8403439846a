package engine

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	engineapi "siskinstand.example/adapters/engine"
)

// blockBytes is the unit in which prompts are cached: 256 tokens.
const blockBytes = 256 * bytesPerToken

// blockTokens is the length of a cached block in tokens.
const blockTokens = blockBytes / bytesPerToken

// prefix is one cached piece of prompts; its blocks follow those of another.
type prefix struct {
	id     string
	owner  string
	blocks []uint64
	used   time.Time
}

func (p *prefix) tokens() int64 { return int64(len(p.blocks)) * blockTokens }

type hold struct {
	tokens  int64
	expires time.Time
}

// memory accounts for the engine's memory in tokens. Cached prefixes give way
// to everything else.
type memory struct {
	total    int64
	running  int64
	nextID   int
	blocks   map[uint64]*prefix
	prefixes map[string]*prefix
	holds    map[string]hold
	// copies are exports and imports, also those that a finished request leaks.
	copies map[string]engineapi.Allocation
}

func newMemory(total int64) *memory {
	return &memory{
		total: total, blocks: map[uint64]*prefix{}, prefixes: map[string]*prefix{},
		holds: map[string]hold{}, copies: map[string]engineapi.Allocation{},
	}
}

// fixed returns the tokens that can't be evicted.
func (m *memory) fixed(now time.Time) int64 {
	sum := m.running
	for id, h := range m.holds {
		if !now.Before(h.expires) {
			delete(m.holds, id)
			continue
		}
		sum += h.tokens
	}
	for _, p := range m.copies {
		sum += p.Tokens
	}
	return sum
}

func (m *memory) cached() int64 { return int64(len(m.blocks)) * blockTokens }

// take reserves tokens for a running request and evicts the least recently
// used prefixes if needed.
func (m *memory) take(tokens int64, now time.Time) bool {
	fixed := m.fixed(now)
	if fixed+tokens > m.total {
		return false
	}
	m.evict(m.total - fixed - tokens)
	m.running += tokens
	return true
}

func (m *memory) evict(limit int64) {
	for m.cached() > limit {
		var oldest *prefix
		for _, p := range m.prefixes {
			if oldest == nil || p.used.Before(oldest.used) {
				oldest = p
			}
		}
		m.drop(oldest)
	}
}

func (m *memory) drop(p *prefix) {
	for _, b := range p.blocks {
		delete(m.blocks, b)
	}
	delete(m.prefixes, p.id)
}

// setHold adds or renews a hold. It fails if the memory is in use.
func (m *memory) setHold(id string, tokens int64, timeToLive time.Duration, now time.Time) bool {
	free := m.total - m.fixed(now) + m.holds[id].tokens
	if tokens > free {
		return false
	}
	m.evict(free - tokens)
	m.holds[id] = hold{tokens: tokens, expires: now.Add(timeToLive)}
	return true
}

// hit returns how many tokens of a prompt are cached.
func (m *memory) hit(blocks []uint64, now time.Time) int64 {
	var found int64
	for _, b := range blocks {
		p, ok := m.blocks[b]
		if !ok {
			break
		}
		p.used = now
		found++
	}
	return found * blockTokens
}

// keep caches the blocks of a finished prompt as far as memory is free.
func (m *memory) keep(owner string, blocks []uint64, now time.Time) {
	free := m.total - m.fixed(now)
	p := &prefix{id: fmt.Sprintf("prefix-%d", m.nextID), owner: owner, used: now}
	for _, b := range blocks {
		if _, ok := m.blocks[b]; !ok {
			p.blocks = append(p.blocks, b)
		}
	}
	if len(p.blocks) == 0 || p.tokens() > free {
		return
	}
	m.evict(free - p.tokens())
	m.nextID++
	m.prefixes[p.id] = p
	for _, b := range p.blocks {
		m.blocks[b] = p
	}
}

func (m *memory) leak(owner string, tokens int64) {
	id := fmt.Sprintf("leak-%d", m.nextID)
	m.nextID++
	m.copies[id] = engineapi.Allocation{ID: id, Kind: engineapi.AllocationExport, Owner: owner, Tokens: tokens}
}

// copy adds an export or import. It fails if the memory is in use.
func (m *memory) copy(p engineapi.Allocation, now time.Time) bool {
	free := m.total - m.fixed(now) + m.copies[p.ID].Tokens
	if p.Tokens > free {
		return false
	}
	m.evict(free - p.Tokens)
	m.copies[p.ID] = p
	return true
}

func (m *memory) free(id string) {
	if p, ok := m.prefixes[id]; ok {
		m.drop(p)
	}
	delete(m.holds, id)
	delete(m.copies, id)
}

func (m *memory) pieces() []engineapi.Allocation {
	var list []engineapi.Allocation
	for _, p := range m.prefixes {
		list = append(list, engineapi.Allocation{ID: p.id, Kind: engineapi.AllocationPrefix, Owner: p.owner, Tokens: p.tokens()})
	}
	for id, h := range m.holds {
		list = append(list, engineapi.Allocation{ID: id, Kind: engineapi.AllocationHold, Owner: id, Tokens: h.tokens})
	}
	for _, p := range m.copies {
		list = append(list, p)
	}
	return list
}

// blockHashes returns the hash of each whole prefix of the prompt that ends at
// a block boundary.
func blockHashes(prompt string) []uint64 {
	digest := xxhash.New()
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = digest.WriteString(prompt[end-blockBytes : end])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
