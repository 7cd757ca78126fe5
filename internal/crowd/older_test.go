package crowd

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

const (
	// olderBodyBytes is the limit of a request body of the older interface.
	olderBodyBytes = 1 << 20
	// olderMemoryMB bounds the process, which holds two entries, their upstreams and the platform.
	olderMemoryMB = 256
)

// olderSystem is a process that serves the older interface.
type olderSystem struct {
	process
	key string
}

func startOlder(t *testing.T) *olderSystem {
	t.Helper()
	out := t.TempDir() + "/addresses"
	s := &olderSystem{process: process{name: "dev"}}
	s.startWithOutput(t, out, "dev")
	s.eventually(t, func() bool {
		data, _ := os.ReadFile(out)
		for line := range strings.Lines(string(data)) {
			if rest, ok := strings.CutPrefix(line, "callers:"); ok {
				s.callers = strings.TrimPrefix(strings.TrimSpace(rest), "http://")
			}
			if rest, ok := strings.CutPrefix(line, "team key:"); ok {
				s.key = strings.TrimSpace(rest)
			}
		}
		return s.key != ""
	}, func() string { return "the older interface does not start" })
	s.submit(t)
	return s
}

// submit submits an ordinary job, as often as it takes, and waits for its result.
func (s *olderSystem) submit(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	s.eventually(t, func() bool {
		request, err := http.NewRequest(http.MethodPost, "http://"+s.callers+"/v1/jobs", strings.NewReader(olderJob("")))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+s.key)
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			return false
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		last = fmt.Sprintf("%s %s", response.Status, text)
		return response.StatusCode < http.StatusMultipleChoices
	}, func() string { return "an ordinary submission has no answer: " + last })
}

// olderJob returns a submission with a payload.
func olderJob(payload string) string {
	return fmt.Sprintf(`{"service":"fitting","class":"request","cpu_milli":500,"memory_mb":256,"payload":%q}`, payload)
}

// TestOlderInterfaceOutlivesCrowd plays unfinished submissions, with a key and without.
func TestOlderInterfaceOutlivesCrowd(t *testing.T) {
	body := olderJob(strings.Repeat("p", olderBodyBytes))[:olderBodyBytes-3]
	for _, c := range []struct{ name, key string }{{"with a known key", "%s"}, {"with an unknown key", "k.wrong"}, {"without a key", ""}} {
		t.Run(c.name, func(t *testing.T) {
			s := startOlder(t)
			authorization := ""
			if c.key != "" {
				authorization = "Authorization: Bearer " + strings.Replace(c.key, "%s", s.key, 1) + "\r\n"
			}
			request := []byte("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" + authorization + length(olderBodyBytes) + "\r\n\r\n" + body)
			stop := s.watch(t)
			crowd{callers: 400, address: s.callers, request: always(request), returns: 3}.start(t)
			s.submit(t)
			used := stop()
			s.lives(t)
			t.Logf("resident %.0f MB, unread %.1f MB, %d sockets", used.residentMB, used.unreadMB, used.sockets)
			if sum := used.residentMB + used.unreadMB; sum > olderMemoryMB {
				t.Errorf("the process held %.0f MB resident and %.1f MB unread, the bound is %d MB", used.residentMB, used.unreadMB, olderMemoryMB)
			}
		})
	}
}
