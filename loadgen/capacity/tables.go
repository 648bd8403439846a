package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinstand.example/coord/config"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/gateway/peer"
	"siskinstand.example/peerpb"
)

// repetitions is the number of times a measurement is repeated to get its median.
const repetitions = 9

// accountTables returns the tables of a deployment with the given number of client
// accounts. Tokens are generated from the seed.
func accountTables(seed uint64, accounts int) (routes, pools config.File) {
	random := rand.New(rand.NewPCG(seed, uint64(accounts)))
	var b strings.Builder
	var names []string
	for i := range accounts {
		name := fmt.Sprintf("account-%05d", i)
		names = append(names, name)
		hash := config.HashToken(fmt.Sprintf("token-%d-%d", i, random.Uint64()))
		fmt.Fprintf(&b, "[account %s]\ntoken_sha256 = %x\nweight = %d\n\n", name, hash, 1+random.IntN(8))
	}
	accountsPerModel := (accounts + designModels - 1) / designModels
	var p strings.Builder
	for m := range designModels {
		low, high := min(m*accountsPerModel, accounts), min((m+1)*accountsPerModel, accounts)
		if low < high {
			fmt.Fprintf(&b, "[route model-%02d]\naccounts = %s\nmodel = model-%02d\npool = model-%02d\n\n", m, strings.Join(names[low:high], ", "), m, m)
		}
		fmt.Fprintf(&p, "[pool model-%02d]\nkind = model\nservice = %s\nmodel = model-%02d\n\n", m, serviceLabel(m), m)
	}
	for z := range designZones {
		fmt.Fprintf(&p, "[zone %s]\nstate = in\n\n", zoneName(z))
	}
	return config.File{Name: "routes.ini", Text: []byte(b.String())}, config.File{Name: "pools.ini", Text: []byte(p.String())}
}

func serviceLabel(model int) string { return fmt.Sprintf("engine-%02d", model) }
func zoneName(zone int) string      { return fmt.Sprintf("zone-%02d", zone) }

// initialEdit returns an edit that writes all rows of both tables to an empty
// store.
func initialEdit(routes, pools config.File) (config.Edit, error) {
	e := config.Edit{ID: "change-1", Author: "capacity", Time: time.Unix(0, 0)}
	for table, file := range map[config.Table]config.File{config.TableRoutes: routes, config.TablePools: pools} {
		rows, err := config.SplitRows(table, file)
		if err != nil {
			return e, err
		}
		e.Rows = append(e.Rows, rows...)
	}
	return e, nil
}

// weightEdit returns an edit that changes the weight of one client account.
func weightEdit(d *config.Document, number int, accounts int) config.Edit {
	id := config.RowID{Table: config.TableRoutes, Section: fmt.Sprintf("account account-%05d", number%accounts)}
	first, _, _ := strings.Cut(d.RowText(id), "weight")
	text := fmt.Sprintf("%sweight = %d\n", first, 10+number%80)
	return config.Edit{
		ID: fmt.Sprintf("change-%d", d.Revision()+1), Author: "capacity", Base: d.Revision(), Time: time.Unix(int64(number), 0),
		Rows: []config.RowEdit{{RowID: id, Text: text}},
	}
}

// medianTime runs a step several times and returns the median duration.
func medianTime(step func() error) (time.Duration, error) {
	var times []float64
	for range repetitions {
		start := time.Now()
		if err := step(); err != nil {
			return 0, err
		}
		times = append(times, float64(time.Since(start)))
	}
	return time.Duration(quantile(times, 0.5)), nil
}

