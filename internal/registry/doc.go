// Package registry keeps the immutable versions of functions, the aliases that name them, and the rollouts that move an
// alias from one version to another. It decides which version a request is bound to.
//
// A Registry owns this state. It has no I/O, no clock and no randomness: it changes only by entries of an audit trail,
// and replaying the same trail always produces the same registry. The appliance stores the trail, applies its entries and
// resolves requests. A RolloutPacer limits how fast the release of many functions loads their new versions.
package registry
