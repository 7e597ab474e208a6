// Package oci reads versions of functions from a registry that speaks the OCI distribution specification, and keeps
// content by digest in a bounded folder.
//
// A Client has the network, a Folder owns the files on disk, and its cache decides without I/O what is evicted and what
// is verified next. The handler commands are the callers; a running box needs neither.
package oci
