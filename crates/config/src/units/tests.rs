use super::*;

#[test]
fn sizes_come_back_as_they_went() {
    for n in [0, 1, 1023, 1024, 1536, 192 << 20, 3 << 30, (1 << 20) + 1] {
        let text = bytes(n);
        assert_eq!(text.parse::<bytesize::ByteSize>().unwrap().as_u64(), n, "{text}");
    }
}
