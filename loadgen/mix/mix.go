// Package mix generates a sequence of requests from a seed. The sequence mixes
// prompts of widely varying lengths with calls that must not be repeated.
package mix

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Class is a prompt length class, or the class of plain calls, which have no
// prompt.
type Class string

// Request classes.
const (
	Class1k    Class = "1k"
	Class4k    Class = "4k"
	Class16k   Class = "16k"
	Class64k   Class = "64k"
	Class256k  Class = "256k"
	Class1m    Class = "1m"
	ClassPlain Class = "plain"
)

// Classes returns all classes in order of prompt length, with ClassPlain last.
func Classes() []Class {
	return []Class{Class1k, Class4k, Class16k, Class64k, Class256k, Class1m, ClassPlain}
}

// lengthRange is the range of prompt tokens of a class and the share of prompts
// in it.
type lengthRange struct {
	class Class
	low   int64
	high  int64
	share float64
}

// One prompt in fifty is longer than 100,000 tokens.
var lengthRanges = []lengthRange{
	{Class1k, 64, 1_024, 0.50},
	{Class4k, 1_025, 4_096, 0.25},
	{Class16k, 4_097, 16_384, 0.15},
	{Class64k, 16_385, 65_536, 0.08},
	{Class256k, 100_001, 262_144, 0.015},
	{Class1m, 262_145, 1_000_000, 0.005},
}

// bytesPerToken is the average number of prompt bytes per token of the engines.
const bytesPerToken = 4

// Config configures a Generator.
type Config struct {
	Seed uint64
	// RatePerSecond is the mean rate of all requests; arrivals follow a Poisson
	// process.
	RatePerSecond float64
	// PlainShare is the share of plain calls, which must not be repeated.
	PlainShare float64
	// MaxPromptTokens shortens longer prompts to this length; 0 means no limit.
	MaxPromptTokens int64
	// MaxOutputTokens is the output token limit of each request.
	MaxOutputTokens int64
	// SharedPrefixes is the number of shared prompt prefixes; 0 means that prompts
	// share no prefix.
	SharedPrefixes int
}

// Item is one request.
type Item struct {
	Index int
	// ArrivalOffset is the time from the start of the run to the request's arrival.
	ArrivalOffset time.Duration
	Class         Class
	// PromptTokens is the prompt length. PromptText generates the prompt from Seed
	// and PrefixSeed.
	PromptTokens int64
	Seed         uint64
	PrefixSeed   uint64
	// Prompt, if set, replaces the generated text.
	Prompt string
	// MaxOutputTokens is the output token limit.
	MaxOutputTokens int64
}

// Generator generates requests. It is not safe for concurrent use.
type Generator struct {
	config    Config
	random    *rand.Rand
	nextIndex int
	elapsed   time.Duration
}

// New returns a generator, which returns the same items for the same
// configuration.
func New(c Config) *Generator {
	return &Generator{config: c, random: rand.New(rand.NewPCG(c.Seed, 1))}
}

// Next returns the next request in order of arrival.
func (g *Generator) Next() Item {
	gap := g.random.ExpFloat64() / g.config.RatePerSecond
	g.elapsed += time.Duration(gap * float64(time.Second))
	item := Item{Index: g.nextIndex, ArrivalOffset: g.elapsed, Seed: g.random.Uint64(), MaxOutputTokens: g.config.MaxOutputTokens}
	g.nextIndex++
	isPlain := g.random.Float64() < g.config.PlainShare
	b := pickRange(g.random.Float64())
	length := logUniform(g.random.Float64(), b.low, b.high)
	if g.config.SharedPrefixes > 0 {
		item.PrefixSeed = 1 + g.random.Uint64N(uint64(g.config.SharedPrefixes))
	}
	if isPlain {
		item.Class = ClassPlain
		return item
	}
	item.Class, item.PromptTokens = b.class, length
	if limit := g.config.MaxPromptTokens; limit > 0 && length > limit {
		item.PromptTokens, item.Class = limit, ClassOf(limit)
	}
	return item
}

func pickRange(x float64) lengthRange {
	for _, b := range lengthRanges {
		if x < b.share {
			return b
		}
		x -= b.share
	}
	return lengthRanges[0]
}

func logUniform(x float64, low, high int64) int64 {
	return int64(float64(low) * math.Pow(float64(high)/float64(low), x))
}

// ClassOf returns the class of a prompt with the given length.
func ClassOf(tokens int64) Class {
	for _, b := range lengthRanges {
		if tokens <= b.high {
			return b.class
		}
	}
	return Class1m
}

// sharedPrefixBytes is the length of a shared prefix. It exceeds the 1,024 bytes
// of a prompt that routing hashes.
const sharedPrefixBytes = 2048

// PromptText returns Prompt, if it is set, and otherwise the shared prefix, if there
// is one, followed by unique text. A prompt of up to sharedPrefixBytes with a shared
// prefix has no unique text.
func (i Item) PromptText() string {
	if i.Prompt != "" {
		return i.Prompt
	}
	size := i.PromptTokens * bytesPerToken
	text := make([]byte, 0, size)
	if i.PrefixSeed > 0 {
		text = appendRandomText(text, i.PrefixSeed, min(size, sharedPrefixBytes))
	}
	return string(appendRandomText(text, i.Seed, size-int64(len(text))))
}

// appendRandomText appends n lower-case letters and spaces generated from the
// seed.
func appendRandomText(text []byte, seed uint64, n int64) []byte {
	const alphabet = "abcdefghijklmnopqrstuvwxyz      "
	const charactersPerDraw = 12
	random := rand.NewPCG(seed, 2)
	for n > 0 {
		draw := random.Uint64()
		for range min(n, charactersPerDraw) {
			text = append(text, alphabet[draw%uint64(len(alphabet))])
			draw /= uint64(len(alphabet))
		}
		n -= charactersPerDraw
	}
	return text
}

// IdempotencyKey returns the idempotency key of a plain call, which is also the
// request ID of every request. The run ID must be unique among the runs against one
// cluster, because claims outlive the run.
func (i Item) IdempotencyKey(runID string) string { return fmt.Sprintf("%s-%d", runID, i.Index) }
