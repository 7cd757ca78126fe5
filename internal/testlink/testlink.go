// Package testlink limits the bandwidth of connections. Only tests and the soak import it.
package testlink

import (
	"net"
	"time"
)

// NarrowBandwidth is the bandwidth of the smallest entry VMs, 10 Mbit/s, in bytes per
// second.
const NarrowBandwidth = 10_000_000 / 8

// chunkTime is how long a piece of data that is sent at once takes.
const chunkTime = 10 * time.Millisecond

// Narrow returns a listener each of whose connections sends at NarrowBandwidth.
func Narrow(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{c}, nil
}

type conn struct{ net.Conn }

func (c conn) Write(data []byte) (int, error) {
	const chunk = NarrowBandwidth * int(chunkTime) / int(time.Second)
	sent := 0
	for sent < len(data) {
		n, err := c.Conn.Write(data[sent:min(len(data), sent+chunk)])
		sent += n
		if err != nil {
			return sent, err
		}
		time.Sleep(time.Duration(n) * time.Second / NarrowBandwidth)
	}
	return sent, nil
}
