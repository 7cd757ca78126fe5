package crowd

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// usage is what a process has held at most.
type usage struct {
	// residentMB is the largest resident size, unreadMB the largest amount of received bytes that
	// were not read, in mebibytes.
	residentMB, unreadMB float64
	sockets              int
}

// watch samples a process until the returned function is called, which returns what the process
// has held at most.
func (p *process) watch(t *testing.T) (stop func() usage) {
	t.Helper()
	var out usage
	var group sync.WaitGroup
	end := make(chan struct{})
	group.Go(func() {
		for {
			out.unreadMB = max(out.unreadMB, float64(unreadBytes(t, p.callers, p.ready, p.internal, p.metrics))/(1<<20))
			out.sockets = max(out.sockets, p.sockets())
			select {
			case <-end:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	return func() usage {
		close(end)
		group.Wait()
		out.residentMB = p.peakResidentMB(t)
		return out
	}
}

// sockets returns the number of open sockets of the process.
func (p *process) sockets() (n int) {
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0 // the process has ended
	}
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err == nil && strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n
}

// peakResidentMB returns the largest resident size that the process has had, in mebibytes.
func (p *process) peakResidentMB(t *testing.T) float64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatalf("the process of %s ended: %v", p.name, err)
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(rest, "kB")))
			if err != nil {
				t.Fatal(err)
			}
			return float64(kb) / 1024
		}
	}
	t.Fatalf("the process of %s ended: it has no resident size", p.name)
	return 0
}

// unreadBytes returns the bytes that were received at local addresses and not read yet.
func unreadBytes(t *testing.T, addresses ...string) (sum int64) {
	t.Helper()
	ports := map[string]bool{}
	for _, a := range addresses {
		if a == "" {
			continue
		}
		address, err := net.ResolveTCPAddr("tcp4", a)
		if err != nil {
			t.Error(err)
			return 0
		}
		ports[fmt.Sprintf("%04X", address.Port)] = true
	}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		t.Error(err)
		return 0
	}
	defer file.Close()
	const listening = "0A"
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		_, queue, _ := strings.Cut(fields[4], ":")
		if n, err := strconv.ParseInt(queue, 16, 64); err == nil && ports[port] {
			sum += n
		}
	}
	return sum
}
