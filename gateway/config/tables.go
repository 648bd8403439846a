package config

import "time"

// Tables names the files of the operators' tables.
type Tables struct {
	Routes string        `ini:"routes" example:"/etc/siskinstand/routes.ini" help:"file of the routes table"`
	Pools  string        `ini:"pools" example:"/etc/siskinstand/pools.ini" help:"file of the pools table"`
	Poll   time.Duration `ini:"poll" default:"1s" min:"50ms" max:"1m" help:"time between two checks of the files"`
}
