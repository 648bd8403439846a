// Package headtest has HTTP/1 responses for tests of everything that reads responses.
package headtest

import "fmt"

// Case is a response as it is sent, up to the end of the connection.
type Case struct {
	Name string
	Text string
}

const (
	ok = "HTTP/1.1 200 OK\r\n"
	// other is a response that must not be taken for the one that a broken head spoils.
	other = "other"
)

// Broken returns responses that a reader must not accept. Each would have the body "other" if
// its head were acceptable, or is followed by a response with that body. fields are header
// lines, each ending in CR LF, that acceptable responses have.
func Broken(fields string) []Case {
	sound := ok + fields + "Content-Length: 5\r\n\r\n" + other
	framed := fields + "Content-Length: 5\r\n\r\n" + other
	cases := []Case{
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\n" + fields + "\r\n" + sound},
		{"bytes that are no head", "\x00\x01\r\n\r\n" + sound},
		{"bytes that are no head and no line", "\x00"},
		{"head after blank lines", "\r\n\r\n" + sound},
	}
	for _, status := range []string{"000", "001", "099", "600", "999", "+20", "-20", "20", "2000", "20x"} {
		cases = append(cases, Case{"status " + status, "HTTP/1.1 " + status + " Odd\r\n" + framed})
	}
	for _, status := range []string{"000", "999"} {
		head := "HTTP/1.1 " + status + " Odd\r\n" + fields
		cases = append(cases,
			Case{"status " + status + " without a body, then a response", head + "\r\n" + sound},
			Case{"status " + status + " and nothing more", head + "\r\n"},
			Case{"status " + status + ", length 0, then a response", head + "Content-Length: 0\r\n\r\n" + sound},
		)
	}
	for _, line := range []struct{ name, text string }{
		{"blank in a name", "X A: x"},
		{"blank before the colon", "X-A : x"},
		{"tab in a name", "X\tA: x"},
		{"NUL in a name", "X\x00A: x"},
		{"control byte in a name", "X\x1fA: x"},
		{"DEL in a name", "X\x7fA: x"},
		{"byte beyond ASCII in a name", "X\xfcA: x"},
		{"separator in a name", "X(A): x"},
		{"no name", ": x"},
		{"no colon", "nonsense"},
		{"folded line", "X-A: x\r\n y"},
		{"folded line without text", "X-A: x\r\n \t"},
		{"NUL in a value", "X-A: a\x00b"},
		{"control byte in a value", "X-A: a\x1bb"},
		{"CR in a value", "X-A: a\rb"},
		{"second head in a value", "X-A: a\r\rHTTP/1.1 200 OK"},
	} {
		cases = append(cases,
			Case{line.name, ok + line.text + "\r\n" + framed},
			Case{line.name + " after the other fields", ok + fields + "Content-Length: 5\r\n" + line.text + "\r\n\r\n" + other},
			Case{line.name + " of an interim response", "HTTP/1.1 103 Early Hints\r\n" + line.text + "\r\n\r\n" + sound},
		)
	}
	return append(cases,
		Case{"blank before the colon of the length", ok + fields + "Content-Length : 5\r\n\r\n" + other + sound},
		Case{"blank before the colon of the coding", ok + fields + "Transfer-Encoding : chunked\r\n\r\n5\r\n" + other + "\r\n0\r\n\r\n"},
		Case{"folded length", ok + fields + "X-A: x\r\n Content-Length: 5\r\n\r\n" + other + sound},
		Case{"blank before the first name", ok + " X-A: x\r\n" + framed},
		Case{"control byte in the reason", "HTTP/1.1 200 O\x07K\r\n" + framed},
		Case{"CR in the reason", "HTTP/1.1 200 O\rK\r\n" + framed},
		Case{"two blanks before the status", "HTTP/1.1  200 OK\r\n" + framed},
		Case{"version 2.0", "HTTP/2.0 200 OK\r\n" + framed},
		Case{"version in lower case", "http/1.1 200 OK\r\n" + framed},
		Case{"chunks of version 1.0", "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n5\r\n" + other + "\r\n0\r\n\r\n"},
	)
}

// Cut returns the beginnings of a head, of each length, at whose end the server closes the
// connection.
func Cut(fields string) []Case {
	head := ok + fields + "Content-Length: 0\r\n\r\n"
	var cases []Case
	for n := range len(head) - 1 {
		cases = append(cases, Case{fmt.Sprintf("%d bytes of %d", n+1, len(head)), head[:n+1]})
	}
	return cases
}

// Sound returns responses with the body "whole" that a reader must accept.
func Sound(fields string) []Case {
	const body = "whole"
	framed := fields + "Content-Length: 5\r\n\r\n" + body
	return []Case{
		{"length", ok + framed},
		{"chunks", ok + fields + "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3;x=y\r\nole\r\n0\r\nX-Trailer: x\r\n\r\n"},
		{"until the connection ends", ok + fields + "\r\n" + body},
		{"version 1.0", "HTTP/1.0 200 OK\r\n" + framed},
		{"no reason", "HTTP/1.1 200 \r\n" + framed},
		{"no reason and no space", "HTTP/1.1 200\r\n" + framed},
		{"reason beyond ASCII", "HTTP/1.1 200 Tr\u00e8s bien\t!\r\n" + framed},
		{"lines that end in LF", "HTTP/1.1 200 OK\n" + fields + "Content-Length: 5\n\n" + body},
		{"any token as a name", ok + "!#$%&'*+-.^_`|~09aZ: x\r\n" + framed},
		{"values with blanks, tabs and obs-text", ok + "X-A:  a\tb \u00fc \r\nX-B:\r\n" + framed},
		{"names in lower case", ok + fields + "content-length:5\r\n\r\n" + body},
		{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + ok + framed},
	}
}
