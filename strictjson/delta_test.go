package strictjson_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/strictjson"
)

// Guards against a document that passes for a delta by a field in another case.
func TestIsDelta(t *testing.T) {
	is := is.New(t)
	is.True(strictjson.IsDelta([]byte(`{"base_digest":"x"}`)))
	is.True(!strictjson.IsDelta([]byte(`{"Base_Digest":"x"}`)))
	is.True(!strictjson.IsDelta([]byte(`{"base_digest":null}`)))
	is.True(!strictjson.IsDelta([]byte(`{"base_digest":"x","base_digest":"y"}`)))
}
