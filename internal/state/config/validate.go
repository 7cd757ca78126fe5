package config

import (
	"crypto/sha256"
	"strings"

	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	// maxNameBytes is the maximum length of a name or an ID, in bytes.
	maxNameBytes = 128
	// maxAmount is the maximum of each component of a limit or a capacity.
	maxAmount = int64(1) << 40
	// maxDomainWeight is the maximum weight of a failure domain.
	maxDomainWeight = int64(1) << 20
	// maxShareWeight is the maximum weight of a team.
	maxShareWeight = 1 << 20
	// maxDomains is the maximum number of failure domains.
	maxDomains = 1024
)

const nameRemedy = "use 1 to 128 letters, digits, dots, underscores or hyphens"

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool { return !nameRune(r) })
}

func nameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return r == '.' || r == '_' || r == '-'
	}
}

// validID reports whether id consists of the characters that are valid in names
// and of the separators that platforms use in IDs, "/" and ":".
func validID(id string) bool {
	if id == "" || len(id) > maxNameBytes {
		return false
	}
	return !strings.ContainsFunc(id, func(r rune) bool { return !nameRune(r) && r != '/' && r != ':' })
}

func validAmount(v state.Vector) bool {
	maximum := state.Vector{CPUMilli: maxAmount, MemoryMB: maxAmount, Accelerators: maxAmount, Slots: maxAmount}
	return !v.Negative() && v.Fits(maximum)
}

func validateContract(c Contract) Result {
	switch {
	case !validName(string(c.Team)):
		return invalid("team", nameRemedy)
	case len(c.Services) == 0:
		return invalid("services", "permit one service or more")
	case len(c.Classes) == 0:
		return invalid("classes", "permit one class or more")
	case !(c.SubmitRate > 0):
		return invalid("submit_rate", "set a positive number of jobs a second")
	case c.SubmitBurst < 1:
		return invalid("submit_burst", "set 1 job or more")
	case c.MaxQueued < 0:
		return invalid("max_queued", "set 0 jobs or more")
	case !validAmount(c.Limit):
		return invalid("limit", "set amounts from 0 to 2^40")
	case c.Weight < 1 || c.Weight > maxShareWeight:
		return invalid("weight", "set a weight from 1 to 1048576")
	case c.PartitionPolicy != PartitionServe && c.PartitionPolicy != PartitionHold:
		return invalid("on_cut", "choose serve or hold")
	}
	for _, service := range c.Services {
		if !validName(string(service)) {
			return invalid("services", nameRemedy)
		}
	}
	for _, class := range c.Classes {
		if !class.Valid() {
			return invalid("classes", "choose among request, batch, gang and standing")
		}
	}
	return accepted()
}

func validateKey(k Key) Result {
	switch {
	case !validName(k.ID):
		return invalid("key.id", nameRemedy)
	case k.Role != RoleCaller && k.Role != RoleOperator:
		return invalid("key.role", "choose caller or operator")
	case k.Role == RoleCaller && !validName(string(k.Team)):
		return invalid("key.team", nameRemedy)
	case k.Role == RoleOperator && k.Team != "":
		return invalid("key.team", "leave the team of an operator's key empty")
	case len(k.Secret) != sha256.Size:
		return invalid("key.secret", "give the SHA-256 of the secret, 32 bytes")
	}
	return accepted()
}

func validateQueue(q Queue) Result {
	switch {
	case !validName(string(q.ID)):
		return invalid("queue.id", nameRemedy)
	case !validName(string(q.Team)):
		return invalid("queue.team", nameRemedy)
	case !q.DefaultClass.Valid():
		return invalid("queue.default_class", "choose among request, batch, gang and standing")
	}
	return accepted()
}

func validateDomains(domains []Domain) Result {
	if len(domains) == 0 || len(domains) > maxDomains {
		return invalid("domains", "list 1 to 1024 failure domains")
	}
	seen := make(map[state.DomainID]bool, len(domains))
	for _, d := range domains {
		switch {
		case !validName(string(d.ID)):
			return invalid("domains.id", nameRemedy)
		case seen[d.ID]:
			return invalid("domains.id", "list each failure domain once")
		case d.Weight < 1 || d.Weight > maxDomainWeight:
			return invalid("domains.weight", "set a weight from 1 to 1048576")
		}
		seen[d.ID] = true
	}
	return accepted()
}

func validateEntry(body RegisterEntry) Result {
	switch {
	case !validID(string(body.Entry)) || !strings.Contains(string(body.Entry), "/"):
		return invalid("entry", "use <VM ID>/<incarnation>")
	case !validName(string(body.Domain)):
		return invalid("domain", nameRemedy)
	}
	return accepted()
}

func validateJoin(body JoinUpstreams) Result {
	if !validName(string(body.Domain)) {
		return invalid("domain", nameRemedy)
	}
	if len(body.Upstreams) == 0 {
		return invalid("upstreams", "name one upstream or more")
	}
	seen := make(map[state.VMID]bool, len(body.Upstreams))
	for _, u := range body.Upstreams {
		switch {
		case !validID(string(u.ID)):
			return invalid("upstreams.id", "use 1 to 128 letters, digits or . _ - / :")
		case seen[u.ID]:
			return invalid("upstreams.id", "name each upstream once")
		case !validName(string(u.Service)):
			return invalid("upstreams.service", nameRemedy)
		case !validAmount(u.Capacity):
			return invalid("upstreams.capacity", "set amounts from 0 to 2^40")
		}
		seen[u.ID] = true
	}
	return accepted()
}
