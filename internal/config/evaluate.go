package config

import "fmt"

// Evaluate checks a sheet against the accepted state. It returns the state after accepting
// the sheet, or a fault for every row that can't be accepted. If all rows are in force
// already, the state is unchanged.
func Evaluate(accepted State, acceptedDay Day, sheet Sheet) (State, []Fault) {
	changed := map[LimitKey]Limit{}
	var faults []Fault
	for _, row := range sheet.Rows {
		current, exists := accepted.Get(row.Key)
		limit, fault := evaluateRow(current, exists, acceptedDay, sheet, row)
		switch {
		case fault != nil && len(faults) < maxFaults:
			faults = append(faults, *fault)
		case fault == nil && limit != current:
			changed[row.Key] = limit
		}
	}
	if len(faults) > 0 {
		return State{}, faults
	}
	return accepted.with(changed), nil
}

func evaluateRow(current Limit, exists bool, acceptedDay Day, sheet Sheet, row Row) (Limit, *Fault) {
	reject := func(column, problem, want string) (Limit, *Fault) {
		return Limit{}, &Fault{File: sheet.File, Row: row.Line, Column: column, Problem: problem, Want: want}
	}
	if exists && row.Value == current.Value {
		return current, nil
	}
	if exists && row.Value < current.Value {
		return reject("limit",
			fmt.Sprintf("%s is lowered from %d to %d", row.Key, current.Value, row.Value),
			fmt.Sprintf("%d or more: an accepted limit is never lowered", current.Value))
	}
	if sheet.Day < acceptedDay {
		return reject("day",
			fmt.Sprintf("%s is for %s, but a sheet for %s is in force", row.Key, sheet.Day, acceptedDay),
			fmt.Sprintf("a sheet for %s or later", acceptedDay))
	}
	if !exists {
		return Limit{Value: row.Value}, nil
	}
	if current.RaisedOn >= sheet.Day {
		return reject("limit",
			fmt.Sprintf("%s was raised on %s already, to %d", row.Key, current.RaisedOn, current.Value),
			fmt.Sprintf("%d today, or the raise to %d in a sheet for a later day", current.Value, row.Value))
	}
	return Limit{Value: row.Value, RaisedOn: sheet.Day}, nil
}