// heapOf returns the value made by build and the live heap that it takes.
func heapOf[T any](build func() T) (T, float64) {
	before := liveHeap()
	value := build()
	after := liveHeap()
	return value, float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// tableMeasurements are the measurements for tables of one size.
type tableMeasurements struct {
	parse, planEdit, gatewayApply time.Duration
	// readerApply is the time in which a zone's reader puts a change in force, not
	// counting the store's response times.
	readerApply               time.Duration
	heapBytes                 float64
	deltaBytes, snapshotBytes int
	// maxShardBytes is the size of the largest shard that the measured edits write.
	headBytes, maxShardBytes int
}

// measureTables measures parsing the tables, planning and applying one change, and
// the messages to a peer.
func measureTables(ctx context.Context, seed uint64, accounts int) (tableMeasurements, error) {
	var m tableMeasurements
	edit, err := initialEdit(accountTables(seed, accounts))
	if err != nil {
		return m, err
	}
	plan, err := config.PlanEdit(config.EmptyHead(), config.EmptyDocument(), edit)
	if err != nil {
		return m, err
	}
	rows := edit.Rows
	var document *config.Document
	if m.parse, err = medianTime(func() error {
		_, err := config.NewDocument(1, 0, rows)
		return err
	}); err != nil {
		return m, err
	}
	document, m.heapBytes = heapOf(func() *config.Document {
		d, _ := config.NewDocument(1, 0, rows)
		return d
	})
	if m.readerApply, err = measureReaderApply(plan, document, accounts); err != nil {
		return m, err
	}
	number := 0
	if m.planEdit, err = medianTime(func() error {
		number++
		next, err := config.PlanEdit(plan.Head, document, weightEdit(document, number, accounts))
		if err != nil {
			return err
		}
		for _, value := range next.Shards {
			m.maxShardBytes = max(m.maxShardBytes, len(value))
		}
		return nil
	}); err != nil {
		return m, err
	}
	head, err := plan.Head.Encode()
	if err != nil {
		return m, err
	}
	m.headBytes = len(head)
	return m, m.measurePeerMessages(ctx, document, accounts)
}

// measureReaderApply measures the time in which a zone's reader puts a change in
// force once it has fetched the one new shard.
func measureReaderApply(plan config.Plan, d *config.Document, accounts int) (time.Duration, error) {
	rows := map[string][]config.RowEdit{}
	for _, ref := range plan.Head.ShardRefs() {
		decoded, err := config.DecodeShard(plan.Shards[ref.Digest], ref)
		if err != nil {
			return 0, err
		}
		rows[ref.Digest] = decoded
	}
	next, err := config.PlanEdit(plan.Head, d, weightEdit(d, 1, accounts))
	if err != nil {
		return 0, err
	}
	return medianTime(func() error {
		active := config.NewActive(invariant.NewRegistry(nil))
		active.ActivateIfNewer(d)
		after, err := config.AssembleIncremental(d, plan.Head, next.Head, func(ref config.ShardRef) ([]config.RowEdit, error) {
			if known, ok := rows[ref.Digest]; ok {
				return known, nil
			}
			return config.DecodeShard(next.Shards[ref.Digest], ref)
		})
		if err != nil {
			return err
		}
		active.ActivateIfNewer(after)
		return nil
	})
}

// measurePeerMessages measures the time to apply one change received from a peer,
// and the sizes of the delta and the snapshot that the peer service sends.
func (m *tableMeasurements) measurePeerMessages(ctx context.Context, d *config.Document, accounts int) error {
	active := config.NewActive(invariant.NewRegistry(nil))
	active.ActivateIfNewer(d)
	node := peer.New(peer.Config{ID: "a", Zone: zoneName(0), ActiveConfig: active})
	number := 0
	var err error
	m.gatewayApply, err = medianTime(func() error {
		number++
		e := weightEdit(active.Document(), number, accounts)
		_, err := active.Apply([]config.Change{{Revision: e.Base + 1, Base: e.Base, ID: e.ID, Rows: e.Rows}})
		return err
	})
	if err != nil {
		return err
	}
	behind := &peerpb.Digest{Sender: &peerpb.Sender{ProcessId: "b", ConfigRevision: active.Current().Revision - 1}}
	delta, err := node.Exchange(ctx, behind)
	if err != nil {
		return err
	}
	if len(delta.GetChanges()) != 1 {
		return fmt.Errorf("got %d changes for a peer that is one revision behind", len(delta.GetChanges()))
	}
	m.deltaBytes = proto.Size(delta)
	stream := &snapshotCounter{}
	if err := node.Snapshot(&peerpb.SnapshotRequest{}, stream); err != nil {
		return err
	}
	m.snapshotBytes = stream.bytes
	return nil
}

// snapshotCounter is a snapshot stream that counts bytes.
type snapshotCounter struct {
	peerpb.Peer_SnapshotServer
	bytes int
}

// Send counts the bytes of one message.
func (s *snapshotCounter) Send(c *peerpb.SnapshotChunk) error {
	s.bytes += proto.Size(c)
	return nil
}

func (r *runner) addTableRows(ctx context.Context) error {
	sizes := []int{1_000, 5_000, designAccounts}
	measured := map[int]tableMeasurements{}
	for _, n := range sizes {
		m, err := measureTables(ctx, r.Seed, n)
		if err != nil {
			return err
		}
		measured[n] = m
	}
	add := func(name, unit string, limit float64, remedy string, value func(tableMeasurements) float64) Row {
		row := Row{Section: "Tables", Name: name, Unit: unit, XUnit: "client accounts", DesignX: designAccounts, Limit: limit, Remedy: remedy}
		for _, n := range sizes {
			row.Points = append(row.Points, Point{float64(n), value(measured[n])})
		}
		return r.add(row.Fit())
	}
	r.parse = add("parse of both tables", "ms", 0, "", func(m tableMeasurements) float64 { return milliseconds(m.parse) })
	add("heap of a parsed document", "MB", limitMemoryMB, "fewer copies of a row", func(m tableMeasurements) float64 { return m.heapBytes / megabyte })
	add("plan of a one-row edit (operators' command)", "ms", 0, "", func(m tableMeasurements) float64 { return milliseconds(m.planEdit) })
	add("largest shard", "bytes", limitValueBytes, "more shards", func(m tableMeasurements) float64 { return float64(m.maxShardBytes) })
	add("head after the first edit", "bytes", limitValueBytes, "fewer changes in the head", func(m tableMeasurements) float64 { return float64(m.headBytes) })
	add("delta of a one-row change", "bytes", 0, "", func(m tableMeasurements) float64 { return float64(m.deltaBytes) })
	add("snapshot", "MB", 0, "", func(m tableMeasurements) float64 { return float64(m.snapshotBytes) / megabyte })
	r.readerApply = add("one-row change put in force in a zone's reader", "ms", 0, "", func(m tableMeasurements) float64 { return milliseconds(m.readerApply) })
	r.gatewayApply = add("one-row change put in force in a gateway", "ms", 0, "", func(m tableMeasurements) float64 { return milliseconds(m.gatewayApply) })
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
