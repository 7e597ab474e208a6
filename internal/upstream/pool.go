package upstream

// Pool contains what the connection pools of both protocols share. Each protocol's pool embeds it.
type Pool[C anyConnection, E anyExchange] struct {
	Connections Connections[C]
	Exchanges   Exchanges[E]
}

// NewPool returns a pool without connections that sends over transport and reports results to handler.
func NewPool[C anyConnection, E anyExchange](transport Transport, handler ExchangeHandler) Pool[C, E] {
	return Pool[C, E]{Connections: NewConnections[C](transport), Exchanges: NewExchanges[E](handler)}
}

// Len returns the number of connections, including those being dialed.
func (p *Pool[C, E]) Len() int { return p.Connections.Len() }

// Pending reports whether Flush has something to report.
func (p *Pool[C, E]) Pending() bool { return p.Exchanges.Pending() }

// Flush reports the exchanges that could not be sent.
func (p *Pool[C, E]) Flush() { p.Exchanges.Flush() }
