package runtimes

// kindKey identifies the upstreams of a pool that have the same label.
type kindKey struct{ pool, label string }

// kind is the prior of its upstreams: the mean and the variance of their logarithms.
type kind struct {
	key            kindKey
	pool           *pool
	mean, variance float64
	// Sums over the members, while the kinds are estimated.
	sum, weight, squares, reliable float64
}

// pool holds the mean and the variance of the factors of a service's upstreams.
type pool struct {
	mean, variance                 float64
	sum, weight, squares, reliable float64
}

func (m *Model) kind(key kindKey) *kind {
	k := m.kinds[key]
	if k != nil {
		return k
	}
	p := m.pools[key.pool]
	if p == nil {
		p = &pool{variance: upstreamVariance}
		m.pools[key.pool] = p
	}
	k = &kind{key: key, pool: p, mean: p.mean, variance: p.variance}
	m.kinds[key] = k
	return k
}

const (
	// assumedMembers is the number of members that the variance of all upstreams counts
	// for in that of a kind, and the assumed variance in that of all upstreams.
	assumedMembers = 3
	// minKindVariance keeps an upstream from following its kind alone: a factor may be
	// 3 percent off its kind.
	minKindVariance = 0.03 * 0.03
)

// refresh estimates the priors from the observations of all upstreams. A kind whose members
// differ little, compared with all upstreams, becomes a strong prior; one whose members
// differ as much as all others says nothing about them.
func (m *Model) refresh() {
	m.observed = 0
	for _, p := range m.pools {
		p.sum, p.weight, p.squares, p.reliable = 0, 0, 0, 0
	}
	for _, k := range m.kinds {
		k.sum, k.weight, k.squares, k.reliable = 0, 0, 0, 0
	}
	m.observedUpstreams(func(u *Upstream, mean, variance float64) {
		p, k := u.kind.pool, u.kind
		w := 1 / (variance + p.variance)
		p.sum, p.weight = p.sum+w*mean, p.weight+w
		w = 1 / (variance + k.variance)
		k.sum, k.weight = k.sum+w*mean, k.weight+w
	})
	for _, p := range m.pools {
		p.mean = p.sum / max(p.weight, 1e-9)
	}
	for _, k := range m.kinds {
		k.mean = (k.sum + k.pool.mean/k.pool.variance) / (k.weight + 1/k.pool.variance)
	}
	m.observedUpstreams(func(u *Upstream, mean, variance float64) {
		p, k := u.kind.pool, u.kind
		w := p.variance / (p.variance + variance)
		p.squares, p.reliable = p.squares+w*((mean-p.mean)*(mean-p.mean)-variance), p.reliable+w
		k.squares, k.reliable = k.squares+w*((mean-k.mean)*(mean-k.mean)-variance), k.reliable+w
	})
	for _, p := range m.pools {
		p.variance = max(minKindVariance, (p.squares+assumedMembers*upstreamVariance)/(p.reliable+assumedMembers))
	}
	for _, k := range m.kinds {
		k.variance = max(minKindVariance, (k.squares+assumedMembers*k.pool.variance)/(k.reliable+assumedMembers))
	}
	for _, u := range m.ordered {
		u.estimate()
	}
}

// observedUpstreams calls f for each upstream with observations, with their mean and its
// variance.
func (m *Model) observedUpstreams(f func(u *Upstream, mean, variance float64)) {
	for _, u := range m.ordered {
		if u.weight > 0 {
			f(u, u.sum/u.weight, 1/u.weight)
		}
	}
}
