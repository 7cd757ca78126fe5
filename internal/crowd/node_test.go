package crowd

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/samphirerail/samphirerail/platform/fakewire"
)

// check checks an entry while a crowd holds: it lives, it has stayed within its VM, and it
// answers an ordinary request.
func check(t *testing.T, p *process, stop func() usage) {
	t.Helper()
	p.submitOrdinary(t, "a crowd holds")
	used := stop()
	p.lives(t)
	t.Logf("%s: resident %.0f MB, unread %.1f MB, %d sockets", p.name, used.residentMB, used.unreadMB, used.sockets)
	if sum := used.residentMB + used.unreadMB; sum > memoryMB {
		t.Errorf("%s held %.0f MB resident and %.1f MB unread, the VM has %d MB", p.name, used.residentMB, used.unreadMB, memoryMB)
	}
	if used.sockets > descriptors-reservedFiles {
		t.Errorf("%s held %d sockets, the VM has %d descriptors for them", p.name, used.sockets, descriptors-reservedFiles)
	}
}

// TestEntryOutlivesCrowd plays one crowd after the other, each against a new entry.
func TestEntryOutlivesCrowd(t *testing.T) {
	large, small := text(bodyBytes), text(2000)
	cases := []struct {
		name  string
		crowd crowd
	}{
		{"bodies by length without their last bytes", crowd{callers: 500, request: byLength(large, 3)}},
		{"bodies in one chunk without an end", crowd{callers: 500, request: inChunks(large, bodyBytes)}},
		{"bodies in chunks of one byte without an end", crowd{callers: 500, request: inChunks(large[:bodyBytes-3], 1)}},
		{"whole bodies that are no job", crowd{callers: 500, request: byLength(large, 0), returns: 5}},
		{"headers of many fields without an end", crowd{callers: 500, request: always([]byte(header(jobPath(0), manyFields(60_000))))}},
		{"headers of many fields with an unfinished body", crowd{callers: 500, request: always([]byte(header(jobPath(0), length(100), manyFields(headerBytes-300))))}},
		{"a header of one line without an end", crowd{callers: 500, request: always([]byte("POST /" + strings.Repeat("x", bodyBytes)))}},
		{"wrong keys with unfinished bodies", crowd{callers: 900, request: always([]byte(strings.Replace(header(jobPath(0), length(bodyBytes)), fakewire.Key, "wrong", 1) + string(large[:bodyBytes-3])))}},
		{"bodies of many empty steps", crowd{callers: 20, request: byLength(emptySteps(), 0)}},
		{"bodies of many empty steps without their last bytes", crowd{callers: 500, request: byLength(emptySteps(), 2)}},
		{"more unfinished bodies than descriptors", crowd{callers: 900, request: byLength(small, 3)}},
		{"more idle connections than descriptors", crowd{callers: 900, request: always([]byte(strings.Replace(header(jobPath(0)), "POST", "GET", 1)))}},
		{"more connections than descriptors that send nothing", crowd{callers: 900, request: always(nil)}},
		{"unfinished bodies that return after each close", crowd{callers: 500, request: byLength(large, 3), returns: 20}},
		{"calls whose answers nobody reads", crowd{callers: 500, silent: true, request: always([]byte(strings.Repeat(strings.Replace(header(jobPath(0)), "POST", "GET", 1), 20_000)))}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startSystem(t, 1)
			c.crowd.address = s.entries[0].callers
			stop := s.entries[0].watch(t)
			c.crowd.start(t)
			check(t, s.entries[0], stop)
		})
	}
}

// TestMixOfCrowdsAtAllEntries plays crowds of different kinds at three entries at once and checks
// that the owner keeps its upstreams.
func TestMixOfCrowdsAtAllEntries(t *testing.T) {
	s := startSystem(t, 3)
	large := text(bodyBytes)
	kinds := []crowd{
		{callers: 120, returns: 10, request: byLength(large, 3)},
		{callers: 120, returns: 10, request: inChunks(large, 500)},
		{callers: 60, returns: 10, request: byLength(emptySteps(), 2)},
		{callers: 10, returns: 2, request: byLength(emptySteps(), 0)},
		{callers: 120, returns: 10, request: always([]byte(header(jobPath(0), length(100), manyFields(headerBytes-300))))},
		{callers: 400, returns: 10, request: always(nil)},
	}
	stops := make([]func() usage, len(s.entries))
	for i, e := range s.entries {
		stops[i] = e.watch(t)
		for _, c := range kinds {
			c.address = e.callers
			c.start(t)
		}
	}
	for i, e := range s.entries {
		check(t, e, stops[i])
	}
	if problems := s.fleet.Problems(); len(problems) > 0 {
		t.Errorf("upstreams saw violations: %s", strings.Join(problems, "; "))
	}
}

