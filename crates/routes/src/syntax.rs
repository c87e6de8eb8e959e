//! The language of nginx's files: tokens that cover every byte, and a tree of directives. Nothing is known here of
//! what a directive means. All faults of a file are found in one pass.

use crate::diagnostic::{Diagnostic, Severity, SourcePosition};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

/// Blocks within blocks; guards against a file that would end the program by the depth of its tree.
const DEEPEST: usize = 64;
/// Files within files.
const FILES_DEEP: usize = 32;
/// nginx reads into a buffer of this size, and a word has to fit.
const LONGEST: usize = 4_096;
/// Faults of one file that are told; a file that is no configuration at all has one on each line.
const TOLD: usize = 100;

/// What a token is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Space, line ends, and a byte order mark.
    Space,
    /// From a number sign to the end of the line.
    Comment,
    /// A word, with its quotes.
    Word,
    /// `;`
    End,
    /// `{`
    Open,
    /// `}`
    Close,
}

/// A token: the tokens of a file cover it without gaps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// What it is.
    pub kind: Kind,
    /// Its bytes.
    pub span: Range<usize>,
}

/// A fault of a text, by the bytes that it concerns.
pub type Spot = (Range<usize>, String);

/// Splits a text into tokens; text that is not understood is part of a word, and told of.
#[must_use]
pub fn tokens(text: &[u8]) -> (Vec<Token>, Vec<Spot>) {
    let (mut found, mut faults) = (Vec::new(), Vec::new());
    let mut at = 0;
    if text.starts_with(b"\xef\xbb\xbf") {
        found.push(Token {
            kind: Kind::Space,
            span: 0..3,
        });
        at = 3;
    }
    let is_space = |byte: u8| matches!(byte, b' ' | b'\t' | b'\r' | b'\n');
    while at < text.len() {
        let start = at;
        let kind = match text[at] {
            b';' => Kind::End,
            b'{' => Kind::Open,
            b'}' => Kind::Close,
            b'#' => {
                at += text[at..]
                    .iter()
                    .position(|byte| *byte == b'\n')
                    .unwrap_or(text.len() - at);
                found.push(Token {
                    kind: Kind::Comment,
                    span: start..at,
                });
                continue;
            }
            byte if is_space(byte) => {
                at += text[at..]
                    .iter()
                    .position(|byte| !is_space(*byte))
                    .unwrap_or(text.len() - at);
                found.push(Token {
                    kind: Kind::Space,
                    span: start..at,
                });
                continue;
            }
            _ => {
                at = word(text, at, &mut faults);
                if at - start > LONGEST {
                    let what = format!("a word of {} bytes; nginx takes {LONGEST}", at - start);
                    faults.push((start..start + 1, what));
                }
                found.push(Token {
                    kind: Kind::Word,
                    span: start..at,
                });
                continue;
            }
        };
        at += 1;
        found.push(Token {
            kind,
            span: start..at,
        });
    }
    (found, faults)
}

/// The end of a word that begins here.
fn word(text: &[u8], start: usize, faults: &mut Vec<Spot>) -> usize {
    let mut at = start;
    if let quote @ (b'"' | b'\'') = text[at] {
        at += 1;
        while at < text.len() && text[at] != quote {
            at += if text[at] == b'\\' { 2 } else { 1 };
        }
        if at >= text.len() {
            faults.push((start..start + 1, "a quote that is never closed".to_owned()));
            return text.len();
        }
        at += 1;
        // A closing parenthesis begins a new word; anything else has to wait for a space.
        match text.get(at) {
            None | Some(b' ' | b'\t' | b'\r' | b'\n' | b';' | b'{' | b')') => {}
            Some(_) => faults.push((at..at + 1, "unexpected text right after a quote".to_owned())),
        }
        return at;
    }
    let mut variable = false;
    while at < text.len() {
        match text[at] {
            b' ' | b'\t' | b'\r' | b'\n' | b';' => break,
            // Only `${` does not open a block.
            b'{' if !variable => break,
            b'\\' => {
                at += 1;
                variable = false;
            }
            byte => variable = byte == b'$',
        }
        at += 1;
    }
    at.min(text.len())
}

