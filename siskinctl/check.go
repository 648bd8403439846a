package main

import "fmt"

type checkCommand struct {
	app *app
	fileOptions
}

func newCheckCommand(a *app) subcommand {
	return subcommand{"check", "Check tables without changing anything", "siskinctl check --routes routes.ini --pools pools.ini", &checkCommand{app: a}}
}

// Execute validates the files. It reads the store only if one of the two tables
// has no file.
func (c *checkCommand) Execute([]string) error {
	files, err := c.readFiles()
	if err != nil {
		return err
	}
	t := emptyTables()
	if len(files) == 1 {
		if _, t, err = c.app.readTables(); err != nil {
			return err
		}
	}
	if _, err := changedRows(t, files); err != nil {
		return err
	}
	fmt.Fprintln(c.app.out, "valid")
	return nil
}
