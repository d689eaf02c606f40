//! Lists of names in the settings that are laid out for the placement module.
use basaltpitch::host::{text, Settings};

/// The texts under numbered setting names, up to the first that is missing; `setting` gives the name for an
/// index.
pub(crate) fn numbered_texts(settings: &Settings, setting: &dyn Fn(usize) -> String) -> Vec<String> {
    (0..)
        .map(|index| text(settings, &setting(index)).to_owned())
        .take_while(|name| !name.is_empty())
        .collect()
}
