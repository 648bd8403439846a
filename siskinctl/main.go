// Command siskinctl is part of siskinstand.
package main

func main() {}
