// Package deployment parses the document that states the terms of a deployment, which the bench and the platform provide
// in the same format, and converts it to control.Deployment. It has no socket, no clock and no state. Packages simadapter
// and platform call it.
package deployment
