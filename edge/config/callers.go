package config

import "time"

// Callers configures the listeners for callers and their limits.
type Callers struct {
	Address        string        `ini:"address" example:"127.0.0.1:8080" help:"address for callers"`
	ReadyAddress   string        `ini:"ready_address" example:"127.0.0.1:8081" help:"address that tells the balancer whether this host takes new connections"`
	MaxHeaderBytes int           `ini:"max_header_bytes" default:"65536" min:"4096" max:"1048576" unit:"bytes" help:"largest header of a request; the configuration may set less"`
	MaxBodyBytes   int64         `ini:"max_body_bytes" default:"16777216" min:"1024" max:"1073741824" unit:"bytes" help:"largest body of a request; the configuration may set less"`
	MaxRequests    int64         `ini:"max_requests" default:"1500" min:"1" max:"1000000" unit:"requests" help:"requests at a time; further ones are refused"`
	HeaderTimeout  time.Duration `ini:"header_timeout" default:"3s" min:"100ms" max:"5m" help:"time limit for reading the header; the configuration may set less"`
	BodyTimeout    time.Duration `ini:"body_timeout" default:"10s" min:"100ms" max:"5m" help:"time limit for reading the body"`
	IdleTimeout    time.Duration `ini:"idle_timeout" default:"1m" min:"1s" max:"1h" help:"time after which an idle connection is closed; the configuration may set less"`
	MaxAnswerBytes int64         `ini:"max_answer_bytes" default:"1048576" min:"1024" unit:"bytes" help:"largest answer that is held until it is complete; longer ones are passed on as they come"`
	MaxUnreadBytes int64         `ini:"max_unread_bytes" default:"1048576" min:"16384" max:"1073741824" unit:"bytes" help:"largest part of a stream that is held for a caller that reads slowly; the response is cut off beyond it"`
	UnreadShare    float64       `ini:"unread_share" default:"0.125" min:"0.001" max:"0.9" help:"share of the memory of this process for what all callers together have not read; beyond it, the response is cut off whose caller has read nothing for longest"`
	ReadTimeout    time.Duration `ini:"read_timeout" default:"30s" min:"100ms" max:"1h" help:"time after which a response is cut off whose caller reads nothing"`
	SendBuffer     int           `ini:"send_buffer" default:"65536" min:"16384" max:"4194304" unit:"bytes" help:"send buffer of each connection of a caller, which the system doubles"`
}
