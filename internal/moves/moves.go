// Package moves divides the streams of a lost backend server among the servers that can take
// over its layers.
//
// All VMs move their streams at the same moment, and none sees the others' choices. Each VM
// therefore computes the same shares from the loads that it knows and draws a server for each
// stream by a hash of its request ID, so that the streams of all VMs together are spread by
// the shares without a message.
package moves

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/backend"
)

// Server is a server that can take over some of the lost layers.
type Server struct {
	// Layers is the part of the lost layers that it holds.
	Layers backend.Layers
	// Room is the number of streams that it can take.
	Room float64
	// Remote servers are in another failure domain than the lost one. They get only the
	// streams for which the others have no room.
	Remote bool
}

// Room returns how many streams fit into free tokens x layers of KV cache and into the time
// left, at the given need of a stream.
func Room(freeKV, kvPerStream float64, timeLeft, timePerStream time.Duration) float64 {
	room := math.Inf(1)
	if kvPerStream > 0 {
		room = freeKV / kvPerStream
	}
	if timePerStream > 0 {
		room = min(room, float64(timeLeft)/float64(timePerStream))
	}
	return max(0, room)
}

// Shares returns the part of the demand, in streams through the given layers, that each
// server is to take, 0 to 1. For each layer, the shares of the servers that hold it are
// proportional to their room and add up to 1; a server's share is the mean over its layers.
// All shares are 0 if no server has room.
func Shares(layers backend.Layers, demand float64, servers []Server) []float64 {
	local, remote := make([]float64, layers.Len()), make([]float64, layers.Len())
	for _, s := range servers {
		sum := local
		if s.Remote {
			sum = remote
		}
		for l := s.Layers.From; l < s.Layers.To; l++ {
			sum[l-layers.From] += s.Room
		}
	}
	out := make([]float64, len(servers))
	for i, s := range servers {
		if s.Room <= 0 {
			continue
		}
		for l := s.Layers.From; l < s.Layers.To; l++ {
			localRoom, remoteRoom := local[l-layers.From], remote[l-layers.From]
			near := min(max(demand, 1), localRoom)
			far := min(max(demand, 1)-near, remoteRoom)
			part, room := near, localRoom
			if s.Remote {
				part, room = far, remoteRoom
			}
			out[i] += part / (near + far) * s.Room / room / float64(s.Layers.Len())
		}
	}
	return out
}

// maxKey bounds the keys; it is that of a server without a share.
const maxKey = 1000

// Keys draws a key for each server by a hash of the request and the server. Among servers that
// hold the same layers, the one with the smallest key takes the request: that of server i is
// the smallest with a probability proportional to its share. The one with the next key follows
// if that server has no room. A server that drops out changes nothing between the others.
//
// For each layer, the smallest key of the servers that hold it is 1 on average, because their
// shares add up to 1. The mean of a path's keys over its layers therefore compares paths
// through one server and through several.
func Keys(requestID string, ids []string, shares []float64) []float64 {
	keys := make([]float64, len(ids))
	for i := range ids {
		keys[i] = maxKey
		if shares[i] > 0 { // exponentially distributed with the share as rate
			keys[i] = min(maxKey, -math.Log(fraction(requestID, ids[i]))/shares[i])
		}
	}
	return keys
}

// fraction returns a pseudo-random number in (0, 1), fixed for a request and a server.
func fraction(requestID, serverID string) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(requestID) // a Digest's Write never fails
	_, _ = d.WriteString("/move/" + serverID)
	return (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
}
