// Package deployment parses the settings document of a deployment, which the bench and the platform provide in the same
// format, and converts it to control.Deployment. It uses no sockets and no clock, and keeps no state. Packages simadapter
// and platform call it.
package deployment