// TestOtherListenersOutliveCrowd plays connections without an end at the listeners that callers
// are not meant to reach.
func TestOtherListenersOutliveCrowd(t *testing.T) {
	ready := func(p *process) func() bool {
		return func() bool {
			client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			response, err := client.Get("http://" + p.ready + "/-/readyz")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		}
	}
	cases := []struct {
		name    string
		address func(*process) string
		request []byte
	}{
		{"ready", func(p *process) string { return p.ready }, []byte("GET / HTTP/1.1\r\nHost: x\r\n")},
		{"metrics", func(p *process) string { return p.metrics }, []byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" + string(text(200_000)))},
		{"internal", func(p *process) string { return p.internal }, append([]byte{0xfc, 0x10, 0, 0, 0}, text(1<<20)...)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startSystem(t, 1)
			p := s.entries[0]
			stop := p.watch(t)
			crowd{callers: 900, address: c.address(p), request: always(c.request)}.start(t)
			p.eventually(t, ready(p), func() string { return p.name + " is not ready while a crowd holds" })
			check(t, p, stop)
		})
	}
}

// TestLogThatNobodyReadsStaysWithinMemory plays refused calls with long paths, and then unfinished
// bodies, against an entry whose output is not read.
func TestLogThatNobodyReadsStaysWithinMemory(t *testing.T) {
	s := startStandIns(t)
	p, settings := newEntry(t, "entry-0", s.logAddress)
	unread, output, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer unread.Close()
	p.startWithFile(t, output, "node", "--config", settings)
	p.submitOrdinary(t, "is ready")
	stop := p.watch(t)
	path := jobPath(0) + "/" + strings.Repeat("x", headerBytes-1000)
	call := strings.Replace(strings.Replace(header(path), "POST", "GET", 1), fakewire.Key, "wrong", 1)
	crowd{callers: 200, address: p.callers, request: always([]byte(strings.Repeat(call, 50)))}.start(t)
	crowd{callers: 500, address: p.callers, request: byLength(text(bodyBytes), 3), returns: 5}.start(t)
	check(t, p, stop)
}

// largest returns a job whose image has the longest name that fits a legal body.
func largest(job []byte) string {
	return strings.Replace(string(job), `"image":"i"`, `"image":"`+strings.Repeat("i", bodyBytes-2000)+`"`, 1)
}

// TestOwnerOutlivesLargeJobsFromAllEntries submits large jobs at several entries at once, which pass
// them to the one that owns the placement.
func TestOwnerOutlivesLargeJobsFromAllEntries(t *testing.T) {
	s := startSystem(t, 12)
	job := largest(fakewire.LastingJob(fakewire.Spec{RunMS: 10, CPU: 100, Image: "i"}, 1))
	stops := make([]func() usage, len(s.entries))
	for i, e := range s.entries {
		stops[i] = e.watch(t)
	}
	for n, e := range s.entries {
		crowd{callers: 200, address: e.callers, returns: 5, request: func(i int) []byte {
			return append([]byte(header(jobPath(1000*n+i), length(len(job)))), job...)
		}}.start(t)
	}
	for i, e := range s.entries {
		check(t, e, stops[i])
	}
}

// TestAcceptedJobsStayWithinMemory submits whole jobs that take much memory, more than the VM holds,
// by a crowd and one after the other.
func TestAcceptedJobsStayWithinMemory(t *testing.T) {
	quick, lasting := fakewire.Spec{RunMS: 10, CPU: 100, Image: "i"}, fakewire.Spec{RunMS: -1, CPU: 10, Image: "i"}
	manySteps := fakewire.Spec{RunMS: 10, CPU: 100, Repeat: 1, FirstMS: time.Now().Add(time.Hour).UnixMilli(), PeriodMS: 1000}
	counts := make([]int, 256)
	for i := range counts {
		counts[i] = 1
	}
	for _, tt := range []struct {
		name, job string
		// crowd submits them at once.
		crowd bool
	}{
		{"by a crowd", largest(fakewire.LastingJob(quick, 1)), true},
		{"one after the other", largest(fakewire.LastingJob(quick, 1)), false},
		{"that last", largest(fakewire.LastingJob(lasting, 1)), false},
		{"of many steps that are due later", string(fakewire.SizedJob(manySteps, counts, false, 0)), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := startSystem(t, 1)
			p := s.entries[0]
			stop := p.watch(t)
			if tt.crowd {
				crowd{callers: 600, address: p.callers, returns: 2, request: func(i int) []byte {
					return append([]byte(header(jobPath(i), length(len(tt.job)))), tt.job...)
				}}.start(t)
			} else {
				for i := range 1000 {
					p.lives(t)
					exchange(t, p.callers, header(jobPath(i), length(len(tt.job)), "Connection: close"), tt.job, 1)
				}
			}
			check(t, p, stop)
		})
	}
}

// TestLargeRequestsAreServedInCalm checks that one request of the largest legal size is accepted,
// however its body arrives.
func TestLargeRequestsAreServedInCalm(t *testing.T) {
	s := startSystem(t, 1)
	spec := fakewire.Spec{RunMS: 10, CPU: 100}
	job := string(fakewire.Job(spec, spec.CPU, 1, false))
	job += strings.Repeat(" ", bodyBytes-len(job))
	for i, c := range []struct {
		name, encoding string
		body           string
		pieces         int
	}{
		{"whole", length(len(job)), job, 1},
		{"in one chunk", chunkedEncoding, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(job), job), 1},
		{"slowly", length(len(job)), job, 25},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := exchange(t, s.entries[0].callers, header(jobPath(i), c.encoding), c.body, c.pieces)
			if !strings.HasPrefix(answer, "HTTP/1.1 200") {
				t.Errorf("the answer is %q", answer)
			}
		})
	}
}
