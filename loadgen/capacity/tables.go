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

// repetitions of a measurement whose median counts.
const repetitions = 9

// accountTables returns the tables of a deployment with the given accounts.
// Tokens are random but the same for the same seed.
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
	share := (accounts + designModels - 1) / designModels
	var p strings.Builder
	for m := range designModels {
		low, high := min(m*share, accounts), min((m+1)*share, accounts)
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

// firstEdit returns all rows of both tables as one edit of an empty store.
func firstEdit(routes, pools config.File) (config.Edit, error) {
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

// weightEdit changes the weight of one account.
func weightEdit(d *config.Document, number int, accounts int) config.Edit {
	id := config.RowID{Table: config.TableRoutes, Section: fmt.Sprintf("account account-%05d", number%accounts)}
	first, _, _ := strings.Cut(d.Text(id), "weight")
	text := fmt.Sprintf("%sweight = %d\n", first, 10+number%80)
	return config.Edit{
		ID: fmt.Sprintf("change-%d", d.Revision()+1), Author: "capacity", Base: d.Revision(), Time: time.Unix(int64(number), 0),
		Rows: []config.RowEdit{{RowID: id, Text: text}},
	}
}

// medianTime runs a step several times.
func medianTime(step func() error) (time.Duration, error) {
	var times []float64
	for range repetitions {
		began := time.Now()
		if err := step(); err != nil {
			return 0, err
		}
		times = append(times, float64(time.Since(began)))
	}
	return time.Duration(quantile(times, 0.5)), nil
}

// heapOf returns the live heap that a value needs; build must return it.
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

// tableFigures are the measurements of one table size.
type tableFigures struct {
	parse, edit, apply time.Duration
	// read is the reader's part of a change, without the store's answers.
	read             time.Duration
	heap             float64
	delta, snapshot  int
	headBytes, shard int
}

// measureTables measures parsing, one change and the messages to a peer.
func measureTables(ctx context.Context, seed uint64, accounts int) (tableFigures, error) {
	var f tableFigures
	edit, err := firstEdit(accountTables(seed, accounts))
	if err != nil {
		return f, err
	}
	plan, err := config.PlanEdit(config.EmptyHead(), config.EmptyDocument(), edit)
	if err != nil {
		return f, err
	}
	rows := edit.Rows
	var document *config.Document
	if f.parse, err = medianTime(func() error {
		_, err := config.NewDocument(1, 0, rows)
		return err
	}); err != nil {
		return f, err
	}
	document, f.heap = heapOf(func() *config.Document {
		d, _ := config.NewDocument(1, 0, rows)
		return d
	})
	if f.read, err = measureRead(plan, document, accounts); err != nil {
		return f, err
	}
	number := 0
	if f.edit, err = medianTime(func() error {
		number++
		next, err := config.PlanEdit(plan.Head, document, weightEdit(document, number, accounts))
		if err != nil {
			return err
		}
		for _, value := range next.Shards {
			f.shard = max(f.shard, len(value))
		}
		return nil
	}); err != nil {
		return f, err
	}
	head, err := plan.Head.Encode()
	if err != nil {
		return f, err
	}
	f.headBytes = len(head)
	return f, f.measureSpread(ctx, document, accounts)
}

// measureRead measures how a zone's reader puts a change in force whose one new
// shard it has fetched.
func measureRead(plan config.Plan, d *config.Document, accounts int) (time.Duration, error) {
	rows := map[string][]config.RowEdit{}
	for _, ref := range plan.Head.Refs() {
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
		inForce := config.NewActive(invariant.NewRegistry(nil))
		inForce.Advance(d)
		after, err := config.AssembleIncremental(d, plan.Head, next.Head, func(ref config.ShardRef) ([]config.RowEdit, error) {
			if known, ok := rows[ref.Digest]; ok {
				return known, nil
			}
			return config.DecodeShard(next.Shards[ref.Digest], ref)
		})
		if err != nil {
			return err
		}
		inForce.Advance(after)
		return nil
	})
}

// measureSpread measures what a gateway does for one change of a peer, and the
// bytes of delta and snapshot as the peer service sends them.
func (f *tableFigures) measureSpread(ctx context.Context, d *config.Document, accounts int) error {
	inForce := config.NewActive(invariant.NewRegistry(nil))
	inForce.Advance(d)
	node := peer.New(peer.Config{ID: "a", Zone: zoneName(0), InForce: inForce})
	number := 0
	var err error
	f.apply, err = medianTime(func() error {
		number++
		e := weightEdit(inForce.Document(), number, accounts)
		_, err := inForce.Apply([]config.Change{{Revision: e.Base + 1, Base: e.Base, ID: e.ID, Rows: e.Rows}})
		return err
	})
	if err != nil {
		return err
	}
	behind := &peerpb.Digest{Sender: &peerpb.Sender{ProcessId: "b", ConfigRevision: inForce.Current().Revision - 1}}
	delta, err := node.Exchange(ctx, behind)
	if err != nil {
		return err
	}
	if len(delta.GetChanges()) != 1 {
		return fmt.Errorf("got %d changes for a peer that is one revision behind", len(delta.GetChanges()))
	}
	f.delta = proto.Size(delta)
	stream := &snapshotSize{}
	if err := node.Snapshot(&peerpb.SnapshotRequest{}, stream); err != nil {
		return err
	}
	f.snapshot = stream.bytes
	return nil
}

// snapshotSize counts the bytes of a snapshot.
type snapshotSize struct {
	peerpb.Peer_SnapshotServer
	bytes int
}

// Send counts one message.
func (s *snapshotSize) Send(c *peerpb.SnapshotChunk) error {
	s.bytes += proto.Size(c)
	return nil
}

func (r *runner) tables(ctx context.Context) error {
	sizes := []int{1_000, 5_000, designAccounts}
	measured := map[int]tableFigures{}
	for _, n := range sizes {
		f, err := measureTables(ctx, r.Seed, n)
		if err != nil {
			return err
		}
		measured[n] = f
	}
	add := func(name, unit string, limit float64, remedy string, value func(tableFigures) float64) Row {
		row := Row{Section: "Tables", Name: name, Unit: unit, Scale: "client accounts", Design: designAccounts, Limit: limit, Remedy: remedy}
		for _, n := range sizes {
			row.Points = append(row.Points, Point{float64(n), value(measured[n])})
		}
		return r.add(row.Fit())
	}
	r.parse = add("parse of both tables", "ms", 0, "", func(f tableFigures) float64 { return milliseconds(f.parse) })
	add("heap of a parsed document", "MB", limitMemory, "fewer copies of a row", func(f tableFigures) float64 { return f.heap / megabyte })
	add("plan of a one-row edit (operators' command)", "ms", 0, "", func(f tableFigures) float64 { return milliseconds(f.edit) })
	add("largest shard", "bytes", limitValueBytes, "more shards", func(f tableFigures) float64 { return float64(f.shard) })
	add("head after the first edit", "bytes", limitValueBytes, "fewer changes in the head", func(f tableFigures) float64 { return float64(f.headBytes) })
	add("delta of a one-row change", "bytes", 0, "", func(f tableFigures) float64 { return float64(f.delta) })
	add("snapshot", "MB", 0, "", func(f tableFigures) float64 { return float64(f.snapshot) / megabyte })
	r.read = add("one-row change put in force in a zone's reader", "ms", 0, "", func(f tableFigures) float64 { return milliseconds(f.read) })
	r.apply = add("one-row change put in force in a gateway", "ms", 0, "", func(f tableFigures) float64 { return milliseconds(f.apply) })
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
