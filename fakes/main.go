// Command siskin-fake runs the fakes of external systems that tests and the demo
// use. Each one serves the protocol of its system and, under /control, the switches
// that simulate failures.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"siskinstand.example/service/buildinfo"
	"siskinstand.example/service/logging"
)

type options struct {
	Engine       engineCommand       `command:"engine" description:"model engine"`
	KVStore      kvstoreCommand      `command:"kvstore" description:"key-value store"`
	HostList     hostlistCommand     `command:"hostlist" description:"host list"`
	WeightStore  weightstoreCommand  `command:"weightstore" description:"weight store"`
	PlainService plainserviceCommand `command:"plainservice" description:"plain service that counts the runs of each idempotency key"`
}

func newParser() *flags.Parser {
	p := flags.NewNamedParser("siskin-fake", flags.Default)
	p.ShortDescription = "stand-ins of outside systems for tests and the demo"
	p.LongDescription = "Each command runs one stand-in and prints the address that it listens on. Its switches are read and set under /control."
	if _, err := p.AddGroup("Options", "", &options{}); err != nil {
		panic(err)
	}
	if _, err := p.AddGroup("Program", "", buildinfo.NewOptions(p.Name)); err != nil {
		panic(err)
	}
	return p
}

func main() {
	if err := logging.Setup(logging.Config{}); err != nil {
		klog.ErrorS(err, "logging setup failed")
		os.Exit(1)
	}
	_, err := newParser().Parse()
	var flagsErr *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
	default:
		os.Exit(1)
	}
}
