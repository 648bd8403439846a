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

type restoreCommand struct{ app *app }

func newRestoreCommand(a *app) subcommand {
	return subcommand{"restore", "Write the tables in force over older ones in the store", "siskinctl restore --gateway 10.0.0.1:7100", &restoreCommand{a}}
}

// Execute overwrites older tables in the store with those of the gateway that
// has the highest revision.
func (c *restoreCommand) Execute([]string) error {
	store, t, err := c.app.readTables()
	if err != nil {
		return err
	}
	inForce, err := c.app.documentInForce()
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

// documentInForce returns the document with the highest revision of the gateways
// that answer.
func (a *app) documentInForce() (*config.Document, error) {
	replies, err := callGateways(a, readSnapshot)
	if err != nil {
		return nil, err
	}
	var newest *config.Document
	for _, r := range replies {
		if r.err == nil && (newest == nil || r.response.Revision() > newest.Revision()) {
			newest = r.response
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

// checkStoreNotOlder returns an error if a gateway has a newer revision than the
// store, which means that the store lost changes. An edit would get a revision
// that processes already have, so it would never take effect. If no gateway is
// configured or none answers, it only prints a warning.
func (a *app) checkStoreNotOlder(store *kvstore.Client, t editor.Tables) error {
	if len(a.settings.Fleet.Gateways) == 0 {
		fmt.Fprintln(a.errOut, "siskinctl: [fleet] gateways is not set, so the store's revision is not compared with the revision in force")
		return nil
	}
	replies, err := callGateways(a, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.StatusResponse, error) {
		return p.Status(ctx, &peerpb.StatusRequest{})
	})
	if err != nil {
		return err
	}
	answered, newestRevision := 0, uint64(0)
	for _, r := range replies {
		if r.err == nil {
			answered++
			newestRevision = max(newestRevision, r.response.GetSender().GetConfigRevision())
		}
	}
	if answered == 0 {
		fmt.Fprintln(a.errOut, "siskinctl: no gateway answers, so the store's revision is not compared with the revision in force")
	}
	if newestRevision <= t.Head.Revision {
		return nil
	}
	// The store may have accepted another edit since the tables were read. No
	// change is lost then, and the swap of the head reports the conflict.
	head, err := editor.ReadHead(a.ctx, store)
	if err == nil && head.Revision >= newestRevision {
		return nil
	}
	return &olderStoreError{store: t.Head.Revision, inForce: newestRevision}
}
