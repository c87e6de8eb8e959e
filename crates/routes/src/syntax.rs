//! The syntax of nginx's configuration files: a lexer whose tokens cover every byte, and a parser
//! that makes a tree of directives. Directives have no meaning here. One pass reports all syntax
//! errors of a file.

use crate::diagnostic::{Diagnostic, Severity, SourcePosition};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

/// Maximum depth of nested blocks. A deeper tree could overflow the stack.
const MAX_BLOCK_DEPTH: usize = 64;
/// Maximum depth of nested includes.
const MAX_INCLUDE_DEPTH: usize = 32;
/// Maximum length of a word: it has to fit into nginx's read buffer.
const MAX_WORD_BYTES: usize = 4_096;
/// Maximum number of reported syntax errors per file. A file that is not a configuration at all has
/// one on each line.
const MAX_ERRORS_PER_FILE: usize = 100;

/// Kind of a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenKind {
    /// Spaces, line ends, or a byte order mark.
    Whitespace,
    /// A comment, from the number sign to the end of the line.
    Comment,
    /// A word, including its quotes.
    Word,
    /// `;`
    Semicolon,
    /// `{`
    OpenBrace,
    /// `}`
    CloseBrace,
}

/// A token. The tokens of a file cover it without gaps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// Kind.
    pub kind: TokenKind,
    /// Range of its bytes.
    pub span: Range<usize>,
}

/// A syntax error: the range of bytes in question, and a message.
pub type SpannedError = (Range<usize>, String);

/// Splits a text into tokens. Invalid text becomes part of a word and is reported.
#[must_use]
pub fn tokenize(text: &[u8]) -> (Vec<Token>, Vec<SpannedError>) {
    let (mut tokens, mut errors) = (Vec::new(), Vec::new());
    let mut offset = 0;
    if text.starts_with(b"\xef\xbb\xbf") {
        tokens.push(Token {
            kind: TokenKind::Whitespace,
            span: 0..3,
        });
        offset = 3;
    }
    let is_space = |byte: u8| matches!(byte, b' ' | b'\t' | b'\r' | b'\n');
    while offset < text.len() {
        let start = offset;
        let kind = match text[offset] {
            b';' => TokenKind::Semicolon,
            b'{' => TokenKind::OpenBrace,
            b'}' => TokenKind::CloseBrace,
            b'#' => {
                offset += text[offset..]
                    .iter()
                    .position(|byte| *byte == b'\n')
                    .unwrap_or(text.len() - offset);
                tokens.push(Token {
                    kind: TokenKind::Comment,
                    span: start..offset,
                });
                continue;
            }
            byte if is_space(byte) => {
                offset += text[offset..]
                    .iter()
                    .position(|byte| !is_space(*byte))
                    .unwrap_or(text.len() - offset);
                tokens.push(Token {
                    kind: TokenKind::Whitespace,
                    span: start..offset,
                });
                continue;
            }
            _ => {
                offset = word_end(text, offset, &mut errors);
                if offset - start > MAX_WORD_BYTES {
                    let message = format!(
                        "a word of {} bytes; nginx takes {MAX_WORD_BYTES}",
                        offset - start
                    );
                    errors.push((start..start + 1, message));
                }
                tokens.push(Token {
                    kind: TokenKind::Word,
                    span: start..offset,
                });
                continue;
            }
        };
        offset += 1;
        tokens.push(Token {
            kind,
            span: start..offset,
        });
    }
    (tokens, errors)
}

