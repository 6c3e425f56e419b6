package stream

// keptInputs holds the inputs of one boundary for the tokens
// [base, base+len(data)).
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

// dropBelow forgets the inputs of tokens below position and returns their size
// in bytes.
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

// checkpoint is an exported KV cache that holds the tokens below position.
// Position 0 means that there is none.
type checkpoint struct {
	position int
	blob     string
}

// keep remembers the input of the frontier's token for a replay. The first
// stage's inputs are the prompt and the emitted tokens, which are there anyway.
func (t *Table) keep(s *stream, st *stage, input string) {
	if s.at == 0 {
		return
	}
	if !t.room(s, len(input)) {
		t.free(s, st.kept.dropBelow(s.token))
		st.kept.base = s.token + 1
		return
	}
	t.charge(s, len(input))
	st.kept.data = append(st.kept.data, input)
}

// canReplayFrom reports whether the frontier stage's inputs from position to
// the frontier are all there.
func (s *stream) canReplayFrom(position int) bool {
	return s.at == 0 || position >= s.stages[s.at].kept.base
}

// storeCheckpoint keeps an exported cache and forgets the inputs it covers. The
// cache may hold the step in flight, whose answer is still on its way.
func (t *Table) storeCheckpoint(s *stream, st *stage, position int, blob string) {
	if position <= st.cache.position || position > st.position+1 {
		t.stats.Ignored++
		return
	}
	if !t.room(s, len(blob)-len(st.cache.blob)) {
		return
	}
	t.charge(s, len(blob)-len(st.cache.blob))
	st.cache = checkpoint{position: position, blob: blob}
	t.free(s, st.kept.dropBelow(position))
}

// askCheckpoints asks every stage for its cache when enough tokens have passed.
func (t *Table) askCheckpoints(s *stream) {
	if t.cfg.CheckpointEvery == 0 || s.token%t.cfg.CheckpointEvery != 0 {
		return
	}
	for i := range s.stages {
		st := &s.stages[i]
		t.emit(Export{Stream: s.name, Stage: i, Attempt: st.attempt, Server: st.server})
	}
}

func (t *Table) room(s *stream, bytes int) bool {
	return s.keptBytes+bytes <= t.cfg.KeepBytesPerStream && t.stats.KeptBytes+bytes <= t.cfg.KeepBytes
}

func (t *Table) charge(s *stream, bytes int) {
	s.keptBytes += bytes
	t.stats.KeptBytes += bytes
}

func (t *Table) free(s *stream, bytes int) {
	t.charge(s, -bytes)
}

// forgetKept frees all that is kept for a stream.
func (t *Table) forgetKept(s *stream) {
	t.free(s, s.keptBytes)
	for i := range s.stages {
		s.stages[i].kept = keptInputs{}
		s.stages[i].cache = checkpoint{}
	}
}
