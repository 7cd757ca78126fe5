package rpc

import (
	"context"
)

// peerConns holds the connections to one address. It is guarded by the client's mutex.
type peerConns struct {
	conns []*connection
	// dialing is the connection attempt in progress, or nil.
	dialing *dialAttempt
}

// dialAttempt is a connection attempt that several callers can wait for.
type dialAttempt struct {
	done chan struct{}
	// err is set before done is closed.
	err error
}

// acquire returns a connection to an address and counts one call on it, which release
// must end. If probe is set, a connection from which nothing was read lately is probed
// first. An error means that nothing was sent.
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

// wait returns the error of the connection attempt once it has ended, or the error of
// ctx if that ends first.
func (a *dialAttempt) wait(ctx context.Context) error {
	select {
	case <-a.done:
		return a.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// choose returns the connection with the fewest calls, or a connection attempt to wait
// for if there is no connection. It starts a connection attempt if all connections are
// busy and ConnectionsPerPeer allows another one.
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
	canDial := len(peer.conns) < c.cfg.ConnectionsPerPeer
	if canDial && peer.dialing == nil && (best == nil || best.inFlight > 0) {
		peer.dialing = &dialAttempt{done: make(chan struct{})}
		c.wg.Go(func() { c.dial(address, peer) })
	}
	if best == nil {
		return nil, peer.dialing, nil
	}
	best.inFlight++
	return best, nil, nil
}

// leastBusy returns the open connection with the fewest calls, or nil if there is none.
// It removes closed connections.
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

// dial opens another connection and then watches it until it is closed.
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
	c.removeIfUnused(address, peer)
	close(attempt.done)
	c.mu.Unlock()
	if err != nil {
		c.cfg.Logger.Debug("dial failed", "address", address, "error", err)
		return
	}
	c.watch(conn)
}

// watch probes a connection until it is closed, and then removes it.
func (c *Client) watch(conn *connection) {
	conn.watch(c.status)
	c.cfg.Logger.Debug("connection closed", "address", conn.address, "cause", conn.cause)
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer, ok := c.peers[conn.address]; ok {
		peer.leastBusy()
		c.removeIfUnused(conn.address, peer)
	}
}

// status reports whether a connection has calls in flight. It closes a connection that
// has been idle for longer than IdleTimeout.
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

// release ends a call that acquire has counted on a connection.
func (c *Client) release(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.inFlight--
}

// removeIfUnused removes the pool of an address that has no connections and no
// connection attempt. The caller holds mu.
func (c *Client) removeIfUnused(address string, peer *peerConns) {
	if len(peer.conns) == 0 && peer.dialing == nil {
		delete(c.peers, address)
	}
}
