// Command siskin-gateway is part of siskinstand.
package main

func main() {}
