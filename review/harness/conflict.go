//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["conflict"] = playConflict }

// playConflict: reservations of which some are answered with a conflict; the replicas reject a
// part as full.
func playConflict(f *Fleet, rec *Recorder, trouble bool) (bool, error) {
	var shedding atomic.Bool
	var count atomic.Int64
	answer := func(sheds bool) func(id string, r *http.Request) Outcome {
		return func(_ string, r *http.Request) Outcome {
			if sheds && shedding.Load() && count.Add(1)*39%100 < 39 { // 0.39 of its requests
				return Outcome{Status: http.StatusServiceUnavailable}
			}
			if r.URL.Path == "/reserve/taken" {
				return Outcome{Status: http.StatusConflict, Ran: true, Unsigned: true, Body: "pallet is reserved already", Work: 20 * time.Millisecond}
			}
			return Outcome{Status: http.StatusOK, Ran: true, Body: "reserved", Work: 20 * time.Millisecond}
		}
	}
	for i := range 11 {
		if _, err := f.StartReplica(fmt.Sprintf("i-desk-%d", i+1), "ordrebok", zones[i%len(zones)], answer(i == 0)); err != nil {
			return false, err
		}
	}
	f.Manifest(1, []map[string]any{PlainRoute("reserve", "/reserve/", "non_idempotent", "ordrebok", 1, 1500)}, []map[string]any{PlainService("ordrebok", 96)})
	if err := f.StartVMs(6, nil); err != nil {
		return false, err
	}
	if err := f.AwaitReady(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		shedding.Store(true)
		rec.Printf("disruption begins: %s rejects 0.39 of its requests", f.Replicas[0].ID)
	}
	var wg sync.WaitGroup
	ids := make([]string, 0, 92)
	for i := range 92 { // 12 a second for 7.6 s
		id := fmt.Sprintf("a%015x", i+1)
		ids = append(ids, id)
		path := "/reserve/taken"
		if i%4 == 0 {
			path = "/reserve/free"
		}
		vm := f.VMs[i%len(f.VMs)]
		wg.Go(func() {
			rec.Printf("%s: POST %s sent to %s", id, path, vm.Name)
			rep, _ := Send(vm.Callers, "POST", path, id, f.key, 1500*time.Millisecond, false)
			rec.Printf("%s: answered %d %q %v", id, rep.Status, rep.Body, rep.Err)
		})
		time.Sleep(83 * time.Millisecond)
	}
	wg.Wait()
	shedding.Store(false)
	time.Sleep(time.Second)
	twice, answered := 0, 0
	for _, id := range ids {
		runs := rec.Runs(id)
		if len(runs) > 1 {
			twice++
			rec.Printf("TWICE: %s ran %d times: %v", id, len(runs), runs)
		}
		if len(runs) > 0 {
			answered++
		}
	}
	rec.Printf("%d requests, %d ran, %d more than once", len(ids), answered, twice)
	if answered < len(ids)/3 {
		return false, fmt.Errorf("only %d requests ran", answered)
	}
	return twice > 0, nil
}
