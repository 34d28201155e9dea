//! Lines of values in a YAML text, by path.

use marked_yaml::{Node, types::MarkedMappingNode};

/// Finds the line of a path such as `teams[0].quota.cpu`.
///
/// Where the path leads to nothing, the line of its longest existing prefix is returned, so that
/// a missing key points at the object that lacks it.
pub(super) fn line_of(root: &Node, path: &str) -> usize {
    let mut node = root;
    let mut line = start_line(node);
    for step in steps(path) {
        let next = match step {
            Step::Key(key) => node.as_mapping().and_then(|map| child(map, key)),
            Step::Index(index) => node
                .as_sequence()
                .and_then(|list| list.get_node(index))
                .map(|n| (start_line(n), n)),
        };
        let Some((next_line, next_node)) = next else {
            break;
        };
        line = next_line;
        node = next_node;
    }
    line
}

enum Step<'a> {
    Key(&'a str),
    Index(usize),
}

fn steps(path: &str) -> impl Iterator<Item = Step<'_>> {
    path.split(['.', '['])
        .filter(|part| !part.is_empty())
        .map(|part| {
            match part
                .strip_suffix(']')
                .and_then(|digits| digits.parse().ok())
            {
                Some(index) => Step::Index(index),
                None => Step::Key(part),
            }
        })
}

fn child<'a>(map: &'a MarkedMappingNode, key: &str) -> Option<(usize, &'a Node)> {
    // The key's own line, because a nested value starts on the line after it.
    let (name, node) = map.iter().find(|(name, _)| name.as_str() == key)?;
    let line = name
        .span()
        .start()
        .map_or_else(|| start_line(node), |mark| mark.line());
    Some((line, node))
}

fn start_line(node: &Node) -> usize {
    node.span().start().map_or(0, |mark| mark.line())
}
