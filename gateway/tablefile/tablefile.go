// Package tablefile reads the operators' routes and pools tables from two INI
// files, for gateways without a key-value store.
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

// Source implements control.ConfigSource. The revision is the later modification
// time of the two files in milliseconds, so that it is the same at all gateways
// that read the same files.
type Source struct {
	routesPath   string
	poolsPath    string
	pollInterval time.Duration

	mu               sync.Mutex
	snapshot         config.Snapshot
	changed          chan struct{}
	rejectedRevision uint64
}

// Open reads both files and returns an error if a table is invalid.
func Open(routesPath, poolsPath string, pollInterval time.Duration) (*Source, error) {
	s := &Source{routesPath: routesPath, poolsPath: poolsPath, pollInterval: pollInterval, changed: make(chan struct{})}
	if err := s.reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Current returns the tables in force and their revision.
func (s *Source) Current() config.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// Changed returns a channel that is closed at the next change of Current.
func (s *Source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Run checks the files for changes until ctx is cancelled. An invalid edit is
// logged once, a missing file at every check. In both cases the tables in force
// stay.
func (s *Source) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := s.reload(); err != nil {
				klog.ErrorS(err, "failed to reload the configuration, the previous one stays in force")
			}
		}
	}
}

func (s *Source) reload() error {
	revision, err := s.revision()
	if err != nil {
		return err
	}
	if revision <= s.Current().Revision || revision == s.rejectedRevision {
		return nil
	}
	tables, err := parse(s.routesPath, s.poolsPath)
	if err != nil {
		s.rejectedRevision = revision
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
	for _, path := range []string{s.routesPath, s.poolsPath} {
		info, err := os.Stat(path)
		if err != nil {
			return 0, eris.Wrap(err, "read configuration")
		}
		latest = max(latest, info.ModTime().UnixMilli())
	}
	return uint64(latest), nil
}

func parse(routesPath, poolsPath string) (*config.Tables, error) {
	r, err := os.ReadFile(routesPath)
	if err != nil {
		return nil, eris.Wrap(err, "read routes")
	}
	p, err := os.ReadFile(poolsPath)
	if err != nil {
		return nil, eris.Wrap(err, "read pools")
	}
	return config.Parse(config.File{Name: routesPath, Text: r}, config.File{Name: poolsPath, Text: p})
}
