// Package tablefile reads the operators' tables from two INI files.
package tablefile

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"siskinstand.example/coord/config"
)

// Source implements control.ConfigSource. The revision is the time of the
// latest change of both files in milliseconds, so that gateways that read the
// same files agree on it.
type Source struct {
	routes string
	pools  string
	poll   time.Duration

	mu       sync.Mutex
	snapshot config.Snapshot
	changed  chan struct{}
	refused  uint64
}

// Open reads both files. Faulty tables are an error.
func Open(routes, pools string, poll time.Duration) (*Source, error) {
	s := &Source{routes: routes, pools: pools, poll: poll, changed: make(chan struct{})}
	if err := s.read(); err != nil {
		return nil, err
	}
	return s, nil
}

// Current returns the tables in force.
func (s *Source) Current() config.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// Changed returns a channel that is closed on the next change.
func (s *Source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Run checks the files until ctx ends. A faulty edit is logged once and the
// tables in force stay.
func (s *Source) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.poll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := s.read(); err != nil {
				klog.ErrorS(err, "configuration refused, the previous one stays in force")
			}
		}
	}
}

func (s *Source) read() error {
	revision, err := s.revision()
	if err != nil {
		return err
	}
	if revision <= s.Current().Revision || revision == s.refused {
		return nil
	}
	tables, err := parse(s.routes, s.pools)
	if err != nil {
		s.refused = revision
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = config.Snapshot{Revision: revision, Tables: tables}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

func (s *Source) revision() (uint64, error) {
	var latest int64
	for _, path := range []string{s.routes, s.pools} {
		info, err := os.Stat(path)
		if err != nil {
			return 0, eris.Wrap(err, "read configuration")
		}
		latest = max(latest, info.ModTime().UnixMilli())
	}
	return uint64(latest), nil
}

func parse(routes, pools string) (*config.Tables, error) {
	r, err := os.ReadFile(routes)
	if err != nil {
		return nil, eris.Wrap(err, "read routes")
	}
	p, err := os.ReadFile(pools)
	if err != nil {
		return nil, eris.Wrap(err, "read pools")
	}
	return config.Parse(config.File{Name: routes, Text: r}, config.File{Name: pools, Text: p})
}
