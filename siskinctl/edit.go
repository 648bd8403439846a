package main

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"siskinstand.example/coord/config"
)

type editCommand struct {
	app      *app
	Delete   bool    `long:"delete" description:"delete the row"`
	Base     *uint64 `long:"base" value-name:"REVISION" description:"revision that the edit is based on; default: the newest"`
	ChangeID string  `long:"change-id" value-name:"ID" description:"identifier of the change; repeat an edit of unknown outcome with the same one"`
	Args     struct {
		Table   string   `positional-arg-name:"TABLE" required:"yes" description:"routes or pools"`
		Section string   `positional-arg-name:"SECTION" required:"yes" description:"section name such as \"zone a\""`
		Keys    []string `positional-arg-name:"KEY=VALUE" description:"keys to set; an empty value removes the key"`
	} `positional-args:"yes"`
}

func newEditCommand(a *app) subcommand {
	return subcommand{"edit", "Change the keys of one row", `siskinctl edit pools "zone zilina-b" state=out`, &editCommand{app: a}}
}

// Execute sets or removes keys of one row without changing its other keys, or
// deletes the row.
func (c *editCommand) Execute([]string) error {
	id := config.RowID{Table: config.Table(c.Args.Table), Section: c.Args.Section}
	if !slices.Contains(config.TableNames(), id.Table) {
		return &usageError{eris.Errorf("TABLE %q is not accepted; accepted: routes, pools", c.Args.Table)}
	}
	if c.Delete != (len(c.Args.Keys) == 0) {
		return &usageError{eris.New("either KEY=VALUE or --delete is needed")}
	}
	store, t, err := c.app.readTables()
	if err != nil {
		return err
	}
	base := t.Head.Revision
	if c.Base != nil {
		base = *c.Base
	}
	old := t.Document.RowText(id)
	edit := config.RowEdit{RowID: id}
	if c.Delete && old == "" {
		return eris.Errorf("%s has no section [%s]", id.Table, id.Section)
	}
	if !c.Delete {
		if edit.Text, err = setKeys(old, c.Args.Keys); err != nil {
			return err
		}
		if edit.Text == old {
			return c.app.applyEdit(store, t, base, c.ChangeID, nil)
		}
	}
	return c.app.applyEdit(store, t, base, c.ChangeID, []config.RowEdit{edit})
}

// setKeys sets the given keys in the text of a row, appends new ones and removes
// those with an empty value. It drops empty lines and comments. A row without
// keys gets a comment as its text, because an empty text would delete the row.
func setKeys(text string, assignments []string) (string, error) {
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	for _, assignment := range assignments {
		key, value, ok := strings.Cut(assignment, "=")
		key, value = strings.TrimSpace(key), strings.TrimSpace(value)
		if !ok || key == "" || strings.ContainsAny(assignment, "\n\r") || strings.ContainsAny(key, "[#;") {
			return "", &usageError{eris.Errorf("%q is not accepted; accepted: KEY=VALUE", assignment)}
		}
		index := slices.IndexFunc(lines, func(line string) bool {
			name, _, _ := strings.Cut(line, "=")
			return strings.TrimSpace(name) == key
		})
		switch {
		case value == "" && index >= 0:
			lines = slices.Delete(lines, index, index+1)
		case value != "" && index >= 0:
			lines[index] = key + " = " + value
		case value != "":
			lines = append(lines, key+" = "+value)
		}
	}
	lines = slices.DeleteFunc(lines, func(line string) bool { return line == "" || line[0] == '#' })
	if len(lines) == 0 {
		return "# no keys\n", nil
	}
	return strings.Join(lines, "\n") + "\n", nil
}
