package ctl

import (
	"fmt"
	"reflect"
	"slices"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// contractField describes a contract field as it is named in files and differences.
type contractField struct {
	// key is the TOML key; keys of the limit table have the form "limit.<key>".
	key string
	// optional fields may be omitted from a file.
	optional bool
	// pointer returns a pointer to the field.
	pointer func(*v1.Contract) any
}

// contractFields lists all fields in display order.
var contractFields = []contractField{
	{key: "team", pointer: func(c *v1.Contract) any { return &c.Team }},
	{key: "services", pointer: func(c *v1.Contract) any { return &c.Services }},
	{key: "classes", pointer: func(c *v1.Contract) any { return &c.Classes }},
	{key: "weight", pointer: func(c *v1.Contract) any { return &c.Weight }},
	{key: "submit_rate", pointer: func(c *v1.Contract) any { return &c.SubmitRate }},
	{key: "submit_burst", pointer: func(c *v1.Contract) any { return &c.SubmitBurst }},
	{key: "max_queued", pointer: func(c *v1.Contract) any { return &c.MaxQueued }},
	{key: "on_cut", optional: true, pointer: func(c *v1.Contract) any { return &c.PartitionPolicy }},
	{key: "limit.cpu_milli", pointer: func(c *v1.Contract) any { return &c.Limit.CPUMilli }},
	{key: "limit.memory_mb", pointer: func(c *v1.Contract) any { return &c.Limit.MemoryMB }},
	{key: "limit.accelerators", pointer: func(c *v1.Contract) any { return &c.Limit.Accelerators }},
	{key: "limit.slots", pointer: func(c *v1.Contract) any { return &c.Limit.Slots }},
}

func (f *contractField) value(c *v1.Contract) reflect.Value {
	return reflect.ValueOf(f.pointer(c)).Elem()
}

// check validates the field independently of the other fields of c, by setting it
// in a contract that is otherwise valid.
func (f *contractField) check(c *v1.Contract) error {
	candidate := validContract()
	f.value(&candidate).Set(f.value(c))
	return candidate.Validate()
}

func (f *contractField) render(c *v1.Contract) string {
	return fmt.Sprint(f.value(c).Interface())
}

// validContract returns a contract that passes Validate.
func validContract() v1.Contract {
	return v1.Contract{
		Team:        "team",
		Services:    []state.Service{"service"},
		Classes:     []state.Class{state.ClassBatch},
		SubmitRate:  1,
		SubmitBurst: 1,
		Weight:      1,
	}
}

// normalise returns the canonical form of a contract, so that equivalent contracts
// compare equal: lists are sorted without duplicates and defaults are filled in.
func normalise(c v1.Contract) v1.Contract {
	c.Services = slices.Compact(slices.Sorted(slices.Values(c.Services)))
	c.Classes = slices.Compact(slices.Sorted(slices.Values(c.Classes)))
	if c.PartitionPolicy == "" {
		c.PartitionPolicy = v1.PartitionServe
	}
	return c
}
