// Package instances is the stand-in of the platform's list of instances.
//
// Tests register and remove instances. Each change gets the next version and
// becomes visible to polls when the lag has passed. A poll names the version that
// it has and gets the changes since, or the whole list when it has none or its
// version is too old. connector.NewInstances is its client.
package instances
