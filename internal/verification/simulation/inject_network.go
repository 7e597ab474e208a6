package simulation

// cut cuts one direction between two processes, until the fault ends.
func (i *injection) cut(from, to string) {
	l, n := link{from, to}, i.network
	n.partitions[l]++
	i.undoLater("heals "+from+" "+to, func() {
		if n.partitions[l] > 0 {
			n.partitions[l]--
		}
	})
}

// cutBoth cuts both directions between two processes.
func (i *injection) cutBoth(a, b string) {
	i.cut(a, b)
	i.cut(b, a)
}

func (i *injection) delayWorker() { i.delay(i.worker.name) }

func (i *injection) delayClient() { i.delay(i.clientName) }

// delay adds latency between the appliance and another process, until the fault ends.
func (i *injection) delay(other string) {
	n := i.network
	links := []link{{i.appliance.name, other}, {other, i.appliance.name}}
	for _, l := range links {
		n.extraDelay[l] = i.fault.Size
	}
	i.undoLater("no delay", func() {
		for _, l := range links {
			delete(n.extraDelay, l)
		}
	})
}

func (i *injection) cutWorker() { i.cutBoth(i.appliance.name, i.worker.name) }

func (i *injection) cutToWorker() { i.cut(i.appliance.name, i.worker.name) }

func (i *injection) cutFromWorker() { i.cut(i.worker.name, i.appliance.name) }

func (i *injection) cutClient() {
	i.cutBoth(i.appliance.name, i.clientName)
	i.addOutage(i.fault.Appliance, i.fault.Client, i.outageEnd())
}

func (i *injection) cutPeers() {
	for _, other := range i.appliances {
		if other != i.appliance {
			i.cutBoth(i.appliance.name, other.name)
		}
	}
}

// cutPartialView cuts each worker from one appliance, in turn.
func (i *injection) cutPartialView() {
	for n, w := range i.workers {
		a := i.appliances[(i.fault.Appliance+n)%len(i.appliances)]
		i.cutBoth(a.name, w.name)
	}
}

func (i *injection) loseDatagrams() {
	n := i.network
	n.loss, n.duplication = i.fault.Size, i.fault.Size/2
	i.undoLater("no loss", func() { n.loss, n.duplication = 0, 0 })
}

func (i *injection) resetWorker() { i.breakConnections(i.worker.name) }

func (i *injection) resetClient() { i.breakConnections(i.clientName) }

// breakConnections breaks the appliance's connections with a process after some bytes, by turns in each direction.
func (i *injection) breakConnections(other string) {
	for n, e := range i.network.between(i.appliance.name, other) {
		if n%2 == 0 {
			e.breakSoon(i.fault.Bytes)
		} else {
			e.peer().breakSoon(i.fault.Bytes)
		}
	}
}

func (i *injection) halfOpenWorker() { i.blackholeConnections(i.worker.name) }

func (i *injection) halfOpenClient() { i.blackholeConnections(i.clientName) }

func (i *injection) blackholeConnections(other string) {
	for _, e := range i.network.between(i.appliance.name, other) {
		e.conn.blackhole()
	}
}

// slowClient makes a client read slowly. Connections that it opens meanwhile stay slow.
func (i *injection) slowClient() {
	if i.fault.Client >= len(i.clients) {
		return
	}
	c := i.clients[i.fault.Client]
	c.readRate = max(i.fault.Size, 1)
	for _, conn := range c.conns {
		if conn.end != nil {
			conn.end.readRate = c.readRate
			conn.end.conn.harmed = true
		}
	}
	i.addOutage(everyone, i.fault.Client, i.scheduler.now+i.fault.Duration+requestTimeout)
	i.undoLater("reads again", func() { c.readRate = 0 })
}

func (i *injection) shrinkBuffers() {
	n := i.network
	n.buffer = i.fault.Bytes
	i.undoLater("buffers as usual", func() { n.buffer = defaultBuffer })
}
