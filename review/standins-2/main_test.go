// Package cases plays the cases of the second review. It starts siskin-edge as separate processes
// on loopback, with stand-ins of the platform's store, of replicas and of clients, and checks one
// rule by what these have seen. All of it is in test files, since it uses names of the platform.
package cases

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitUnknown = 2
)

// play is one run of a case.
type play struct {
	*record
	// trouble is false if the disruption is left out.
	trouble bool
	// dir is the folder of the settings files and logs.
	dir     string
	program string
	store   *store
	hosts   []*edgeHost
}

var cases = map[string]func(*play) (int, error){
	"crash":  playCrash,
	"entry":  playEntry,
	"leak":   playLeak,
	"limit":  playLimit,
	"silent": playSilent,
}

// TestMain plays the case CASE and writes its record to FOLDER.
func TestMain(*testing.M) {
	name, folder := os.Getenv("CASE"), os.Getenv("FOLDER")
	if cases[name] == nil || folder == "" {
		fmt.Fprintln(os.Stderr, "usage: CASE=NAME FOLDER=FOLDER cases")
		os.Exit(exitUnknown)
	}
	os.Exit(run(name, folder))
}

func run(name, folder string) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitUnknown
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return fail(err)
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs are in", dir)
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return fail(err)
	}
	program, err := filepath.Abs("target/siskin-edge")
	if err != nil {
		return fail(err)
	}
	p := &play{record: rec, trouble: os.Getenv("TROUBLE") != "0", dir: dir, program: program}
	if p.store, err = newStore(); err != nil {
		return fail(err)
	}
	stopHosts := func() {
		for _, e := range p.hosts {
			e.stop()
		}
	}
	defer stopHosts()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		stopHosts()
		os.Exit(exitUnknown)
	}()
	code, err := cases[name](p)
	if err != nil {
		return fail(err)
	}
	p.say("%s", map[int]string{exitHeld: "the rule held", exitBroken: "the rule was broken", exitUnknown: "the case could not run"}[code])
	return code
}

// startHosts starts hosts in the given zones and waits until they are ready.
func (p *play) startHosts(s settings, zones ...string) error {
	for i, zone := range zones {
		e, err := newEdge(p.dir, p.program, fmt.Sprintf("edge-%s-%d", zone, i+1), zone, p.store.address, s)
		if err != nil {
			return err
		}
		p.hosts = append(p.hosts, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range p.hosts {
		if !e.awaitReady(10 * time.Second) {
			return fmt.Errorf("host %s does not get ready", e.name)
		}
	}
	return nil
}

// newReplicas starts replicas of a service.
func (p *play) newReplicas(count int, service, zone string, slots, maxConns int, configure func(*replica)) ([]*replica, error) {
	var list []*replica
	for range count {
		r, err := newReplica(p.store, p.record, service, zone, slots, maxConns)
		if err != nil {
			return nil, err
		}
		configure(r)
		r.start()
		list = append(list, r)
	}
	return list, nil
}
