use super::quantity::{Bytes, Unit};

#[test]
fn formatted_sizes_parse_to_the_same_amount() {
    for n in [0, 1, 1023, 1024, 1536, 192 << 20, 3 << 30, (1 << 20) + 1] {
        let text = Bytes::format(n);
        assert_eq!(text.parse::<bytesize::ByteSize>().unwrap().as_u64(), n, "{text}");
    }
}
