// Package examples holds the tables of two deployments, for the documentation,
// the demonstration and the experiments.
package examples

import (
	// The tables are files so that operators can read and import them.
	_ "embed"
)

// Tintamezcla is the table of a deployment that minds unavailable time most.
//
//go:embed tintamezcla.yaml
var Tintamezcla []byte

// Umurage is the table of a deployment that minds moves of keys most.
//
//go:embed umurage.yaml
var Umurage []byte
