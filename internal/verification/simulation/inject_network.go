package simulation

import "streamcleat/internal/units"

// partition cuts one direction between two processes until the fault ends.
func (i *injection) partition(from, to string) {
	l, n := linkDirection{from, to}, i.network
	n.partitions[l]++
	i.undoLater("heals "+from+" "+to, func() {
		if n.partitions[l] > 0 {
			n.partitions[l]--
		}
	})
}

// partitionBoth cuts both directions between two processes.
func (i *injection) partitionBoth(a, b string) {
	i.partition(a, b)
	i.partition(b, a)
}

func (i *injection) delayWorker() { i.delay(i.worker.name) }

func (i *injection) delayClient() { i.delay(i.clientName) }

// delay adds latency between the appliance and another process until the fault ends.
func (i *injection) delay(other string) {
	n := i.network
	links := []linkDirection{{i.appliance.name, other}, {other, i.appliance.name}}
	for _, l := range links {
		n.extraDelay[l] = units.Seconds(i.fault.Size)
	}
	i.undoLater("no delay", func() {
		for _, l := range links {
			delete(n.extraDelay, l)
		}
	})
}

func (i *injection) partitionWorker() { i.partitionBoth(i.appliance.name, i.worker.name) }

func (i *injection) partitionToWorker() { i.partition(i.appliance.name, i.worker.name) }

func (i *injection) partitionFromWorker() { i.partition(i.worker.name, i.appliance.name) }

func (i *injection) partitionClient() {
	i.partitionBoth(i.appliance.name, i.clientName)
	i.addOutage(i.fault.Appliance, i.fault.Client, float64(i.outageEnd()))
}

func (i *injection) partitionPeers() {
	for _, other := range i.appliances {
		if other != i.appliance {
			i.partitionBoth(i.appliance.name, other.name)
		}
	}
}

// partitionPartialView cuts each worker off from one of the appliances, in turn.
func (i *injection) partitionPartialView() {
	for n, w := range i.workers {
		a := i.appliances[(i.fault.Appliance+n)%len(i.appliances)]
		i.partitionBoth(a.name, w.name)
	}
}

func (i *injection) disturbDatagrams() {
	n := i.network
	n.loss, n.duplication = i.fault.Size, i.fault.Size/2
	i.undoLater("no loss", func() { n.loss, n.duplication = 0, 0 })
}

func (i *injection) resetWorker() { i.breakConnections(i.worker.name) }

func (i *injection) resetClient() { i.breakConnections(i.clientName) }

// breakConnections resets the appliance's connections with a process after some bytes, alternately in each direction.
func (i *injection) breakConnections(other string) {
	for n, e := range i.network.endpointsBetween(i.appliance.name, other) {
		if n%2 == 0 {
			e.resetAfterBytes(i.fault.Bytes)
		} else {
			e.peer().resetAfterBytes(i.fault.Bytes)
		}
	}
}

func (i *injection) halfOpenWorker() { i.blackholeConnections(i.worker.name) }

func (i *injection) halfOpenClient() { i.blackholeConnections(i.clientName) }

func (i *injection) blackholeConnections(other string) {
	for _, e := range i.network.endpointsBetween(i.appliance.name, other) {
		e.conn.blackhole()
	}
}

// slowClient makes a client read slowly. Connections that it opens during the fault stay slow.
func (i *injection) slowClient() {
	if i.fault.Client >= len(i.clients) {
		return
	}
	c := i.clients[i.fault.Client]
	c.readRate = max(i.fault.Size, 1)
	for _, conn := range c.conns {
		if conn.end != nil {
			conn.end.readRate = c.readRate
			conn.end.conn.faulty = true
		}
	}
	i.addOutage(wildcard, i.fault.Client, float64(i.scheduler.now+i.fault.Duration+requestTimeout))
	i.undoLater("reads again", func() { c.readRate = 0 })
}

func (i *injection) shrinkBuffers() {
	n := i.network
	n.buffer = i.fault.Bytes
	i.undoLater("buffers as usual", func() { n.buffer = defaultBuffer })
}
