package rpc

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// ProtocolVersion is the version of the messages between entries. Entries with different
// versions refuse connections from each other.
const ProtocolVersion uint16 = 1

// magic is the first field of a hello. It identifies the protocol.
const magic uint32 = 0x53524c31

// helloSize is the size of a hello in bytes: 4 for magic and 2 for the version, both in
// big-endian order.
const helloSize = 6

var errNotPeer = errors.New("rpc: the other end is not an entry; check the peer's address")

func writeHello(conn net.Conn, version uint16) error {
	var hello [helloSize]byte
	binary.BigEndian.PutUint32(hello[:4], magic)
	binary.BigEndian.PutUint16(hello[4:], version)
	_, err := conn.Write(hello[:])
	return err
}

func readHello(conn net.Conn) (uint16, error) {
	var hello [helloSize]byte
	if _, err := io.ReadFull(conn, hello[:]); err != nil {
		return 0, fmt.Errorf("rpc: no hello; check the peer: %w", err)
	}
	if binary.BigEndian.Uint32(hello[:4]) != magic {
		return 0, errNotPeer
	}
	return binary.BigEndian.Uint16(hello[4:]), nil
}

// clientHandshake sends a hello, reads the one of the server and compares the versions.
func clientHandshake(conn net.Conn, address string, local uint16, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if err := writeHello(conn, local); err != nil {
		return err
	}
	remote, err := readHello(conn)
	if err != nil {
		return err
	}
	if remote != local {
		return &VersionError{Address: address, Local: local, Remote: remote}
	}
	return conn.SetDeadline(time.Time{})
}

// serverHandshake reads the hello of the client, sends one and compares the versions. It
// also answers a hello of another version, so that the client can report the mismatch.
func serverHandshake(conn net.Conn, local uint16, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	remote, err := readHello(conn)
	if err != nil {
		return err
	}
	if err := writeHello(conn, local); err != nil {
		return err
	}
	if remote != local {
		return &VersionError{Address: conn.RemoteAddr().String(), Local: local, Remote: remote}
	}
	return conn.SetDeadline(time.Time{})
}
