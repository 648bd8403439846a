package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/coord/config"
	"siskinstand.example/peerpb"
	"siskinstand.example/siskinctl/editor"
)

type restoreRun struct{ app *app }

func restoreCommand(a *app) command {
	return command{"restore", "Write the tables in force over older ones in the store", "siskinctl restore --gateway 10.0.0.1:7100", &restoreRun{a}}
}

// Execute reads the tables from the gateway with the highest revision.
func (c *restoreRun) Execute([]string) error {
	store, t, err := c.app.read()
	if err != nil {
		return err
	}
	inForce, err := c.app.inForce()
	if err != nil {
		return err
	}
	if inForce.Revision() <= t.Head.Revision {
		fmt.Fprintf(c.app.out, "no change: the store has revision %d, revision %d is in force\n", t.Head.Revision, inForce.Revision())
		return nil
	}
	edit := config.Edit{ID: rand.Text(), Author: c.app.settings.Command.Author, Time: time.Now()}
	revision, err := editor.Restore(c.app.ctx, store, t, inForce, edit)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.app.out, "restored: revision %d over revision %d, change %s\n", revision, t.Head.Revision, edit.ID)
	return nil
}

// inForce returns the document of the highest revision at any gateway.
func (a *app) inForce() (*config.Document, error) {
	replies, err := ask(a, readSnapshot)
	if err != nil {
		return nil, err
	}
	var newest *config.Document
	for _, r := range replies {
		if r.err == nil && (newest == nil || r.answer.Revision() > newest.Revision()) {
			newest = r.answer
		}
	}
	if newest == nil {
		return nil, &unavailableError{fmt.Sprintf("no gateway sent its tables; first: %v", replies[0].err)}
	}
	return newest, nil
}

func readSnapshot(ctx context.Context, p peerpb.PeerClient) (*config.Document, error) {
	stream, err := p.Snapshot(ctx, &peerpb.SnapshotRequest{Sender: &peerpb.Sender{ProcessId: "siskinctl"}})
	if err != nil {
		return nil, err
	}
	var rows []config.RowEdit
	for {
		chunk, err := stream.Recv()
		if err != nil {
			return nil, eris.Wrap(err, "read snapshot")
		}
		for _, r := range chunk.GetRows() {
			id := config.RowID{Table: config.Table(r.GetTable()), Section: r.GetSection()}
			rows = append(rows, config.RowEdit{RowID: id, Text: r.GetText(), Revision: r.GetRevision()})
		}
		if chunk.GetLast() {
			return config.NewDocument(chunk.GetRevision(), chunk.GetDeletedRevision(), rows)
		}
	}
}

// checkInForce refuses an edit of a store that lost changes. Its revision would
// be one that processes already have, so the edit would never take effect.
func (a *app) checkInForce(store *kvstore.Client, t editor.Tables) error {
	if len(a.settings.Fleet.Gateways) == 0 {
		fmt.Fprintln(a.errs, "siskinctl: without [fleet] gateways it is not checked that the store has the newest revision")
		return nil
	}
	replies, err := ask(a, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.StatusResponse, error) {
		return p.Status(ctx, &peerpb.StatusRequest{})
	})
	if err != nil {
		return err
	}
	answered, newest := 0, uint64(0)
	for _, r := range replies {
		if r.err == nil {
			answered++
			newest = max(newest, r.answer.GetSender().GetConfigRevision())
		}
	}
	if answered == 0 {
		fmt.Fprintln(a.errs, "siskinctl: no gateway answers, so it is not checked that the store has the newest revision")
	}
	if newest <= t.Head.Revision {
		return nil
	}
	// An edit accepted since the tables were read is no loss; the swap of the
	// head then names the conflict.
	head, err := editor.ReadHead(a.ctx, store)
	if err == nil && head.Revision >= newest {
		return nil
	}
	return &olderStoreError{store: t.Head.Revision, inForce: newest}
}
