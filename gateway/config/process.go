package config

// Process identifies this process and its location.
type Process struct {
	ID     string `ini:"id" example:"gateway-1" help:"name of this host as in the host list"`
	Zone   string `ini:"zone" example:"zone-a" help:"availability zone of this host"`
	Region string `ini:"region" default:"" help:"region of this host"`
}
