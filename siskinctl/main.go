// Command siskinctl edits the routes and pools tables and shows the state of the
// fleet.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