/// Returns the end of the word that begins at `start`.
fn word_end(text: &[u8], start: usize, errors: &mut Vec<SpannedError>) -> usize {
    let mut offset = start;
    if let quote @ (b'"' | b'\'') = text[offset] {
        offset += 1;
        while offset < text.len() && text[offset] != quote {
            offset += if text[offset] == b'\\' { 2 } else { 1 };
        }
        if offset >= text.len() {
            errors.push((start..start + 1, "a quote that is never closed".to_owned()));
            return text.len();
        }
        offset += 1;
        // A closing parenthesis begins a new word; any other text has to be separated by a space.
        match text.get(offset) {
            None | Some(b' ' | b'\t' | b'\r' | b'\n' | b';' | b'{' | b')') => {}
            Some(_) => errors.push((
                offset..offset + 1,
                "unexpected text right after a quote".to_owned(),
            )),
        }
        return offset;
    }
    let mut after_dollar = false;
    while offset < text.len() {
        match text[offset] {
            b' ' | b'\t' | b'\r' | b'\n' | b';' => break,
            // A brace opens a block, except in `${`.
            b'{' if !after_dollar => break,
            b'\\' => {
                offset += 1;
                after_dollar = false;
            }
            byte => after_dollar = byte == b'$',
        }
        offset += 1;
    }
    offset.min(text.len())
}

/// Returns the value of a word: without quotes, and with nginx's few escape sequences resolved. Other
/// escape sequences stay.
#[must_use]
pub fn unquote(raw: &[u8]) -> Vec<u8> {
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
    /// Value, without quotes.
    pub text: String,
    /// Position of its first byte.
    pub position: SourcePosition,
    /// Length in the file, in bytes.
    pub byte_length: usize,
}

/// A directive, with or without a block.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Directive {
    /// Name.
    pub name: Word,
    /// Arguments.
    pub args: Vec<Word>,
    /// Directives of the block.
    pub block: Option<Vec<Directive>>,
}

/// Access to configuration files; this crate does no I/O.
pub trait FileSource {
    /// Reads a file.
    ///
    /// # Errors
    /// Why it can't be read.
    fn read(&self, name: &str) -> Result<Vec<u8>, String>;

