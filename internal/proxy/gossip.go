package proxy

import (
	"encoding/binary"
	"hash/crc32"
)

// A datagram consists of the magic, the CRC-32 of the cluster's name in little-endian order, and a gossip message of
// package control.
const (
	datagramMagic      = "SCL1"
	datagramHeaderSize = len(datagramMagic) + 4 // magic and checksum
)

// datagramHeader returns the header of a cluster's datagrams.
func datagramHeader(cluster string) (header [datagramHeaderSize]byte) {
	copy(header[:], datagramMagic)
	binary.LittleEndian.PutUint32(header[len(datagramMagic):], crc32.ChecksumIEEE([]byte(cluster)))
	return header
}

// OnDatagram processes a datagram from another front end. Datagrams of other clusters or formats are dropped.
func (p *Proxy) OnDatagram(data []byte) {
	if len(data) >= datagramHeaderSize && [datagramHeaderSize]byte(data) == p.datagramHeader {
		p.dispatcher.OnGossip(p.host.Now(), data[datagramHeaderSize:])
		p.Flush()
	}
}

// broadcast sends a gossip message to every other front end.
func (p *Proxy) broadcast(message []byte) {
	datagram := make([]byte, 0, datagramHeaderSize+len(message))
	datagram = append(datagram, p.datagramHeader[:]...)
	p.host.Broadcast(append(datagram, message...))
}
