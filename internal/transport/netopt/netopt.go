// Package netopt sets TCP options with which a connection fails within seconds when its
// peer no longer responds.
package netopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout bounds how long sent data may remain unacknowledged.
	userTimeout = 2 * time.Second
	// An idle connection is probed after keepAliveIdle and then at intervals of
	// keepAliveInterval. It is closed after keepAliveCount probes without a response.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Dialer returns a dialer whose connections have keep-alive probes and a limit on
// unacknowledged data. It connects from local, or from any address if local is nil.
// timeout bounds the time to connect.
func Dialer(local net.Addr, timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout: timeout, LocalAddr: local, KeepAliveConfig: keepAlive(),
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
}

// EnableKeepAlive enables keep-alive probes on an accepted connection. A connection
// without them still works, so errors are ignored; the next read or write reports a
// broken connection.
func EnableKeepAlive(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive())
	}
}
