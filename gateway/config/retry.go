package config

import "time"

// Retry configures the retry budget, backoff and Retry-After of requests.
type Retry struct {
	Share            float64       `ini:"share" default:"0.1" min:"0" max:"1" help:"retries of a pool as a part of its first attempts"`
	MinimumPerSecond float64       `ini:"minimum_per_second" default:"1" min:"0" max:"1000" unit:"retries/s" help:"retries of a pool that are always allowed"`
	Burst            float64       `ini:"burst" default:"200" min:"1" max:"10000" unit:"retries" help:"unused retries that a pool can save; the default resumes the whole batch of three engines"`
	MaxAttempts      int           `ini:"max_attempts" default:"8" min:"1" max:"64" unit:"offers" help:"offers of one request, refused ones included"`
	Backoff          time.Duration `ini:"backoff" default:"20ms" min:"1ms" max:"10s" help:"wait before the first retry"`
	BackoffLimit     time.Duration `ini:"backoff_limit" default:"1s" min:"1ms" max:"1m" help:"longest wait before a retry"`
	RetryAfter       time.Duration `ini:"retry_after" default:"1s" min:"1ms" max:"10m" help:"time after which refused callers are asked to come back, spread by half either way"`
}
