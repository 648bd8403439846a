package capacity

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	store "siskinstand.example/adapters/kvstore"
	"siskinstand.example/coord/claim"
	"siskinstand.example/coord/config"
	"siskinstand.example/coord/invariant"
	fakestore "siskinstand.example/fakes/kvstore"
	"siskinstand.example/fakes/server"
	"siskinstand.example/gateway/kvstore"
)

// countingStore counts compare-and-swap calls and the bytes they write.
type countingStore struct {
	kvstore.Store
	writes, bytes atomic.Int64
}

// CompareAndSwap counts the call and forwards it.
func (s *countingStore) CompareAndSwap(ctx context.Context, key string, value []byte, version, lease int64) (int64, error) {
	s.writes.Add(1)
	s.bytes.Add(int64(len(value)))
	return s.Store.CompareAndSwap(ctx, key, value, version, lease)
}

// startFakeStore starts a fake key-value store on loopback in this process. The
// returned function stops it.
func startFakeStore() (*store.Client, *fakestore.Store, func(), error) {
	fake := fakestore.New(fakestore.Config{})
	s, err := server.StartLoopback(fake.Handler())
	if err != nil {
		return nil, nil, nil, err
	}
	return store.NewClient(s.Address(), store.DefaultLimits()), fake, s.Close, nil
}

func randomClaimKey(random *rand.Rand) claim.Key {
	var k claim.Key
	for i := 0; i < len(k); i += 8 {
		binary.LittleEndian.PutUint64(k[i:], random.Uint64())
	}
	return k
}

// responseBodyBytes is the size of the recorded response of a plain call.
const responseBodyBytes = 256

type claimMeasurements struct {
	// writesPerSecond and bytesPerSecond are those to the store. p99MS is the time of
	// a claim in milliseconds.
	writesPerSecond, bytesPerSecond, p99MS float64
	logBytesPerCall                        float64
}

// measureClaims claims and completes calls at the given rate through one claim
// log.
func measureClaims(ctx context.Context, seed uint64, callsPerSecond int) (claimMeasurements, error) {
	const duration = 4 * time.Second
	var m claimMeasurements
	base, _, closeStore, err := startFakeStore()
	if err != nil {
		return m, err
	}
	defer closeStore()
	counted := &countingStore{Store: base}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	claimLog := kvstore.NewClaimLog(kvstore.ClaimLogConfig{Store: counted, ProcessID: "gateway-001", Invariants: invariant.NewRegistry(nil)})
	go func() { _ = claimLog.Run(ctx) }()
	random := rand.New(rand.NewPCG(seed, uint64(callsPerSecond)))
	total := callsPerSecond * int(duration/time.Second)
	times, errs := make([]float64, total), make([]error, total)
	var calls sync.WaitGroup
	start := time.Now()
	for i := range total {
		key := randomClaimKey(random)
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(callsPerSecond))))
		calls.Go(func() { times[i], errs[i] = claimAndComplete(ctx, claimLog, key, fmt.Sprintf("gateway-001/%d", i)) })
	}
	calls.Wait()
	seconds := time.Since(start).Seconds()
	if err := errors.Join(errs...); err != nil {
		return m, err
	}
	m.writesPerSecond, m.bytesPerSecond = float64(counted.writes.Load())/seconds, float64(counted.bytes.Load())/seconds
	m.p99MS = quantile(times, 0.99)
	m.logBytesPerCall, err = logBytesPerCall(ctx, base, total)
	return m, err
}

func claimAndComplete(ctx context.Context, claimLog *kvstore.ClaimLog, key claim.Key, id string) (float64, error) {
	start := time.Now()
	record, err := claimLog.Claim(ctx, key, id, 1)
	if err != nil {
		return 0, err
	}
	if record.State != claim.StateClaimed {
		return 0, fmt.Errorf("claim %s: got state %s", id, record.State)
	}
	waited := milliseconds(time.Since(start))
	return waited, claimLog.Complete(ctx, key, id, *sampleResult())
}

