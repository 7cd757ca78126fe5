package callerlimit

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// receiveBufferBytes and sendBufferBytes bound what the kernel keeps of a connection. It
	// doubles them for its own data.
	receiveBufferBytes = 16 << 10
	sendBufferBytes    = 32 << 10
	// acceptableBytes is what a connection that waits to be accepted may have received.
	acceptableBytes = 2 * receiveBufferBytes
)

// listen listens on a TCP address (IP:port). At most backlog connections wait to be accepted, whose
// received bytes count, too. The connections have small buffers, as received bytes
// that were not read count as memory.
func listen(address string, backlog int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			if optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes); optErr == nil {
				optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)
			}
		})
		if err != nil {
			return err
		}
		return optErr
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := BoundBacklog(listener, backlog); err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return listener, nil
}

// BoundBacklog bounds the connections of a TCP listener that wait to be accepted.
func BoundBacklog(listener net.Listener, backlog int) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), backlog) }); err != nil {
		return err
	}
	return listenErr
}
