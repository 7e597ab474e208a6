// Package config reads the program's configuration. It is one JSON document, which is validated as a whole against an
// embedded JSON Schema before any of it takes effect.
//
// The package owns no state. The commands load a Config, from which the appliance, the scenarios and the simulation
// derive the settings of the other packages.
package config
