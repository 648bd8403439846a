// Command siskin-load is part of siskinstand.
package main

func main() {}
