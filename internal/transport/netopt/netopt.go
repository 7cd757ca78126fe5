// Package netopt sets the options of connections, so that one that has gone
// silent is noticed.
package netopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout bounds how long sent bytes may stay unacknowledged.
	userTimeout = 2 * time.Second
	// A connection without traffic is probed after keepAliveIdle, and is given
	// up after keepAliveCount probes without an answer.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Dialer returns a dialer with these options; local may be nil.
func Dialer(local net.Addr, timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout: timeout, LocalAddr: local, KeepAliveConfig: keepAlive(),
		Control: func(_, _ string, raw syscall.RawConn) error {
			var set error
			err := raw.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return set
		},
	}
}

// Tune sets the options of an accepted connection. A connection without them
// still works, so a failure is left to the next read or write to show.
func Tune(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive())
	}
}
