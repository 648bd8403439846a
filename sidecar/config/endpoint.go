package config

// Endpoint identifies the endpoint on the sidecar's host.
type Endpoint struct {
	Name string `ini:"name" example:"host-1" help:"name of the endpoint, as in the host list"`
	Zone string `ini:"zone" example:"zone-a" help:"availability zone of the host"`
	Kind string `ini:"kind" default:"model" oneof:"model,plain" help:"what runs beside the sidecar"`
}
