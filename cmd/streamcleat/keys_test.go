package main

import (
	"reflect"
	"strings"
	"testing"

	"streamcleat/internal/appliance"
	"streamcleat/internal/config"
	"streamcleat/internal/deployment"
	"streamcleat/internal/registry"
	"streamcleat/internal/registry/signing"
	"streamcleat/internal/verification/fakes"
	"streamcleat/internal/verification/invariants"
	"streamcleat/internal/verification/scenario"
	"streamcleat/internal/verification/simulation"
)

// documents are values of the types that are written to or read from files, sockets or standard output as JSON.
var documents = []any{
	appliance.Status{},
	appliance.WorkerStatus{},
	appliance.FunctionStatus{},
	appliance.RequestStatus{},
	appliance.ScheduleStatus{},
	appliance.Command{},
	appliance.Change{},
	config.Config{},
	deployment.Settings{},
	fakes.Fault{},
	invariants.Record{},
	invariants.Rules{},
	invariants.Verdict{},
	registry.Entry{},
	registry.View{},
	signing.Ring{},
	scenario.Script{},
	scenario.Report{},
	scenario.FrontEndRow{},
	scenario.StoreRow{},
	scenario.RecoveryRow{},
	simulation.Script{},
	simulation.Report{},
	simulation.Explored{},
	changeReply{},
}

// fieldsWithoutKey returns the paths of the fields of a type, and of the types of this program that it contains, that have no
// JSON key in their tag.
func fieldsWithoutKey(t reflect.Type, path string, seen map[reflect.Type]bool) (found []string) {
	switch t.Kind() {
	case reflect.Slice, reflect.Pointer, reflect.Map, reflect.Array:
		return fieldsWithoutKey(t.Elem(), path, seen)
	case reflect.Struct:
	default:
		return nil
	}
	if seen[t] || t.PkgPath() != "" && !strings.HasPrefix(t.PkgPath(), "streamcleat") {
		return nil
	}
	seen[t] = true
	for field := range t.Fields() {
		if !field.IsExported() && !field.Anonymous {
			continue
		}
		if key, _, _ := strings.Cut(field.Tag.Get("json"), ","); key == "" && !field.Anonymous {
			found = append(found, path+"."+field.Name)
		}
		found = append(found, fieldsWithoutKey(field.Type, path+"."+field.Name, seen)...)
	}
	return found
}

// Tests that every field of a document has an explicit JSON key, so that renaming a field does not change the document.
func TestDocuments_FieldsHaveJSONKeys(t *testing.T) {
	seen := map[reflect.Type]bool{}
	for _, document := range documents {
		for _, field := range fieldsWithoutKey(reflect.TypeOf(document), reflect.TypeOf(document).String(), seen) {
			t.Errorf("%s has no JSON key", field)
		}
	}
}
