package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
)

// maxTestTime bounds what should happen at once, on a machine of any speed.
const maxTestTime = 20 * time.Second

// heldConn holds back the replies on a connection until held is closed. begun is closed when the
// first one begins, and ended when the other side has closed the connection.
type heldConn struct {
	net.Conn
	held                 <-chan struct{}
	begun, ended         chan struct{}
	beginOnce, endedOnce sync.Once
}

func (c *heldConn) Write(data []byte) (int, error) {
	c.beginOnce.Do(func() { close(c.begun) })
	<-c.held
	return c.Conn.Write(data)
}

func (c *heldConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err != nil {
		c.endedOnce.Do(func() { close(c.ended) })
	}
	return n, err
}

// holdingListener holds back the replies on its first connections, as many as conns holds.
type holdingListener struct {
	net.Listener
	conns chan *heldConn
}

func (l *holdingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case held := <-l.conns:
		held.Conn = conn
		return held, nil
	default:
		return conn, nil
	}
}

func awaitClosed(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(maxTestTime):
		t.Fatalf("not within %s: %s", maxTestTime, what)
	}
}

// TestAbandonedReadIsNotSent guards against a read that waits for the reply to an earlier one
// that was given up: none of the earlier replies is sent while the last read is under way.
func TestAbandonedReadIsNotSent(t *testing.T) {
	is := is.New(t)
	const size, abandoned = 1 << 10, 2
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	release := make(chan struct{})
	listener := &holdingListener{Listener: raw, conns: make(chan *heldConn, abandoned)}
	held := make([]*heldConn, abandoned)
	for i := range held {
		held[i] = &heldConn{held: release, begun: make(chan struct{}), ended: make(chan struct{})}
		listener.conns <- held[i]
	}
	server, err := serve(listener, readingBackend{size: size}, testLimits, hclog.NewNullLogger())
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(server.Close()) })
	t.Cleanup(func() { close(release) })
	address := raw.Addr().String()
	client := NewClient(nil)
	for _, conn := range held {
		ctx, cancel := context.WithCancel(context.Background())
		read := make(chan error, 1)
		go func() {
			_, err := client.Read(ctx, address, port.ReadQuery{Topic: port.TopicOperators})
			read <- err
		}()
		awaitClosed(t, "the reply begins on a connection of its own", conn.begun)
		cancel()
		err := <-read
		is.True(errors.Is(err, context.Canceled) || errors.Is(err, errNoResponse)) // the latter if the test was paused
		awaitClosed(t, "the connection of the abandoned read is closed", conn.ended)
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxTestTime)
	defer cancel()
	batch, err := client.Read(ctx, address, port.ReadQuery{Topic: port.TopicOperators})
	is.NoErr(err)
	is.Equal(len(batch.Records[0].Value), size)
	is.NoErr(client.Close())
}
