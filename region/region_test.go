package region_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/region"
)

func ExampleMap_Allows() {
	regions, err := region.ParseMap("east-a=east,east-b=east,west-a=west")
	fmt.Println(regions.Allows([]string{"east"}, "east-b"), err)
	fmt.Println(regions.Allows([]string{"east"}, "west-a"), err)
	// Output:
	// true <nil>
	// false <nil>
}

func TestAllows(t *testing.T) {
	regions, err := region.ParseMap("east-a=east,west-a=west,north-a=north")
	is.New(t).NoErr(err)
	tests := []struct {
		name    string
		regions region.Map
		allowed []string
		domain  string
		want    bool
	}{
		{"a route without regions", regions, nil, "west-a", true},
		{"a route without regions, unknown domain", regions, []string{}, "south-a", true},
		{"an allowed region", regions, []string{"east"}, "east-a", true},
		{"one of two allowed regions", regions, []string{"east", "west"}, "west-a", true},
		{"another region", regions, []string{"east", "west"}, "north-a", false},
		{"a domain of no known region", regions, []string{"east"}, "south-a", false},
		{"a domain that is called like the region", regions, []string{"east"}, "east", false},
		{"no regions are known", region.Map{}, []string{"east"}, "east-a", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.regions.Allows(tt.allowed, tt.domain), tt.want)
		})
	}
}

func TestOverlap(t *testing.T) {
	tests := []struct {
		name string
		a, b []string
		want bool
	}{
		{"neither is bound", nil, nil, true},
		{"one is not bound", nil, []string{"east"}, true},
		{"the same", []string{"east"}, []string{"east"}, true},
		{"one in common", []string{"west", "east"}, []string{"east", "north"}, true},
		{"none in common", []string{"west"}, []string{"east", "north"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(region.Overlap(tt.a, tt.b), tt.want)
			is.Equal(region.Overlap(tt.b, tt.a), tt.want)
		})
	}
}

func TestParseMap(t *testing.T) {
	tests := []struct {
		name    string
		text    string
		want    map[string]string
		isValid bool
	}{
		{"empty", "", nil, true},
		{"one domain", "east-a=east", map[string]string{"east-a": "east"}, true},
		{"two domains", "east-a=east,west-a=west", map[string]string{"east-a": "east", "west-a": "west"}, true},
		{"no region", "east-a=east,west-a", nil, false},
		{"empty region", "east-a=", nil, false},
		{"empty domain", "=east", nil, false},
		{"spaces", " east-a = east , west-a=west ", map[string]string{"east-a": "east", "west-a": "west"}, true},
		{"a region of spaces", "east-a= ", nil, false},
		{"listed twice", "east-a=east,east-a=west", nil, false},
		{"listed twice with one region", "east-a=east,east-a=east", nil, false},
		{"listed twice, once with a space", "east-a=east, east-a=west", nil, false},
		{"a placeholder that nothing has filled in", "{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			regions, err := region.ParseMap(tt.text)
			is.Equal(err == nil, tt.isValid)
			is.Equal(regions.Domains(), tt.want)
		})
	}
}

func TestString(t *testing.T) {
	is := is.New(t)
	is.Equal(region.Map{}.String(), "")
	regions, err := region.ParseMap("west-a=west, east-a=east")
	is.NoErr(err)
	is.Equal(regions.String(), "east-a=east,west-a=west")
}
