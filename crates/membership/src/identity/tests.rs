//! Validation of labels.

use super::*;

#[test]
fn label_rejects_empty_long_and_unprintable_text_with_the_reason() {
    let label = |text: &str| Label::try_from(text.to_owned());
    assert_eq!(
        label("g-1.mona").expect("a valid label").as_str(),
        "g-1.mona"
    );
    assert_eq!(label(""), Err(InvalidLabel::Empty));
    assert_eq!(label(&"x".repeat(49)), Err(InvalidLabel::TooLong(49)));
    assert_eq!(
        label("a b"),
        Err(InvalidLabel::NotPrintable {
            byte: b' ',
            offset: 1
        })
    );
    assert_eq!(
        label("a\u{e4}").expect_err("not ASCII").to_string(),
        "has the byte 0xc3 at 1, only printable ASCII without blanks is allowed"
    );
}
