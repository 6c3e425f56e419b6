package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/catkinstair/catkinstair/internal/memnet"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// BenchmarkSteadyCost measures the cost of the lease without failures: messages and CBOR
// bytes sent per second by one member and by one other VM, and calls to the service per
// second by the whole fleet.
func BenchmarkSteadyCost(b *testing.B) {
	for _, vms := range []int{6, 24, 96, 330} {
		b.Run(fmt.Sprintf("%d-vms", vms), func(b *testing.B) {
			for range b.N {
				steadyCost(b, vms)
			}
		})
	}
}

func steadyCost(b *testing.B, vms int) {
	const span = 10 * time.Second
	s := newSim(b, 1, vms, min(7, vms/2))
	s.drift = false
	for _, h := range s.hosts() {
		s.start(h)
	}
	s.run(15 * time.Second)
	calls := s.serviceCalls
	roster := s.service.roster
	members := instanceSet(roster.Members)
	var memberBytes, otherBytes, memberSends, otherSends float64
	s.onSend = func(from memnet.Host, payload any) {
		data, err := cbor.Marshal(payload)
		require.NoError(b, err)
		if members[s.procs[from].core.cfg.Self] {
			memberBytes += float64(len(data))
			memberSends++
			return
		}
		otherBytes += float64(len(data))
		otherSends++
	}
	s.run(span)
	perMember := span.Seconds() * float64(len(members))
	perOther := span.Seconds() * max(1, float64(vms-len(members)))
	b.ReportMetric(float64(len(members)), "members")
	b.ReportMetric(memberSends/perMember, "msgs/s/member")
	b.ReportMetric(memberBytes/perMember, "B/s/member")
	b.ReportMetric(otherSends/perOther, "msgs/s/other")
	b.ReportMetric(otherBytes/perOther, "B/s/other")
	b.ReportMetric(float64(s.serviceCalls-calls)/span.Seconds(), "calls/s/fleet")
}
