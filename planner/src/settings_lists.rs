//! Lists of names in settings with the layout of the placement module's settings.
use basaltpitch::host::{text, Settings};

/// Returns the texts of numbered settings, up to the first that is missing or empty. `setting`
/// returns the setting's name for an index.
pub(crate) fn numbered_texts(settings: &Settings, setting: &dyn Fn(usize) -> String) -> Vec<String> {
    (0..)
        .map(|index| text(settings, &setting(index)).to_owned())
        .take_while(|name| !name.is_empty())
        .collect()
}
