//! A radix trie of paths. A lookup returns the value stored for exactly this path, and the value of
//! its longest stored prefix.
//!
//! The trie is built once and laid out breadth first, so that the children of a node, and the bytes
//! that choose between them, are adjacent in memory.

/// Marks an absent value.
const NONE: u32 = u32::MAX;

#[derive(Debug, Clone, Copy)]
struct Node {
    /// Label of the edge that leads to this node, as a range of the labels.
    label: (u32, u32),
    exact: u32,
    prefix: u32,
    /// Index of the first child, and number of children.
    children: (u32, u32),
}

/// Result of a lookup.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TrieMatch {
    /// Value stored for exactly this path.
    pub exact: Option<u32>,
    /// Value of the longest stored prefix.
    pub prefix: Option<u32>,
    /// The longest stored prefix is the whole path.
    pub prefix_is_whole_path: bool,
    /// Value stored for the path with a slash appended: its exact value, or else its prefix value.
    pub with_slash: Option<u32>,
}

/// A radix trie of paths.
#[derive(Debug, Clone, Default)]
pub struct Trie {
    nodes: Vec<Node>,
    labels: Vec<u8>,
    /// First byte of each node's label, in the order of the nodes: choosing a child reads only
    /// these.
    first_bytes: Vec<u8>,
}

/// A path, its exact value, and its value as a prefix.
pub type TrieItem<'a> = (&'a [u8], Option<u32>, Option<u32>);

impl Trie {
    /// Builds a trie. Items with the same path are merged; the first value of each kind is kept.
    #[must_use]
    pub fn new(mut items: Vec<TrieItem<'_>>) -> Self {
        items.sort_by(|a, b| a.0.cmp(b.0));
        items.dedup_by(|next, kept| {
            let same = next.0 == kept.0;
            if same {
                kept.1 = kept.1.or(next.1);
                kept.2 = kept.2.or(next.2);
            }
            same
        });
        let mut trie = Self::default();
        let root = Node {
            label: (0, 0),
            exact: NONE,
            prefix: NONE,
            children: (0, 0),
        };
        trie.nodes.push(root);
        trie.first_bytes.push(0);
        // Nodes without their children yet: node, range of its items, and the number of bytes of
        // their paths that lead to the node.
        let mut queue = std::collections::VecDeque::from([(0_usize, 0..items.len(), 0_usize)]);
        while let Some((node, range, matched)) = queue.pop_front() {
            let mut range = range;
            if let Some((path, exact, prefix)) =
                items.get(range.start).filter(|_| !range.is_empty())
            {
                if path.len() == matched {
                    trie.nodes[node].exact = exact.unwrap_or(NONE);
                    trie.nodes[node].prefix = prefix.unwrap_or(NONE);
                    range.start += 1;
                }
            }
            let first = trie.nodes.len();
            while !range.is_empty() {
                let byte = items[range.start].0[matched];
                let group = &items[range.clone()];
                let count = group.partition_point(|item| item.0[matched] == byte);
                let (low, high) = (group[0].0, group[count - 1].0);
                let shared = low[matched..]
                    .iter()
                    .zip(&high[matched..])
                    .take_while(|(a, b)| a == b)
                    .count();
                let start = trie.labels.len() as u32;
                trie.labels
                    .extend_from_slice(&low[matched..matched + shared]);
                let label = (start, start + shared as u32);
                queue.push_back((
                    trie.nodes.len(),
                    range.start..range.start + count,
                    matched + shared,
                ));
                trie.nodes.push(Node { label, ..root });
                trie.first_bytes.push(byte);
                range.start += count;
            }
            trie.nodes[node].children = (first as u32, (trie.nodes.len() - first) as u32);
        }
        trie
    }

    /// Looks up a path.
    #[must_use]
    pub fn find(&self, path: &[u8]) -> TrieMatch {
        let some = |value: u32| (value != NONE).then_some(value);
        let slash_value = |node: &Node| some(node.exact).or(some(node.prefix));
        let mut found = TrieMatch::default();
        let Some(mut node) = self.nodes.first() else {
            return found;
        };
        let mut remaining = path;
        loop {
            if node.prefix != NONE {
                found.prefix = Some(node.prefix);
            }
            let Some(byte) = remaining.first() else {
                found.exact = some(node.exact);
                found.prefix_is_whole_path = node.prefix != NONE;
                found.with_slash = self
                    .child(node, b'/')
                    .filter(|child| child.label.1 - child.label.0 == 1)
                    .and_then(slash_value);
                return found;
            };
            let Some(child) = self.child(node, *byte) else {
                return found;
            };
            let label = &self.labels[child.label.0 as usize..child.label.1 as usize];
            if let Some(tail) = remaining.strip_prefix(label) {
                (node, remaining) = (child, tail);
            } else {
                if label.len() == remaining.len() + 1
                    && label.starts_with(remaining)
                    && label.ends_with(b"/")
                {
                    found.with_slash = slash_value(child);
                }
                return found;
            }
        }
    }

    fn child(&self, node: &Node, byte: u8) -> Option<&Node> {
        let (first, count) = (node.children.0 as usize, node.children.1 as usize);
        let first_bytes = &self.first_bytes[first..first + count];
        let index = if count <= 16 {
            first_bytes
                .iter()
                .position(|candidate| *candidate == byte)?
        } else {
            first_bytes.binary_search(&byte).ok()?
        };
        Some(&self.nodes[first + index])
    }

    /// Number of nodes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the trie has no node but the root.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.len() <= 1
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn find_agrees_with_a_linear_search(
            paths in prop::collection::vec(("[ab/]{0,6}", prop::bool::ANY, prop::bool::ANY), 0..40),
            lookups in prop::collection::vec("[ab/]{0,7}", 1..20),
        ) {
            let items: Vec<TrieItem<'_>> = paths.iter().enumerate().map(|(i, (path, exact, prefix))| {
                (path.as_bytes(), exact.then_some(i as u32), prefix.then_some(i as u32))
            }).collect();
            let trie = Trie::new(items.clone());
            for path in &lookups {
                let path = path.as_bytes();
                let exact = items.iter().find(|item| item.0 == path && item.1.is_some()).and_then(|item| item.1);
                let longest = items.iter().filter(|item| item.2.is_some() && path.starts_with(item.0)).map(|item| item.0.len()).max();
                let prefix = items.iter().find(|item| item.2.is_some() && path.starts_with(item.0) && Some(item.0.len()) == longest).and_then(|item| item.2);
                let slash = [path, b"/"].concat();
                let slash_value = |value: fn(&TrieItem<'_>) -> Option<u32>| items.iter().find(|item| item.0 == slash && value(item).is_some()).and_then(value);
                let with_slash = slash_value(|item| item.1).or(slash_value(|item| item.2));
                let prefix_is_whole_path = longest == Some(path.len());
                prop_assert_eq!(trie.find(path), TrieMatch { exact, prefix, prefix_is_whole_path, with_slash });
            }
        }
    }
}