func logBytesPerCall(ctx context.Context, s kvstore.Store, calls int) (float64, error) {
	sum := 0
	for p := range claim.PartitionCount {
		pairs, err := s.List(ctx, claim.PartitionPrefix(p))
		if err != nil {
			return 0, err
		}
		for _, pair := range pairs {
			sum += len(pair.Value)
		}
	}
	return float64(sum) / float64(calls), nil
}

// measureClaimLogRecovery fills one partition with chunks. It returns the time
// until a new claim log answers its first claim in that partition, and the heap
// that the copy of the partition takes.
func measureClaimLogRecovery(ctx context.Context, seed uint64, chunks int) (time.Duration, float64, error) {
	s, _, closeStore, err := startFakeStore()
	if err != nil {
		return 0, 0, err
	}
	defer closeStore()
	random := rand.New(rand.NewPCG(seed, uint64(chunks)))
	key, err := fillPartition(ctx, s, random, chunks)
	if err != nil {
		return 0, 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := liveHeap()
	claimLog := kvstore.NewClaimLog(kvstore.ClaimLogConfig{Store: s, ProcessID: "gateway-002", Invariants: invariant.NewRegistry(nil)})
	go func() { _ = claimLog.Run(ctx) }()
	start := time.Now()
	record, err := claimLog.Claim(ctx, key, "gateway-002/1", 1)
	took := time.Since(start)
	if err == nil && record.State != claim.StateDone {
		err = fmt.Errorf("claim of a completed call after recovery: got state %s, want done", record.State)
	}
	return took, float64(liveHeap()) - float64(before), err
}

// fillPartition appends calls to partition 0 until its chain has at least the given
// number of sealed chunks. It returns the key of the last call.
func fillPartition(ctx context.Context, s kvstore.Store, random *rand.Rand, chunks int) (claim.Key, error) {
	log := claim.NewLog(0, claim.DefaultExpiry, invariant.NewRegistry(nil))
	var last claim.Key
	for batch := 0; ; batch++ {
		var claims, results []claim.Entry
		for i := range fillBatchCalls {
			last = randomClaimKey(random)
			last[0] = 0
			key, id, now := append([]byte(nil), last[:]...), fmt.Sprintf("gateway-001/%d-%d", batch, i), time.Now().UnixMilli()
			claims = append(claims, claim.Entry{Op: claim.OpClaim, Key: key, ClaimID: id, Holder: "gateway-001", UnixMS: now, BodyHash: 1})
			results = append(results, claim.Entry{Op: claim.OpResult, Key: key, ClaimID: id, UnixMS: now, Result: sampleResult()})
		}
		for _, entries := range [][]claim.Entry{claims, results} {
			if err := appendEntries(ctx, s, log, entries); err != nil {
				return last, err
			}
		}
		if tail, _ := log.Tail(); tail >= chunks {
			return last, nil
		}
	}
}

// fillBatchCalls is the number of calls that fillPartition appends per batch.
const fillBatchCalls = 50

// appendEntries writes to the log until it contains all entries.
func appendEntries(ctx context.Context, s kvstore.Store, log *claim.Log, entries []claim.Entry) error {
	for {
		var rest []claim.Entry
		for _, e := range entries {
			_, needed, err := log.Decide(time.Now(), e)
			if err != nil {
				return err
			}
			if needed {
				rest = append(rest, e)
			}
		}
		write, needed, err := log.PlanWrite(rest)
		if err != nil || !needed {
			return err
		}
		version, err := s.CompareAndSwap(ctx, write.Key, write.Value, write.Version, 0)
		if err != nil {
			return err
		}
		if err := log.Commit(write, version); err != nil {
			return err
		}
		entries = rest
	}
}

func sampleResult() *claim.Result {
	return &claim.Result{HTTPStatus: http.StatusOK, ContentType: "application/json", Body: []byte(strings.Repeat("x", responseBodyBytes))}
}

// Assumed rates per second of calls that must not be repeated, at peak and as a
// daily mean. The design size in docs/design.md, section 1 specifies none.
const (
	peakClaimRate = 200
	meanClaimRate = 100
)

func (r *runner) addClaimRows(ctx context.Context) error {
	rates := []int{25, 50, 100, peakClaimRate}
	measured := map[int]claimMeasurements{}
	for _, rate := range rates {
		m, err := measureClaims(ctx, r.Seed, rate)
		if err != nil {
			return err
		}
		measured[rate] = m
	}
	add := func(name, unit string, limit float64, remedy string, value func(claimMeasurements) float64) Row {
		row := Row{Section: "Claim log", Name: name, Unit: unit, XUnit: "calls/s", DesignX: peakClaimRate, Limit: limit, Remedy: remedy}
		for _, rate := range rates {
			row.Points = append(row.Points, Point{float64(rate), value(measured[rate])})
		}
		return r.add(row.Fit())
	}
	r.claimWrites = add("writes to the store (one claim and one result a call)", "writes/s", limitWritesPerSecond, "a longer batch", func(m claimMeasurements) float64 { return m.writesPerSecond })
	add("bytes written to the store", "KB/s", 0, "", func(m claimMeasurements) float64 { return m.bytesPerSecond / kilobyte })
	add("time of a claim, p99", "ms", 0, "", func(m claimMeasurements) float64 { return m.p99MS })
	callBytes := add("bytes of the log for a call", "bytes", 0, "", func(m claimMeasurements) float64 { return m.logBytesPerCall })
	return r.addClaimLogRecoveryRows(ctx, callBytes.Value)
}

// addClaimLogRecoveryRows measures the recovery of a claim log partition from its
// chunks and projects it for a day of calls.
func (r *runner) addClaimLogRecoveryRows(ctx context.Context, logBytesPerCall float64) error {
	// The numbers of chunks are those of one partition.
	chunksPerCall := logBytesPerCall / claim.PartitionCount / claim.MaxChunkBytes
	chunksPerDay := chunksPerCall * meanClaimRate * claim.DefaultExpiry.Seconds()
	took := Row{
		Section: "Claim log", Name: "recovery of one partition after a day", Unit: "s", XUnit: "chunks", DesignX: chunksPerDay,
		Limit: config.DefaultPlainTimeout.Seconds(), Remedy: "a summary of sealed chunks, read instead of them, or a lower expiry",
	}
	memory := Row{Section: "Claim log", Name: "heap of one partition's copy after a day", Unit: "MB", XUnit: "chunks", DesignX: chunksPerDay,
		Limit: limitMemoryMB, Remedy: "an index without the entries and result bodies of sealed chunks, which are read when a key is repeated"}
	for _, chunks := range []int{20, 80, 240} {
		d, bytes, err := measureClaimLogRecovery(ctx, r.Seed, chunks)
		if err != nil {
			return err
		}
		took.Points = append(took.Points, Point{float64(chunks), d.Seconds()})
		memory.Points = append(memory.Points, Point{float64(chunks), bytes / megabyte})
	}
	took, memory = r.add(took.Fit()), r.add(memory.Fit())
	chunksPerUnitRate := chunksPerCall * claim.DefaultExpiry.Seconds()
	addMaxRate := func(name string, value float64) {
		r.add(Row{Section: "Claim log", Name: name, Unit: "calls/s", Kind: Projected, Value: value})
	}
	addMaxRate("mean rate whose day fills 128 MB in the appender of one partition", limitMemoryMB/(memory.Slope*chunksPerUnitRate))
	addMaxRate("the same if one gateway appends to all 16", limitMemoryMB/(memory.Slope*chunksPerUnitRate*claim.PartitionCount))
	addMaxRate("mean rate whose partition is read back within a caller's deadline of 5 s", config.DefaultPlainTimeout.Seconds()/(took.Slope*chunksPerUnitRate))
	r.add(Row{Section: "Claim log", Name: "log of a day in the store", Unit: "GB", Kind: Projected, Value: logBytesPerCall * meanClaimRate * secondsPerDay / 1e9})
	return nil
}
