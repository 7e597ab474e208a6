// Package signing verifies that versions of functions are signed by trusted keys. Signatures are DSSE envelopes over
// in-toto statements. Keys can be rotated, restricted to some functions and revoked.
//
// A Ring owns the keys in force. It has no I/O and no clock. The appliance verifies versions when they are published, and
// checks the published ones again when the ring changes. The handler commands create keys and signatures.
//
// Specifications: https://github.com/secure-systems-lab/dsse (envelope, pre-authentication encoding),
// https://github.com/in-toto/attestation (Statement v1).
package signing
