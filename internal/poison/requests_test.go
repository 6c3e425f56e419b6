package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cutRequest returns a run of a plain request that was cut between two times in milliseconds.
func cutRequest(server uint32, sentMs, endedMs int, fingerprint string) CutRun {
	return CutRun{Server: server, Subject: Subject{Request: RequestPart(fingerprint)}, SentAt: time.Duration(sentMs) * time.Millisecond, EndedAt: time.Duration(endedMs) * time.Millisecond}
}

// recordCrashes records runs and returns the requests that are blocked once the crash is judged.
func recordCrashes(g *Guard, runs ...CutRun) (blocked []Part) {
	blocked = recordAll(g, runs...)
	for _, b := range g.Judge(runs[len(runs)-1].EndedAt + DefaultConfig().SuspicionDelay) {
		blocked = append(blocked, b.Part)
	}
	return blocked
}

func requestBlocked(g *Guard, now time.Duration, fingerprint string) bool {
	_, blocked := g.Find(now, Subject{Request: RequestPart(fingerprint)})
	return blocked
}

func TestRequestIsBlockedAfterTwoCrashesThatCutNoOtherTwice(t *testing.T) {
	g := New(DefaultConfig())
	require.Empty(t, recordCrashes(g, cutRequest(1, 0, 100, "deadly"), cutRequest(1, 50, 100, "a")))
	require.Equal(t, []Part{"request:deadly"}, recordCrashes(g, cutRequest(2, 200, 300, "b"), cutRequest(2, 150, 300, "deadly")))
	require.True(t, requestBlocked(g, second, "deadly"))
	require.False(t, requestBlocked(g, second, "a"))
	require.Empty(t, recordCrashes(g, cutRequest(2, 200, 300, "a")), "the blocked request explains the crash")
}

func TestRequestsCutInTheSameCrashesAreToldApartLater(t *testing.T) {
	g := New(DefaultConfig())
	require.Empty(t, recordCrashes(g, cutRequest(1, 0, 100, "deadly"), cutRequest(1, 0, 100, "sound")))
	require.Empty(t, recordCrashes(g, cutRequest(2, 150, 300, "deadly"), cutRequest(2, 150, 300, "sound")))
	require.Equal(t, []Part{"request:deadly", "request:sound"}, recordCrashes(g, cutRequest(3, 350, 400, "deadly"), cutRequest(3, 350, 400, "sound")))
	trial := 400*time.Millisecond + DefaultConfig().SuspicionDelay + DefaultConfig().AmbiguousTrialInterval
	require.False(t, g.BeginTrial(trial-time.Millisecond, "request:sound"))
	require.True(t, requestBlocked(g, trial, "sound"))
	require.True(t, g.BeginTrial(trial, "request:sound"))
	require.False(t, g.BeginTrial(trial, "request:sound"), "one at a time")
	require.Equal(t, []Part{"request:sound"}, g.RecordProgress(trial+100*time.Millisecond, Subject{Request: "request:sound"}).Unblocked)
	require.True(t, g.BeginTrial(trial, "request:deadly"))
	after := int(trial / time.Millisecond)
	require.Empty(t, recordCrashes(g, cutRequest(4, after, after+50, "deadly")))
	require.False(t, g.blocked["request:deadly"].Ambiguous, "no other request was cut in all four")
	trials := 1
	for now := trial; now < 2*time.Hour; now += time.Second {
		requestBlocked(g, now, "deadly")
		if g.BeginTrial(now, "request:deadly") {
			trials++
		}
	}
	require.Equal(t, DefaultConfig().MaxTrials, trials)
	require.True(t, requestBlocked(g, 2*time.Hour, "deadly"))
}

func TestRequestThatMakesProgressIsNotBlocked(t *testing.T) {
	g := New(DefaultConfig())
	for i := range 10 {
		require.Empty(t, recordCrashes(g, cutRequest(uint32(i), 1000*i, 1000*i+50, "popular")))
		require.True(t, g.RecordProgress(time.Duration(1000*i+100)*time.Millisecond, Subject{Request: "request:popular"}).News)
	}
}

func TestRepeatedRequestCutWhenServersEndTogetherIsNotBlocked(t *testing.T) {
	g := New(DefaultConfig())
	for server := range uint32(20) {
		require.Empty(t, recordCrashes(g, cutRequest(server, 1000, 1100+int(server), "popular")))
	}
}

// Lost connections look like crashes until the servers respond.
func TestServersThatRespondHaveNotCrashed(t *testing.T) {
	g := New(DefaultConfig())
	require.Empty(t, recordCrashes(g, cutRequest(1, 0, 100, "sound")))
	require.False(t, g.RecordResponse(second/2, 50*time.Millisecond, 1).News, "sent before the crash")
	require.Equal(t, []Part{"request:sound"}, recordCrashes(g, cutRequest(2, 150, 300, "sound")))
	require.Equal(t, []Part{"request:sound"}, g.RecordResponse(second, 400*time.Millisecond, 1).Unblocked)
	require.False(t, requestBlocked(g, second, "sound"))
	require.False(t, g.addRun(second, cutRequest(1, 0, 100, "sound")), "another VM still reports it")
	require.False(t, g.Restore(second, Block{Part: "request:sound", Since: 310 * time.Millisecond, Seen: second}))
}

