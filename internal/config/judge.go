package config

import "fmt"

// Judge checks a sheet against what is accepted and returns the state that
// accepting it gives, or every row that can't be accepted. A sheet whose rows
// are all in force already gives the state unchanged.
func Evaluate(accepted State, acceptedDay Day, sheet Sheet) (State, []Fault) {
	changed := map[LimitKey]Limit{}
	var faults []Fault
	for _, row := range sheet.Rows {
		was, exists := accepted.Get(row.Key)
		limit, fault := judgeRow(was, exists, acceptedDay, sheet, row)
		switch {
		case fault != nil && len(faults) < maxFaults:
			faults = append(faults, *fault)
		case fault == nil && limit != was:
			changed[row.Key] = limit
		}
	}
	if len(faults) > 0 {
		return State{}, faults
	}
	return accepted.with(changed), nil
}

func judgeRow(was Limit, exists bool, acceptedDay Day, sheet Sheet, row Row) (Limit, *Fault) {
	refuse := func(column, wrong, want string) (Limit, *Fault) {
		return Limit{}, &Fault{File: sheet.File, Row: row.Line, Column: column, Problem: wrong, Want: want}
	}
	if exists && row.Value == was.Value {
		return was, nil
	}
	if exists && row.Value < was.Value {
		return refuse("limit",
			fmt.Sprintf("%s is lowered from %d to %d", row.Key, was.Value, row.Value),
			fmt.Sprintf("%d or more: an accepted limit is never lowered", was.Value))
	}
	if sheet.Day < acceptedDay {
		return refuse("day",
			fmt.Sprintf("%s is for %s, but a sheet for %s is in force", row.Key, sheet.Day, acceptedDay),
			fmt.Sprintf("a sheet for %s or later", acceptedDay))
	}
	if !exists {
		return Limit{Value: row.Value}, nil
	}
	if was.RaisedOn >= sheet.Day {
		return refuse("limit",
			fmt.Sprintf("%s was raised on %s already, to %d", row.Key, was.RaisedOn, was.Value),
			fmt.Sprintf("%d today, or the raise to %d in a sheet for a later day", was.Value, row.Value))
	}
	return Limit{Value: row.Value, RaisedOn: sheet.Day}, nil
}
