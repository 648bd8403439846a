// Package buildinfo tells from which sources the running program was built, by the information
// that the go command stores in each program.
package buildinfo

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// unknownRevision is the revision of a program that was built outside a repository, or with
// -buildvcs=false.
const unknownRevision = "unknown"

// Info identifies the sources of a program.
type Info struct {
	// Revision is the commit that was checked out, or "unknown".
	Revision string
	// Time is the time of that commit in RFC 3339 format, or empty.
	Time string
	// IsModified is set if the work tree differed from that commit.
	IsModified bool
}

// Read returns the information about the running program.
func Read() Info {
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return Info{Revision: unknownRevision}
	}
	return fromSettings(b.Settings)
}

func fromSettings(list []debug.BuildSetting) Info {
	info := Info{Revision: unknownRevision}
	for _, s := range list {
		switch s.Key {
		case "vcs.revision":
			info.Revision = s.Value
		case "vcs.time":
			info.Time = s.Value
		case "vcs.modified":
			info.IsModified = s.Value == "true"
		}
	}
	return info
}

// String returns the text that --version prints after the name of the program.
func (i Info) String() string {
	text := "revision " + i.Revision
	if i.IsModified {
		text += " (modified)"
	}
	if i.Time != "" {
		text += " of " + i.Time
	}
	return fmt.Sprintf("%s, %s %s/%s", text, runtime.Version(), runtime.GOOS, runtime.GOARCH)
}

// LogFields returns the fields that the first log line of a program has.
func (i Info) LogFields() []any { return []any{"revision", i.Revision, "modified", i.IsModified} }

// Options are the options about the program itself, as a group of a go-flags parser. The parser
// returns an error of the type flags.ErrHelp, with the text to print, if one of them is given.
type Options struct {
	Version func() error `long:"version" description:"print the revision of the sources and exit"`
}

// NewOptions returns the options of a program.
func NewOptions(program string) *Options {
	return &Options{Version: func() error {
		return &flags.Error{Type: flags.ErrHelp, Message: program + " " + Read().String()}
	}}
}
