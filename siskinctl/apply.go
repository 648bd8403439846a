package main

type applyCommand struct {
	app *app
	fileOptions
	Base     *uint64 `long:"base" value-name:"REVISION" description:"revision that the files are based on; default: the comment that get wrote"`
	ChangeID string  `long:"change-id" value-name:"ID" description:"identifier of the change; repeat an edit of unknown outcome with the same one"`
}

func newApplyCommand(a *app) subcommand {
	return subcommand{"apply", "Make the store's tables equal to files", "siskinctl apply --pools pools.ini", &applyCommand{app: a}}
}

// Execute applies all rows that differ as one edit.
func (c *applyCommand) Execute([]string) error {
	files, err := c.readFiles()
	if err != nil {
		return err
	}
	var base uint64
	if c.Base != nil {
		base = *c.Base
	} else if base, err = baseRevision(files); err != nil {
		return err
	}
	store, t, err := c.app.readTables()
	if err != nil {
		return err
	}
	rows, err := changedRows(t, files)
	if err != nil {
		return err
	}
	return c.app.applyEdit(store, t, base, c.ChangeID, rows)
}
