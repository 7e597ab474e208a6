// Package nodesim runs one front end of the platform on a virtual clock and without sockets. Its clients draw the IDs of their
// requests from a small set that the front end's load commands share, in all spellings, while earlier requests with the same IDs
// are open, ended or canceled. Its worker replies late, twice, or after a cancellation. The package checks that each response
// belongs to its request, that no two attempts under one ID are open at once, and that no at-most-once request runs twice.
package nodesim
