package rpc

import (
	"context"
)

// peerConns are the connections to one address, guarded by the client's mutex.
type peerConns struct {
	conns []*connection
	// dialing is the dial in progress; nil when there is none.
	dialing *dialAttempt
}

// dialAttempt is a dial that several callers may wait for.
type dialAttempt struct {
	done chan struct{}
	// err is set before done is closed.
	err error
}

// acquire returns a connection to an address, with one call counted on it. With
// probe, a quiet connection is probed first. Its errors mean that nothing was
// sent.
func (c *Client) acquire(ctx context.Context, address string, probe bool) (*connection, error) {
	if err := checkAddress(address); err != nil {
		return nil, err
	}
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		conn, attempt, err := c.choose(address)
		if err != nil {
			return nil, err
		}
		if conn == nil {
			if err := attempt.wait(ctx); err != nil {
				return nil, err
			}
			continue
		}
		if !probe || conn.fresh() || c.cfg.noProbes || conn.ping() == nil {
			return conn, nil
		}
		c.release(conn)
	}
}

// wait returns when the dial has ended, with its error.
func (a *dialAttempt) wait(ctx context.Context) error {
	select {
	case <-a.done:
		return a.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// choose returns the connection with the fewest calls, or a dial to wait for
// when there is no connection. It starts a dial when all connections are busy
// and there may be another one.
func (c *Client) choose(address string) (*connection, *dialAttempt, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil, ErrClosed
	}
	peer, ok := c.peers[address]
	if !ok {
		peer = &peerConns{}
		c.peers[address] = peer
	}
	best := peer.leastBusy()
	room := len(peer.conns) < c.cfg.ConnectionsPerPeer
	if room && peer.dialing == nil && (best == nil || best.inFlight > 0) {
		peer.dialing = &dialAttempt{done: make(chan struct{})}
		c.wg.Go(func() { c.dial(address, peer) })
	}
	if best == nil {
		return nil, peer.dialing, nil
	}
	best.inFlight++
	return best, nil, nil
}

// leastBusy returns the open connection with the fewest calls; nil when there
// is none. Closed ones are dropped.
func (p *peerConns) leastBusy() *connection {
	open := p.conns[:0]
	var best *connection
	for _, conn := range p.conns {
		if conn.isClosed() {
			continue
		}
		open = append(open, conn)
		if best == nil || conn.inFlight < best.inFlight {
			best = conn
		}
	}
	clear(p.conns[len(open):])
	p.conns = open
	return best
}

// dial opens one more connection and watches it until it is closed.
func (c *Client) dial(address string, peer *peerConns) {
	c.metrics.dials.Inc(1)
	conn, err := dial(c.ctx, &c.cfg, address)
	c.mu.Lock()
	attempt := peer.dialing
	peer.dialing = nil
	attempt.err = err
	if conn != nil {
		peer.conns = append(peer.conns, conn)
		if c.closed {
			conn.close(ErrClosed)
		}
	}
	c.forgetUnused(address, peer)
	close(attempt.done)
	c.mu.Unlock()
	if err != nil {
		c.cfg.Logger.Debug("dial failed", "address", address, "error", err)
		return
	}
	c.watch(conn)
}

// watch probes a connection until it is closed, then drops it.
func (c *Client) watch(conn *connection) {
	conn.watch(c.status)
	c.cfg.Logger.Debug("connection closed", "address", conn.address, "cause", conn.cause)
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer, ok := c.peers[conn.address]; ok {
		peer.leastBusy()
		c.forgetUnused(conn.address, peer)
	}
}

// status tells a connection's watcher whether it has calls in flight. An idle
// one past its time is taken out of use first.
func (c *Client) status(conn *connection) connStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case conn.inFlight > 0:
		return connBusy
	case conn.frames.idle() > c.cfg.IdleTimeout:
		conn.close(errIdle)
		return connExpired
	}
	return connIdle
}

// release ends a call on a connection.
func (c *Client) release(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.inFlight--
}

// forgetUnused drops the record of an address without connections. The caller
// holds mu.
func (c *Client) forgetUnused(address string, peer *peerConns) {
	if len(peer.conns) == 0 && peer.dialing == nil {
		delete(c.peers, address)
	}
}
