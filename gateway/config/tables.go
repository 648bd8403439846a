package config

import (
	"errors"
	"time"
)

// Tables names the files of the operators' tables.
type Tables struct {
	Routes string        `ini:"routes" default:"" help:"file of the routes table; empty reads the key-value store"`
	Pools  string        `ini:"pools" default:"" help:"file of the pools table; empty reads the key-value store"`
	Poll   time.Duration `ini:"poll" default:"1s" min:"50ms" max:"1m" help:"time between two checks of the files"`
}

// FromFiles reports whether the tables come from files.
func (t Tables) FromFiles() bool { return t.Routes != "" }

func (t Tables) check() error {
	if (t.Routes == "") != (t.Pools == "") {
		return errors.New("[tables]: routes and pools are set together or not at all")
	}
	return nil
}
