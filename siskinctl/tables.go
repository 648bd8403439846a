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

// revisionComment is the prefix of the comment in a table file that holds the
// revision at which the table was read.
const revisionComment = "# revision "

// fileOptions are the flags that name the table files of a command. A table
// without a file keeps the rows in the store.
type fileOptions struct {
	Routes string `long:"routes" value-name:"FILE" description:"file of the routes table"`
	Pools  string `long:"pools" value-name:"FILE" description:"file of the pools table"`
}

// readFiles reads the given files and returns them by table.
func (o fileOptions) readFiles() (map[config.Table]config.File, error) {
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

// changedRows validates the files, together with the stored rows of a table without
// a file, and returns the rows in which the files differ from the store.
func changedRows(t editor.Tables, files map[config.Table]config.File) ([]config.RowEdit, error) {
	merged := mergeFiles(t, files)
	if _, err := config.Parse(merged[config.TableRoutes], merged[config.TablePools]); err != nil {
		return nil, err
	}
	var rows []config.RowEdit
	for _, table := range config.TableNames() {
		if f, ok := files[table]; ok {
			tableRows, err := t.Document.DiffFile(table, f)
			if err != nil {
				return nil, err
			}
			rows = append(rows, tableRows...)
		}
	}
	return rows, nil
}

// mergeFiles returns the files, with the stored rows of a table without a file.
func mergeFiles(t editor.Tables, files map[config.Table]config.File) map[config.Table]config.File {
	merged := map[config.Table]config.File{}
	for _, table := range config.TableNames() {
		merged[table] = t.Document.RenderFile(table)
		if f, ok := files[table]; ok {
			merged[table] = f
		}
	}
	return merged
}

// baseRevision returns the revision in the revision comments of the files.
func baseRevision(files map[config.Table]config.File) (uint64, error) {
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
		return 0, &usageError{eris.Errorf("no base revision; accepted: --base NUMBER, or the line '%sNUMBER' that siskinctl get writes", revisionComment)}
	}
	return base, nil
}

func rowName(id config.RowID) string { return fmt.Sprintf("%s [%s]", id.Table, id.Section) }

func emptyTables() editor.Tables {
	return editor.Tables{Head: config.EmptyHead(), Document: config.EmptyDocument()}
}
