package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"siskinstand.example/coord/config"
	"siskinstand.example/siskinctl/editor"
)

// maxRowsShown is the maximum number of row names in one line of the history.
const maxRowsShown = 5

type historyCommand struct {
	app   *app
	Table string `long:"table" choice:"routes" choice:"pools" description:"only changes of this table"`
	Count int    `long:"count" short:"n" default:"20" description:"number of changes, newest first"`
}

func newHistoryCommand(a *app) subcommand {
	return subcommand{"history", "List the latest changes of routes and pools", "siskinctl history --table pools -n 5", &historyCommand{app: a}}
}

// Execute prints the changes that the head in the store lists, newest first.
func (c *historyCommand) Execute([]string) error {
	store, err := c.app.newStoreClient()
	if err != nil {
		return err
	}
	head, err := editor.ReadHead(c.app.ctx, store)
	if err != nil {
		return err
	}
	shown := 0
	for _, change := range slices.Backward(head.Changes) {
		if shown == c.Count {
			break
		}
		if c.Table != "" && !slices.ContainsFunc(change.Rows, func(id config.RowID) bool { return string(id.Table) == c.Table }) {
			continue
		}
		shown++
		fmt.Fprintf(c.app.out, "%d  %s  %s  change %s based on %d: %s\n", change.Revision,
			time.UnixMilli(change.UnixMS).UTC().Format(time.RFC3339), change.Author, change.ID, change.Base, rowNames(change))
	}
	return nil
}

func rowNames(c config.HeadChange) string {
	var names []string
	for _, id := range c.Rows[:min(len(c.Rows), maxRowsShown)] {
		names = append(names, rowName(id))
	}
	if more := len(c.Rows) - len(names) + c.OmittedRows; more > 0 {
		names = append(names, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(names, ", ")
}
