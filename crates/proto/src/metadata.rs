//! The metadata of a request: a comma-separated list of `name=value` pairs such as `c=read,d=480`.

/// Returns the value of the first pair with this name.
pub fn metadata_value<'a>(metadata: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = metadata.split(',').filter_map(|pair| pair.split_once('='));
    pairs.find(|(other, _)| *other == name).map(|(_, value)| value)
}
