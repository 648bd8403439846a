package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"siskinstand.example/coord/config"
	"siskinstand.example/siskinctl/editor"
)

// revisionComment marks the revision that a file was read at.
const revisionComment = "# revision "

// fileOptions name the files of a command; a table without a file keeps the
// store's rows.
type fileOptions struct {
	Routes string `long:"routes" value-name:"FILE" description:"file of the routes table"`
	Pools  string `long:"pools" value-name:"FILE" description:"file of the pools table"`
}

// load reads the files given, in the order of config.TableNames.
func (o fileOptions) load() (map[config.Table]config.File, error) {
	files := map[config.Table]config.File{}
	for table, path := range map[config.Table]string{config.TableRoutes: o.Routes, config.TablePools: o.Pools} {
		if path == "" {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, &usageError{eris.Wrap(err, "read table")}
		}
		files[table] = config.File{Name: path, Text: text}
	}
	if len(files) == 0 {
		return nil, &usageError{eris.New("--routes or --pools is needed")}
	}
	return files, nil
}

// edits checks the files together with the store's other table and lists the
// rows that they change.
func edits(t editor.Tables, files map[config.Table]config.File) ([]config.RowEdit, error) {
	whole := map[config.Table]config.File{}
	for _, table := range config.TableNames() {
		whole[table] = t.Document.RenderFile(table)
		if f, ok := files[table]; ok {
			whole[table] = f
		}
	}
	if _, err := config.Parse(whole[config.TableRoutes], whole[config.TablePools]); err != nil {
		return nil, err
	}
	var rows []config.RowEdit
	for _, table := range config.TableNames() {
		if f, ok := files[table]; ok {
			more, err := t.Document.DiffFile(table, f)
			if err != nil {
				return nil, err
			}
			rows = append(rows, more...)
		}
	}
	return rows, nil
}

// baseOf returns the revision that the files were read at.
func baseOf(files map[config.Table]config.File) (uint64, error) {
	found, base := false, uint64(0)
	for _, f := range files {
		for line := range strings.Lines(string(f.Text)) {
			text, ok := strings.CutPrefix(strings.TrimSpace(line), revisionComment)
			if !ok {
				continue
			}
			revision, err := strconv.ParseUint(text, 10, 64)
			if err != nil || found && revision != base {
				return 0, &usageError{eris.Errorf("%s: revision %q is not valid or differs between the files", f.Name, text)}
			}
			found, base = true, revision
			break
		}
	}
	if !found {
		return 0, &usageError{eris.Errorf("no base revision; accepted: --base NUMBER, or a line %qNUMBER as siskinctl get writes it", revisionComment)}
	}
	return base, nil
}

func rowName(id config.RowID) string { return fmt.Sprintf("%s [%s]", id.Table, id.Section) }

func emptyTables() editor.Tables {
	return editor.Tables{Head: config.EmptyHead(), Document: config.EmptyDocument()}
}
