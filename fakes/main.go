// Command siskin-fake is part of siskinstand.
package main

func main() {}
