package control

const (
	multiplier  = 4294957665
	carryValues = multiplier - 1
	// fractionSteps is the number of values that fraction may return. It is a power of two so that they are exact.
	fractionSteps = 1 << 20
)

// multiplyWithCarry is Marsaglia's multiply-with-carry generator. Equal seeds produce equal sequences, independently
// of the Go release.
type multiplyWithCarry struct{ value, carry uint32 }

func newMultiplyWithCarry(seed uint64) multiplyWithCarry {
	return multiplyWithCarry{value: uint32(seed), carry: uint32(seed>>32)%carryValues + 1}
}

// below returns a random number in the half-open interval [0, limit).
func (g *multiplyWithCarry) below(limit int) int {
	next := uint64(g.value)*multiplier + uint64(g.carry)
	g.value = uint32(next)
	g.carry = uint32(next >> 32)
	return int(uint64(g.value) * uint64(limit) >> 32)
}

// fraction returns a random number in the half-open interval [0, 1).
func (g *multiplyWithCarry) fraction() float64 {
	return float64(g.below(fractionSteps)) / fractionSteps
}
