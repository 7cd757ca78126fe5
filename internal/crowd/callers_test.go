package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samphirerail/samphirerail/platform/fakewire"
)

// sendTimeout ends a write to a process that reads nothing any more.
const sendTimeout = 20 * time.Second

// crowd is a number of callers that send alike and then hold their connections open.
type crowd struct {
	callers int
	address string
	// request returns what caller i sends on its connection.
	request func(i int) []byte
	// returns is how often a caller opens a further connection when its last one was closed.
	returns int
	// silent callers never read.
	silent bool
}

// start lets the callers send. It returns once each has sent everything or lost its connection;
// they go on holding and returning until the end of the test.
func (c crowd) start(t *testing.T) {
	t.Helper()
	var sent, ended sync.WaitGroup
	var stopped atomic.Bool
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	t.Cleanup(func() {
		stopped.Store(true)
		mu.Lock()
		for conn := range open {
			_ = conn.Close()
		}
		mu.Unlock()
		ended.Wait()
	})
	connect := func() net.Conn {
		conn, err := net.DialTimeout("tcp4", c.address, sendTimeout)
		if err != nil {
			return nil
		}
		mu.Lock()
		defer mu.Unlock()
		if stopped.Load() {
			_ = conn.Close()
			return nil
		}
		open[conn] = true
		return conn
	}
	for i := range c.callers {
		sent.Add(1)
		ended.Go(func() {
			for visit := range c.returns + 1 {
				conn := connect()
				if conn != nil {
					_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
					_, _ = conn.Write(c.request(i))
				}
				if visit == 0 {
					sent.Done()
				}
				if conn == nil {
					continue
				}
				if c.silent {
					return
				}
				_, _ = io.Copy(io.Discard, conn)
				mu.Lock()
				delete(open, conn)
				mu.Unlock()
				_ = conn.Close()
			}
		})
	}
	sent.Wait()
}

// always returns a request function that sends the same bytes for every caller.
func always(request []byte) func(int) []byte { return func(int) []byte { return request } }

// header returns the header of a submission with a valid key and further lines.
func header(path string, lines ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s\r\n", path, host, fakewire.Key, strings.Join(append(lines, ""), "\r\n"))
}

func jobPath(i int) string { return fmt.Sprintf("%s%016x", fakewire.Prefix, 0xc000_0000+i) }

func length(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

const chunkedEncoding = "Transfer-Encoding: chunked"

// byLength returns a request with a body of a given length of which the last bytes are missing.
func byLength(body []byte, missing int) func(int) []byte {
	return func(i int) []byte {
		return append([]byte(header(jobPath(i), length(len(body)))), body[:len(body)-missing]...)
	}
}

// inChunks returns a request with a body in chunks of a given size, without the last chunk. The
// paths of the callers are equal, so that they share the memory of the request.
func inChunks(body []byte, size int) func(int) []byte {
	out := bytes.NewBufferString(header(jobPath(0), chunkedEncoding))
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return always(out.Bytes())
}

// text returns n bytes of JSON that are no job.
func text(n int) []byte { return []byte(`{"` + strings.Repeat("x", n-5) + `":1`)[:n] }

// emptySteps returns a body of the largest size with as many empty steps as fit.
func emptySteps() []byte {
	const begin, end = `{"steps":[{}`, `]}`
	const steps = (bodyBytes - len(begin) - len(end)) / len(",{}")
	return []byte(begin + strings.Repeat(",{}", steps) + end)
}

// manyFields returns n bytes of header lines with different names.
func manyFields(n int) string {
	var out strings.Builder
	for i := 0; out.Len() < n-8; i++ {
		fmt.Fprintf(&out, "%x:\r\n", i)
	}
	return strings.TrimSuffix(out.String(), "\r\n")
}

// exchange sends a request whose body is spread over 100 ms for each piece, and returns the
// beginning of the answer.
func exchange(t *testing.T, address, header, body string, pieces int) string {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	if _, err := io.WriteString(conn, header); err != nil {
		t.Fatal(err)
	}
	for rest, size := body, (len(body)+pieces-1)/pieces; rest != ""; {
		n := min(size, len(rest))
		if _, err := io.WriteString(conn, rest[:n]); err != nil {
			t.Fatal(err)
		}
		if rest = rest[n:]; pieces > 1 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	answer := make([]byte, 256)
	n, err := conn.Read(answer)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	return string(answer[:n])
}
