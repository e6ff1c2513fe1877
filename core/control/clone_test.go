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

// sharedTypes are types whose values the model never modifies, so that copies share
// them: returned catalogs, messages, the leader tasks of replicas that do not lead, and
// machines, which the model copies before it applies an entry.
var sharedTypes = map[reflect.Type]bool{
	reflect.TypeFor[*catalog.Catalog]():  true,
	reflect.TypeFor[message.Envelope]():  true,
	reflect.TypeFor[*LeaderTasks]():      true,
	reflect.TypeFor[*Machine]():          true,
	reflect.TypeFor[ServerConfig]():      true,
	reflect.TypeFor[keyCache]():          true,
	reflect.TypeFor[*modelConfig]():      true,
	reflect.TypeFor[[]byte]():            true,
	reflect.TypeFor[time.Time]():         true,
	reflect.TypeFor[catalog.NodeEntry](): true,
}

// deepCopy copies a state machine with its unexported fields, so that the model checker
// can branch. Functions are shared.
func deepCopy[T any](value T) T {
	var copied T
	copyInto(reflect.ValueOf(&copied).Elem(), reflect.ValueOf(&value).Elem(), map[unsafe.Pointer]reflect.Value{})
	return copied
}

// settable returns a field of an addressable struct as a value that can be set even if
// the field is unexported.
func settable(field reflect.Value) reflect.Value {
	return reflect.NewAt(field.Type(), unsafe.Pointer(field.UnsafeAddr())).Elem()
}

// copyInto copies a value deeply. Done maps copied pointers to their copies, so that
// aliases and cycles are preserved.
func copyInto(to, from reflect.Value, done map[unsafe.Pointer]reflect.Value) {
	if sharedTypes[from.Type()] {
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

// copyOf copies a value that is not addressable, such as a map element.
func copyOf(from reflect.Value, done map[unsafe.Pointer]reflect.Value) reflect.Value {
	source := reflect.New(from.Type()).Elem()
	source.Set(from)
	target := reflect.New(from.Type()).Elem()
	copyInto(target, source, done)
	return target
}

// appendKey appends all data of a value, including unexported fields, in a fixed order.
// A catalog is identified by its revision, because the model's log gives each revision
// the same change. The ids of reads are left out, because a replica of the model has one
// read in flight at a time.
func appendKey(key []byte, value reflect.Value) []byte {
	switch value.Type() {
	case reflect.TypeFor[*catalog.Catalog]():
		if !value.IsNil() {
			key = strconv.AppendUint(key, value.Elem().FieldByName("Revision").Uint(), 10)
		}
		return append(key, ';')
	case reflect.TypeFor[*Machine]():
		// The model's log determines the rest of the state.
		return append(strconv.AppendUint(key, value.Elem().FieldByName("applied").Uint(), 10), ';')
	case reflect.TypeFor[keyCache](), reflect.TypeFor[*LeaderTasks](), reflect.TypeFor[*modelConfig](), reflect.TypeFor[catalog.NodeEntry](),
		reflect.TypeFor[ServerConfig](), reflect.TypeFor[[][]byte]():
		return key
	case reflect.TypeFor[readQueue]():
		key = appendKey(key, value.FieldByName("queued"))
		key = appendKey(key, value.FieldByName("inFlight"))
		return appendKey(key, value.FieldByName("confirmed"))
	case reflect.TypeFor[readBatch]():
		return appendKey(key, value.FieldByName("requests"))
	case reflect.TypeFor[read]():
		return appendKey(key, value.FieldByName("earlyIndex"))
	}
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		if value.IsNil() {
			return append(key, "nil;"...)
		}
		return appendKey(key, value.Elem())
	case reflect.Struct:
		for i := range value.NumField() {
			key = appendKey(key, value.Field(i))
		}
		return key
	case reflect.Slice, reflect.Array:
		key = append(strconv.AppendInt(key, int64(value.Len()), 10), '[')
		for i := range value.Len() {
			key = appendKey(key, value.Index(i))
		}
		return key
	case reflect.Map:
		return appendMapKey(key, value)
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

func appendMapKey(key []byte, value reflect.Value) []byte {
	keys := value.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int {
		return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	})
	key = append(strconv.AppendInt(key, int64(len(keys)), 10), '{')
	for _, k := range keys {
		key = appendKey(key, k)
		key = appendKey(key, value.MapIndex(k))
	}
	return key
}
