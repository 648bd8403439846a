package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/coord/config"
	"siskinstand.example/service/buildinfo"
	"siskinstand.example/siskinctl/editor"
)

// globalOptions are the flags that all commands accept. They override the
// settings.
type globalOptions struct {
	Settings string        `long:"settings" env:"SISKINCTL_SETTINGS" value-name:"FILE" description:"INI file with settings; see siskinctl --sample"`
	Sample   bool          `long:"sample" description:"print a commented settings file"`
	Store    string        `long:"store" value-name:"HOST:PORT" description:"address of the key-value store"`
	Gateways []string      `long:"gateway" value-name:"HOST:PORT" description:"address of a gateway; may be repeated"`
	Timeout  time.Duration `long:"timeout" value-name:"DURATION" description:"time limit of the command"`
}

// app holds the state of one invocation of siskinctl.
type app struct {
	options  globalOptions
	settings Settings
	in       io.Reader
	out      io.Writer
	errOut   io.Writer
	ctx      context.Context
}

// subcommand is a subcommand with its help texts.
type subcommand struct {
	name      string
	short     string
	example   string
	commander flags.Commander
}

func (a *app) subcommands() []subcommand {
	return []subcommand{
		newGetCommand(a), newDiffCommand(a), newCheckCommand(a), newEditCommand(a), newApplyCommand(a),
		newHistoryCommand(a), newRestoreCommand(a), newStatusCommand(a), newBurnCommand(a), newCompletionCommand(a),
	}
}

// run executes one command line and returns the exit code.
func run(args []string, in io.Reader, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	a := &app{in: in, out: out, errOut: errOut, ctx: ctx}
	err := a.execute(args)
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Fprintln(out, help.Message)
		return exitOK
	}
	if err != nil && !slices.ContainsFunc([]error{errDiffers, errNotHealthy, errInvalidConfig, errWarnings}, func(e error) bool { return errors.Is(err, e) }) {
		fmt.Fprintln(errOut, "siskinctl:", err)
	}
	return exitCode(err)
}

func (a *app) newParser() (*flags.Parser, error) {
	parser := flags.NewNamedParser("siskinctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "operators' command of siskinstand"
	parser.LongDescription = "Edits the routes and pools tables and shows the state of the fleet.\n" + exitHelp
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Global options", "", &a.options); err != nil {
		return nil, err
	}
	if _, err := parser.AddGroup("Program", "", buildinfo.NewOptions(parser.Name)); err != nil {
		return nil, err
	}
	for _, c := range a.subcommands() {
		if _, err := parser.AddCommand(c.name, c.short, c.short+".\n\nExample:\n  "+c.example, c.commander); err != nil {
			return nil, err
		}
	}
	return parser, nil
}

func (a *app) execute(args []string) error {
	parser, err := a.newParser()
	if err != nil {
		return err
	}
	parser.CommandHandler = func(c flags.Commander, rest []string) error {
		if a.options.Sample {
			fmt.Fprint(a.out, sampleSettings())
			return nil
		}
		if c == nil {
			return &flags.Error{Type: flags.ErrCommandRequired, Message: "a command is needed; see siskinctl --help"}
		}
		if len(rest) > 0 {
			return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected argument %q", rest[0])}
		}
		return a.executeCommand(c)
	}
	_, err = parser.ParseArgs(args)
	return err
}

func (a *app) executeCommand(c flags.Commander) error {
	settings, err := loadSettings(a.options)
	if err != nil {
		return &usageError{err}
	}
	a.settings = settings
	ctx, cancel := context.WithTimeout(a.ctx, settings.Command.Timeout)
	defer cancel()
	a.ctx = ctx
	return c.Execute(nil)
}

func (a *app) newStoreClient() (*kvstore.Client, error) {
	if a.settings.Store.Address == "" {
		return nil, &usageError{eris.New("[store] address: required for this command; accepted: HOST:PORT, also by --store")}
	}
	return kvstore.NewClient(a.settings.Store.Address, kvstore.DefaultLimits()), nil
}

// readTables returns the current tables and the client of their store.
func (a *app) readTables() (*kvstore.Client, editor.Tables, error) {
	store, err := a.newStoreClient()
	if err != nil {
		return nil, editor.Tables{}, err
	}
	tables, err := editor.Read(a.ctx, store)
	return store, tables, err
}

// applyEdit applies an edit of the given rows and prints the new revision, or only
// prints that nothing changes if there are no rows. An empty id is replaced by a
// random one.
func (a *app) applyEdit(store *kvstore.Client, t editor.Tables, base uint64, id string, rows []config.RowEdit) error {
	if len(rows) == 0 {
		fmt.Fprintf(a.out, "no change to revision %d\n", t.Head.Revision)
		return nil
	}
	if err := a.checkStoreNotOlder(store, t); err != nil {
		return err
	}
	if id == "" {
		id = rand.Text()
	}
	edit := config.Edit{ID: id, Author: a.settings.Command.Author, Base: base, Time: time.Now(), Rows: rows}
	revision, err := editor.Apply(a.ctx, store, t, edit)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "accepted: revision %d, change %s, %d rows\n", revision, id, len(rows))
	return nil
}
