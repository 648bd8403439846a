package config

import (
	"strings"

	"github.com/rotisserie/eris"
)

// Process identifies this process and its location.
type Process struct {
	ID          string  `ini:"id" example:"edge-a-1" help:"name of this host"`
	Zone        string  `ini:"zone" example:"zone-a" help:"availability zone of this host"`
	Region      string  `ini:"region" default:"" help:"region of this host"`
	Cores       float64 `ini:"cores" default:"0" min:"0" max:"1024" unit:"cores" help:"processor time of this host; hosts with more of it watch the store for others; 0 if unknown"`
	MemoryMB    int     `ini:"memory_mb" default:"0" min:"0" max:"16777216" unit:"MB" help:"memory that this process may use; 0 to use the memory of the host"`
	Descriptors int     `ini:"descriptors" default:"0" min:"0" max:"16777216" unit:"descriptors" help:"file descriptors that this process may use; 0 to use the limit of the process"`
	Zones       string  `ini:"zones" default:"" help:"region of each availability zone, as zone=region separated by spaces"`
}

// RegionTable returns the region of each availability zone, parsed from Zones.
func (p Process) RegionTable() (map[string]string, error) {
	table := map[string]string{}
	for pair := range strings.FieldsSeq(p.Zones) {
		zone, region, ok := strings.Cut(pair, "=")
		if !ok || zone == "" {
			return nil, eris.Errorf("%q is not of the form zone=region", pair)
		}
		table[zone] = region
	}
	return table, nil
}
