//! Line numbers of values in a YAML text.

use marked_yaml::{Node, types::MarkedMappingNode};

use crate::document::{PathStep, path_steps};

/// Returns the line of the value at a path such as `teams[0].quota.cpu`.
///
/// If the value does not exist, the line of the longest existing prefix of the path is returned, so
/// that a missing key is reported at the object that lacks it.
pub(super) fn line_of(root: &Node, path: &str) -> usize {
    let mut node = root;
    let mut line = start_line(node);
    for step in path_steps(path) {
        let next = match step {
            PathStep::Key(key) => node.as_mapping().and_then(|map| child(map, key)),
            PathStep::Index(index) => node
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

fn child<'a>(map: &'a MarkedMappingNode, key: &str) -> Option<(usize, &'a Node)> {
    // The line of the key is used because a nested value starts on the following line.
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
