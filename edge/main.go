// Command siskin-edge is the daemon on entry hosts of the users' platform. It
// passes callers' requests to replicas.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"siskinstand.example/edge/config"
	"siskinstand.example/service/daemon"
)

var program = daemon.Config[config.Settings]{
	Name:              "siskin-edge",
	Summary:           "daemon between callers and replicas on the users' platform",
	Description:       "Serves callers over HTTP and passes their requests to replicas. Follows the operators' configuration and the list of replicas in the platform's store. SIGTERM and SIGINT end it after its requests; a second one ends it at once. SIGHUP reads the settings again.",
	DefaultConfigFile: "/etc/siskinstand/edge.ini",
	Sample:            config.Sample, Load: config.Load, Check: check, RunWithReload: serve,
}

// hangups receives SIGHUP for as long as the process runs: without a receiver,
// at its start or during its end, the signal would end it.
var hangups = make(chan os.Signal, 1)

func main() {
	signal.Notify(hangups, syscall.SIGHUP)
	program.Main()
}

// check has nothing to look at beyond the settings themselves.
func check(config.Settings) error { return nil }
