package main

import "fmt"

type checkRun struct {
	app *app
	fileOptions
}

func checkCommand(a *app) command {
	return command{"check", "Check tables without changing anything", "siskinctl check --routes routes.ini --pools pools.ini", &checkRun{app: a}}
}

// Execute reads the store only for a table without a file.
func (c *checkRun) Execute([]string) error {
	files, err := c.load()
	if err != nil {
		return err
	}
	t := emptyTables()
	if len(files) == 1 {
		if _, t, err = c.app.read(); err != nil {
			return err
		}
	}
	if _, err := edits(t, files); err != nil {
		return err
	}
	fmt.Fprintln(c.app.out, "valid")
	return nil
}
