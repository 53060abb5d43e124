//! Name of a build.

use lagoonyard_node::build::name;

/// Guards against two builds of one version that cannot be told apart.
#[test]
fn a_build_is_named_by_its_version_and_commit() {
    assert_eq!(&*name("0.1.0", Some("1d8abab")), "0.1.0+1d8abab");
}

/// Guards against a name that ends in an empty commit when the build gives none.
#[test]
fn a_build_without_a_commit_is_named_by_its_version() {
    for commit in [None, Some(""), Some(" \n")] {
        assert_eq!(&*name("0.1.0", commit), "0.1.0");
    }
}