    /// Returns the names of the files that match a pattern, in order. A pattern without wildcards is a
    /// file name.
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

/// A parsed configuration.
#[derive(Debug, Default)]
pub struct ConfigTree {
    /// Directives, with those of included files in place of each `include`.
    pub directives: Vec<Directive>,
    /// Diagnostics.
    pub diagnostics: Vec<Diagnostic>,
    /// Number of diagnostics beyond the maximum, which are left out.
    pub omitted_diagnostics: usize,
    /// Texts of the files, by name.
    pub sources: BTreeMap<Arc<str>, Vec<u8>>,
}

impl ConfigTree {
    /// Reads a file and the files that it includes.
    #[must_use]
    pub fn read(files: &dyn FileSource, name: &str) -> Self {
        let mut tree = Self::default();
        match files.read(name) {
            Ok(text) => {
                let mut parser = Parser {
                    files,
                    tree: &mut tree,
                    open_files: Vec::new(),
                };
                let directives = parser.parse_file(&Arc::from(name), text, 0);
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

    /// Adds a diagnostic on a word of this tree.
    pub fn report(&mut self, word: &Word, severity: Severity, message: impl Into<String>) {
        // Bounds the work: finding the line of each diagnostic takes a scan of the file.
        if self.diagnostics.len() >= 10 * MAX_ERRORS_PER_FILE {
            self.omitted_diagnostics += 1;
            return;
        }
        let source = self
            .sources
            .get(&word.position.file)
            .map_or(&b""[..], |source| source);
        self.diagnostics.push(Diagnostic::new(
            word.position.clone(),
            severity,
            message,
            source,
            word.byte_length,
        ));
    }
}

/// Offsets of the line starts of a text, to find positions by offset.
struct LineIndex(Vec<usize>);

impl LineIndex {
    fn new(text: &[u8]) -> Self {
        let line_starts = text
            .iter()
            .enumerate()
            .filter(|(_, byte)| **byte == b'\n')
            .map(|(offset, _)| offset + 1);
        Self(std::iter::once(0).chain(line_starts).collect())
    }

    fn position(&self, file: &Arc<str>, offset: usize) -> SourcePosition {
        let line = self.0.partition_point(|start| *start <= offset);
        SourcePosition {
            file: file.clone(),
            line,
            column: offset - self.0[line - 1] + 1,
        }
    }
}

struct Parser<'a> {
    files: &'a dyn FileSource,
    tree: &'a mut ConfigTree,
    /// Names of the files that are being read, the outermost first.
    open_files: Vec<Arc<str>>,
}

/// A block whose closing brace was not read yet. The file itself, and a block without a name, have no
/// directive.
struct OpenBlock {
    directive: Option<Directive>,
    children: Vec<Directive>,
    opened_at: usize,
}

impl Parser<'_> {
    fn parse_file(&mut self, file: &Arc<str>, text: Vec<u8>, depth: usize) -> Vec<Directive> {
        self.open_files.push(file.clone());
        let line_index = LineIndex::new(&text);
        let (tokens, mut errors) = tokenize(&text);
        let mut stack = vec![OpenBlock {
            directive: None,
            children: Vec::new(),
            opened_at: 0,
        }];
        let mut words: Vec<Word> = Vec::new();
        for Token { kind, span } in tokens {
            let innermost = stack.len() - 1;
            match kind {
                TokenKind::Whitespace | TokenKind::Comment => {}
                TokenKind::Word => {
                    let text = match String::from_utf8(unquote(&text[span.clone()])) {
                        Ok(text) => text,
                        Err(e) => {
                            errors.push((span.clone(), "text that is not UTF-8".to_owned()));
                            String::from_utf8_lossy(e.as_bytes()).into_owned()
                        }
                    };
                    words.push(Word {
                        text,
                        position: line_index.position(file, span.start),
                        byte_length: span.len(),
                    });
                }
                TokenKind::Semicolon if words.is_empty() => {
                    errors.push((span, "unexpected \";\"".to_owned()));
                }
                TokenKind::Semicolon => {
                    let mut args = std::mem::take(&mut words);
                    let name = args.remove(0);
                    if name.text == "include" {
                        let included = self.parse_include(&name, &args, depth + innermost);
                        stack[innermost].children.extend(included);
                    } else {
                        stack[innermost].children.push(Directive {
                            name,
                            args,
                            block: None,
                        });
                    }
                }
                TokenKind::OpenBrace => {
                    let mut args = std::mem::take(&mut words);
                    if args.is_empty() {
                        errors.push((span.clone(), "unexpected \"{\"".to_owned()));
                    }
                    if innermost + depth >= MAX_BLOCK_DEPTH {
                        errors.push((
                            span.clone(),
                            format!("blocks nested more than {MAX_BLOCK_DEPTH} deep"),
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
                    stack.push(OpenBlock {
                        directive,
                        children: Vec::new(),
                        opened_at: span.start,
                    });
                }
                TokenKind::CloseBrace => {
                    if let Some(word) = words.first() {
                        let message =
                            format!("{:?} is not ended by \";\" before \"}}\"", word.text);
                        errors.push((span.clone(), message));
                        words.clear();
                    }
                    if innermost == 0 {
                        errors.push((span, "unexpected \"}\"".to_owned()));
                    } else if let Some(block) = stack.pop() {
                        if let Some(directive) = block.directive {
                            let block = Some(block.children);
                            stack[innermost - 1]
                                .children
                                .push(Directive { block, ..directive });
                        }
                    }
                }
            }
        }
        if let Some(word) = words.first() {
            let message = format!(
                "the file ends within {:?}: expecting \";\" or \"}}\"",
                word.text
            );
            errors.push((text.len().saturating_sub(1)..text.len(), message));
        }
        for block in &stack[1..] {
            errors.push((
                block.opened_at..block.opened_at + 1,
                "a block that is never closed".to_owned(),
            ));
        }
        // Unclosed blocks are kept, so that the importer reports their errors at the same time.
        while stack.len() > 1 {
            let Some(block) = stack.pop() else { break };
            let Some(directive) = block.directive else {
                continue;
            };
            if let Some(parent) = stack.last_mut() {
                parent.children.push(Directive {
                    block: Some(block.children),
                    ..directive
                });
            }
        }
        for (span, message) in errors.into_iter().take(MAX_ERRORS_PER_FILE) {
            let position = line_index.position(file, span.start);
            self.tree.diagnostics.push(Diagnostic::new(
                position,
                Severity::Error,
                message,
                &text,
                span.len(),
            ));
        }
        self.tree.sources.insert(file.clone(), text);
        self.open_files.pop();
        stack.pop().map(|block| block.children).unwrap_or_default()
    }

    fn add_error(&mut self, word: &Word, message: String) {
        // The text of the current file is not in the tree yet.
        let source = self.files.read(&word.position.file).unwrap_or_default();
        self.tree.diagnostics.push(Diagnostic::new(
            word.position.clone(),
            Severity::Error,
            message,
            &source,
            word.byte_length,
        ));
    }

    fn parse_include(&mut self, name: &Word, args: &[Word], depth: usize) -> Vec<Directive> {
        let [pattern] = args else {
            self.add_error(
                name,
                format!("include takes one argument, and has {}", args.len()),
            );
            return Vec::new();
        };
        // Relative names are relative to the directory of the main file, as in nginx.
        let main_file = self.open_files.first().map_or("", |main_file| main_file);
        let directory = main_file.rfind('/').map_or("", |end| &main_file[..=end]);
        let path = if pattern.text.starts_with('/') {
            pattern.text.clone()
        } else {
            format!("{directory}{}", pattern.text)
        };
        let file_names = match self.files.expand_glob(&path) {
            Ok(file_names) => file_names,
            Err(e) => {
                self.add_error(pattern, format!("{path}: {e}"));
                return Vec::new();
            }
        };
        let mut directives = Vec::new();
        for file in file_names {
            if self.open_files.iter().any(|open_file| **open_file == *file) {
                let include_chain: Vec<_> = self
                    .open_files
                    .iter()
                    .map(|open_file| &**open_file)
                    .chain([file.as_str()])
                    .collect();
                self.add_error(
                    pattern,
                    format!("files include each other: {}", include_chain.join(" -> ")),
                );
                continue;
            }
            if self.open_files.len() >= MAX_INCLUDE_DEPTH {
                self.add_error(
                    pattern,
                    format!("files include each other more than {MAX_INCLUDE_DEPTH} deep"),
                );
                continue;
            }
            match self.files.read(&file) {
                Ok(text) => {
                    directives.extend(self.parse_file(&Arc::from(file.as_str()), text, depth));
                }
                Err(e) => self.add_error(pattern, format!("{file}: {e}")),
            }
        }
        directives
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn words(text: &str) -> Vec<String> {
        let (tokens, errors) = tokenize(text.as_bytes());
        assert_eq!(errors, []);
        let words = tokens.iter().filter(|token| token.kind == TokenKind::Word);
        words
            .map(|token| String::from_utf8(unquote(&text.as_bytes()[token.span.clone()])).unwrap())
            .collect()
    }

    #[test]
    fn words_with_quotes_escapes_and_variables_are_split_as_in_nginx() {
        let text = r#"a 'b c' "d\"e" f\ g ${h}i \"j "k\.l" m#n "x;y" 'p{q'; # "r"
s"#;
        let expected = [
            "a", "b c", "d\"e", "f\\ g", "${h}i", "\"j", "k\\.l", "m#n", "x;y", "p{q", "s",
        ];
        assert_eq!(words(text), expected);
        assert_eq!(
            tokenize(b"a \"b\"c;").1,
            [(5..6, "unexpected text right after a quote".to_owned())]
        );
        assert_eq!(
            tokenize(b"a 'b").1,
            [(2..3, "a quote that is never closed".to_owned())]
        );
    }

    #[test]
    fn tokens_cover_every_byte_of_any_text() {
        let pieces: &[&[u8]] = &[
            b"a", b" ", b"\\", b"\"", b"'", b"{", b"}", b";", b"#", b"\n", b"$", b"\xff",
        ];
        // All texts of up to five of these pieces.
        for index in 0..12_usize.pow(5) {
            let text: Vec<u8> = (0..5)
                .flat_map(|i| pieces[index / 12_usize.pow(i) % 12])
                .copied()
                .collect();
            let mut end = 0;
            for token in tokenize(&text).0 {
                assert!(token.span.start == end && token.span.end > end, "{text:?}");
                end = token.span.end;
            }
            assert_eq!(end, text.len(), "{text:?}");
        }
    }
}
