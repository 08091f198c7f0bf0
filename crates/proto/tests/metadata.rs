//! Lookup in the metadata of a request.

use stonefold_proto::metadata::metadata_value;

#[test]
fn first_pair_of_a_name_is_found_and_values_may_contain_an_equals_sign() {
    let metadata = "c=read,d=480,flag,k=d=9,c=other";
    assert_eq!(metadata_value(metadata, "c"), Some("read"));
    assert_eq!(metadata_value(metadata, "k"), Some("d=9"));
    assert_eq!(metadata_value(metadata, "flag"), None);
    assert_eq!(metadata_value(metadata, ""), None);
}
