package main

type applyRun struct {
	app *app
	fileOptions
	Base     *uint64 `long:"base" value-name:"REVISION" description:"revision that the files are based on; default: the comment that get wrote"`
	ChangeID string  `long:"change-id" value-name:"ID" description:"identifier of the change; repeat an edit of unknown outcome with the same one"`
}

func applyCommand(a *app) command {
	return command{"apply", "Make the store's tables equal to files", "siskinctl apply --pools pools.ini", &applyRun{app: a}}
}

// Execute makes one edit of all rows that differ.
func (c *applyRun) Execute([]string) error {
	files, err := c.load()
	if err != nil {
		return err
	}
	var base uint64
	if c.Base != nil {
		base = *c.Base
	} else if base, err = baseOf(files); err != nil {
		return err
	}
	store, t, err := c.app.read()
	if err != nil {
		return err
	}
	rows, err := edits(t, files)
	if err != nil {
		return err
	}
	return c.app.change(store, t, base, c.ChangeID, rows)
}
