package callerlimit

import (
	"fmt"
	"syscall"
)

const (
	// ReservedDescriptors is the number of descriptors that sockets may not use.
	ReservedDescriptors = 200
	// descriptorShare is the part of the others that callers may use, 1/n. The owner needs many for
	// its upstreams.
	descriptorShare = 4
	// memoryShare is the part of the VM's memory that connections of callers may take, the part for
	// their requests, and that for what connections have received before they are accepted, 1/n each.
	memoryShare = 8
	// connectionBytes is the memory of a connection without its request.
	connectionBytes = 24 << 10
	// defaultMemoryBytes is the memory of a VM whose size is not set.
	defaultMemoryBytes = 512 << 20
	// minConnections is the smallest bound of a listener.
	minConnections = 32
	// maxDescriptors is the most that a limit of open files counts.
	maxDescriptors = 1 << 20
)

// Descriptors returns the limit of open files of this process.
func Descriptors() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("callerlimit: cannot read the limit of open files: %w; set it for the process", err)
	}
	return int(min(limit.Cur, maxDescriptors)), nil
}

// ForVM returns the limits of the callers of a process on a VM with a number of descriptors and of
// mebibytes of memory; 0 if the memory is not known.
func ForVM(descriptors, memoryMB int) Limits {
	memory := int64(memoryMB) << 20
	if memory == 0 {
		memory = defaultMemoryBytes
	}
	byDescriptors, byMemory := (descriptors-ReservedDescriptors)/descriptorShare, int(memory/memoryShare/connectionBytes)
	return Limits{
		Connections: max(minConnections, min(byDescriptors, byMemory)), RequestBytes: memory / memoryShare,
		Backlog: max(minConnections, int(memory/memoryShare/acceptableBytes)),
	}
}

// ForMonitors returns the limits of a listener for readiness probes and metrics.
func ForMonitors() Limits {
	return Limits{Connections: minConnections, RequestBytes: 1 << 20, Backlog: minConnections}
}
