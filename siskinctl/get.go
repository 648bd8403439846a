package main

import (
	"fmt"

	"github.com/rotisserie/eris"

	"siskinstand.example/coord/config"
)

type getCommand struct {
	app     *app
	Section string `long:"section" value-name:"NAME" description:"only this section, such as \"zone a\""`
	Args    struct {
		Table string `positional-arg-name:"TABLE" choice:"routes" choice:"pools" description:"routes or pools"`
	} `positional-args:"yes" required:"yes"`
}

func newGetCommand(a *app) subcommand {
	return subcommand{"get", "Print a table with its revision", "siskinctl get pools > pools.ini", &getCommand{app: a}}
}

// Execute prints the whole table, in the format that apply reads, or one section
// of it with the revision that last changed it.
func (c *getCommand) Execute([]string) error {
	table := config.Table(c.Args.Table)
	if table != config.TableRoutes && table != config.TablePools {
		return &usageError{eris.Errorf("TABLE %q is not accepted; accepted: routes, pools", c.Args.Table)}
	}
	_, t, err := c.app.readTables()
	if err != nil {
		return err
	}
	if c.Section == "" {
		fmt.Fprintf(c.app.out, "%s%d\n%s", revisionComment, t.Head.Revision, t.Document.RenderFile(table).Text)
		return nil
	}
	for _, r := range t.Document.Rows() {
		if r.Table == table && r.Section == c.Section {
			fmt.Fprintf(c.app.out, "# changed at revision %d\n[%s]\n%s", r.Revision, r.Section, r.Text)
			return nil
		}
	}
	return eris.Errorf("%s has no section [%s]", table, c.Section)
}
