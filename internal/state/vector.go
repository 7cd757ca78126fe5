package state

import "fmt"

// Vector is an amount of each resource that tasks use on an upstream.
type Vector struct {
	// CPUMilli is in thousandths of a CPU core.
	CPUMilli int64
	// MemoryMB is in mebibytes.
	MemoryMB     int64
	Accelerators int64
	// Slots is the number of tasks.
	Slots int64
}

// Add returns v + w.
func (v Vector) Add(w Vector) Vector {
	return Vector{v.CPUMilli + w.CPUMilli, v.MemoryMB + w.MemoryMB, v.Accelerators + w.Accelerators, v.Slots + w.Slots}
}

// Sub returns v - w. Components of the result may be negative.
func (v Vector) Sub(w Vector) Vector {
	return Vector{v.CPUMilli - w.CPUMilli, v.MemoryMB - w.MemoryMB, v.Accelerators - w.Accelerators, v.Slots - w.Slots}
}

// Scale returns v times n.
func (v Vector) Scale(n int64) Vector {
	return Vector{v.CPUMilli * n, v.MemoryMB * n, v.Accelerators * n, v.Slots * n}
}

// Fits reports whether every component of v is at most that of w.
func (v Vector) Fits(w Vector) bool {
	return v.CPUMilli <= w.CPUMilli && v.MemoryMB <= w.MemoryMB && v.Accelerators <= w.Accelerators && v.Slots <= w.Slots
}

// IsZero reports whether every component of v is 0.
func (v Vector) IsZero() bool { return v == Vector{} }

// Negative reports whether any component of v is negative.
func (v Vector) Negative() bool {
	return v.CPUMilli < 0 || v.MemoryMB < 0 || v.Accelerators < 0 || v.Slots < 0
}

// Min returns the component-wise minimum of v and w.
func (v Vector) Min(w Vector) Vector {
	return Vector{min(v.CPUMilli, w.CPUMilli), min(v.MemoryMB, w.MemoryMB), min(v.Accelerators, w.Accelerators), min(v.Slots, w.Slots)}
}

// Max returns the component-wise maximum of v and w.
func (v Vector) Max(w Vector) Vector {
	return Vector{max(v.CPUMilli, w.CPUMilli), max(v.MemoryMB, w.MemoryMB), max(v.Accelerators, w.Accelerators), max(v.Slots, w.Slots)}
}

// DominantShare returns the largest share of total that a component of v takes.
// Components that are 0 in total are ignored.
func (v Vector) DominantShare(total Vector) float64 {
	share := 0.0
	for _, part := range [...][2]int64{
		{v.CPUMilli, total.CPUMilli},
		{v.MemoryMB, total.MemoryMB},
		{v.Accelerators, total.Accelerators},
		{v.Slots, total.Slots},
	} {
		if part[1] > 0 {
			share = max(share, float64(part[0])/float64(part[1]))
		}
	}
	return share
}

// String formats v for logs and messages.
func (v Vector) String() string {
	return fmt.Sprintf("cpu=%dm,memory=%dMB,accelerators=%d,slots=%d", v.CPUMilli, v.MemoryMB, v.Accelerators, v.Slots)
}
