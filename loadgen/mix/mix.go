// Package mix draws a seeded sequence of requests with prompts of widely
// varying lengths and calls that must not be repeated.
package mix

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Class is a length class by prompt tokens, or the class of plain calls.
type Class string

// The classes.
const (
	Class1k    Class = "1k"
	Class4k    Class = "4k"
	Class16k   Class = "16k"
	Class64k   Class = "64k"
	Class256k  Class = "256k"
	Class1m    Class = "1m"
	ClassPlain Class = "plain"
)

// Classes lists all classes in order of length.
func Classes() []Class {
	return []Class{Class1k, Class4k, Class16k, Class64k, Class256k, Class1m, ClassPlain}
}

// bound is the range of prompt tokens of a class and its share of the prompts.
type bound struct {
	class    Class
	low      int64
	high     int64
	fraction float64
}

// The shares put one prompt in fifty above 100,000 tokens.
var bounds = []bound{
	{Class1k, 64, 1_024, 0.50},
	{Class4k, 1_025, 4_096, 0.25},
	{Class16k, 4_097, 16_384, 0.15},
	{Class64k, 16_385, 65_536, 0.08},
	{Class256k, 100_001, 262_144, 0.015},
	{Class1m, 262_145, 1_000_000, 0.005},
}

// bytesPerToken is the engines' average.
const bytesPerToken = 4

// Config describes a mix.
type Config struct {
	Seed uint64
	// RatePerSecond is the mean rate of all requests; arrivals are Poisson.
	RatePerSecond float64
	// PlainShare is the share of calls that must not be repeated.
	PlainShare float64
	// MaxPromptTokens cuts longer prompts down; 0 sets no limit.
	MaxPromptTokens int64
	// MaxOutputTokens is the output bound of each request.
	MaxOutputTokens int64
	// SharedPrefixes is the number of prefixes that prompts share; 0 gives every
	// prompt its own.
	SharedPrefixes int
}

// Item is one request.
type Item struct {
	Index int
	// ArrivalOffset is the time of the request after the start.
	ArrivalOffset time.Duration
	Class         Class
	// PromptTokens is the prompt's length; Text derives the prompt from Seed.
	PromptTokens int64
	Seed         uint64
	PrefixSeed   uint64
	// Prompt, if set, replaces the derived text.
	Prompt string
	// MaxOutputTokens is the output bound in tokens.
	MaxOutputTokens int64
}

// Generator draws items. It is not safe for concurrent use.
type Generator struct {
	config Config
	random *rand.Rand
	next   int
	at     time.Duration
}

// New returns a mix that gives the same items for the same configuration.
func New(c Config) *Generator {
	return &Generator{config: c, random: rand.New(rand.NewPCG(c.Seed, 1))}
}

// Next draws the next item.
func (m *Generator) Next() Item {
	gap := m.random.ExpFloat64() / m.config.RatePerSecond
	m.at += time.Duration(gap * float64(time.Second))
	item := Item{Index: m.next, ArrivalOffset: m.at, Seed: m.random.Uint64(), MaxOutputTokens: m.config.MaxOutputTokens}
	m.next++
	plain := m.random.Float64() < m.config.PlainShare
	b := pick(m.random.Float64())
	length := logUniform(m.random.Float64(), b.low, b.high)
	if m.config.SharedPrefixes > 0 {
		item.PrefixSeed = 1 + m.random.Uint64N(uint64(m.config.SharedPrefixes))
	}
	if plain {
		item.Class = ClassPlain
		return item
	}
	item.Class, item.PromptTokens = b.class, length
	if limit := m.config.MaxPromptTokens; limit > 0 && length > limit {
		item.PromptTokens, item.Class = limit, ClassOf(limit)
	}
	return item
}

func pick(x float64) bound {
	for _, b := range bounds {
		if x < b.fraction {
			return b
		}
		x -= b.fraction
	}
	return bounds[0]
}

func logUniform(x float64, low, high int64) int64 {
	return int64(float64(low) * math.Pow(float64(high)/float64(low), x))
}

// ClassOf returns the class of a prompt by its tokens.
func ClassOf(tokens int64) Class {
	for _, b := range bounds {
		if tokens <= b.high {
			return b.class
		}
	}
	return Class1m
}

// sharedPrefixBytes is the length of a shared prefix, which is longer than the
// 1,024 bytes that routing hashes.
const sharedPrefixBytes = 2048

// PromptText returns the item's prompt: a prefix that others may share, then text of
// its own.
func (i Item) PromptText() string {
	if i.Prompt != "" {
		return i.Prompt
	}
	size := i.PromptTokens * bytesPerToken
	text := make([]byte, 0, size)
	if i.PrefixSeed > 0 {
		text = letters(text, i.PrefixSeed, min(size, sharedPrefixBytes))
	}
	return string(letters(text, i.Seed, size-int64(len(text))))
}

// letters appends n lower-case letters and spaces drawn from the seed.
func letters(text []byte, seed uint64, n int64) []byte {
	const alphabet = "abcdefghijklmnopqrstuvwxyz      "
	const perWord = 12
	random := rand.NewPCG(seed, 2)
	for n > 0 {
		word := random.Uint64()
		for range min(n, perWord) {
			text = append(text, alphabet[word%uint64(len(alphabet))])
			word /= uint64(len(alphabet))
		}
		n -= perWord
	}
	return text
}

// IdempotencyKey returns the idempotency key of a plain call. Run is unique to a run of
// the tool, since claims outlive it.
func (i Item) IdempotencyKey(run string) string { return fmt.Sprintf("%s-%d", run, i.Index) }
