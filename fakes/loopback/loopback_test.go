package loopback

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// Guards against a program that can't bind its address because an outgoing
// connection got the same port after the address was chosen.
func TestConnectionDoesNotTakeFreeAddress(t *testing.T) {
	server, err := net.Listen("tcp4", net.JoinHostPort(IP(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	address, connection := connectFromFreePort(t, server.Addr().String())
	defer connection.Close()
	l, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatalf("bind %s beside a connection from %s: %v", address, connection.LocalAddr(), err)
	}
	l.Close()
}

// connectFromFreePort returns a free address and a connection to the server from the same port. It
// chooses another address while a connection of another process has that port on 127.0.0.1.
func connectFromFreePort(t *testing.T, server string) (string, net.Conn) {
	t.Helper()
	const maxTries = 20
	for range maxTries {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		chosen, err := net.ResolveTCPAddr("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		// The kernel gives an outgoing connection to a loopback address the IP 127.0.0.1.
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: chosen.Port}}
		connection, err := dialer.Dial("tcp4", server)
		if err == nil {
			return address, connection
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			t.Fatal(err)
		}
	}
	t.Fatalf("no free address in %d tries has a port that is free on 127.0.0.1", maxTries)
	return "", nil
}

// Guards against two listeners of a process that share an IP, and with it the ports
// from which a restarted program's port can be taken.
func TestIPsDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		ip := IP()
		if seen[ip] {
			t.Fatalf("IP %s returned twice", ip)
		}
		seen[ip] = true
	}
}
