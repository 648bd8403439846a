package main

import (
	"fmt"
	"slices"
	"strings"

	"siskinstand.example/coord/config"
	"siskinstand.example/siskinctl/editor"
)

type diffRun struct {
	app *app
	fileOptions
}

func diffCommand(a *app) command {
	return command{"diff", "Show the rows that files would change", "siskinctl diff --pools pools.ini", &diffRun{app: a}}
}

// Execute prints the changed rows and fails if there are any.
func (c *diffRun) Execute([]string) error {
	files, err := c.load()
	if err != nil {
		return err
	}
	_, t, err := c.app.read()
	if err != nil {
		return err
	}
	rows, err := edits(t, files)
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

func lines(text string) []string { return slices.Collect(strings.Lines(text)) }

// rowDiff shows the old and the new text of a row.
func rowDiff(t editor.Tables, r config.RowEdit) string {
	var b strings.Builder
	b.WriteString(rowName(r.RowID) + "\n")
	old := t.Document.Text(r.RowID)
	before, after := lines(old), lines(r.Text)
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
