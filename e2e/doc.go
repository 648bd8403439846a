// Package e2e contains end-to-end tests of the gateway and sidecar with fake
// engines, some of them through the published openai-go client. It is a separate
// module so that no program depends on that library.
package e2e
