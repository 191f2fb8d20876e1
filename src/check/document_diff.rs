use std::collections::BTreeMap;

use serde_json::Value;

use super::{ChangeKind, DocumentChange};

/// Compares a document with the one in force, value by value.
///
/// Entries of lists are paired by the text of an identifying field, so that an
/// inserted entry does not make all later ones differ. Lists without such a field are
/// compared as a whole.
#[derive(Debug, Clone)]
pub struct DocumentDiff<'a> {
    identifiers: &'a [&'a str],
    changes: Vec<DocumentChange>,
}

impl<'a> DocumentDiff<'a> {
    /// Creates a comparison that pairs list entries by the first of `identifiers` that
    /// all entries of a list have with distinct texts.
    #[must_use]
    pub fn new(identifiers: &'a [&'a str]) -> Self {
        Self {
            identifiers,
            changes: Vec::new(),
        }
    }

    /// Returns what differs between the document in force and the new one.
    #[must_use]
    pub fn compare(mut self, before: &Value, after: &Value) -> Vec<DocumentChange> {
        self.compare_values("", before, after);
        self.changes
    }

    fn compare_values(&mut self, place: &str, before: &Value, after: &Value) {
        if before == after {
            return;
        }
        match (before, after) {
            (Value::Object(before), Value::Object(after)) => {
                let joined = |key: &str| match place {
                    "" => key.to_owned(),
                    place => format!("{place}.{key}"),
                };
                for (key, value) in before {
                    self.compare_entry(joined(key), Some(value), after.get(key));
                }
                for (key, value) in after.iter().filter(|(key, _)| !before.contains_key(*key)) {
                    self.compare_entry(joined(key), None, Some(value));
                }
            }
            (Value::Array(before_list), Value::Array(after_list)) => {
                if !self.compare_lists(place, before_list, after_list) {
                    self.push_changed(place, before, after);
                }
            }
            _ => self.push_changed(place, before, after),
        }
    }

    /// Compares two lists entry by entry; returns whether they have an identifying field.
    fn compare_lists(&mut self, place: &str, before: &[Value], after: &[Value]) -> bool {
        let paired = self.identifiers.iter().find_map(|field| {
            Some((
                identified_entries(before, field)?,
                identified_entries(after, field)?,
            ))
        });
        let Some((before, after)) = paired else {
            return false;
        };
        let before_map: BTreeMap<_, _> = before.iter().copied().collect();
        let after_map: BTreeMap<_, _> = after.iter().copied().collect();
        let kept_before = before.iter().filter(|(id, _)| after_map.contains_key(id));
        let kept_after = after.iter().filter(|(id, _)| before_map.contains_key(id));
        if !kept_before
            .map(|(id, _)| id)
            .eq(kept_after.map(|(id, _)| id))
        {
            self.push(place.to_owned(), ChangeKind::Reordered);
        }
        for (id, value) in &before {
            let other = after_map.get(id).copied();
            self.compare_entry(format!("{place}[{id}]"), Some(value), other);
        }
        for (id, value) in after.iter().filter(|(id, _)| !before_map.contains_key(id)) {
            self.compare_entry(format!("{place}[{id}]"), None, Some(value));
        }
        true
    }

    fn compare_entry(&mut self, place: String, before: Option<&Value>, after: Option<&Value>) {
        match (before, after) {
            (Some(before), Some(after)) => self.compare_values(&place, before, after),
            (Some(before), None) => {
                let before = before.clone();
                self.push(place, ChangeKind::Removed { before });
            }
            (None, Some(after)) => {
                let after = after.clone();
                self.push(place, ChangeKind::Added { after });
            }
            (None, None) => {}
        }
    }

    fn push_changed(&mut self, place: &str, before: &Value, after: &Value) {
        let kind = ChangeKind::Changed {
            before: before.clone(),
            after: after.clone(),
        };
        self.push(place.to_owned(), kind);
    }

    fn push(&mut self, place: String, kind: ChangeKind) {
        self.changes.push(DocumentChange { place, kind });
    }
}

/// Returns the entries with the text of `field`, unless one lacks it or two share it.
fn identified_entries<'v>(list: &'v [Value], field: &str) -> Option<Vec<(&'v str, &'v Value)>> {
    let entries: Vec<(&str, &Value)> = list
        .iter()
        .map(|entry| Some((entry.get(field)?.as_str()?, entry)))
        .collect::<Option<_>>()?;
    let distinct: BTreeMap<_, _> = entries.iter().copied().collect();
    (distinct.len() == entries.len()).then_some(entries)
}
