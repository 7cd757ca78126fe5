package workload

const (
	// stepMemoryBytes is what a step takes in memory beside its texts and lists.
	stepMemoryBytes = 512
	// afterMemoryBytes is what the number of a step takes that another one waits for.
	afterMemoryBytes = 8
	// ordinaryJobBytes is the memory of a job that is not large: a payload of the largest size and
	// more than 20 steps.
	ordinaryJobBytes = 16 << 10
)

// MemoryBytes estimates what the job takes in the memory of an entry.
func (j *Job) MemoryBytes() int {
	n := len(j.Payload)
	for i := range j.Steps {
		s := &j.Steps[i]
		n += stepMemoryBytes + len(s.Constraint) + len(s.Affinity) + len(s.Image) + afterMemoryBytes*len(s.After)
	}
	return n
}

// LargeBytes returns by how much the job exceeds the memory of an ordinary one.
func (j *Job) LargeBytes() int { return max(0, j.MemoryBytes()-ordinaryJobBytes) }

// Ended returns the job without what only starts of its tasks need.
func (j *Job) Ended() *Job {
	out := *j
	out.Payload = ""
	out.Steps = make([]Step, len(j.Steps))
	for i, s := range j.Steps {
		s.After, s.Constraint, s.Affinity, s.Image = nil, "", "", ""
		out.Steps[i] = s
	}
	return &out
}
