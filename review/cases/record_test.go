package cases

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to record.txt.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates record.txt in the folder of the case, the working directory.
func NewRecord() *Record {
	f, err := os.Create("record.txt")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	return &Record{file: f, started: time.Now()}
}

// Line writes one line with the time since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Now returns the time since the start.
func (r *Record) Now() time.Duration { return time.Since(r.started) }

// HasTrouble reports whether the disruption is to be played.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// TempDir returns a new temporary folder.
func TempDir() string {
	dir, err := os.MkdirTemp("", "siskinreview-")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	return dir
}

// Finish removes the temporary folder and ends the process: 1 if the rule was broken, 0 if
// it held, 2 if the case could not run.
func (r *Record) Finish(dir string, code int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Line("%s", text)
	fmt.Println(text)
	_ = r.file.Close()
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("kept", filepath.Clean(dir))
	}
	os.Exit(code)
}
