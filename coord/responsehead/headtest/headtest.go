// Package headtest has HTTP/1 responses for tests of everything that reads responses.
package headtest

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
		cases = append(cases,
			Case{"status " + status, "HTTP/1.1 " + status + " Odd\r\n" + framed},
			Case{"status " + status + " without a body, then a response", "HTTP/1.1 " + status + " Odd\r\n" + fields + "\r\n" + sound},
			Case{"status " + status + " and nothing more", "HTTP/1.1 " + status + " Odd\r\n" + fields + "\r\n"},
			Case{"status " + status + ", length 0, then a response", "HTTP/1.1 " + status + " Odd\r\n" + fields + "Content-Length: 0\r\n\r\n" + sound},
		)
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
