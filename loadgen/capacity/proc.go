package capacity

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// cpuTime returns the user and system CPU time of a process.
func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	return parseCPUTime(string(data))
}

// parseCPUTime returns the sum of user and system time, the 14th and 15th fields.
// The process name in the second field may contain spaces and parentheses.
func parseCPUTime(text string) (time.Duration, error) {
	end := strings.LastIndexByte(text, ')')
	if end < 0 {
		return 0, fmt.Errorf("malformed /proc stat: %q", text)
	}
	fields := strings.Fields(text[end+1:])
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, fmt.Errorf("malformed /proc stat: %q", text)
	}
	var ticks int64
	for _, i := range []int{user, system} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// residentBytes returns the resident set size (VmRSS) of a process.
func residentBytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	return parseResidentBytes(string(data))
}

func parseResidentBytes(text string) (float64, error) {
	for line := range strings.Lines(text) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kib * 1024, err
		}
	}
	return 0, fmt.Errorf("no VmRSS line in /proc status")
}

// controlBytes returns the gRPC bytes sent and received by a process. It leaves
// out request attempts, unregistered methods and the methods that siskinctl calls,
// one of which (Status) this program also calls.
func controlBytes(ctx context.Context, adminAddress string) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adminAddress+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	sum, lines := 0.0, 0
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		value, ok := parseControlBytes(scanner.Text())
		if ok {
			sum += value
			lines++
		}
	}
	if lines == 0 {
		return 0, fmt.Errorf("no control traffic in the rpc_bytes metric of %s", adminAddress)
	}
	return sum, scanner.Err()
}

// parseControlBytes returns the value of a line in the Prometheus text format if the
// line counts control traffic.
func parseControlBytes(line string) (float64, bool) {
	name, rest, found := strings.Cut(line, "{")
	if !found || !strings.HasSuffix(name, "_rpc_bytes") {
		return 0, false
	}
	for _, method := range []string{"Attempt", "Status", "Burn", "other"} {
		if strings.Contains(rest, `method="`+method+`"`) {
			return 0, false
		}
	}
	fields := strings.Fields(rest)
	value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
	return value, err == nil
}
