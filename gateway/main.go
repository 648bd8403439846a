// Command siskin-gateway is the daemon on entry hosts that receives the requests
// of callers and forwards them to the sidecars of endpoints.
package main

import (
	"siskinstand.example/service/daemon"

	"siskinstand.example/gateway/config"
)

var program = daemon.Program[config.Settings]{
	Name:              "siskin-gateway",
	Summary:           "daemon between callers and sidecars",
	Description:       "Serves callers over HTTP and passes their requests to the sidecars of endpoints. SIGTERM and SIGINT end it after its requests; a SIGINT after that ends it at once.",
	DefaultConfigFile: "/etc/siskinstand/gateway.ini",
	Sample:            config.Sample, Load: config.Load, Check: check, Run: serve,
}

func main() { program.Main() }
