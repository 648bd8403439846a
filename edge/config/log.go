package config

import "siskinstand.example/service/logging"

// Log configures the log.
type Log struct {
	Verbosity      int `ini:"verbosity" default:"1" min:"0" max:"9" help:"detail of the log; 1 logs every decision"`
	LinesPerSecond int `ini:"lines_per_second" default:"400" min:"1" max:"1000000" unit:"lines" help:"lines of requests written in a second, and as many others; further ones are counted and left out"`
}

// Output returns the configuration of the log output.
func (l Log) Output() logging.AsyncConfig {
	return logging.AsyncConfig{Verbosity: l.Verbosity, LinesPerSecond: l.LinesPerSecond}
}
