package rpc

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// ProtocolVersion is the version of the messages between entries. Entries of
// different versions do not talk.
const ProtocolVersion uint16 = 1

// magic opens each hello.
const magic uint32 = 0x53524c31

// helloSize is the size of a hello in bytes: magic and version.
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

// greet exchanges hellos from the dialling end.
func greet(conn net.Conn, address string, local uint16, timeout time.Duration) error {
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

// welcome exchanges hellos from the accepting end. It answers even a hello of
// another version, so that the dialling end can tell the mismatch.
func welcome(conn net.Conn, local uint16, timeout time.Duration) error {
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
