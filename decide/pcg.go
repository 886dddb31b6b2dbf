package decide

// pcg is PCG-XSH-RR 64/32: small, seeded by the instance, the same on every machine.
type pcg uint64

func (p *pcg) next() uint32 {
	s := uint64(*p)
	*p = pcg(s*6364136223846793005 + 1442695040888963407)
	x := uint32(((s >> 18) ^ s) >> 27)
	r := uint32(s >> 59)
	return x>>r | x<<(-r&31)
}

func seeded(seed uint64) pcg {
	p := pcg(seed + 1442695040888963407)
	p.next()
	return p
}

// unit is uniform in [0,1).
func (p *pcg) unit() float64 { return float64(p.next()) / (1 << 32) }
