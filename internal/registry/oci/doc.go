// Package oci reads versions of functions from a registry that implements the OCI distribution specification, and caches
// their content by digest in a folder of bounded size.
//
// A Client talks to the registry. A Folder owns the files on disk; its contentCache decides, without I/O, which content to
// evict and which to verify next. Only the handler commands use this package; a running appliance does not.
package oci