/// What a word says: without quotes, and with nginx's few escapes resolved. Others stay as they are.
#[must_use]
pub fn value(raw: &[u8]) -> Vec<u8> {
    let inner = match raw {
        [quote @ (b'"' | b'\''), inner @ .., end] if quote == end => inner,
        _ => raw,
    };
    let mut out = Vec::with_capacity(inner.len());
    let mut bytes = inner.iter().copied().peekable();
    while let Some(byte) = bytes.next() {
        let escaped = match (byte, bytes.peek()) {
            (b'\\', Some(b'"' | b'\'' | b'\\')) => bytes.next(),
            (b'\\', Some(b't')) => bytes.next().map(|_| b'\t'),
            (b'\\', Some(b'r')) => bytes.next().map(|_| b'\r'),
            (b'\\', Some(b'n')) => bytes.next().map(|_| b'\n'),
            _ => None,
        };
        out.push(escaped.unwrap_or(byte));
    }
    out
}

/// A word of a directive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Word {
    /// What it says.
    pub text: String,
    /// Where it stands.
    pub position: SourcePosition,
    /// Its length in the file.
    pub length: usize,
}

/// A directive, with a block or without.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Directive {
    /// Its name.
    pub name: Word,
    /// What follows the name.
    pub args: Vec<Word>,
    /// What stands in its braces.
    pub block: Option<Vec<Directive>>,
}

/// Where files come from; nothing here reads any.
pub trait FileSource {
    /// The bytes of a file.
    ///
    /// # Errors
    /// Why there are none.
    fn read(&self, name: &str) -> Result<Vec<u8>, String>;

    /// The files that a pattern names, in order; a pattern without wildcards names itself.
    ///
    /// # Errors
    /// What is wrong with the pattern.
    fn expand_glob(&self, pattern: &str) -> Result<Vec<String>, String>;
}

impl FileSource for BTreeMap<String, Vec<u8>> {
    fn read(&self, name: &str) -> Result<Vec<u8>, String> {
        self.get(name)
            .cloned()
            .ok_or_else(|| "no such file".to_owned())
    }

    fn expand_glob(&self, pattern: &str) -> Result<Vec<String>, String> {
        if !pattern.contains(['*', '?', '[']) {
            return Ok(vec![pattern.to_owned()]);
        }
        let options = glob::MatchOptions {
            require_literal_separator: true,
            ..Default::default()
        };
        let pattern = glob::Pattern::new(pattern).map_err(|e| e.to_string())?;
        Ok(self
            .keys()
            .filter(|name| pattern.matches_with(name, options))
            .cloned()
            .collect())
    }
}

/// A whole configuration as it was read.
#[derive(Debug, Default)]
pub struct ConfigTree {
    /// The directives, with those of included files in place of each `include`.
    pub directives: Vec<Directive>,
    /// What was found.
    pub diagnostics: Vec<Diagnostic>,
    /// Findings beyond those.
    pub omitted_diagnostics: usize,
    /// The texts, by file.
    pub texts: BTreeMap<Arc<str>, Vec<u8>>,
}

impl ConfigTree {
    /// Reads a file and those that it includes.
    #[must_use]
    pub fn read(files: &dyn FileSource, name: &str) -> Self {
        let mut tree = Self::default();
        match files.read(name) {
            Ok(text) => {
                let mut reader = Reader {
                    files,
                    tree: &mut tree,
                    open: Vec::new(),
                };
                let directives = reader.file(&Arc::from(name), text, 0);
                tree.directives = directives;
            }
            Err(e) => {
                let position = SourcePosition {
                    file: Arc::from(name),
                    line: 1,
                    column: 1,
                };
                tree.diagnostics.push(Diagnostic::new(
                    position,
                    Severity::Error,
                    format!("can't be read: {e}"),
                    b"",
                    1,
                ));
            }
        }
        tree
    }

    /// Notes something about words of this tree.
    pub fn note(&mut self, word: &Word, severity: Severity, what: impl Into<String>) {
        // Each is shown with its line, which takes a look through the text.
        if self.diagnostics.len() >= 10 * TOLD {
            self.omitted_diagnostics += 1;
            return;
        }
        let text = self
            .texts
            .get(&word.position.file)
            .map_or(&b""[..], |text| text);
        self.diagnostics.push(Diagnostic::new(
            word.position.clone(),
            severity,
            what,
            text,
            word.length,
        ));
    }
}

