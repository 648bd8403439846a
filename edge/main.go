// Command siskin-edge is the daemon that runs on the entry hosts of the users' platform.
// It forwards the requests of callers to replicas.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"siskinstand.example/edge/config"
	"siskinstand.example/service/daemon"
)

var program = daemon.Program[config.Settings]{
	Name:              "siskin-edge",
	Summary:           "daemon between callers and replicas on the users' platform",
	Description:       "Serves callers over HTTP and passes their requests to replicas. Follows the operators' configuration and the list of replicas in the platform's store. SIGTERM and SIGINT end it after its requests; a SIGINT after that ends it at once. SIGHUP reads the settings again.",
	DefaultConfigFile: "/etc/siskinstand/edge.ini",
	Sample:            config.Sample, Load: config.Load, Check: check, RunWithReload: serve,
}

// reloadSignals receives SIGHUP during the whole life of the process. Without a receiver
// during startup or shutdown, the signal would terminate the process.
var reloadSignals = make(chan os.Signal, 1)

func main() {
	signal.Notify(reloadSignals, syscall.SIGHUP)
	program.Main()
}

// check accepts all settings: there is nothing to check besides config.Settings.Validate.
func check(config.Settings) error { return nil }