// A VM that started later has the block from the store, without the crashes.
func TestResponseEndsOnlyBlocksThatItConcerns(t *testing.T) {
	g := New(DefaultConfig())
	require.True(t, g.Restore(0, Block{Part: "request:deadly", Crashes: 2}))
	recordCrashes(g, cutRequest(1, 100, 200, "sound"))
	require.Empty(t, g.RecordResponse(second, 400*time.Millisecond, 1).Unblocked)
	require.True(t, requestBlocked(g, second, "deadly"))

	recordCrashes(g, cutRequest(2, 1100, 1200, "deadly"))
	require.Empty(t, g.RecordResponse(2*second, 1400*time.Millisecond, 2).Unblocked, "the block does not rest on this crash")
}

func TestSuspectsOfACrashFollowEachOther(t *testing.T) {
	cfg := DefaultConfig()
	g := New(cfg)
	recordCrashes(g, cutRequest(1, 0, 100, "b"), cutRequest(1, 0, 100, "a"), cutRequest(1, 0, 100, "c"))
	first := 100*time.Millisecond + cfg.SuspicionDelay
	for i, fingerprint := range []string{"a", "b", "c"} {
		at, suspect := g.SendAfter(RequestPart(fingerprint))
		require.True(t, suspect)
		require.Equal(t, first+time.Duration(i)*cfg.SuspectSpacing, at)
	}
	g.RecordProgress(second, Subject{Request: "request:a"})
	_, suspect := g.SendAfter("request:a")
	require.False(t, suspect)
	at, _ := g.SendAfter("request:b")
	require.Equal(t, first, at)
	_, suspect = g.SendAfter("request:other")
	require.False(t, suspect)
}

func TestOperatorLiftsABlock(t *testing.T) {
	g := New(DefaultConfig())
	recordCrashes(g, cutRequest(1, 0, 100, "deadly"), cutRequest(2, 150, 300, "deadly"))
	peer := New(DefaultConfig())
	require.NotEmpty(t, peer.Receive(second, g.Update(second)).Blocked)
	_, known := g.Lift(2*second, "request:unknown")
	require.False(t, known)
	_, known = g.Lift(2*second, "request:deadly")
	require.True(t, known)
	require.Equal(t, []Part{"request:deadly"}, peer.Receive(2*second, g.Update(2*second)).Unblocked)
	require.False(t, requestBlocked(peer, 3*second, "deadly"))
}

// A prompt whose parts are named like requests must not block them.
func TestPromptPartsCannotNameRequests(t *testing.T) {
	require.NotEqual(t, RequestPart("abc"), NewPrompt([]string{"request:abc"})[0])
}

// The connections of a VM whose links fail are lost at all servers, one after the other.
func TestDoubtfulCrashesConvictNothingUntilConfirmed(t *testing.T) {
	doubtful := func(server uint32, sentMs, endedMs int) CutRun {
		r := cutRequest(server, sentMs, endedMs, "popular")
		r.Doubtful = true
		return r
	}
	g, peer := New(DefaultConfig()), New(DefaultConfig())
	require.Empty(t, recordCrashes(g, doubtful(1, 0, 100)))
	require.Empty(t, recordCrashes(g, doubtful(2, 150, 300)))
	require.Empty(t, recordCrashes(g, doubtful(3, 350, 400)))
	_, suspect := g.SendAfter("request:popular")
	require.True(t, suspect)
	peer.Receive(second/2, g.Update(second/2))
	require.Empty(t, peer.Judge(second))
	require.True(t, g.Confirm(second, func(server uint32) bool { return server < 3 }).New)
	require.Len(t, g.Judge(2*second), 1)
	require.True(t, peer.Receive(2*second, g.Update(2*second)).New)
	require.True(t, requestBlocked(peer, 2*second, "popular"))
}

// A VM may notice the crash of a server only when it uses an old connection.
func TestRunSentToADeadServerIsNoEvidence(t *testing.T) {
	g := New(DefaultConfig())
	require.Empty(t, recordCrashes(g, cutRequest(1, 0, 100, "deadly")))
	require.Empty(t, recordCrashes(g, cutRequest(1, 150, 151, "sound")))
	_, suspect := g.SendAfter("request:sound")
	require.False(t, suspect)
	require.Equal(t, []Part{"request:deadly"}, recordCrashes(g, cutRequest(2, 300, 400, "deadly")))
	require.Empty(t, recordCrashes(g, cutRequest(2, 450, 451, "sound")))
	require.False(t, requestBlocked(g, second, "sound"))
}

func TestTrialsOfOtherVMsCount(t *testing.T) {
	g, peer := New(DefaultConfig()), New(DefaultConfig())
	recordCrashes(g, cutRequest(1, 0, 100, "deadly"))
	recordCrashes(g, cutRequest(2, 150, 300, "deadly"))
	peer.Receive(second, g.Update(second))
	now := 3 * time.Minute
	requestBlocked(peer, now, "deadly")
	require.True(t, g.BeginTrial(now, "request:deadly"))
	peer.Receive(now, g.Update(now))
	require.False(t, peer.BeginTrial(now, "request:deadly"))
}
