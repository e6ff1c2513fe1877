package control

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
	"unsafe"

	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// shared are types whose values the model never modifies: handed-out catalogs,
// messages, the duties of replicas that do not lead, and machines, which the model
// copies before it applies an entry.
var shared = map[reflect.Type]bool{
	reflect.TypeFor[*catalog.Catalog]():  true,
	reflect.TypeFor[message.Envelope]():  true,
	reflect.TypeFor[*LeaderTasks]():           true,
	reflect.TypeFor[*Machine]():          true,
	reflect.TypeFor[ServerConfig]():      true,
	reflect.TypeFor[keyCache]():          true,
	reflect.TypeFor[*modelConfig]():      true,
	reflect.TypeFor[[]byte]():            true,
	reflect.TypeFor[time.Time]():         true,
	reflect.TypeFor[catalog.NodeEntry](): true,
}

// deepCopy copies a state machine with its unexported fields, so that the model
// check can branch. Functions are shared.
func deepCopy[T any](value T) T {
	var copied T
	copyInto(reflect.ValueOf(&copied).Elem(), reflect.ValueOf(&value).Elem(), map[unsafe.Pointer]reflect.Value{})
	return copied
}

// settable returns an addressable field of a struct without the mark that forbids
// access to unexported fields.
func settable(field reflect.Value) reflect.Value {
	return reflect.NewAt(field.Type(), unsafe.Pointer(field.UnsafeAddr())).Elem()
}

func copyInto(to, from reflect.Value, done map[unsafe.Pointer]reflect.Value) {
	if shared[from.Type()] {
		to.Set(from)
		return
	}
	switch from.Kind() {
	case reflect.Pointer:
		if from.IsNil() {
			return
		}
		if _, ok := done[from.UnsafePointer()]; !ok {
			done[from.UnsafePointer()] = reflect.New(from.Type().Elem())
			copyInto(done[from.UnsafePointer()].Elem(), from.Elem(), done)
		}
		to.Set(done[from.UnsafePointer()])
	case reflect.Struct:
		for i := range from.NumField() {
			copyInto(settable(to.Field(i)), settable(from.Field(i)), done)
		}
	case reflect.Slice:
		if from.IsNil() {
			return
		}
		to.Set(reflect.MakeSlice(from.Type(), from.Len(), from.Len()))
		for i := range from.Len() {
			copyInto(to.Index(i), from.Index(i), done)
		}
	case reflect.Map:
		if from.IsNil() {
			return
		}
		to.Set(reflect.MakeMapWithSize(from.Type(), from.Len()))
		for _, key := range from.MapKeys() {
			to.SetMapIndex(key, copyOf(from.MapIndex(key), done))
		}
	case reflect.Interface:
		if !from.IsNil() {
			to.Set(copyOf(from.Elem(), done))
		}
	default:
		to.Set(from)
	}
}

// copyOf copies a value that has no address.
func copyOf(from reflect.Value, done map[unsafe.Pointer]reflect.Value) reflect.Value {
	source := reflect.New(from.Type()).Elem()
	source.Set(from)
	target := reflect.New(from.Type()).Elem()
	copyInto(target, source, done)
	return target
}

// dump appends all data of a value, with its unexported fields, in a fixed order.
// A catalog is identified by its revision, because the log of the model gives the
// same change to each revision. The ids of reads are left out: a replica of the
// model has one read in progress at a time.
func dump(key []byte, value reflect.Value) []byte {
	switch value.Type() {
	case reflect.TypeFor[*catalog.Catalog]():
		if !value.IsNil() {
			key = strconv.AppendUint(key, value.Elem().FieldByName("Revision").Uint(), 10)
		}
		return append(key, ';')
	case reflect.TypeFor[*Machine]():
		// The log of the model determines the rest of the state.
		return append(strconv.AppendUint(key, value.Elem().FieldByName("applied").Uint(), 10), ';')
	case reflect.TypeFor[keyCache](), reflect.TypeFor[*LeaderTasks](), reflect.TypeFor[*modelConfig](), reflect.TypeFor[catalog.NodeEntry](),
		reflect.TypeFor[ServerConfig](), reflect.TypeFor[[][]byte]():
		return key
	case reflect.TypeFor[answers]():
		key = dump(key, value.FieldByName("waiting"))
		key = dump(key, value.FieldByName("inFlight"))
		return dump(key, value.FieldByName("confirmedAt"))
	case reflect.TypeFor[batch]():
		return dump(key, value.FieldByName("waiters"))
	case reflect.TypeFor[read]():
		return dump(key, value.FieldByName("early"))
	}
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		if value.IsNil() {
			return append(key, "nil;"...)
		}
		return dump(key, value.Elem())
	case reflect.Struct:
		for i := range value.NumField() {
			key = dump(key, value.Field(i))
		}
		return key
	case reflect.Slice, reflect.Array:
		key = append(strconv.AppendInt(key, int64(value.Len()), 10), '[')
		for i := range value.Len() {
			key = dump(key, value.Index(i))
		}
		return key
	case reflect.Map:
		return dumpMap(key, value)
	case reflect.Func:
		return key
	case reflect.Int, reflect.Int64:
		return append(strconv.AppendInt(key, value.Int(), 10), ';')
	case reflect.Uint64, reflect.Uint32, reflect.Uint16, reflect.Uint8:
		return append(strconv.AppendUint(key, value.Uint(), 10), ';')
	case reflect.String:
		return append(append(key, value.String()...), ';')
	default:
		return fmt.Append(key, value, ";")
	}
}

func dumpMap(key []byte, value reflect.Value) []byte {
	keys := value.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int {
		return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	})
	key = append(strconv.AppendInt(key, int64(len(keys)), 10), '{')
	for _, k := range keys {
		key = dump(key, k)
		key = dump(key, value.MapIndex(k))
	}
	return key
}
