package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"siskinstand.example/coord/config"
	"siskinstand.example/coord/configcheck"
	"siskinstand.example/platform"
	"siskinstand.example/siskinctl/editor"
)

var (
	errInvalidConfig = errors.New("the configuration is not valid")
	errWarnings      = errors.New("the configuration has warnings")
)

type checkCommand struct {
	app *app
	fileOptions
	Document    string   `long:"document" value-name:"FILE" description:"file of the users' JSON document, instead of the tables"`
	InForce     string   `long:"in-force" value-name:"FILE" description:"document in force, to compare --document with"`
	Output      string   `long:"output" choice:"text" choice:"json" default:"text" description:"format of the findings"`
	Strict      bool     `long:"strict" description:"fail with exit code 10 if there are warnings"`
	Zones       []string `long:"zone" value-name:"NAME" description:"availability zone that exists; may be repeated; without it, names of zones are not checked"`
	MemoryMB    int64    `long:"memory-mb" value-name:"MB" description:"memory of the smallest host"`
	Descriptors int      `long:"descriptors" value-name:"NUMBER" description:"descriptors of the smallest host"`
}

// checkResult is the output of check. Differences are those from the store, if it was
// read.
type checkResult struct {
	Valid bool `json:"valid"`
	// Compared reports whether Differences was determined.
	Compared    bool                  `json:"compared"`
	Findings    []configcheck.Finding `json:"findings"`
	Differences []rowDifference       `json:"differences"`
}

type rowDifference struct {
	Table   config.Table `json:"table,omitempty"`
	Section string       `json:"section"`
	Diff    string       `json:"diff"`
}

func newCheckCommand(a *app) subcommand {
	return subcommand{"check", "Check tables or a document without changing anything", "siskinctl check --routes routes.ini --pools pools.ini", &checkCommand{app: a}}
}

// Execute checks the files and prints all findings. It reads the store if a table has
// no file or if the settings name a store to compare with.
func (c *checkCommand) Execute([]string) error {
	hosts := configcheck.Hosts{Zones: c.Zones, MemoryBytes: c.MemoryMB << 20, Descriptors: c.Descriptors}
	if c.Document == "" {
		if c.InForce != "" {
			return &usageError{eris.New("--in-force needs --document")}
		}
		return c.checkTables(hosts)
	}
	return c.checkDocument(hosts)
}

func (c *checkCommand) checkDocument(hosts configcheck.Hosts) error {
	if c.Routes != "" || c.Pools != "" {
		return &usageError{eris.New("--document cannot be combined with --routes or --pools")}
	}
	data, err := os.ReadFile(c.Document)
	if err != nil {
		return &usageError{eris.Wrap(err, "read document")}
	}
	_, findings := platform.CheckConfig(c.Document, data, hosts)
	result := checkResult{Findings: findings}
	if c.InForce != "" && !configcheck.HasErrors(findings) {
		before, err := os.ReadFile(c.InForce)
		if err != nil {
			return &usageError{eris.Wrap(err, "read document in force")}
		}
		diffs, err := platform.DiffConfig(before, data)
		if err != nil {
			return &usageError{eris.Wrap(err, c.InForce)}
		}
		result.Compared = true
		for _, d := range diffs {
			text := "[" + d.Section + "]\n" + strings.Join(d.Lines, "\n") + "\n"
			result.Differences = append(result.Differences, rowDifference{Section: d.Section, Diff: text})
		}
	}
	return c.print(result)
}

func (c *checkCommand) checkTables(hosts configcheck.Hosts) error {
	files, err := c.readFiles()
	if err != nil {
		return err
	}
	t, stored := emptyTables(), false
	if len(files) == 1 || c.app.settings.Store.Address != "" {
		var inStore editor.Tables
		_, inStore, err = c.app.readTables()
		switch {
		case err == nil:
			t, stored = inStore, true
		case len(files) == 1:
			return err
		default:
			// Two files can be checked without the store.
			fmt.Fprintln(c.app.errOut, "siskinctl: not compared with the store:", err)
		}
	}
	merged := mergeFiles(t, files)
	routes, pools := merged[config.TableRoutes], merged[config.TablePools]
	rows, errs := config.ParseAll(routes, pools)
	result := checkResult{Findings: append(configcheck.FromErrors("", errs), configcheck.CheckTables(routes.Name, pools.Name, rows, hosts)...)}
	if stored && len(errs) == 0 {
		if result.Differences, err = differences(t, files); err != nil {
			return err
		}
		result.Compared = true
	}
	return c.print(result)
}

func differences(t editor.Tables, files map[config.Table]config.File) ([]rowDifference, error) {
	changed, err := changedRows(t, files)
	var list []rowDifference
	for _, r := range changed {
		list = append(list, rowDifference{r.Table, r.Section, rowDiff(t, r)})
	}
	return list, err
}

func (c *checkCommand) print(r checkResult) error {
	r.Valid = !configcheck.HasErrors(r.Findings)
	if c.Output == "json" {
		r.Findings, r.Differences = append([]configcheck.Finding{}, r.Findings...), append([]rowDifference{}, r.Differences...)
		encoder := json.NewEncoder(c.app.out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(r); err != nil {
			return eris.Wrap(err, "print findings")
		}
	} else {
		for _, f := range r.Findings {
			fmt.Fprintln(c.app.out, f)
		}
		for _, d := range r.Differences {
			fmt.Fprint(c.app.out, d.Diff)
		}
		if r.Valid {
			fmt.Fprintln(c.app.out, "valid")
		}
	}
	switch {
	case !r.Valid:
		return errInvalidConfig
	case c.Strict && len(r.Findings) > 0:
		return errWarnings
	}
	return nil
}
