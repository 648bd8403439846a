package config

import "time"

// Peers configures the exchange of load reports with other entry hosts.
type Peers struct {
	Address  string        `ini:"address" example:"127.0.0.1:7340" help:"UDP address for messages between entry hosts"`
	Interval time.Duration `ini:"interval" default:"10ms" min:"1ms" max:"1s" help:"shortest time between two reports of load"`
	Repeat   time.Duration `ini:"repeat" default:"500ms" min:"10ms" max:"10s" help:"longest time between two reports of load"`
	// With the default, each of 25 hosts can report every 10 ms, which the placement of
	// large prompts needs, and each of 378 hosts, the design size, every 0.15 s.
	ReportsPerSecond float64       `ini:"reports_per_second" default:"2500" min:"1" max:"100000" unit:"messages" help:"reports of load that this host sends, to all others together"`
	Silence          time.Duration `ini:"silence" default:"2s" min:"100ms" max:"1m" help:"age from which another host's report is ignored"`
}
