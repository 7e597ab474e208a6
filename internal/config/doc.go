// Package config reads the program's configuration. It is one JSON document, which is validated as a whole against an
// embedded JSON Schema before any of it takes effect.
//
// The package keeps no state. The commands load a [Config], and the appliance, the scenarios and the simulation derive the
// settings of the other packages from it.
package config
