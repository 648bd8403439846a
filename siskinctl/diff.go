package main

import (
	"fmt"
	"slices"
	"strings"

	"siskinstand.example/coord/config"
	"siskinstand.example/siskinctl/editor"
)

type diffCommand struct {
	app *app
	fileOptions
}

func newDiffCommand(a *app) subcommand {
	return subcommand{"diff", "Show the rows that files would change", "siskinctl diff --pools pools.ini", &diffCommand{app: a}}
}

// Execute prints the changed rows and returns errDiffers if there are any.
func (c *diffCommand) Execute([]string) error {
	files, err := c.readFiles()
	if err != nil {
		return err
	}
	_, t, err := c.app.readTables()
	if err != nil {
		return err
	}
	rows, err := changedRows(t, files)
	if err != nil {
		return err
	}
	for _, r := range rows {
		fmt.Fprint(c.app.out, rowDiff(t, r))
	}
	if len(rows) > 0 {
		return errDiffers
	}
	return nil
}

func splitLines(text string) []string { return slices.Collect(strings.Lines(text)) }

// rowDiff returns the name of a row and the lines that an edit removes from and
// adds to it.
func rowDiff(t editor.Tables, r config.RowEdit) string {
	var b strings.Builder
	b.WriteString(rowName(r.RowID) + "\n")
	old := t.Document.RowText(r.RowID)
	before, after := splitLines(old), splitLines(r.Text)
	for _, line := range before {
		if !slices.Contains(after, line) {
			b.WriteString("- " + line)
		}
	}
	for _, line := range after {
		if !slices.Contains(before, line) {
			b.WriteString("+ " + line)
		}
	}
	return b.String()
}
