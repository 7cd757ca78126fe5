// Package rpc carries calls between entries with net/rpc and gob over TCP. A connection
// starts with a handshake, in which both ends send a hello with their protocol version.
// After it, each message is one length-prefixed frame. A server that stops sends an empty
// frame, the go-away frame, when it has answered every call that it read. Server passes
// calls to a coordination.PeerServer; Client implements coordination.Peers.
package rpc
