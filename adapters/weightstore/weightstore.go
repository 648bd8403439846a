// Package weightstore is a client for the rate-limited store of model weights.
package weightstore

// Object describes the stored weights of one model version.
type Object struct {
	Model string
	Bytes int64
}
