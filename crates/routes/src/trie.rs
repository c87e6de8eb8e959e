//! A radix trie of paths: for a path the value at its whole length, and the longest prefix with a value. Built once, and
//! laid out breadth first, so that the children of a node and the bytes that choose between them lie together.

/// No value, or no node.
const NONE: u32 = u32::MAX;

#[derive(Debug, Clone, Copy)]
struct Node {
    /// The label of the edge that leads here: a range of the labels.
    label: (u32, u32),
    exact: u32,
    prefix: u32,
    /// Children: first node, and how many.
    children: (u32, u32),
}

/// What a look-up found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Hit {
    /// The value for just this path.
    pub exact: Option<u32>,
    /// The value of the longest prefix.
    pub prefix: Option<u32>,
    /// That prefix is the whole path.
    pub whole: bool,
    /// The value of the path with a slash after it, where one stands there: that for just it before that for a prefix.
    pub slashed: Option<u32>,
}

/// The trie.
#[derive(Debug, Clone, Default)]
pub struct Trie {
    nodes: Vec<Node>,
    labels: Vec<u8>,
    /// The first byte of each node's label, beside the nodes: a choice between children reads these alone.
    firsts: Vec<u8>,
}

/// A path, and its values for just it and for all below it.
pub type Item<'a> = (&'a [u8], Option<u32>, Option<u32>);

impl Trie {
    /// Builds one. Of items with one path the values are joined, the first of a kind counts.
    #[must_use]
    pub fn new(mut items: Vec<Item<'_>>) -> Self {
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
        trie.firsts.push(0);
        // Nodes whose items are not spread yet: range of the items, and how much of their paths is used.
        let mut waiting = std::collections::VecDeque::from([(0_usize, 0..items.len(), 0_usize)]);
        while let Some((node, range, used)) = waiting.pop_front() {
            let mut range = range;
            if let Some((path, exact, prefix)) =
                items.get(range.start).filter(|_| !range.is_empty())
            {
                if path.len() == used {
                    trie.nodes[node].exact = exact.unwrap_or(NONE);
                    trie.nodes[node].prefix = prefix.unwrap_or(NONE);
                    range.start += 1;
                }
            }
            let first = trie.nodes.len();
            while !range.is_empty() {
                let byte = items[range.start].0[used];
                let group = &items[range.clone()];
                let count = group.partition_point(|item| item.0[used] == byte);
                let (low, high) = (group[0].0, group[count - 1].0);
                let shared = low[used..]
                    .iter()
                    .zip(&high[used..])
                    .take_while(|(a, b)| a == b)
                    .count();
                let start = trie.labels.len() as u32;
                trie.labels.extend_from_slice(&low[used..used + shared]);
                let label = (start, start + shared as u32);
                waiting.push_back((
                    trie.nodes.len(),
                    range.start..range.start + count,
                    used + shared,
                ));
                trie.nodes.push(Node { label, ..root });
                trie.firsts.push(byte);
                range.start += count;
            }
            trie.nodes[node].children = (first as u32, (trie.nodes.len() - first) as u32);
        }
        trie
    }

    /// Looks a path up.
    #[must_use]
    pub fn find(&self, path: &[u8]) -> Hit {
        let some = |value: u32| (value != NONE).then_some(value);
        let at_slash = |node: &Node| some(node.exact).or(some(node.prefix));
        let mut hit = Hit::default();
        let Some(mut node) = self.nodes.first() else {
            return hit;
        };
        let mut rest = path;
        loop {
            if node.prefix != NONE {
                hit.prefix = Some(node.prefix);
            }
            let Some(byte) = rest.first() else {
                hit.exact = some(node.exact);
                hit.whole = node.prefix != NONE;
                hit.slashed = self
                    .child(node, b'/')
                    .filter(|child| child.label.1 - child.label.0 == 1)
                    .and_then(at_slash);
                return hit;
            };
            let Some(child) = self.child(node, *byte) else {
                return hit;
            };
            let label = &self.labels[child.label.0 as usize..child.label.1 as usize];
            if let Some(after) = rest.strip_prefix(label) {
                (node, rest) = (child, after);
            } else {
                if label.len() == rest.len() + 1 && label.starts_with(rest) && label.ends_with(b"/")
                {
                    hit.slashed = at_slash(child);
                }
                return hit;
            }
        }
    }

    fn child(&self, node: &Node, byte: u8) -> Option<&Node> {
        let (first, count) = (node.children.0 as usize, node.children.1 as usize);
        let firsts = &self.firsts[first..first + count];
        let at = if count <= 16 {
            firsts.iter().position(|other| *other == byte)?
        } else {
            firsts.binary_search(&byte).ok()?
        };
        Some(&self.nodes[first + at])
    }

    /// Nodes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether nothing is in it.
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
        /// Beside a look at each path.
        #[test]
        fn it_finds_what_a_look_at_each_path_finds(
            paths in prop::collection::vec(("[ab/]{0,6}", prop::bool::ANY, prop::bool::ANY), 0..40),
            asked in prop::collection::vec("[ab/]{0,7}", 1..20),
        ) {
            let items: Vec<Item<'_>> = paths.iter().enumerate().map(|(i, (path, exact, prefix))| {
                (path.as_bytes(), exact.then_some(i as u32), prefix.then_some(i as u32))
            }).collect();
            let trie = Trie::new(items.clone());
            for path in &asked {
                let path = path.as_bytes();
                let exact = items.iter().find(|item| item.0 == path && item.1.is_some()).and_then(|item| item.1);
                let longest = items.iter().filter(|item| item.2.is_some() && path.starts_with(item.0)).map(|item| item.0.len()).max();
                let prefix = items.iter().find(|item| item.2.is_some() && path.starts_with(item.0) && Some(item.0.len()) == longest).and_then(|item| item.2);
                let slash = [path, b"/"].concat();
                let at = |value: fn(&Item<'_>) -> Option<u32>| items.iter().find(|item| item.0 == slash && value(item).is_some()).and_then(value);
                let slashed = at(|item| item.1).or(at(|item| item.2));
                let whole = longest == Some(path.len());
                prop_assert_eq!(trie.find(path), Hit { exact, prefix, whole, slashed });
            }
        }
    }
}
