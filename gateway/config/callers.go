package config

import "time"

// Callers configures the listener for callers and the limits on their requests.
type Callers struct {
	Address             string        `ini:"address" example:"127.0.0.1:8080" help:"address for callers"`
	MaxConnections      int           `ini:"max_connections" default:"8192" min:"1" max:"1000000" unit:"connections" help:"open connections; a further one takes the place of a stalled one or is refused, or waits if TLS is used"`
	MaxRequests         int64         `ini:"max_requests" default:"4096" min:"1" max:"1000000" unit:"requests" help:"requests at a time; further ones are refused"`
	MaxBodyBytes        int64         `ini:"max_body_bytes" default:"16777216" min:"1024" max:"1073741824" unit:"bytes" help:"largest body of a request"`
	BodyMemoryBytes     int64         `ini:"body_memory_bytes" default:"2147483648" min:"1048576" unit:"bytes" help:"memory for the bodies of all requests; small ones have an eighth of it in addition"`
	MaxHeaderBytes      int           `ini:"max_header_bytes" default:"65536" min:"4096" max:"1048576" unit:"bytes" help:"largest header of a request"`
	MaxAnswerBytes      int64         `ini:"max_answer_bytes" default:"16777216" min:"1024" unit:"bytes" help:"largest answer that is not streamed"`
	HeaderTimeout       time.Duration `ini:"header_timeout" default:"3s" min:"100ms" max:"5m" help:"time limit for reading the header"`
	BodyTimeout         time.Duration `ini:"body_timeout" default:"30s" min:"100ms" max:"10m" help:"time limit for reading the body"`
	WriteTimeout        time.Duration `ini:"write_timeout" default:"10s" min:"100ms" max:"10m" help:"time limit of one write; a caller that reads more slowly is cut off"`
	IdleTimeout         time.Duration `ini:"idle_timeout" default:"2m" min:"1s" max:"1h" help:"time after which an idle connection is closed"`
	DefaultOutputTokens int64         `ini:"default_output_tokens" default:"4096" min:"1" unit:"tokens" help:"output bound of a request without one"`
	MaxOutputTokens     int64         `ini:"max_output_tokens" default:"131072" min:"1" unit:"tokens" help:"largest output bound that a request may ask for"`
}
