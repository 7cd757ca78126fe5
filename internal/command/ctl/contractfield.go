package ctl

import (
	"fmt"
	"reflect"
	"slices"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// contractField is a field of a contract, as files and differences name it.
type contractField struct {
	// key is the TOML key; a part of the limit is "limit.<key>".
	key string
	// optional fields may be left out of a file.
	optional bool
	pointer  func(*v1.Contract) any
}

// contractFields lists all fields in the order in which they are shown.
var contractFields = []contractField{
	{key: "team", pointer: func(c *v1.Contract) any { return &c.Team }},
	{key: "services", pointer: func(c *v1.Contract) any { return &c.Services }},
	{key: "classes", pointer: func(c *v1.Contract) any { return &c.Classes }},
	{key: "weight", pointer: func(c *v1.Contract) any { return &c.Weight }},
	{key: "submit_rate", pointer: func(c *v1.Contract) any { return &c.SubmitRate }},
	{key: "submit_burst", pointer: func(c *v1.Contract) any { return &c.SubmitBurst }},
	{key: "max_queued", pointer: func(c *v1.Contract) any { return &c.MaxQueued }},
	{key: "on_cut", optional: true, pointer: func(c *v1.Contract) any { return &c.OnCut }},
	{key: "limit.cpu_milli", pointer: func(c *v1.Contract) any { return &c.Limit.CPUMilli }},
	{key: "limit.memory_mb", pointer: func(c *v1.Contract) any { return &c.Limit.MemoryMB }},
	{key: "limit.accelerators", pointer: func(c *v1.Contract) any { return &c.Limit.Accelerators }},
	{key: "limit.slots", pointer: func(c *v1.Contract) any { return &c.Limit.Slots }},
}

func (f *contractField) value(c *v1.Contract) reflect.Value {
	return reflect.ValueOf(f.pointer(c)).Elem()
}

// check checks one field on its own: in a contract whose other fields are valid.
func (f *contractField) check(c *v1.Contract) error {
	probe := validContract()
	f.value(&probe).Set(f.value(c))
	return probe.Validate()
}

func (f *contractField) render(c *v1.Contract) string {
	return fmt.Sprint(f.value(c).Interface())
}

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

// normalise gives two contracts that mean the same the same fields.
func normalise(c v1.Contract) v1.Contract {
	c.Services = slices.Compact(slices.Sorted(slices.Values(c.Services)))
	c.Classes = slices.Compact(slices.Sorted(slices.Values(c.Classes)))
	if c.OnCut == "" {
		c.OnCut = v1.CutServe
	}
	return c
}
