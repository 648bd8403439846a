// Command siskin-sidecar queues and admits requests to the endpoint on its
// host.
package main

import (
	"siskinstand.example/service/daemon"
	"siskinstand.example/service/logging"

	"siskinstand.example/sidecar/config"
)

var program = daemon.Program[config.Settings]{
	Name:              "siskin-sidecar",
	Summary:           "process that admits work to the endpoint on its host",
	Description:       "Queues the offers of gateways and passes them to the engine or plain service beside it. SIGTERM and SIGINT end it after its streams; a SIGINT after that ends it at once.",
	DefaultConfigFile: "/etc/siskinstand/sidecar.ini",
	Sample:            config.Sample, Load: config.Load, Run: setupAndRun,
	Check: func(config.Settings) error { return nil },
}

func main() { program.Main() }

func setupAndRun(s config.Settings) error {
	if err := logging.Setup(s.Logging); err != nil {
		return err
	}
	return run(s)
}
