// Package signing verifies that versions of functions are signed by trusted keys. Signatures are DSSE envelopes over
// in-toto statements. Keys can be rotated, restricted to some functions and revoked.
//
// A Ring holds the trusted keys. It does no I/O and reads no clock. The appliance verifies the signatures of a version when
// it is published, and checks all published versions again when the ring changes. The handler commands create keys and
// signatures.
//
// Specifications: https://github.com/secure-systems-lab/dsse (envelope, pre-authentication encoding),
// https://github.com/in-toto/attestation (Statement v1).
package signing
