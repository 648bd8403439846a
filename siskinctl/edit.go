package main

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"siskinstand.example/coord/config"
)

type editRun struct {
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

func editCommand(a *app) command {
	return command{"edit", "Change the keys of one row", `siskinctl edit pools "zone zilina-b" state=out`, &editRun{app: a}}
}

// Execute sets keys of one row and leaves its other keys.
func (c *editRun) Execute([]string) error {
	id := config.RowID{Table: config.Table(c.Args.Table), Section: c.Args.Section}
	if !slices.Contains(config.TableNames(), id.Table) {
		return &usageError{eris.Errorf("TABLE %q is not accepted; accepted: routes, pools", c.Args.Table)}
	}
	if c.Delete != (len(c.Args.Keys) == 0) {
		return &usageError{eris.New("either KEY=VALUE or --delete is needed")}
	}
	store, t, err := c.app.read()
	if err != nil {
		return err
	}
	base := t.Head.Revision
	if c.Base != nil {
		base = *c.Base
	}
	old := t.Document.Text(id)
	edit := config.RowEdit{RowID: id}
	if c.Delete && old == "" {
		return eris.Errorf("%s has no section [%s]", id.Table, id.Section)
	}
	if !c.Delete {
		if edit.Text, err = setKeys(old, c.Args.Keys); err != nil {
			return err
		}
		if edit.Text == old {
			return c.app.change(store, t, base, c.ChangeID, nil)
		}
	}
	return c.app.change(store, t, base, c.ChangeID, []config.RowEdit{edit})
}

// setKeys replaces the lines of the given keys and appends new ones.
func setKeys(text string, assignments []string) (string, error) {
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	for _, a := range assignments {
		key, value, ok := strings.Cut(a, "=")
		key, value = strings.TrimSpace(key), strings.TrimSpace(value)
		if !ok || key == "" || strings.ContainsAny(a, "\n\r") || strings.ContainsAny(key, "[#;") {
			return "", &usageError{eris.Errorf("%q is not accepted; accepted: KEY=VALUE", a)}
		}
		at := slices.IndexFunc(lines, func(line string) bool {
			name, _, _ := strings.Cut(line, "=")
			return strings.TrimSpace(name) == key
		})
		switch {
		case value == "" && at >= 0:
			lines = slices.Delete(lines, at, at+1)
		case value != "" && at >= 0:
			lines[at] = key + " = " + value
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
