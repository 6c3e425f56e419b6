// Package routing chooses the backend servers for a request: a pipeline of stages
// that covers every layer of a model exactly once, or one replica of a plain
// service.
//
// It never picks a backend server that is leaving. A failing server is ejected and later
// readmitted gradually, so that it isn't flooded on its return.
//
// Load reports lag. The estimated load of a backend server is the number of this
// entry's own requests in flight there, which is exact, plus an estimate of the other
// entries' requests: the reported load minus what this entry had in flight at the
// time of measurement, averaged over the age of the reports. That estimate is then
// corrected by the change in own requests since, times Config.PeerGain and the ratio
// of others' requests to own ones. The expected-time policy samples a few random
// replicas of the subset and takes the one with the least expected time ("power of d
// choices", Mitzenmacher 2001), so that entries with the same report don't all pick
// the same replica.
//
// Token and prefill times are averaged per server and per kind of accelerator; a
// server without observations uses the average of its kind.
//
// An entry uses a bounded subset of the replicas, chosen per failure domain by
// rendezvous hashing (Thaler and Ravishankar 1998), so that neither its polls nor its
// state grow with the number of replicas.
//
// A backend server that fails several times in a row is ejected. The ejection time
// doubles with each further ejection; after it, the server's requests in flight are
// limited by a growing cap. At most a configured share of the servers is ejected at
// once, as in Envoy's outlier detection.
//
// Prefix-cache events are hints. They reduce the expected prefill in proportion to how
// often earlier hints were right, and never decide a choice alone.
package routing
