// Command siskin-sidecar is part of siskinstand.
package main

func main() {}
