//go:build known_red

package e2e

import (
	"fmt"
	"net"
	"testing"
)

// Guards against a crowd that sends bodies one byte short of their length, in the same way as
// TestGatewayCrowds. Its 100 clients reconnect whenever they are cut off; see KNOWN-RED.txt.
func TestGatewayCrowdOneByteShort(t *testing.T) {
	checkGatewayCrowd(t, func(c net.Conn) {
		sendHead(c, fmt.Sprintf("Content-Length: %d\r\n", crowdBodyLimit))
		sendFiller(c, crowdBodyLimit-1)
	})
}

func sendFiller(c net.Conn, total int) {
	for sent := 0; sent < total; {
		n, err := c.Write(crowdFiller[:min(len(crowdFiller), total-sent)])
		if sent += n; err != nil {
			return
		}
	}
}

// Guards against a request that crashes a third endpoint.
func TestCrashRequestScenario(t *testing.T) { checkScenario(t, buildPrograms(t), "crash_request") }
