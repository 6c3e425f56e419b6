package stream

// keptInputs holds the inputs of one stage for the tokens [base, base+len(data)).
type keptInputs struct {
	base int
	data []string
}

func (k *keptInputs) has(token int) bool {
	return token >= k.base && token < k.base+len(k.data)
}

func (k *keptInputs) get(token int) string {
	return k.data[token-k.base]
}

// dropBelow drops the inputs of tokens below position and returns their size in bytes.
func (k *keptInputs) dropBelow(position int) int {
	bytes := 0
	for len(k.data) > 0 && k.base < position {
		bytes += len(k.data[0])
		k.data[0] = ""
		k.data = k.data[1:]
		k.base++
	}
	return bytes
}

// checkpoint is an exported KV cache that holds the tokens below position. Position 0
// means that there is none.
type checkpoint struct {
	position int
	blob     string
}

// keepInput keeps the input of the frontier's token for a replay. The first stage's
// inputs are not kept here: they are the prompt and the emitted tokens, which the stream
// holds anyway. If the input exceeds the limits, the earlier ones are dropped too, since a
// replay needs inputs without a gap.
func (t *Table) keepInput(s *stream, st *stage, input string) {
	if s.stageIndex == 0 {
		return
	}
	if !t.fitsKeepLimits(s, len(input)) {
		t.freeKeptBytes(s, st.kept.dropBelow(s.token))
		st.kept.base = s.token + 1
		return
	}
	t.addKeptBytes(s, len(input))
	st.kept.data = append(st.kept.data, input)
}

// canReplayFrom reports whether all inputs of the frontier stage from position to the
// frontier are available.
func (s *stream) canReplayFrom(position int) bool {
	return s.stageIndex == 0 || position >= s.stages[s.stageIndex].kept.base
}

// storeCheckpoint keeps an exported cache and drops the inputs that it covers. The cache
// may already include the step in flight, whose answer is still on its way.
func (t *Table) storeCheckpoint(s *stream, st *stage, position int, blob string) {
	if position <= st.checkpoint.position || position > st.position+1 {
		t.stats.Ignored++
		return
	}
	if !t.fitsKeepLimits(s, len(blob)-len(st.checkpoint.blob)) {
		return
	}
	t.addKeptBytes(s, len(blob)-len(st.checkpoint.blob))
	st.checkpoint = checkpoint{position: position, blob: blob}
	t.freeKeptBytes(s, st.kept.dropBelow(position))
}

// requestCheckpoints requests the KV cache of every stage every CheckpointEvery tokens.
func (t *Table) requestCheckpoints(s *stream) {
	if t.cfg.CheckpointEvery == 0 || s.token%t.cfg.CheckpointEvery != 0 {
		return
	}
	for i := range s.stages {
		st := &s.stages[i]
		t.emit(Export{Stream: s.name, Stage: i, Attempt: st.attempt, Server: st.server})
	}
}

func (t *Table) fitsKeepLimits(s *stream, bytes int) bool {
	return s.keptBytes+bytes <= t.cfg.KeepBytesPerStream && t.stats.KeptBytes+bytes <= t.cfg.KeepBytes
}

func (t *Table) addKeptBytes(s *stream, bytes int) {
	s.keptBytes += bytes
	t.stats.KeptBytes += bytes
}

func (t *Table) freeKeptBytes(s *stream, bytes int) {
	t.addKeptBytes(s, -bytes)
}

// dropKept frees all inputs and caches kept for a stream.
func (t *Table) dropKept(s *stream) {
	t.freeKeptBytes(s, s.keptBytes)
	for i := range s.stages {
		s.stages[i].kept = keptInputs{}
		s.stages[i].checkpoint = checkpoint{}
	}
}
