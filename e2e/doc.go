// Package e2e tests the whole path with the published openai-go client. It is
// a module of its own so that no program depends on that library.
package e2e
