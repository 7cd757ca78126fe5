// Package rpc carries calls between entries: net/rpc with gob over TCP. A
// connection opens with a hello that checks the protocol version; then each
// message is one length-prefixed frame. Server hands calls to a
// coordination.PeerServer; Client implements coordination.Peers.
package rpc
