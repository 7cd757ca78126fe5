package peer

import (
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state/ledger"
)

const waitTimeout = 30 * time.Second

// recordingBackend is an owner that takes all records.
type recordingBackend struct{ owningBackend }

func (recordingBackend) Record(context.Context, ledger.Record) error { return nil }

func startServer(t *testing.T, limits Limits) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := serve(listener, recordingBackend{}, limits, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func dialRaw(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	return conn
}

func callOwning(t *testing.T, client *Client, address string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err := client.Owning(ctx, address)
	return err
}

// TestConnectionsWithoutACallMakeRoom guards against connections that hold an entry's descriptors.
func TestConnectionsWithoutACallMakeRoom(t *testing.T) {
	is := is.New(t)
	address := startServer(t, Limits{Connections: maxUnproven + 1, MessageBytes: 1 << 20, CallBytes: 1 << 20})
	client := NewClient(nil)
	defer client.Close()
	is.NoErr(callOwning(t, client, address))
	var silent []net.Conn
	for range 3 * maxUnproven {
		silent = append(silent, dialRaw(t, address))
	}
	_, err := io.Copy(io.Discard, silent[0])
	is.NoErr(err) // closed to make room
	is.NoErr(callOwning(t, client, address))
	fresh := NewClient(nil)
	defer fresh.Close()
	is.NoErr(callOwning(t, fresh, address))
}

// TestMessageOverItsLimitEndsTheConnection guards against memory for messages that never arrive.
func TestMessageOverItsLimitEndsTheConnection(t *testing.T) {
	is := is.New(t)
	address := startServer(t, Limits{Connections: 10, MessageBytes: 100_000, CallBytes: 1 << 20})
	for name, start := range map[string]string{"long": "\xfc\x10\x00\x00\x00", "longest": "\xf8" + strings.Repeat("\xff", 8), "no length": "\x80"} {
		conn := dialRaw(t, address)
		_, err := io.WriteString(conn, start)
		is.NoErr(err)
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	call := func(value string) (failure string) {
		conn := dialRaw(t, address)
		encoder := gob.NewEncoder(conn)
		is.NoErr(encoder.Encode(rpc.Request{ServiceMethod: serviceName + ".Record", Seq: 1}))
		_ = encoder.Encode(ledger.Record{Key: "k", Value: []byte(value)}) // may be cut off
		var response rpc.Response
		if err := gob.NewDecoder(conn).Decode(&response); err != nil {
			return err.Error()
		}
		_, err := io.Copy(io.Discard, conn)
		is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the connection has ended
		return response.Error
	}
	is.True(strings.Contains(call(strings.Repeat("x", 200_000)), "exceeds the limit"))
}

// blockingBackend counts the records that arrive and takes them when it is told to.
type blockingBackend struct {
	owningBackend
	arrived chan struct{}
	proceed chan struct{}
}

func (b blockingBackend) Record(context.Context, ledger.Record) error {
	b.arrived <- struct{}{}
	<-b.proceed
	return nil
}

// TestLargeCallsOfAllEntriesWaitForMemory guards against an owner that holds the large jobs of all
// entries at once.
func TestLargeCallsOfAllEntriesWaitForMemory(t *testing.T) {
	is := is.New(t)
	const calls, bytes = 6, 100_000
	backend := blockingBackend{arrived: make(chan struct{}, calls), proceed: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	server, err := serve(listener, backend, Limits{Connections: calls, MessageBytes: 1 << 20, CallBytes: 5 * messageCopies * bytes / 2}, hclog.NewNullLogger())
	is.NoErr(err)
	defer server.Close()
	results := make(chan error, calls)
	for range calls {
		client := NewClient(nil)
		defer client.Close()
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			results <- client.Record(ctx, listener.Addr().String(), ledger.Record{Key: "k", Value: make([]byte, bytes)})
		}()
	}
	for range calls {
		<-backend.arrived
		time.Sleep(20 * time.Millisecond)
		is.True(len(backend.arrived) <= 1) // two calls fit
		backend.proceed <- struct{}{}
	}
	for range calls {
		is.NoErr(<-results)
	}
}
