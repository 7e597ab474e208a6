// Package registry holds the immutable versions of functions, the aliases that name them, and the rollouts that move an
// alias gradually from one version to another. It resolves each request to a version.
//
// A Registry owns this state. It uses no I/O, clock or randomness: only the entries of an audit trail change it, and
// replaying the same trail always produces the same registry. The appliance stores the trail, applies its entries and
// resolves requests. A RolloutPacer limits how fast a release of many functions loads their new versions.
package registry