/// Line starts of a text, to tell places by offsets.
struct Lines(Vec<usize>);

impl Lines {
    fn of(text: &[u8]) -> Self {
        let ends = text
            .iter()
            .enumerate()
            .filter(|(_, byte)| **byte == b'\n')
            .map(|(at, _)| at + 1);
        Self(std::iter::once(0).chain(ends).collect())
    }

    fn position(&self, file: &Arc<str>, at: usize) -> SourcePosition {
        let line = self.0.partition_point(|start| *start <= at);
        SourcePosition {
            file: file.clone(),
            line,
            column: at - self.0[line - 1] + 1,
        }
    }
}

struct Reader<'a> {
    files: &'a dyn FileSource,
    tree: &'a mut ConfigTree,
    /// Files that are being read, the outermost first.
    open: Vec<Arc<str>>,
}

/// A block that is not closed yet.
struct Frame {
    directive: Option<Directive>,
    inside: Vec<Directive>,
    opened: usize,
}

impl Reader<'_> {
    fn file(&mut self, file: &Arc<str>, text: Vec<u8>, depth: usize) -> Vec<Directive> {
        self.open.push(file.clone());
        let lines = Lines::of(&text);
        let (tokens, mut faults) = tokens(&text);
        let mut stack = vec![Frame {
            directive: None,
            inside: Vec::new(),
            opened: 0,
        }];
        let mut words: Vec<Word> = Vec::new();
        for Token { kind, span } in tokens {
            let top = stack.len() - 1;
            match kind {
                Kind::Space | Kind::Comment => {}
                Kind::Word => {
                    let text = match String::from_utf8(value(&text[span.clone()])) {
                        Ok(text) => text,
                        Err(e) => {
                            faults.push((span.clone(), "text that is not UTF-8".to_owned()));
                            String::from_utf8_lossy(e.as_bytes()).into_owned()
                        }
                    };
                    words.push(Word {
                        text,
                        position: lines.position(file, span.start),
                        length: span.len(),
                    });
                }
                Kind::End if words.is_empty() => faults.push((span, "unexpected \";\"".to_owned())),
                Kind::End => {
                    let mut args = std::mem::take(&mut words);
                    let name = args.remove(0);
                    if name.text == "include" {
                        let read = self.include(&name, &args, depth + top);
                        stack[top].inside.extend(read);
                    } else {
                        stack[top].inside.push(Directive {
                            name,
                            args,
                            block: None,
                        });
                    }
                }
                Kind::Open => {
                    let mut args = std::mem::take(&mut words);
                    if args.is_empty() {
                        faults.push((span.clone(), "unexpected \"{\"".to_owned()));
                    }
                    if top + depth >= DEEPEST {
                        faults.push((
                            span.clone(),
                            format!("blocks nested more than {DEEPEST} deep"),
                        ));
                        break;
                    }
                    let directive = (!args.is_empty()).then(|| {
                        let name = args.remove(0);
                        Directive {
                            name,
                            args,
                            block: None,
                        }
                    });
                    stack.push(Frame {
                        directive,
                        inside: Vec::new(),
                        opened: span.start,
                    });
                }
                Kind::Close => {
                    if let Some(word) = words.first() {
                        let what = format!("{:?} is not ended by \";\" before \"}}\"", word.text);
                        faults.push((span.clone(), what));
                        words.clear();
                    }
                    if top == 0 {
                        faults.push((span, "unexpected \"}\"".to_owned()));
                    } else if let Some(frame) = stack.pop() {
                        if let Some(directive) = frame.directive {
                            let block = Some(frame.inside);
                            stack[top - 1].inside.push(Directive { block, ..directive });
                        }
                    }
                }
            }
        }
        if let Some(word) = words.first() {
            let what = format!(
                "the file ends within {:?}: expecting \";\" or \"}}\"",
                word.text
            );
            faults.push((text.len().saturating_sub(1)..text.len(), what));
        }
        for frame in &stack[1..] {
            faults.push((
                frame.opened..frame.opened + 1,
                "a block that is never closed".to_owned(),
            ));
        }
        // What was read up to there is looked at all the same, so that all faults are told at once.
        while stack.len() > 1 {
            let Some(frame) = stack.pop() else { break };
            let Some(directive) = frame.directive else {
                continue;
            };
            if let Some(below) = stack.last_mut() {
                below.inside.push(Directive {
                    block: Some(frame.inside),
                    ..directive
                });
            }
        }
        for (span, what) in faults.into_iter().take(TOLD) {
            let position = lines.position(file, span.start);
            self.tree.diagnostics.push(Diagnostic::new(
                position,
                Severity::Error,
                what,
                &text,
                span.len(),
            ));
        }
        self.tree.texts.insert(file.clone(), text);
        self.open.pop();
        stack.pop().map(|frame| frame.inside).unwrap_or_default()
    }

    fn fault(&mut self, at: &Word, what: String) {
        // The text of the file that is being read is not in the tree yet.
        let text = self.files.read(&at.position.file).unwrap_or_default();
        self.tree.diagnostics.push(Diagnostic::new(
            at.position.clone(),
            Severity::Error,
            what,
            &text,
            at.length,
        ));
    }

    fn include(&mut self, name: &Word, args: &[Word], depth: usize) -> Vec<Directive> {
        let [pattern] = args else {
            self.fault(
                name,
                format!("include takes one argument, and has {}", args.len()),
            );
            return Vec::new();
        };
        // Relative names are relative to the folder of the first file, as in nginx.
        let first = self.open.first().map_or("", |first| first);
        let folder = first.rfind('/').map_or("", |end| &first[..=end]);
        let path = if pattern.text.starts_with('/') {
            pattern.text.clone()
        } else {
            format!("{folder}{}", pattern.text)
        };
        let names = match self.files.expand_glob(&path) {
            Ok(names) => names,
            Err(e) => {
                self.fault(pattern, format!("{path}: {e}"));
                return Vec::new();
            }
        };
        let mut read = Vec::new();
        for file in names {
            if self.open.iter().any(|open| **open == *file) {
                let way: Vec<_> = self
                    .open
                    .iter()
                    .map(|open| &**open)
                    .chain([file.as_str()])
                    .collect();
                self.fault(
                    pattern,
                    format!("files include each other: {}", way.join(" -> ")),
                );
                continue;
            }
            if self.open.len() >= FILES_DEEP {
                self.fault(
                    pattern,
                    format!("files include each other more than {FILES_DEEP} deep"),
                );
                continue;
            }
            match self.files.read(&file) {
                Ok(text) => read.extend(self.file(&Arc::from(file.as_str()), text, depth)),
                Err(e) => self.fault(pattern, format!("{file}: {e}")),
            }
        }
        read
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn words(text: &str) -> Vec<String> {
        let (found, faults) = tokens(text.as_bytes());
        assert_eq!(faults, []);
        let words = found.iter().filter(|token| token.kind == Kind::Word);
        words
            .map(|token| String::from_utf8(value(&text.as_bytes()[token.span.clone()])).unwrap())
            .collect()
    }

    #[test]
    fn quotes_escapes_and_variables_are_read_as_nginx_reads_them() {
        let text = r#"a 'b c' "d\"e" f\ g ${h}i \"j "k\.l" m#n "x;y" 'p{q'; # "r"
s"#;
        let expected = [
            "a", "b c", "d\"e", "f\\ g", "${h}i", "\"j", "k\\.l", "m#n", "x;y", "p{q", "s",
        ];
        assert_eq!(words(text), expected);
        assert_eq!(
            tokens(b"a \"b\"c;").1,
            [(5..6, "unexpected text right after a quote".to_owned())]
        );
        assert_eq!(
            tokens(b"a 'b").1,
            [(2..3, "a quote that is never closed".to_owned())]
        );
    }

    #[test]
    fn tokens_cover_every_byte_of_any_text() {
        let pieces: &[&[u8]] = &[
            b"a", b" ", b"\\", b"\"", b"'", b"{", b"}", b";", b"#", b"\n", b"$", b"\xff",
        ];
        // All texts of up to five of these pieces.
        for number in 0..12_usize.pow(5) {
            let text: Vec<u8> = (0..5)
                .flat_map(|i| pieces[number / 12_usize.pow(i) % 12])
                .copied()
                .collect();
            let mut end = 0;
            for token in tokens(&text).0 {
                assert!(token.span.start == end && token.span.end > end, "{text:?}");
                end = token.span.end;
            }
            assert_eq!(end, text.len(), "{text:?}");
        }
    }
}
